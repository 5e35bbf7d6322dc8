"""Rows and objects of the configuration in the platform's store."""

import hashlib
import json
import typing

from jujubepass import ids
from jujubepass.configuration import _configuration_messages
from jujubepass.storage import _store_messages

HEAD_KEY = "configuration/head"
SNAPSHOT_KEY = "configuration/snapshot"
CHANGE_PREFIX = "configuration/change/"

_ID_PREFIX = "configuration/id/"
_NUMBER_DIGITS = 12
_MAX_INLINE_BYTES = 65_536
_CONTENT_BYTES = 16


def make_change_key(number: int) -> str:
    """Return the key of a change's row."""
    return f"{CHANGE_PREFIX}{number:0{_NUMBER_DIGITS}d}"


def make_id_key(change: ids.ChangeId) -> str:
    """Return the key of the row that records a change id as accepted."""
    return f"{_ID_PREFIX}{change}"


def make_delta_name(incarnation: str, operation: _store_messages.OperationId) -> str:
    """Return the object name of a large change, unique to a node and attempt."""
    return f"{operation}/{incarnation}"


def make_snapshot_name(number: int) -> str:
    """Return the object name of the snapshot at a number."""
    return f"configuration/snapshot/{number}"


def list_change_keys(after: int, count: int) -> tuple[str, ...]:
    """Return the keys of the rows of the changes after a number."""
    return tuple(make_change_key(after + 1 + index) for index in range(count))


def read_number(row: _store_messages.VersionedRow | None) -> ids.ChangeNumber:
    """Return a row's number, or 0 if there is no row."""
    return ids.ChangeNumber(0 if row is None else int(row.value["number"]))


def is_large(entry: _configuration_messages.Entry) -> bool:
    """Return whether a change is stored as an object instead of in its row."""
    return len(write_delta(entry.delta)) > _MAX_INLINE_BYTES


def hash_delta(delta: _configuration_messages.Delta) -> str:
    """Return the hash of a change's content."""
    text = json.dumps(delta, sort_keys=True).encode()
    return hashlib.blake2b(text, digest_size=_CONTENT_BYTES).hexdigest()


def write_delta(delta: _configuration_messages.Delta) -> bytes:
    """Serialize sections as JSON."""
    return json.dumps(delta, separators=(",", ":")).encode()


def write_transaction(
    operation: _store_messages.OperationId,
    entry: _configuration_messages.Entry,
    head_version: int,
    content: str,
    object_name: str | None,
) -> _store_messages.Transact:
    """Return the conditional transaction that writes a change, its id and the head."""
    head = {
        "number": entry.number,
        "digest": entry.digest,
        "change": entry.change,
        "author": entry.author,
    }
    body: dict[str, typing.Any] = (
        {"sections": dict(entry.delta)}
        if object_name is None
        else {"object": object_name}
    )
    change_key, id_key = make_change_key(entry.number), make_id_key(entry.change)
    return _store_messages.Transact(
        operation=operation,
        conditions=(
            _store_messages.Condition(key=HEAD_KEY, version=head_version),
            _store_messages.Condition(key=id_key, version=0),
        ),
        writes=(
            _store_messages.Write(key=HEAD_KEY, value=head),
            _store_messages.Write(key=change_key, value={**head, **body}),
            _store_messages.Write(key=id_key, value={**head, "content": content}),
        ),
    )


def read_entry(
    row: _store_messages.VersionedRow, delta: _configuration_messages.Delta
) -> _configuration_messages.Entry:
    """Return the entry of a change's row and its sections."""
    return _configuration_messages.Entry(
        number=read_number(row),
        digest=row.value["digest"],
        change=ids.ChangeId(row.value["change"]),
        author=row.value["author"],
        delta=delta,
    )
