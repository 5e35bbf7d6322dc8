"""Messages of the relay: JSON under a MAC that the receiver's token makes.

A token stands in its node's row, so that only who reads the store can speak here.
"""

import collections.abc
import hashlib
import hmac
import json
import logging
import typing

import attrs

from jujubepass import _decoding
from jujubepass.forwarding import feeds

_LOGGER = logging.getLogger(__name__)

_MAC_BYTES = 32
# JSON has no infinity, which is the age of rows that are missing.
_MAX_AGE_SECONDS = 1e9
# Each table is checked by itself.
_MAX_DEPTH = 1_000


class MessageError(Exception):
    """Signal bytes that are not a valid message of a node."""


@attrs.frozen(kw_only=True)
class Position:
    """Describe what the asking node has of a table."""

    version: int | None
    era: int
    confirmed_at: float | None
    """Confirmation that it got from the same node, on that node's clock."""


@attrs.frozen(kw_only=True)
class Query:
    """Ask for rows that are newer than some positions, by table."""

    nonce: str
    node: str
    """Node that asks."""
    row_age_seconds: float
    """Age of the configuration's rows that it has."""
    wait_seconds: float
    positions: collections.abc.Mapping[str, Position]


@attrs.frozen(kw_only=True)
class Report:
    """Answer a query; times are on the answering node's boot clock."""

    nonce: str
    now: float
    changes: collections.abc.Mapping[str, feeds.RowChanges]


def write_query(query: Query, token: str) -> bytes:
    """Encode a query for the node that holds a token."""
    positions = {
        name: [each.version, each.era, each.confirmed_at]
        for name, each in query.positions.items()
    }
    value = [
        query.nonce,
        query.node,
        min(query.row_age_seconds, _MAX_AGE_SECONDS),
        query.wait_seconds,
        positions,
    ]
    return seal(value, token)


def read_query(data: bytes, token: str) -> Query:
    """Decode a query; raises MessageError."""
    value = unseal(data, token)
    try:
        nonce, node, row_age_seconds, wait_seconds, positions = value
        return Query(
            nonce=str(nonce),
            node=str(node),
            row_age_seconds=_read_time(row_age_seconds),
            wait_seconds=_decoding.read_number(wait_seconds),
            positions={
                str(name): Position(
                    version=_read_optional(_decoding.read_integer, version),
                    era=_decoding.read_integer(era),
                    confirmed_at=_read_optional(_read_time, confirmed_at),
                )
                for name, (version, era, confirmed_at) in positions.items()
            },
        )
    except _decoding.MALFORMED_ERRORS as error:
        raise MessageError(f"invalid query: {error!r:.200}") from error


def write_report(report: Report, token: str) -> bytes:
    """Encode a report of the node that holds a token."""
    changes = {
        name: [
            [[row.key, row.version, row.value] for row in each.rows],
            each.version,
            each.era,
            each.confirmed_at,
            each.is_complete,
            each.origin,
            each.hops,
        ]
        for name, each in report.changes.items()
    }
    return seal([report.nonce, report.now, changes], token)


def read_report(data: bytes, token: str, nonce: str) -> Report:
    """Decode the report for a query's nonce; raises MessageError."""
    value = unseal(data, token)
    try:
        found_nonce, now, changes = value
        if found_nonce != nonce:
            raise MessageError("report for another query")
        return Report(
            nonce=nonce,
            now=_read_time(now),
            changes=dict(_read_tables(changes)),
        )
    except _decoding.MALFORMED_ERRORS as error:
        raise MessageError(f"invalid report: {error!r:.200}") from error


def _read_tables(
    value: typing.Any,
) -> collections.abc.Iterator[tuple[str, feeds.RowChanges]]:
    """Yield the tables that can be read; of another one, nothing is confirmed."""
    for name, changes in value.items():
        try:
            yield str(name), _read_changes(changes)
        except _decoding.MALFORMED_ERRORS as error:
            _LOGGER.warning(
                "unreadable table in a node's report",
                extra={"feed": str(name)[:80], "detail": repr(error)[:200]},
            )


def _read_changes(value: typing.Any) -> feeds.RowChanges:
    rows, version, era, confirmed_at, is_complete, origin, hops = value
    return feeds.RowChanges(
        rows=tuple(
            feeds.Row(
                key=_decoding.read_text(key),
                version=_decoding.read_integer(row_version),
                value=None if _decoding.is_too_deep(row_value) else row_value,
            )
            for key, row_version, row_value in rows
        ),
        version=_decoding.read_integer(version),
        era=_decoding.read_integer(era),
        confirmed_at=_read_time(confirmed_at),
        is_complete=is_complete is True,
        origin=_decoding.read_text(origin),
        hops=_decoding.read_integer(hops),
    )


def _read_time(value: typing.Any) -> float:
    return _decoding.read_number(value, minimum=-_MAX_AGE_SECONDS)


_Number = typing.TypeVar("_Number")


def _read_optional(
    kind: collections.abc.Callable[[typing.Any], _Number], value: typing.Any
) -> _Number | None:
    return None if value is None else kind(value)


def seal(value: typing.Any, token: str) -> bytes:
    """Encode a value under the MAC that a token makes."""
    data = json.dumps(value, separators=(",", ":")).encode()
    return _sign(data, token) + data


def unseal(data: bytes, token: str) -> typing.Any:
    """Check the MAC and decode the value; raises MessageError."""
    mac, message = data[:_MAC_BYTES], data[_MAC_BYTES:]
    if not hmac.compare_digest(mac, _sign(message, token)):
        raise MessageError("the MAC does not match")
    try:
        return _decoding.load_json(message, max_depth=_MAX_DEPTH)
    except ValueError as error:
        raise MessageError(f"not JSON: {error}") from error


def _sign(data: bytes, token: str) -> bytes:
    return hmac.digest(token.encode(), data, hashlib.sha256)
