"""Rows of nodes in the platform's table."""

import typing

from jujubepass import ids
from jujubepass.forwarding import members
from jujubepass.storage import _store_messages


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
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MemberRowError(f"{key!r} contains no valid node: {error!r}") from error


def write_member(
    operation: _store_messages.OperationId,
    *,
    node: ids.NodeId,
    failure_domain: ids.FailureDomainId,
    renewal_seconds: float,
    abandoned: members.Member | None,
) -> _store_messages.Transact:
    """Return a write of a node's row that also removes an abandoned one."""
    value = {"failure_domain": failure_domain, "renewal_seconds": renewal_seconds}
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
