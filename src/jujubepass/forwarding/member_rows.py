"""Rows of nodes in the platform's table."""

import typing

from jujubepass import ids
from jujubepass.forwarding import members
from jujubepass.storage import _store_messages
from jujubepass.transport import _http_client


class MemberRowError(Exception):
    """Signal that a row contains no valid node."""


def read_member(key: str, version: int, value: typing.Any) -> members.Member:
    """Parse a node from its row; raises MemberRowError."""
    try:
        return members.Member(
            node=ids.NodeId(key),
            version=version,
            failure_domain=ids.FailureDomainId(str(value["failure_domain"])),
            renewal_seconds=float(value["renewal_seconds"]),
            address=_read_address(value.get("address")),
            token=str(value.get("token") or ""),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MemberRowError(f"{key!r} contains no valid node: {error!r}") from error


def _read_address(text: typing.Any) -> _http_client.Address | None:
    """Parse where a node answers queries; older nodes name no address."""
    return None if text is None else _http_client.parse_address(text)


def write_member(
    operation: _store_messages.OperationId,
    *,
    node: ids.NodeId,
    failure_domain: ids.FailureDomainId,
    renewal_seconds: float,
    abandoned: members.Member | None,
    address: _http_client.Address | None = None,
    token: str = "",
) -> _store_messages.Transact:
    """Return a write of a node's row that also removes an abandoned one."""
    value: dict[str, typing.Any] = {
        "failure_domain": failure_domain,
        "renewal_seconds": renewal_seconds,
    }
    if address is not None:
        value |= {"address": str(address), "token": token}
    writes = [_store_messages.Write(key=node, value=value)]
    conditions = []
    if abandoned is not None and abandoned.node != node:
        writes.append(_store_messages.Write(key=abandoned.node, value=None))
        conditions.append(
            _store_messages.Condition(key=abandoned.node, version=abandoned.version)
        )
    return _store_messages.Transact(
        operation=operation, conditions=tuple(conditions), writes=tuple(writes)
    )
