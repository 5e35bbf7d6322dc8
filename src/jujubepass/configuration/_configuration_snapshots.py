"""Controller that writes snapshots and removes the changes they hold."""

import collections.abc
import json

import attrs

from jujubepass import ids
from jujubepass.configuration import (
    _configuration_area,
    _configuration_messages,
    _configuration_rows,
)
from jujubepass.nodes import _blackboard, _dispatch
from jujubepass.storage import _object_messages, _store_messages

_PREFIX = "configuration/keep/"
_SCANNED_ROWS = 40

_Commands = collections.abc.Iterator[_dispatch.Command]


@attrs.frozen(kw_only=True)
class _Snapshot:
    number: ids.ChangeNumber
    digest: str
    name: str


@attrs.define(kw_only=True)
class SnapshotController:
    """Keep the store's change rows few; the node that accepts a change does it."""

    blackboard: _blackboard.Blackboard
    changes_per_snapshot: int
    kept_changes: int = _configuration_area.KEPT_CHANGES
    _operations: int = attrs.field(default=0, init=False)
    _written: dict[_store_messages.OperationId, _Snapshot] = attrs.field(
        factory=dict, init=False
    )
    _removing: dict[_store_messages.OperationId, int] = attrs.field(
        factory=dict, init=False
    )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _configuration_messages.ChangeCommitted: self.write,
            _object_messages.ObjectWritten: self.read_row,
            _store_messages.RowsRead: self.continue_reading,
            _store_messages.Transacted: self.continue_removing,
            _object_messages.ObjectFailed: self.forget,
            _store_messages.ReadFailed: self.forget,
            _store_messages.TransactionConflicted: self.forget,
            _store_messages.TransactionUnsent: self.forget,
            _store_messages.TransactionUnclear: self.forget,
        }

    def _begin(self) -> _store_messages.OperationId:
        self._operations += 1
        return _store_messages.OperationId(f"{_PREFIX}{self._operations}")

    def write(
        self, event: _configuration_messages.ChangeCommitted, now: float
    ) -> _Commands:
        """Write all sections into an object when a snapshot is due."""
        area = self.blackboard.configuration
        number = area.number
        due = event.entry.number % self.changes_per_snapshot == 0
        if not due or number != event.entry.number:
            return
        name = _configuration_rows.make_snapshot_name(number)
        operation = self._begin()
        self._written[operation] = _Snapshot(
            number=number, digest=area.digest, name=name
        )
        data = json.dumps(area.sections, separators=(",", ":")).encode()
        yield _object_messages.PutObject(operation=operation, name=name, data=data)

    def read_row(self, event: _object_messages.ObjectWritten, now: float) -> _Commands:
        """Read which snapshot the store names."""
        snapshot = self._written.pop(event.operation, None)
        if snapshot is not None:
            operation = self._begin()
            self._written[operation] = snapshot
            yield _store_messages.ReadRows(
                operation=operation, keys=(_configuration_rows.SNAPSHOT_KEY,)
            )

    def continue_reading(
        self, event: _store_messages.RowsRead, now: float
    ) -> _Commands:
        """Name the new snapshot, or remove the rows that were scanned."""
        snapshot = self._written.pop(event.operation, None)
        if snapshot is not None:
            row = event.rows.get(_configuration_rows.SNAPSHOT_KEY)
            yield from self._name(snapshot, row)
        before = self._removing.pop(event.operation, None)
        if before is not None:
            yield from self._remove(before, list(event.rows.values()))

    def _name(
        self, snapshot: _Snapshot, row: _store_messages.VersionedRow | None
    ) -> _Commands:
        if _configuration_rows.read_number(row) >= snapshot.number:
            return
        key = _configuration_rows.SNAPSHOT_KEY
        operation = self._begin()
        version = 0 if row is None else row.version
        value = {
            "number": snapshot.number,
            "digest": snapshot.digest,
            "object": snapshot.name,
        }
        self._removing[operation] = snapshot.number - self.kept_changes
        yield _store_messages.Transact(
            operation=operation,
            conditions=(_store_messages.Condition(key=key, version=version),),
            writes=(_store_messages.Write(key=key, value=value),),
        )
        if row is not None:
            yield _object_messages.DeleteObject(
                operation=self._begin(), name=row.value["object"]
            )

    def continue_removing(
        self, event: _store_messages.Transacted, now: float
    ) -> _Commands:
        """Scan for change rows that the snapshot holds."""
        before = self._removing.pop(event.operation, None)
        if before is not None and before > 0:
            operation = self._begin()
            self._removing[operation] = before
            yield _store_messages.ScanRows(
                operation=operation,
                prefix=_configuration_rows.CHANGE_PREFIX,
                limit=_SCANNED_ROWS,
            )

    def _remove(
        self, before: int, rows: list[_store_messages.VersionedRow]
    ) -> _Commands:
        old = [row for row in rows if _configuration_rows.read_number(row) < before]
        if not old:
            return
        writes = []
        for row in old:
            id_key = _configuration_rows.make_id_key(ids.ChangeId(row.value["change"]))
            writes.append(_store_messages.Write(key=row.key, value=None))
            writes.append(_store_messages.Write(key=id_key, value=None))
            if "object" in row.value:
                yield _object_messages.DeleteObject(
                    operation=self._begin(), name=row.value["object"]
                )
        operation = self._begin()
        self._removing[operation] = before
        yield _store_messages.Transact(
            operation=operation, conditions=(), writes=tuple(writes)
        )

    def forget(
        self,
        event: _object_messages.ObjectFailed
        | _store_messages.ReadFailed
        | _store_messages.TransactionConflicted
        | _store_messages.TransactionUnsent
        | _store_messages.TransactionUnclear,
        now: float,
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Leave the rest to the next snapshot."""
        self._written.pop(event.operation, None)
        self._removing.pop(event.operation, None)
        return ()
