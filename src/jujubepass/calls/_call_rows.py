"""Rows of the call journal, one per client account and idempotency key."""

import hashlib
import typing
import urllib.parse

import attrs

from jujubepass import ids
from jujubepass.calls import _call_area
from jujubepass.storage import _store_messages

PREFIX = "call/"
SHARDS = 256
MAX_STORED_ANSWER_CHARACTERS = 16_384


@attrs.frozen(kw_only=True)
class CallRow:
    """Describe the row of one call; `until` and `written_at` are wall-clock seconds."""

    state: _call_area.CallState
    digest: str
    attempt: ids.AttemptId
    node: ids.NodeId
    incarnation: str
    backend: ids.BackendServerId
    backend_key: ids.IdempotencyKey
    written_at: float
    until: float
    status: int = 0
    body: str | None = None

    def write_value(self) -> _store_messages.Row:
        """Return the row as the table stores it."""
        return {**attrs.asdict(self), "state": self.state.value}


def read_value(value: _store_messages.Row) -> CallRow:
    """Return the row for a value stored in the table."""
    fields: dict[str, typing.Any] = dict(value)
    fields["state"] = _call_area.CallState(fields["state"])
    return CallRow(**fields)


def make_row_key(account: ids.AccountId, key: ids.IdempotencyKey) -> str:
    """Return the key of a call's row; shards spread the rows over sweeping nodes."""
    text = f"{account}/{key}"
    shard = hashlib.sha256(text.encode()).digest()[0]
    return f"{make_shard_prefix(shard)}{text}"


def make_shard_prefix(shard: int) -> str:
    """Return the prefix shared by the row keys of a shard."""
    return f"{PREFIX}{shard:02x}/"


def make_backend_key(
    account: ids.AccountId, key: ids.IdempotencyKey
) -> ids.IdempotencyKey:
    """Return the key sent to backend servers, unique among client accounts."""
    return ids.IdempotencyKey(f"{account}:{urllib.parse.quote(key, safe='')}")


def get_storable_body(body: str) -> str | None:
    """Return the body, or None if it is too large to store."""
    return body if len(body) <= MAX_STORED_ANSWER_CHARACTERS else None
