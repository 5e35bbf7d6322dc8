"""Controller that acquires, renews and releases leases in the platform's table."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.leases import _lease_area, _lease_rows
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.storage import _store_messages

_OPERATION_PREFIX = "leases/"
_RENEWALS_PER_LEASE = 4.0
_NEVER = float("-inf")
_Commands = collections.abc.Iterator[_dispatch.Command]


@attrs.frozen(kw_only=True)
class LeaseTiming:
    """Configure leases' duration and how long before expiry holders stop using them."""

    lease_seconds: float
    margin_seconds: float


@attrs.define(kw_only=True)
class _LeaseState:
    """Track the last observed row of a lease and this node's last attempted write."""

    row: _lease_rows.LeaseRow | None = None
    unchanged_since: float = _NEVER
    due_at: float = _NEVER
    operation: _store_messages.OperationId | None = None
    attempted_row: _lease_rows.LeaseRow | None = None
    attempted_at: float = _NEVER


@attrs.define(kw_only=True)
class LeaseController:
    """Acquire, renew and release leases; write the lease area."""

    blackboard: _blackboard.Blackboard
    timing: LeaseTiming
    _leases: dict[ids.LeaseId, _LeaseState] = attrs.field(factory=dict, init=False)
    _operations: dict[_store_messages.OperationId, ids.LeaseId] = attrs.field(
        factory=dict, init=False
    )
    _operation_count: int = attrs.field(default=0, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.PauseDetected: self.discard_all,
            _node_messages.Tick: self.maintain_leases,
            _node_messages.StopRequested: self.maintain_leases,
            _store_messages.RowsRead: self.handle_row,
            _store_messages.Transacted: self.handle_written,
            _store_messages.TransactionConflicted: self.handle_conflict,
            _store_messages.TransactionUnsent: self.handle_failure,
            _store_messages.TransactionUnclear: self.handle_failure,
            _store_messages.ReadFailed: self.handle_failure,
        }

    def discard_all(self, event: _node_messages.PauseDetected, now: float) -> _Commands:
        """Discard every lease and all operations in flight after a pause."""
        area = self.blackboard.leases
        area.lost += len(area.held)
        area.held.clear()
        self._operations.clear()
        for name in self._leases:
            self._leases[name] = _LeaseState()
        yield from ()

    def maintain_leases(
        self,
        event: _node_messages.Tick | _node_messages.StopRequested,
        now: float,
    ) -> _Commands:
        """Expire held leases; read, renew or release those that are due."""
        wanted = self._list_wanted()
        for name in wanted - self._leases.keys():
            self._leases[name] = _LeaseState()
        for name, lease in list(self._leases.items()):
            self._expire(name, now)
            if lease.operation is None and now >= lease.due_at:
                yield from self._advance(name, lease, name in wanted, now)

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

    def _advance(
        self, name: ids.LeaseId, lease: _LeaseState, wanted: bool, now: float
    ) -> _Commands:
        is_own = lease.row is not None and lease.row.is_held_by(
            self.blackboard.identity
        )
        if not wanted and not is_own:
            del self._leases[name]
        elif lease.row is None or not is_own:
            yield self._read(name, lease, now)
        elif not wanted:
            if self.blackboard.leases.held.pop(name, None) is not None:
                self.blackboard.leases.released += 1
            yield self._write(name, lease, lease.row.release(), now)
        elif name in self.blackboard.leases.held:
            yield self._write(name, lease, lease.row.renew(), now)
        else:
            # Only this process can hold the lease and it no longer uses it, so taking
            # a new fencing number is safe.
            yield self._write(name, lease, lease.row.acquire(self._identity), now)

    @property
    def _identity(self) -> _blackboard.Identity:
        return self.blackboard.identity

    def _start_operation(
        self, name: ids.LeaseId, lease: _LeaseState, now: float
    ) -> _store_messages.OperationId:
        self._operation_count += 1
        operation = _store_messages.OperationId(
            f"{_OPERATION_PREFIX}{name}/{self._operation_count}"
        )
        self._operations[operation] = name
        lease.operation = operation
        lease.due_at = now + self.timing.lease_seconds / _RENEWALS_PER_LEASE
        return operation

    def _read(
        self, name: ids.LeaseId, lease: _LeaseState, now: float
    ) -> _store_messages.ReadRows:
        operation = self._start_operation(name, lease, now)
        key = _lease_rows.make_key(name)
        return _store_messages.ReadRows(operation=operation, keys=(key,))

    def _write(
        self,
        name: ids.LeaseId,
        lease: _LeaseState,
        row: _lease_rows.LeaseRow,
        now: float,
    ) -> _store_messages.Transact:
        operation = self._start_operation(name, lease, now)
        lease.attempted_row = attrs.evolve(row, attempt=self._operation_count)
        lease.attempted_at = now
        return _lease_rows.write_row(operation, name, lease.attempted_row)

    def _finish_operation(
        self, operation: _store_messages.OperationId
    ) -> tuple[ids.LeaseId, _LeaseState] | None:
        name = self._operations.pop(operation, None)
        lease = self._leases.get(name) if name is not None else None
        if name is None or lease is None or lease.operation != operation:
            return None
        lease.operation = None
        return name, lease

    def handle_row(self, event: _store_messages.RowsRead, now: float) -> _Commands:
        """Acquire a lease that is free, expired or held by this process."""
        finished = self._finish_operation(event.operation)
        if finished is None:
            return
        name, lease = finished
        found = event.rows.get(_lease_rows.make_key(name))
        row = _lease_rows.read_row(found)
        self._observe_row(name, lease, row, now)
        if name not in self._list_wanted() or name in self.blackboard.leases.held:
            return
        expired = now - lease.unchanged_since >= self.timing.lease_seconds
        if row.is_free or row.is_held_by(self._identity) or expired:
            yield self._write(name, lease, row.acquire(self._identity), now)

    def _observe_row(
        self,
        name: ids.LeaseId,
        lease: _LeaseState,
        row: _lease_rows.LeaseRow,
        now: float,
    ) -> None:
        if lease.row is None or lease.row.version != row.version:
            lease.unchanged_since = now
        lease.row = row
        attempted = lease.attempted_row
        if attempted is not None and row == attrs.evolve(
            attempted, version=row.version
        ):
            self._record_held(name, lease)
            return
        if not row.is_held_by(self._identity):
            lost = self.blackboard.leases.held.pop(name, None)
            self.blackboard.leases.lost += lost is not None

    def _record_held(self, name: ids.LeaseId, lease: _LeaseState) -> None:
        """Record a lease as held, counted from the time its write was sent."""
        row, lease.attempted_row = lease.attempted_row, None
        if row is None or row.is_free:
            return
        area = self.blackboard.leases
        usable_seconds = self.timing.lease_seconds - self.timing.margin_seconds
        area.acquired += name not in area.held
        area.held[name] = _lease_area.HeldLease(
            fencing=ids.FencingNumber(row.fencing),
            until=lease.attempted_at + usable_seconds,
        )

    def handle_written(
        self, event: _store_messages.Transacted, now: float
    ) -> _Commands:
        """Record a lease whose write succeeded."""
        finished = self._finish_operation(event.operation)
        if finished is None:
            return
        name, lease = finished
        if lease.attempted_row is not None:
            version = event.versions[_lease_rows.make_key(name)]
            row = attrs.evolve(lease.attempted_row, version=version)
            self._observe_row(name, lease, row, now)
        yield from ()

    def handle_conflict(
        self, event: _store_messages.TransactionConflicted, now: float
    ) -> _Commands:
        """Observe the conflicting row; it may be this process's own unclear write."""
        finished = self._finish_operation(event.operation)
        if finished is None:
            return
        name, lease = finished
        rows = {row.key: row for row in event.rows}
        row = _lease_rows.read_row(rows.get(_lease_rows.make_key(name)))
        # The attempted write took no effect, so the row is from an older write.
        lease.attempted_row = None
        self._observe_row(name, lease, row, now)
        lease.due_at = now
        yield from ()

    def handle_failure(
        self,
        event: _store_messages.TransactionUnsent
        | _store_messages.TransactionUnclear
        | _store_messages.ReadFailed,
        now: float,
    ) -> _Commands:
        """Read the row after an unclear write; a held lease stays valid to its end."""
        finished = self._finish_operation(event.operation)
        if finished is None:
            return
        name, lease = finished
        if isinstance(event, _store_messages.TransactionUnclear):
            yield self._read(name, lease, now)
