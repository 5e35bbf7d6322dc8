"""Controllers of engines: choice, probes, orders, moves and stalled streams."""

import secrets
import typing

import attrs

from jujubepass.capacity import controller as capacity_controller
from jujubepass.capacity import datagrams
from jujubepass.forwarding import (
    backend_list,
    board,
    declarations,
    demand,
    engine_choice,
    engines,
    evacuation,
    home_leases,
    homes,
    moves,
    ordering,
    pacing,
    permit_home,
    permits,
    pipeline_claims,
    probing,
    request_limits,
    server_signals,
    silences,
    slowdowns,
    stall_watch,
    suspicion,
)
from jujubepass.quarantine import controller, guard, sharing
from jujubepass.shortage import gate
from jujubepass.spreading import only_service
from jujubepass.storage import _table_client
from jujubepass.transport import _http_client

# Aliases, because fields have the same names as the modules.
_Address = _http_client.Address
_BackendController = backend_list.BackendController
_Evacuation = evacuation.Evacuation
_Guard = guard.Guard
_Pacing = pacing.Pacing
_Permits = permits.Permits
_Sharing = sharing.Sharing
_Silences = silences.Silences

_PROCESS_BITS = 32


class HomeTransport(permits.Transport, home_leases.Transport, typing.Protocol):
    """Carry queries for permits and requests for votes to homes."""


@attrs.define(kw_only=True)
class EngineControllers:
    """Build the controllers that share what is known of the engines."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    control: engines.EngineControl
    backend_list: _BackendController
    suspect_table: _table_client.Table
    secret_table: _table_client.Table
    permit_transport: HomeTransport
    token: str = attrs.field(repr=False)
    """Key of the datagrams for this node."""
    address: _Address | None
    """Where other nodes reach this one."""
    shares_view: bool = False
    """Whether nodes share what they run, as the settings say."""
    has_queue: bool = False
    """Whether model requests wait here for places, as the settings say."""
    has_slow_start: bool = False
    """Whether servers that have started have a pace, as the settings say."""
    capacity: capacity_controller.CapacityController = attrs.field(init=False)
    """What all nodes run on each engine."""
    datagram_link: datagrams.DatagramLink = attrs.field(init=False)
    quarantine: controller.Quarantine = attrs.field(init=False)
    sharing: _Sharing = attrs.field(init=False)
    guard: _Guard = attrs.field(init=False)
    pacing: _Pacing = attrs.field(init=False)
    silences: _Silences = attrs.field(init=False)
    limits: request_limits.RequestLimits = attrs.field(init=False)
    permits: _Permits = attrs.field(init=False)
    signals: server_signals.ServerSignals = attrs.field(init=False)
    prober: probing.Prober = attrs.field(init=False)
    choice: engine_choice.EngineChoice = attrs.field(init=False)
    claims: pipeline_claims.PipelineClaims = attrs.field(init=False)
    stalls: stall_watch.StallWatch = attrs.field(init=False)
    evacuation: _Evacuation = attrs.field(init=False)
    orders: ordering.OrderSender = attrs.field(init=False)
    _places: only_service.OnlyServicePlaces = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        area = self.blackboard.backends
        tracker = slowdowns.SlowdownTracker()
        node_demand = demand.Demand()
        self._share_use()
        self.silences = silences.Silences(area=area)
        self.limits = request_limits.RequestLimits(area=area)
        self.permits = self._make_permits(node_demand)
        self.pacing = self._make_pacing()
        self.signals = server_signals.ServerSignals(
            area=area,
            backend_list=self.backend_list,
            silences=self.silences,
            limits=self.limits,
            pacing=self.pacing,
        )
        self.quarantine = controller.Quarantine(blackboard=self.blackboard)
        self.prober = probing.Prober(
            blackboard=self.blackboard,
            suspects=self.suspects,
            control=self.control,
            slowdowns=tracker,
            signals=self.signals,
            on_run_ended=self.quarantine.record_end,
        )
        self.choice = engine_choice.EngineChoice(
            blackboard=self.blackboard,
            suspects=self.suspects,
            slowdowns=tracker,
            silences=self.silences,
            demand=node_demand,
            recorder=self.capacity.recorder,
            view=self.capacity.view,
            uses_view=self._uses_view,
        )
        self.orders = ordering.OrderSender(
            blackboard=self.blackboard, control=self.control, silences=self.silences
        )
        self._watch_streams()
        self._share_suspects()

    def _share_use(self) -> None:
        self.capacity = capacity_controller.CapacityController(
            blackboard=self.blackboard,
            token=self.token,
            process=secrets.randbits(_PROCESS_BITS),
            has_address=self.address is not None,
            is_enabled=self.shares_view,
        )
        self.datagram_link = datagrams.DatagramLink(
            controller=self.capacity, address=self.address
        )

    def _make_pacing(self) -> _Pacing:
        made = pacing.Pacing(blackboard=self.blackboard)
        if self.has_slow_start:
            made.uses_view = self.capacity.scope.is_needed
            made.recorder = self.capacity.recorder
            made.pace.view = self.capacity.view
        return made

    def _make_permits(self, node_demand: demand.Demand) -> _Permits:
        leases = home_leases.HomeLeases(
            order=homes.HomeOrder(blackboard=self.blackboard),
            transport=self.permit_transport,
        )
        return permits.Permits(
            blackboard=self.blackboard,
            limits=self.limits,
            home=permit_home.PermitHome(leases=leases, limits=self.limits),
            transport=self.permit_transport,
            demand=node_demand,
        )

    def _watch_streams(self) -> None:
        mover = moves.Mover(
            blackboard=self.blackboard,
            choice=self.choice,
            control=self.control,
            permits=self.permits,
        )
        self.stalls = stall_watch.StallWatch(
            blackboard=self.blackboard,
            suspects=self.suspects,
            prober=self.prober,
            mover=mover,
        )
        self.evacuation = evacuation.Evacuation(
            blackboard=self.blackboard, stalls=self.stalls, mover=mover
        )

    def _share_suspects(self) -> None:
        self.sharing = sharing.Sharing(
            blackboard=self.blackboard,
            quarantine=self.quarantine,
            table=self.suspect_table,
            secret_table=self.secret_table,
            schedule_probe=self.stalls.schedule_probe,
        )
        self.guard = guard.Guard(
            area=self.blackboard.backends,
            quarantine=self.quarantine,
            trials=self.sharing,
            schedule_probe=self.stalls.schedule_probe,
        )
        self._places = only_service.OnlyServicePlaces(
            blackboard=self.blackboard, choice=self.choice
        )
        self.claims = pipeline_claims.PipelineClaims(
            choice=self.choice,
            permits=self.permits,
            guard=self.guard,
            pacing=self.pacing,
            shortage=gate.Gate(
                uses_view=self._uses_queue,
                view=self.capacity.view,
                recorder=self.capacity.recorder,
                places=self._places,
                find_view_time=self._find_view_time,
            ),
        )

    def _uses_view(self, service: declarations.Service) -> bool:
        return self.capacity.scope.is_needed(service.name)

    def _uses_queue(self, service: declarations.Service) -> bool:
        """Return whether requests of a service wait by their priorities.

        Where all have the same one, an engine's own queue serves them as well.
        """
        return (
            self.has_queue
            and self._places.find_service() is not None
            and self._uses_view(service)
            and self.capacity.scope.has_priorities(service.name)
        )

    def _find_view_time(self, now: float) -> float | None:
        age = self.capacity.view.find_age(now)
        return None if age is None else now - age
