"""Rows and objects that keep the configuration in the platform's store."""

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
_INLINE_BYTES = 65_536
_CONTENT_BYTES = 16


def make_change_key(number: int) -> str:
    """Name the row of one change."""
    return f"{CHANGE_PREFIX}{number:0{_NUMBER_DIGITS}d}"


def make_id_key(change: ids.ChangeId) -> str:
    """Name the row that settles whether a change was accepted."""
    return f"{_ID_PREFIX}{change}"


def make_delta_name(incarnation: str, operation: _store_messages.OperationId) -> str:
    """Name the object that holds a large change; each node and try has its own."""
    return f"{operation}/{incarnation}"


def make_snapshot_name(number: int) -> str:
    """Name the object that holds all sections at a number."""
    return f"configuration/snapshot/{number}"


def list_change_keys(after: int, count: int) -> tuple[str, ...]:
    """Name the rows of the changes that follow a number."""
    return tuple(make_change_key(after + 1 + index) for index in range(count))


def read_number(row: _store_messages.VersionedRow | None) -> ids.ChangeNumber:
    """Return a row's number; no row stands for number 0."""
    return ids.ChangeNumber(0 if row is None else int(row.value["number"]))


def is_large(entry: _configuration_messages.Entry) -> bool:
    """Tell whether a change goes into an object of its own."""
    return len(write_delta(entry.delta)) > _INLINE_BYTES


def hash_delta(delta: _configuration_messages.Delta) -> str:
    """Hash a change's own content."""
    text = json.dumps(delta, sort_keys=True).encode()
    return hashlib.blake2b(text, digest_size=_CONTENT_BYTES).hexdigest()


def write_delta(delta: _configuration_messages.Delta) -> bytes:
    """Write sections as JSON."""
    return json.dumps(delta, separators=(",", ":")).encode()


def write_transaction(
    operation: _store_messages.OperationId,
    entry: _configuration_messages.Entry,
    head_version: int,
    content: str,
    object_name: str | None,
) -> _store_messages.Transact:
    """Write a change, its id and the head in one conditional transaction."""
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
    """Make an entry of a change row and its sections."""
    return _configuration_messages.Entry(
        number=read_number(row),
        digest=row.value["digest"],
        change=ids.ChangeId(row.value["change"]),
        author=row.value["author"],
        delta=delta,
    )
