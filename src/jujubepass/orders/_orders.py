"""Controller that brings engines to what is declared, under a lease each region."""

import collections
import collections.abc
import hashlib

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_area
from jujubepass.leases import _lease_area
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.orders import _order_area, _order_messages

_GROUPING_SECONDS = 1.0
_READ_SECONDS = 2.0
_READS_PER_SECOND = 10.0
_LOADING_SHARE = 0.05
_NEVER = float("-inf")
_Commands = collections.abc.Iterator[_dispatch.Command]
_Name = ids.BackendServerId


@attrs.define(kw_only=True)
class _Engine:
    """Hold what is known of one engine's orders."""

    read_at: float = _NEVER
    is_busy: bool = False
    is_silent: bool = False
    state: _order_messages.EngineStateRead | None = None


@attrs.define(kw_only=True)
class OrderController:
    """Write the order area; order only what the engine's own state contradicts."""

    blackboard: _blackboard.Blackboard
    _grouped_at: float = attrs.field(default=_NEVER, init=False)
    _groups: dict[ids.LeaseId, list[_Name]] = attrs.field(factory=dict, init=False)
    _engines: dict[_Name, _Engine] = attrs.field(factory=dict, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.PauseDetected: self.forget_states,
            _node_messages.Tick: self.read_states,
            _order_messages.EngineStateRead: self.compare,
            _order_messages.EngineStateUnread: self.note_outcome,
            _order_messages.OrderTaken: self.note_outcome,
            _order_messages.OrderRefused: self.note_outcome,
            _order_messages.OrderWithheld: self.note_outcome,
            _order_messages.OrderUnclear: self.note_outcome,
        }

    def forget_states(
        self, event: _node_messages.PauseDetected, now: float
    ) -> _Commands:
        """Compare nothing with states that were read before a pause."""
        for engine in self._engines.values():
            engine.state = None
        yield from ()

    def read_states(self, event: _node_messages.Tick, now: float) -> _Commands:
        """Choose the groups to order; read the engines of those under a lease."""
        if now - self._grouped_at >= _GROUPING_SECONDS:
            self._grouped_at = now
            self._group_engines()
        leases = self.blackboard.leases
        for lease in list(leases.held):
            if leases.find_usable(lease, now) is None:
                continue
            names = self._groups.get(lease, [])
            period = max(_READ_SECONDS, len(names) / _READS_PER_SECOND)
            for name in names:
                yield from self._read(name, period, now)

    def _read(self, name: _Name, period: float, now: float) -> _Commands:
        engine = self._engines.setdefault(name, _Engine())
        backend = self.blackboard.backends.engines.get(name)
        if backend is None or engine.is_busy or now - engine.read_at < period:
            return
        engine.read_at = now
        engine.is_busy = True
        yield _order_messages.ReadEngineState(engine=name, address=backend.vm.address)

    def _group_engines(self) -> None:
        """Group engines by region: one node orders all that roll over there."""
        groups: dict[ids.LeaseId, list[_Name]] = collections.defaultdict(list)
        for name, backend in self.blackboard.backends.engines.items():
            groups[_name_lease(backend)].append(name)
        self._groups = dict(groups)
        nodes = sorted(
            [self.blackboard.identity.node, *self.blackboard.membership.list_members()]
        )
        self.blackboard.orders.leases_wanted = frozenset(
            lease
            for lease in groups
            if self.blackboard.identity.node == _choose_orderer(lease, nodes)
        )
        for name in self._engines.keys() - self.blackboard.backends.engines.keys():
            del self._engines[name]

    def compare(self, event: _order_messages.EngineStateRead, now: float) -> _Commands:
        """Order what is declared where an engine was told something else."""
        engine = self._engines.setdefault(event.engine, _Engine())
        engine.is_busy = False
        engine.is_silent = False
        engine.state = event
        backend = self.blackboard.backends.engines.get(event.engine)
        wanted = self._declare(event)
        if backend is None or backend.leaving or wanted in (None, event.wanted):
            return
        lease = _name_lease(backend)
        held = self.blackboard.leases.find_usable(lease, now)
        if held is None or not self._may_load(lease, event):
            return
        engine.is_busy = True
        # Counts as loading until its state is read again.
        engine.state = attrs.evolve(event, loading=True)
        yield self._order(event.engine, backend, held, wanted)

    def _order(
        self,
        name: _Name,
        backend: _backend_area.BackendServer,
        held: _lease_area.HeldLease,
        wanted: _order_area.Deployment | None,
    ) -> _order_messages.SendOrder:
        assert wanted is not None
        self.blackboard.orders.sent += 1
        return _order_messages.SendOrder(
            engine=name,
            address=backend.vm.address,
            fencing=held.fencing,
            until=held.until,
            wanted=wanted,
        )

    def _declare(
        self, event: _order_messages.EngineStateRead
    ) -> _order_area.Deployment | None:
        """Return the declared deployment, or the model's declared version."""
        declared = self.blackboard.deployments.declared.get(event.engine)
        if declared is not None:
            return declared
        model = self.blackboard.configuration.declared.models.get(event.wanted.model)
        if model is None:
            return None
        return attrs.evolve(event.wanted, version=model.version)

    def _may_load(
        self, lease: ids.LeaseId, event: _order_messages.EngineStateRead
    ) -> bool:
        """Load few at once, and the engines of one layer range in turn."""
        names = [name for name in self._groups.get(lease, []) if name != event.engine]
        states = [self._engines.setdefault(name, _Engine()).state for name in names]
        if any(map(self._is_awaited, names)):
            return False
        loading = [state for state in states if state is not None and state.loading]
        self.blackboard.orders.loading = len(loading)
        most = max(1.0, len(names) * _LOADING_SHARE)
        if len(loading) >= most:
            return False
        # Of the engines that serve the same layers, as many again must not load.
        span = _get_span(event)
        alike = [state for state in states if state and _get_span(state) == span]
        return sum(state.loading for state in alike) <= len(alike) // 2

    def _is_awaited(self, name: _Name) -> bool:
        engine = self._engines[name]
        return engine.state is None and not engine.is_silent

    def note_outcome(
        self,
        event: _order_messages.EngineStateUnread
        | _order_messages.OrderTaken
        | _order_messages.OrderRefused
        | _order_messages.OrderWithheld
        | _order_messages.OrderUnclear,
        now: float,
    ) -> _Commands:
        """Count an outcome; the engine's state is read again whatever it was."""
        engine = self._engines.setdefault(event.engine, _Engine())
        engine.is_busy = False
        if isinstance(event, _order_messages.EngineStateUnread):
            engine.is_silent = True
            engine.state = None
        orders = self.blackboard.orders
        orders.refused += isinstance(event, _order_messages.OrderRefused)
        orders.withheld += isinstance(event, _order_messages.OrderWithheld)
        orders.failed += isinstance(event, _order_messages.OrderUnclear)
        yield from ()


def _get_span(state: _order_messages.EngineStateRead) -> tuple[str, int, int]:
    actual = state.actual
    return actual.model, actual.first_layer, actual.end_layer


def _name_lease(backend: _backend_area.BackendServer) -> ids.LeaseId:
    return ids.LeaseId(f"orders/{backend.vm.region}")


def _choose_orderer(
    lease: ids.LeaseId, nodes: collections.abc.Sequence[ids.NodeId]
) -> ids.NodeId:
    def weigh(node: ids.NodeId) -> bytes:
        """Weigh a node for the lease."""
        return hashlib.blake2b(f"{lease}/{node}".encode(), digest_size=8).digest()

    return max(nodes, key=weigh)
