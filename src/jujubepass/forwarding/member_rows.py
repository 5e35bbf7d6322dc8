"""Rows of nodes in the platform's table."""

import typing

from jujubepass import _decoding, ids
from jujubepass.forwarding import members
from jujubepass.storage import _store_messages
from jujubepass.transport import _http_client

# A row that was not renewed for this many of its intervals may no longer count.
_KNOWN_RENEWALS = 2.0
_MIN_RENEWAL_SECONDS, _MAX_RENEWAL_SECONDS = 1e-3, 3_600.0


class MemberRowError(Exception):
    """Signal that a row contains no valid node."""


def read_member(key: str, version: int, value: typing.Any) -> members.Member:
    """Parse a node from its row; raises MemberRowError."""
    try:
        return members.Member(
            node=ids.NodeId(key),
            version=version,
            failure_domain=ids.FailureDomainId(
                _decoding.read_text(value["failure_domain"])
            ),
            renewal_seconds=_decoding.read_number(
                value["renewal_seconds"],
                minimum=_MIN_RENEWAL_SECONDS,
                maximum=_MAX_RENEWAL_SECONDS,
            ),
            address=_read_address(value.get("address")),
            token=_decoding.read_text(value.get("token") or ""),
            since=read_since(value),
        )
    except _decoding.MALFORMED_ERRORS as error:
        raise MemberRowError(
            f"{key!r} contains no valid node: {error!r:.100}"
        ) from error


def read_since(value: typing.Any) -> float:
    """Parse when a node joined; older nodes do not say, and are known to all."""
    return _decoding.read_number(value.get("since") or 0.0)


def find_joined_at(row: _store_messages.VersionedRow, wall_now: float) -> float:
    """Return since when other nodes count the node of a row from an earlier process.

    They have dropped a row that was not renewed, so that its node joins anew.
    """
    try:
        since = read_since(row.value)
        renewed_at = _decoding.read_number(row.value["renewed_at"])
        unrenewed_seconds = wall_now - renewed_at
        renewal_seconds = _decoding.read_number(row.value["renewal_seconds"])
        longest_seconds = _KNOWN_RENEWALS * renewal_seconds
    except _decoding.MALFORMED_ERRORS:
        return wall_now
    return since if unrenewed_seconds <= longest_seconds else wall_now


def _read_address(text: typing.Any) -> _http_client.Address | None:
    """Parse where a node answers queries; older nodes name no address."""
    if text is None:
        return None
    return _http_client.parse_address(_decoding.read_text(text))


def write_member(
    operation: _store_messages.OperationId,
    *,
    node: ids.NodeId,
    failure_domain: ids.FailureDomainId,
    renewal_seconds: float,
    abandoned: members.Member | None,
    address: _http_client.Address | None = None,
    token: str = "",
    since: float = 0.0,
    renewed_at: float = 0.0,
    is_first: bool = False,
) -> _store_messages.Transact:
    """Return a write of a node's row that also removes an abandoned one.

    A first write is made on condition that there is no row of an earlier process.
    """
    value: dict[str, typing.Any] = {
        "failure_domain": failure_domain,
        "renewal_seconds": renewal_seconds,
        "since": since,
        "renewed_at": renewed_at,
    }
    if address is not None:
        value |= {"address": str(address), "token": token}
    writes = [_store_messages.Write(key=node, value=value)]
    conditions = []
    if is_first:
        conditions.append(_store_messages.Condition(key=node, version=0))
    if abandoned is not None and abandoned.node != node:
        writes.append(_store_messages.Write(key=abandoned.node, value=None))
        conditions.append(
            _store_messages.Condition(key=abandoned.node, version=abandoned.version)
        )
    return _store_messages.Transact(
        operation=operation, conditions=tuple(conditions), writes=tuple(writes)
    )
