"""Controller that settles abandoned calls and removes old rows."""

import collections.abc
import hashlib

import attrs

from jujubepass.calls import _call_area, _call_rows, _call_steps
from jujubepass.membership import _membership_area
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.storage import _store_messages, _store_writer

_PREFIX = "calls/sweep/"
_PAGE_ROWS = 100
_OPEN_KEEP_PERIODS = 2
_LARGEST_OPEN_SWEEP = 100
_SECONDS_PER_NODE = 0.01

Commands = collections.abc.Iterable[_dispatch.Command]
_State = _call_area.CallState


@attrs.define(kw_only=True)
class CallSweepController:
    """Read this node's shards page by page; live nodes split the shards."""

    blackboard: _blackboard.Blackboard
    steps: _call_steps.CallSteps
    writer: _store_writer.StoreWriter
    _shard: int = attrs.field(default=0, init=False)
    _after: str = attrs.field(default="", init=False)
    _running: _store_messages.OperationId | None = attrs.field(default=None, init=False)
    _pages: int = attrs.field(default=0, init=False)
    _due_at: float = attrs.field(default=float("-inf"), init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.read_page,
            _store_messages.RowsRead: self.sweep,
            _store_messages.ReadFailed: self.wait,
            _store_messages.Transacted: self.go_on_removing,
            _store_messages.TransactionConflicted: self.go_on_removing,
            _store_messages.TransactionUnsent: self.go_on_removing,
            _store_messages.TransactionUnclear: self.go_on_removing,
        }

    def read_page(self, event: _node_messages.Tick, now: float) -> Commands:
        """Read the next page of this node's shards when it is due."""
        if now < self._due_at or self._running is not None:
            return ()
        ready = self.blackboard.node.state is _node_messages.NodeState.READY
        if not ready or self.blackboard.calls.store_is_down:
            return ()
        nodes = self._list_live_nodes()
        least = _SECONDS_PER_NODE * len(nodes)
        self._due_at = now + max(self.steps.journal.timing.sweep_seconds, least)
        if not self._after and not self._advance(nodes):
            return ()
        self._pages += 1
        self._running = _store_messages.OperationId(f"{_PREFIX}{self._pages}")
        return (
            _store_messages.ScanRows(
                operation=self._running,
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
        """Go to the next shard that rendezvous hashing gives this node."""
        own = self.blackboard.identity.node
        for step in range(1, _call_rows.SHARDS + 1):
            shard = (self._shard + step) % _call_rows.SHARDS
            weight = _weigh(own, shard)
            # Looking for one that weighs more ends early on all but the own shards.
            if not any(_weigh(node, shard) > weight for node in nodes):
                self._shard = shard
                return True
        return False

    def sweep(self, event: _store_messages.RowsRead, now: float) -> Commands:
        """Settle the abandoned calls of a page and remove its old rows."""
        if event.operation != self._running:
            return ()
        self._running = None
        self._after = max(event.rows, default="") if event.more else ""
        commands: list[_dispatch.Command] = []
        for key, stored in event.rows.items():
            row = _call_rows.read_value(stored.value)
            if key in self.steps.open_calls:
                continue
            if self._is_old(row, now):
                write = _store_writer.RowWrite(
                    key=key, version=stored.version, value=None
                )
                commands += self.writer.add(_store_writer.Lane.CLOSE, write)
            elif self._can_be_settled(row, now):
                commands += self._adopt(key, row, stored.version, now)
        return commands

    def _is_old(self, row: _call_rows.CallRow, now: float) -> bool:
        age = self.steps.journal.read_wall_clock(now) - row.written_at
        periods = _OPEN_KEEP_PERIODS if row.state is _State.DISPATCHED else 1
        return age > periods * self.steps.journal.timing.keep_seconds

    def _can_be_settled(self, row: _call_rows.CallRow, now: float) -> bool:
        server = self.blackboard.backends.services.get(row.backend)
        if server is None or len(self.steps.open_calls) >= _LARGEST_OPEN_SWEEP:
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
            doubted=row.attempt,
        )
        self.steps.open_calls[key] = call
        return self.steps.settle(call, now)

    def wait(self, event: _store_messages.ReadFailed, now: float) -> Commands:
        """Read the page again later."""
        if event.operation == self._running:
            self._running = None
        return ()

    def go_on_removing(
        self, event: _store_writer.TransactionEvent, now: float
    ) -> Commands:
        """Write what waits; a row that was not removed comes up again."""
        return self.writer.settle(event)[1]


def _weigh(node: str, shard: int) -> bytes:
    return hashlib.sha256(f"{node}/{shard}".encode()).digest()
