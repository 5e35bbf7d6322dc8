"""Controller that writes snapshots and removes changes that they cover."""

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
_ROWS_PER_SCAN = 40

_Commands = collections.abc.Iterator[_dispatch.Command]


@attrs.frozen(kw_only=True)
class _Snapshot:
    number: ids.ChangeNumber
    digest: str
    name: str


@attrs.define(kw_only=True)
class SnapshotController:
    """Compact the store's change rows into snapshots.

    The node that commits a change writes the snapshot.
    """

    blackboard: _blackboard.Blackboard
    changes_per_snapshot: int
    kept_changes: int = _configuration_area.MAX_RECENT_CHANGES
    _operations: int = attrs.field(default=0, init=False)
    _pending_snapshots: dict[_store_messages.OperationId, _Snapshot] = attrs.field(
        factory=dict, init=False
    )
    _removals: dict[_store_messages.OperationId, int] = attrs.field(
        factory=dict, init=False
    )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _configuration_messages.ChangeCommitted: self.write_snapshot,
            _object_messages.ObjectWritten: self.read_snapshot_row,
            _store_messages.RowsRead: self.handle_rows,
            _store_messages.Transacted: self.scan_changes,
            _object_messages.ObjectFailed: self.abandon,
            _store_messages.ReadFailed: self.abandon,
            _store_messages.TransactionConflicted: self.abandon,
            _store_messages.TransactionUnsent: self.abandon,
            _store_messages.TransactionUnclear: self.abandon,
        }

    def _begin_operation(self) -> _store_messages.OperationId:
        self._operations += 1
        return _store_messages.OperationId(f"{_PREFIX}{self._operations}")

    def write_snapshot(
        self, event: _configuration_messages.ChangeCommitted, now: float
    ) -> _Commands:
        """Write all sections into an object when a snapshot is due."""
        area = self.blackboard.configuration
        number = area.number
        due = event.entry.number % self.changes_per_snapshot == 0
        if not due or number != event.entry.number:
            return
        name = _configuration_rows.make_snapshot_name(number)
        operation = self._begin_operation()
        self._pending_snapshots[operation] = _Snapshot(
            number=number, digest=area.digest, name=name
        )
        data = json.dumps(area.sections, separators=(",", ":")).encode()
        yield _object_messages.PutObject(operation=operation, name=name, data=data)

    def read_snapshot_row(
        self, event: _object_messages.ObjectWritten, now: float
    ) -> _Commands:
        """Read the row of the current snapshot, which the new one replaces."""
        snapshot = self._pending_snapshots.pop(event.operation, None)
        if snapshot is not None:
            operation = self._begin_operation()
            self._pending_snapshots[operation] = snapshot
            yield _store_messages.ReadRows(
                operation=operation, keys=(_configuration_rows.SNAPSHOT_KEY,)
            )

    def handle_rows(self, event: _store_messages.RowsRead, now: float) -> _Commands:
        """Publish the new snapshot, or remove the scanned rows that it covers."""
        snapshot = self._pending_snapshots.pop(event.operation, None)
        if snapshot is not None:
            row = event.rows.get(_configuration_rows.SNAPSHOT_KEY)
            yield from self._publish(snapshot, row)
        end_number = self._removals.pop(event.operation, None)
        if end_number is not None:
            yield from self._remove(end_number, list(event.rows.values()))

    def _publish(
        self, snapshot: _Snapshot, row: _store_messages.VersionedRow | None
    ) -> _Commands:
        if _configuration_rows.read_number(row) >= snapshot.number:
            return
        key = _configuration_rows.SNAPSHOT_KEY
        operation = self._begin_operation()
        version = 0 if row is None else row.version
        value = {
            "number": snapshot.number,
            "digest": snapshot.digest,
            "object": snapshot.name,
        }
        self._removals[operation] = snapshot.number - self.kept_changes
        yield _store_messages.Transact(
            operation=operation,
            conditions=(_store_messages.Condition(key=key, version=version),),
            writes=(_store_messages.Write(key=key, value=value),),
        )
        if row is not None:
            yield _object_messages.DeleteObject(
                operation=self._begin_operation(), name=row.value["object"]
            )

    def scan_changes(self, event: _store_messages.Transacted, now: float) -> _Commands:
        """Scan for change rows that the snapshot covers."""
        end_number = self._removals.pop(event.operation, None)
        if end_number is not None and end_number > 0:
            operation = self._begin_operation()
            self._removals[operation] = end_number
            yield _store_messages.ScanRows(
                operation=operation,
                prefix=_configuration_rows.CHANGE_PREFIX,
                limit=_ROWS_PER_SCAN,
            )

    def _remove(
        self, end_number: int, rows: list[_store_messages.VersionedRow]
    ) -> _Commands:
        old = [row for row in rows if _configuration_rows.read_number(row) < end_number]
        if not old:
            return
        writes = []
        for row in old:
            id_key = _configuration_rows.make_id_key(ids.ChangeId(row.value["change"]))
            writes.append(_store_messages.Write(key=row.key, value=None))
            writes.append(_store_messages.Write(key=id_key, value=None))
            if "object" in row.value:
                yield _object_messages.DeleteObject(
                    operation=self._begin_operation(), name=row.value["object"]
                )
        operation = self._begin_operation()
        self._removals[operation] = end_number
        yield _store_messages.Transact(
            operation=operation, conditions=(), writes=tuple(writes)
        )

    def abandon(
        self,
        event: _object_messages.ObjectFailed
        | _store_messages.ReadFailed
        | _store_messages.TransactionConflicted
        | _store_messages.TransactionUnsent
        | _store_messages.TransactionUnclear,
        now: float,
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Abandon the operation; the next snapshot completes the removal."""
        self._pending_snapshots.pop(event.operation, None)
        self._removals.pop(event.operation, None)
        return ()
