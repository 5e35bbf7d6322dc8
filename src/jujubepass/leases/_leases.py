"""Controller that takes, renews and releases leases in the platform's table."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.leases import _lease_area, _lease_rows
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.storage import _store_messages

_OPERATIONS = "leases/"
_RENEWALS_PER_LEASE = 4.0
_NEVER = float("-inf")
_Commands = collections.abc.Iterator[_dispatch.Command]


@attrs.frozen(kw_only=True)
class LeaseTiming:
    """Set how long leases hold and how early a holder stops using them."""

    lease_seconds: float
    margin_seconds: float


@attrs.define(kw_only=True)
class _Lease:
    """Hold what this node last saw of a lease and what it last tried."""

    row: _lease_rows.LeaseRow | None = None
    unchanged_since: float = _NEVER
    due_at: float = _NEVER
    operation: _store_messages.OperationId | None = None
    tried: _lease_rows.LeaseRow | None = None
    tried_at: float = _NEVER


@attrs.define(kw_only=True)
class LeaseController:
    """Write the lease area."""

    blackboard: _blackboard.Blackboard
    timing: LeaseTiming
    _leases: dict[ids.LeaseId, _Lease] = attrs.field(factory=dict, init=False)
    _operations: dict[_store_messages.OperationId, ids.LeaseId] = attrs.field(
        factory=dict, init=False
    )
    _operation_count: int = attrs.field(default=0, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.PauseDetected: self.lose_all,
            _node_messages.Tick: self.keep_leases,
            _node_messages.StopRequested: self.keep_leases,
            _store_messages.RowsRead: self.note_row,
            _store_messages.Transacted: self.note_written,
            _store_messages.TransactionConflicted: self.note_conflict,
            _store_messages.TransactionUnsent: self.read_again,
            _store_messages.TransactionUnclear: self.read_again,
            _store_messages.ReadFailed: self.read_again,
        }

    def lose_all(self, event: _node_messages.PauseDetected, now: float) -> _Commands:
        """Treat every lease as lost, and what is on its way as unknown."""
        area = self.blackboard.leases
        area.lost += len(area.held)
        area.held.clear()
        self._operations.clear()
        for name in self._leases:
            self._leases[name] = _Lease()
        yield from ()

    def keep_leases(
        self,
        event: _node_messages.Tick | _node_messages.StopRequested,
        now: float,
    ) -> _Commands:
        """Read, renew or release what is due."""
        wanted = self._list_wanted()
        for name in wanted - self._leases.keys():
            self._leases[name] = _Lease()
        for name, lease in list(self._leases.items()):
            self._expire(name, now)
            if lease.operation is None and now >= lease.due_at:
                yield from self._step(name, lease, name in wanted, now)

    def _list_wanted(self) -> frozenset[ids.LeaseId]:
        if _node_messages.is_leaving(self.blackboard.node.state):
            return frozenset()
        return self.blackboard.orders.leases_wanted

    def _expire(self, name: ids.LeaseId, now: float) -> None:
        area = self.blackboard.leases
        held = area.held.get(name)
        if held is not None and now >= held.until:
            del area.held[name]
            area.lost += 1

    def _step(
        self, name: ids.LeaseId, lease: _Lease, wanted: bool, now: float
    ) -> _Commands:
        mine = lease.row is not None and lease.row.is_held_by(self.blackboard.identity)
        if not wanted and not mine:
            del self._leases[name]
        elif lease.row is None or not mine:
            yield self._read(name, lease, now)
        elif not wanted:
            if self.blackboard.leases.held.pop(name, None) is not None:
                self.blackboard.leases.released += 1
            yield self._write(name, lease, lease.row.release(), now)
        elif name in self.blackboard.leases.held:
            yield self._write(name, lease, lease.row.renew(), now)
        else:
            # Only this process can hold it, and gave it up: a new number is safe.
            yield self._write(name, lease, lease.row.take(self._identity), now)

    @property
    def _identity(self) -> _blackboard.Identity:
        return self.blackboard.identity

    def _start(
        self, name: ids.LeaseId, lease: _Lease, now: float
    ) -> _store_messages.OperationId:
        self._operation_count += 1
        operation = _store_messages.OperationId(
            f"{_OPERATIONS}{name}/{self._operation_count}"
        )
        self._operations[operation] = name
        lease.operation = operation
        lease.due_at = now + self.timing.lease_seconds / _RENEWALS_PER_LEASE
        return operation

    def _read(
        self, name: ids.LeaseId, lease: _Lease, now: float
    ) -> _store_messages.ReadRows:
        operation = self._start(name, lease, now)
        key = _lease_rows.make_key(name)
        return _store_messages.ReadRows(operation=operation, keys=(key,))

    def _write(
        self, name: ids.LeaseId, lease: _Lease, row: _lease_rows.LeaseRow, now: float
    ) -> _store_messages.Transact:
        operation = self._start(name, lease, now)
        lease.tried = attrs.evolve(row, attempt=self._operation_count)
        lease.tried_at = now
        return _lease_rows.write_row(operation, name, lease.tried)

    def _finish(
        self, operation: _store_messages.OperationId
    ) -> tuple[ids.LeaseId, _Lease] | None:
        name = self._operations.pop(operation, None)
        lease = self._leases.get(name) if name is not None else None
        if name is None or lease is None or lease.operation != operation:
            return None
        lease.operation = None
        return name, lease

    def note_row(self, event: _store_messages.RowsRead, now: float) -> _Commands:
        """Take a lease that is free, that has lapsed or that is this process's."""
        finished = self._finish(event.operation)
        if finished is None:
            return
        name, lease = finished
        found = event.rows.get(_lease_rows.make_key(name))
        row = _lease_rows.read_row(found)
        self._see(name, lease, row, now)
        if name not in self._list_wanted() or name in self.blackboard.leases.held:
            return
        lapsed = now - lease.unchanged_since >= self.timing.lease_seconds
        if row.is_free or row.is_held_by(self._identity) or lapsed:
            yield self._write(name, lease, row.take(self._identity), now)

    def _see(
        self, name: ids.LeaseId, lease: _Lease, row: _lease_rows.LeaseRow, now: float
    ) -> None:
        if lease.row is None or lease.row.version != row.version:
            lease.unchanged_since = now
        lease.row = row
        tried = lease.tried
        if tried is not None and row == attrs.evolve(tried, version=row.version):
            self._hold(name, lease)
            return
        if not row.is_held_by(self._identity):
            lost = self.blackboard.leases.held.pop(name, None)
            self.blackboard.leases.lost += lost is not None

    def _hold(self, name: ids.LeaseId, lease: _Lease) -> None:
        """Hold a lease from the moment at which its write was sent."""
        row, lease.tried = lease.tried, None
        if row is None or row.is_free:
            return
        area = self.blackboard.leases
        usable = self.timing.lease_seconds - self.timing.margin_seconds
        area.taken += name not in area.held
        area.held[name] = _lease_area.HeldLease(
            fencing=ids.FencingNumber(row.fencing), until=lease.tried_at + usable
        )

    def note_written(self, event: _store_messages.Transacted, now: float) -> _Commands:
        """Hold what was taken or renewed."""
        finished = self._finish(event.operation)
        if finished is None:
            return
        name, lease = finished
        if lease.tried is not None:
            version = event.versions[_lease_rows.make_key(name)]
            row = attrs.evolve(lease.tried, version=version)
            self._see(name, lease, row, now)
        yield from ()

    def note_conflict(
        self, event: _store_messages.TransactionConflicted, now: float
    ) -> _Commands:
        """See who wrote first; it may have been this process's own unclear write."""
        finished = self._finish(event.operation)
        if finished is None:
            return
        name, lease = finished
        rows = {row.key: row for row in event.rows}
        row = _lease_rows.read_row(rows.get(_lease_rows.make_key(name)))
        # What was just tried took no effect; only an older write can have won.
        lease.tried = None
        self._see(name, lease, row, now)
        lease.due_at = now
        yield from ()

    def read_again(
        self,
        event: _store_messages.TransactionUnsent
        | _store_messages.TransactionUnclear
        | _store_messages.ReadFailed,
        now: float,
    ) -> _Commands:
        """Read the row before anything else; a lease in use goes on to its end."""
        finished = self._finish(event.operation)
        if finished is None:
            return
        name, lease = finished
        if isinstance(event, _store_messages.TransactionUnclear):
            yield self._read(name, lease, now)
