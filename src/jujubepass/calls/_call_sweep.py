"""Controller that resolves abandoned calls and removes expired rows."""

import collections.abc
import hashlib

import attrs

from jujubepass.calls import _call_area, _call_rows, _call_steps
from jujubepass.membership import _membership_area
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.storage import _store_messages, _store_writer

_PREFIX = "calls/sweep/"
_PAGE_ROWS = 100
_DISPATCHED_RETENTION_PERIODS = 2
_MAX_OPEN_CALLS = 100
_MIN_PAGE_SECONDS_PER_NODE = 0.01

Commands = collections.abc.Iterable[_dispatch.Command]
_State = _call_area.CallState


@attrs.define(kw_only=True)
class CallSweepController:
    """Scan this node's shards of call rows, one page at a time.

    Rendezvous hashing distributes the shards over the live nodes.
    """

    blackboard: _blackboard.Blackboard
    steps: _call_steps.CallSteps
    writer: _store_writer.StoreWriter
    _shard: int = attrs.field(default=0, init=False)
    _after: str = attrs.field(default="", init=False)
    _running_scan: _store_messages.OperationId | None = attrs.field(
        default=None, init=False
    )
    _page_count: int = attrs.field(default=0, init=False)
    _due_at: float = attrs.field(default=float("-inf"), init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.read_page,
            _store_messages.RowsRead: self.sweep_page,
            _store_messages.ReadFailed: self.retry_page,
            _store_messages.Transacted: self.continue_removals,
            _store_messages.TransactionConflicted: self.continue_removals,
            _store_messages.TransactionUnsent: self.continue_removals,
            _store_messages.TransactionUnclear: self.continue_removals,
        }

    def read_page(self, event: _node_messages.Tick, now: float) -> Commands:
        """Scan the next page of this node's shards when it is due."""
        if now < self._due_at or self._running_scan is not None:
            return ()
        ready = self.blackboard.node.state is _node_messages.NodeState.READY
        if not ready or self.blackboard.calls.store_is_down:
            return ()
        nodes = self._list_live_nodes()
        min_interval_seconds = _MIN_PAGE_SECONDS_PER_NODE * len(nodes)
        self._due_at = now + max(
            self.steps.journal.timing.sweep_interval_seconds, min_interval_seconds
        )
        if not self._after and not self._advance(nodes):
            return ()
        self._page_count += 1
        self._running_scan = _store_messages.OperationId(f"{_PREFIX}{self._page_count}")
        return (
            _store_messages.ScanRows(
                operation=self._running_scan,
                prefix=_call_rows.make_shard_prefix(self._shard),
                after=self._after,
                limit=_PAGE_ROWS,
            ),
        )

    def _list_live_nodes(self) -> list[str]:
        alive = (
            _membership_area.PeerState.ALIVE,
            _membership_area.PeerState.SUSPECT,
        )
        peers = self.blackboard.membership.peers.values()
        names = [peer.node for peer in peers if peer.state in alive]
        return [self.blackboard.identity.node, *names]

    def _advance(self, nodes: collections.abc.Sequence[str]) -> bool:
        """Select the next shard of this node; return False if it has none."""
        own = self.blackboard.identity.node
        for step in range(1, _call_rows.SHARDS + 1):
            shard = (self._shard + step) % _call_rows.SHARDS
            weight = _compute_weight(own, shard)
            # any() stops at the first node with a higher weight, so only this
            # node's own shards need every weight.
            if not any(_compute_weight(node, shard) > weight for node in nodes):
                self._shard = shard
                return True
        return False

    def sweep_page(self, event: _store_messages.RowsRead, now: float) -> Commands:
        """Resolve the abandoned calls of a page and remove its expired rows."""
        if event.operation != self._running_scan:
            return ()
        self._running_scan = None
        self._after = max(event.rows, default="") if event.more else ""
        commands: list[_dispatch.Command] = []
        for key, stored in event.rows.items():
            row = _call_rows.read_value(stored.value)
            if key in self.steps.open_calls:
                continue
            if self._is_expired(row, now):
                write = _store_writer.RowWrite(
                    key=key, version=stored.version, value=None
                )
                commands += self.writer.add(_store_writer.Lane.CLOSE, write)
            elif self._can_be_resolved(row, now):
                commands += self._adopt(key, row, stored.version, now)
        return commands

    def _is_expired(self, row: _call_rows.CallRow, now: float) -> bool:
        age = self.steps.journal.read_wall_clock(now) - row.written_at
        periods = _DISPATCHED_RETENTION_PERIODS if row.state is _State.DISPATCHED else 1
        return age > periods * self.steps.journal.timing.keep_seconds

    def _can_be_resolved(self, row: _call_rows.CallRow, now: float) -> bool:
        server = self.blackboard.backends.services.get(row.backend)
        if server is None or len(self.steps.open_calls) >= _MAX_OPEN_CALLS:
            return False
        if row.state is _State.UNKNOWN:
            return server.vm.answers_outcomes
        dispatched = row.state is _State.DISPATCHED
        return dispatched and self.steps.journal.is_abandoned(row, now)

    def _adopt(
        self, key: str, row: _call_rows.CallRow, version: int, now: float
    ) -> Commands:
        call = _call_area.OpenCall(
            key=key,
            digest=row.digest,
            backend_key=row.backend_key,
            step=_call_area.CallStep.WAITING,
            version=version,
            row_state=row.state,
            backend=row.backend,
            uncertain_attempt=row.attempt,
        )
        self.steps.open_calls[key] = call
        return self.steps.resolve_outcome(call, now)

    def retry_page(self, event: _store_messages.ReadFailed, now: float) -> Commands:
        """Allow the failed page to be read again."""
        if event.operation == self._running_scan:
            self._running_scan = None
        return ()

    def continue_removals(
        self, event: _store_writer.TransactionEvent, now: float
    ) -> Commands:
        """Start queued removals; a later sweep retries the rows that remain."""
        return self.writer.complete(event)[1]


def _compute_weight(node: str, shard: int) -> bytes:
    return hashlib.sha256(f"{node}/{shard}".encode()).digest()
