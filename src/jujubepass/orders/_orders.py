"""Controller that orders engines to load their declared deployments.

One node orders the engines of a region, under the lease of that region.
"""

import collections
import collections.abc
import hashlib

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_area
from jujubepass.leases import _lease_area
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.orders import _order_area, _order_messages

_GROUPING_INTERVAL_SECONDS = 1.0
_MIN_READ_INTERVAL_SECONDS = 2.0
_MAX_READS_PER_SECOND = 10.0
_MAX_LOADING_SHARE = 0.05
_NEVER = float("-inf")
_Commands = collections.abc.Iterator[_dispatch.Command]
_EngineId = ids.BackendServerId


@attrs.define(kw_only=True)
class _EngineState:
    """Track the last read state of an engine and its requests in flight."""

    read_at: float = _NEVER
    is_request_pending: bool = False
    is_unresponsive: bool = False
    state: _order_messages.EngineStateRead | None = None


@attrs.define(kw_only=True)
class OrderController:
    """Send an order only to an engine whose own state differs; write the order area."""

    blackboard: _blackboard.Blackboard
    _grouped_at: float = attrs.field(default=_NEVER, init=False)
    _groups: dict[ids.LeaseId, list[_EngineId]] = attrs.field(factory=dict, init=False)
    _engines: dict[_EngineId, _EngineState] = attrs.field(factory=dict, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.PauseDetected: self.discard_states,
            _node_messages.Tick: self.read_states,
            _order_messages.EngineStateRead: self.reconcile,
            _order_messages.EngineStateUnread: self.record_outcome,
            _order_messages.OrderTaken: self.record_outcome,
            _order_messages.OrderRefused: self.record_outcome,
            _order_messages.OrderWithheld: self.record_outcome,
            _order_messages.OrderUnclear: self.record_outcome,
        }

    def discard_states(
        self, event: _node_messages.PauseDetected, now: float
    ) -> _Commands:
        """Discard the states that were read before a pause."""
        for engine in self._engines.values():
            engine.state = None
        yield from ()

    def read_states(self, event: _node_messages.Tick, now: float) -> _Commands:
        """Group the engines; read the states of those under a held lease."""
        if now - self._grouped_at >= _GROUPING_INTERVAL_SECONDS:
            self._grouped_at = now
            self._group_engines()
        leases = self.blackboard.leases
        for lease in list(leases.held):
            if leases.find_usable(lease, now) is None:
                continue
            names = self._groups.get(lease, [])
            interval_seconds = max(
                _MIN_READ_INTERVAL_SECONDS, len(names) / _MAX_READS_PER_SECOND
            )
            for name in names:
                yield from self._read(name, interval_seconds, now)

    def _read(self, name: _EngineId, interval_seconds: float, now: float) -> _Commands:
        engine = self._engines.setdefault(name, _EngineState())
        backend = self.blackboard.backends.engines.get(name)
        if (
            backend is None
            or engine.is_request_pending
            or now - engine.read_at < interval_seconds
        ):
            return
        engine.read_at = now
        engine.is_request_pending = True
        yield _order_messages.ReadEngineState(engine=name, address=backend.vm.address)

    def _group_engines(self) -> None:
        """Group engines by region, so that one node orders each region's rollout."""
        groups: dict[ids.LeaseId, list[_EngineId]] = collections.defaultdict(list)
        for name, backend in self.blackboard.backends.engines.items():
            groups[_make_lease_id(backend)].append(name)
        self._groups = dict(groups)
        nodes = sorted(
            [self.blackboard.identity.node, *self.blackboard.membership.list_members()]
        )
        self.blackboard.orders.leases_wanted = frozenset(
            lease
            for lease in groups
            if self.blackboard.identity.node == _choose_ordering_node(lease, nodes)
        )
        for name in self._engines.keys() - self.blackboard.backends.engines.keys():
            del self._engines[name]

    def reconcile(
        self, event: _order_messages.EngineStateRead, now: float
    ) -> _Commands:
        """Order an engine to load its declared deployment if it wants another one."""
        engine = self._engines.setdefault(event.engine, _EngineState())
        engine.is_request_pending = False
        engine.is_unresponsive = False
        engine.state = event
        backend = self.blackboard.backends.engines.get(event.engine)
        wanted = self._find_declared(event)
        if backend is None or backend.leaving or wanted in (None, event.wanted):
            return
        lease = _make_lease_id(backend)
        held = self.blackboard.leases.find_usable(lease, now)
        if held is None or not self._may_load(lease, event):
            return
        engine.is_request_pending = True
        # The engine counts as loading until its state is read again.
        engine.state = attrs.evolve(event, loading=True)
        yield self._make_order(event.engine, backend, held, wanted)

    def _make_order(
        self,
        name: _EngineId,
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

    def _find_declared(
        self, event: _order_messages.EngineStateRead
    ) -> _order_area.Deployment | None:
        """Return the declared deployment, or the wanted one at the declared version."""
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
        """Return whether an engine may start loading.

        Requires a known state of each other engine in the region; limits how many load
        at once, in the region and per span of layers.
        """
        names = [name for name in self._groups.get(lease, []) if name != event.engine]
        states = [
            self._engines.setdefault(name, _EngineState()).state for name in names
        ]
        if any(map(self._is_state_unknown, names)):
            return False
        loading = [state for state in states if state is not None and state.loading]
        self.blackboard.orders.loading = len(loading)
        max_loading = max(1.0, len(names) * _MAX_LOADING_SHARE)
        if len(loading) >= max_loading:
            return False
        # Including this engine, at most half of the engines that serve a span may
        # load, rounded up.
        span = _get_span(event)
        same_span = [state for state in states if state and _get_span(state) == span]
        return sum(state.loading for state in same_span) <= len(same_span) // 2

    def _is_state_unknown(self, name: _EngineId) -> bool:
        engine = self._engines[name]
        return engine.state is None and not engine.is_unresponsive

    def record_outcome(
        self,
        event: _order_messages.EngineStateUnread
        | _order_messages.OrderTaken
        | _order_messages.OrderRefused
        | _order_messages.OrderWithheld
        | _order_messages.OrderUnclear,
        now: float,
    ) -> _Commands:
        """Count an outcome; the engine's state is read again in any case."""
        engine = self._engines.setdefault(event.engine, _EngineState())
        engine.is_request_pending = False
        if isinstance(event, _order_messages.EngineStateUnread):
            engine.is_unresponsive = True
            engine.state = None
        orders = self.blackboard.orders
        orders.refused += isinstance(event, _order_messages.OrderRefused)
        orders.withheld += isinstance(event, _order_messages.OrderWithheld)
        orders.failed += isinstance(event, _order_messages.OrderUnclear)
        yield from ()


def _get_span(state: _order_messages.EngineStateRead) -> tuple[str, int, int]:
    actual = state.actual
    return actual.model, actual.first_layer, actual.end_layer


def _make_lease_id(backend: _backend_area.BackendServer) -> ids.LeaseId:
    return ids.LeaseId(f"orders/{backend.vm.region}")


def _choose_ordering_node(
    lease: ids.LeaseId, nodes: collections.abc.Sequence[ids.NodeId]
) -> ids.NodeId:
    def compute_weight(node: ids.NodeId) -> bytes:
        """Compute the rendezvous hash of a node for the lease."""
        return hashlib.blake2b(f"{lease}/{node}".encode(), digest_size=8).digest()

    return max(nodes, key=compute_weight)
