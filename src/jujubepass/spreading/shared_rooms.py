"""Rooms of a service's pipelines, from its plan and the view shared between nodes."""

import collections
import collections.abc
import math

import attrs

from jujubepass import ids
from jujubepass.capacity import view
from jujubepass.forwarding import (
    backends,
    board,
    declarations,
    pipelines,
    plans,
    silences,
    slowdowns,
    suspicion,
)
from jujubepass.spreading import chain_list, rooms, spill

# Aliases, because fields have the same names as the modules.
_Declarations = declarations.Declarations
_DomainLine = view.DomainLine
_EngineUse = view.EngineUse
_Plan = plans.Plan
_Silences = silences.Silences
_View = view.View

# A larger use of an engine cannot be right.
_MAX_USE_SLOTS = 4.0


@attrs.frozen(kw_only=True)
class _Catalog:
    """Store what follows from the plan, the list and the configuration alone."""

    plan: _Plan
    revision: int
    declarations: _Declarations | None
    idle_rooms: collections.abc.Mapping[ids.FailureDomainId, list[rooms.Room]]
    """Rooms of the chains without requests, at normal speed."""
    places: collections.abc.Mapping[ids.FailureDomainId, float]
    begins_here: bool
    """Whether a chain is planned to begin in this failure domain."""
    gap_seconds: float


@attrs.define(kw_only=True)
class SharedRooms:
    """Count the places of pipelines, and the requests of all nodes on them."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    slowdowns: slowdowns.SlowdownTracker
    silences: _Silences
    view: _View
    estimate_load: collections.abc.Callable[[ids.BackendServerId], float]
    """Estimate the requests on an engine that the view does not tell."""
    free: dict[ids.ServiceId, float] = attrs.field(factory=dict, init=False)
    """Free places of this failure domain when they were last counted."""
    _catalogs: dict[ids.ServiceId, _Catalog] = attrs.field(factory=dict, init=False)
    _remote_loads: dict[
        tuple[ids.ServiceId, ids.FailureDomainId], dict[ids.BackendServerId, float]
    ] = attrs.field(factory=dict, init=False)
    """Requests on engines of other failure domains, at the time asked for last."""
    _remote_loads_at: float = attrs.field(default=-math.inf, init=False)

    def find_use(
        self, engine: ids.BackendServerId, model: declarations.Model, now: float
    ) -> _EngineUse | None:
        """Return the requests of all nodes on an engine; None if unknown or invalid."""
        use = self.view.find_use(engine, now)
        if use is None:
            return None
        most = _MAX_USE_SLOTS * model.slots
        is_valid = 0.0 <= use.running <= most and 0.0 <= use.prefilling <= most
        return use if is_valid else None

    def list_rooms(
        self, service: declarations.Service, domain: ids.FailureDomainId, now: float
    ) -> list[rooms.Room]:
        """Return the rooms of the pipelines of a failure domain that can run now."""
        model, catalog = service.model, self._find_catalog(service)
        if model is None or catalog is None:
            return []
        unusable = self.suspects.list_suspected(now) | self.silences.list_silent(now)
        closed = self.silences.list_closed(now)
        slow = self.slowdowns.list_slow(now)
        found = [
            self._adapt_pace(model, catalog, each, slow, now)
            for each in catalog.idle_rooms.get(domain, ())
            if each.entry not in closed and unusable.isdisjoint(each.chain.engines)
        ]
        if domain == self.blackboard.failure_domain:
            return [self._add_use(model, each, now) for each in found]
        return self._add_line(found, self._find_line(domain, now))

    def list_domain_rooms(
        self, service: declarations.Service, now: float
    ) -> list[spill.DomainRoom]:
        """Return the rooms of the other failure domains by their lines."""
        catalog = self._find_catalog(service)
        found = []
        for line in self.view.list_domains(now):
            if catalog is None or not 0.0 <= line.age_seconds < (
                spill.MAX_LINE_AGE_SECONDS
            ):
                continue
            places = catalog.places.get(line.domain, 0.0)
            waiting = math.fsum(line.waiting)
            most = _MAX_USE_SLOTS * places
            if not 0.0 <= line.free_places <= most or not 0.0 <= waiting < math.inf:
                continue
            found.append(
                spill.DomainRoom(
                    domain=line.domain,
                    free=min(line.free_places, places),
                    places=places,
                    waiting=waiting,
                )
            )
        return found

    def find_work(
        self, service: declarations.Service, engine: backends.Backend, now: float
    ) -> _EngineUse | None:
        """Return the requests on an engine, elsewhere by its domain's line."""
        model = service.model
        assert model is not None
        if engine.failure_domain == self.blackboard.failure_domain:
            return self.find_use(engine.name, model, now)
        load = self._find_remote_loads(service, engine.failure_domain, now).get(
            engine.name
        )
        return None if load is None else view.EngineUse(running=load, prefilling=0.0)

    def _find_remote_loads(
        self, service: declarations.Service, domain: ids.FailureDomainId, now: float
    ) -> dict[ids.BackendServerId, float]:
        """Return the requests on the engines of another failure domain by its line."""
        # The list has the engines of all failure domains in any order.
        if now != self._remote_loads_at:
            self._remote_loads, self._remote_loads_at = {}, now
        key = service.name, domain
        loads = self._remote_loads.get(key)
        if loads is None:
            found = []
            if self._find_line(domain, now) is not None:
                found = self.list_rooms(service, domain, now)
            loads = {name: each.load for each in found for name in each.chain.engines}
            self._remote_loads[key] = loads
        return loads

    def begins_here(self, service: declarations.Service) -> bool:
        """Return whether a pipeline is planned to begin in this failure domain."""
        catalog = self._find_catalog(service)
        return catalog is not None and catalog.begins_here

    def count_free(self, service: declarations.Service, now: float) -> float | None:
        """Return the free places here; None if no pipeline is planned to begin here."""
        if not self.begins_here(service):
            return None
        domain = self.blackboard.failure_domain
        return sum(each.free for each in self.list_rooms(service, domain, now))

    def count_places(self, service: declarations.Service, now: float) -> float | None:
        """Return all places here; None if no pipeline is planned to begin here."""
        if not self.begins_here(service):
            return None
        domain = self.blackboard.failure_domain
        return sum(each.places for each in self.list_rooms(service, domain, now))

    def keep_free(self, services: collections.abc.Container[ids.ServiceId]) -> None:
        """Forget the free places of services that do not use the view any more."""
        for name in list(self.free):
            if name not in services:
                del self.free[name]

    def count_free_by_domain(
        self, service: declarations.Service, now: float
    ) -> dict[str, float]:
        """Return the free places here, and elsewhere by the lines."""
        found: dict[str, float] = {}
        free = self.count_free(service, now)
        if free is not None:
            found[self.blackboard.failure_domain] = free
        for each in self.list_domain_rooms(service, now):
            found[each.domain] = each.free
        return found

    def has_place(
        self, service: declarations.Service, pipeline: pipelines.Pipeline, now: float
    ) -> bool:
        """Return whether a pipeline's first engine has a place, as far as known."""
        entry = pipeline.stages[0].engine
        engine, model = self.blackboard.backends.listed.get(entry), service.model
        if engine is None or model is None:
            return False
        if engine.failure_domain != self.blackboard.failure_domain:
            lines = self.list_domain_rooms(service, now)
            free = [e.free for e in lines if e.domain == engine.failure_domain]
            return not free or free[0] >= 1.0
        for each in self.list_rooms(service, engine.failure_domain, now):
            if each.entry == entry:
                return each.free >= 1.0
        room = self._make_mixed_room(service, pipeline, now)
        return room is None or self._add_use(model, room, now).free >= 1.0

    def is_full(
        self, engines: collections.abc.Iterable[ids.BackendServerId], now: float
    ) -> bool:
        """Return whether one of some engines has just rejected a request."""
        return any(self.view.is_full(each, now) for each in engines)

    def _find_catalog(self, service: declarations.Service) -> _Catalog | None:
        plan, model = self.blackboard.plans.plans.get(service.name), service.model
        if plan is None or model is None:
            return None
        known = self._catalogs.get(service.name)
        revision = self.blackboard.backends.revision
        declared = self.blackboard.configuration.declarations
        if (
            known is not None
            and known.plan is plan
            and known.revision == revision
            and known.declarations is declared
        ):
            return known
        catalog = self._make_catalog(service, model, plan)
        self._catalogs[service.name] = catalog
        return catalog

    def _make_catalog(
        self, service: declarations.Service, model: declarations.Model, plan: plans.Plan
    ) -> _Catalog:
        area = self.blackboard.backends
        declared = self.blackboard.configuration.declarations
        gap_seconds = find_gap_goal(declared, service)
        idle_rooms = collections.defaultdict(list)
        for chain in chain_list.list_chains(model, plan, area.listed):
            room = _make_room(model, chain, gap_seconds, lambda _: 1.0)
            idle_rooms[chain.failure_domain].append(room)
        domain = self.blackboard.failure_domain
        return _Catalog(
            plan=plan,
            revision=area.revision,
            declarations=declared,
            idle_rooms=dict(idle_rooms),
            places={
                key: sum(each.places for each in found)
                for key, found in idle_rooms.items()
            },
            begins_here=any(
                name in area.listed and area.listed[name].failure_domain == domain
                for name, placement in plan.placements.items()
                if placement.chain >= 0 and placement.span.first == 0
            ),
            gap_seconds=gap_seconds,
        )

    def _adapt_pace(
        self,
        model: declarations.Model,
        catalog: _Catalog,
        room: rooms.Room,
        slow: collections.abc.Iterable[ids.BackendServerId],
        now: float,
    ) -> rooms.Room:
        """Return a room with the pace and places at reported slowdowns."""
        if room.chain.engines.isdisjoint(slow):
            return room
        adapted = _make_room(
            model,
            room.chain,
            catalog.gap_seconds,
            lambda name: self.slowdowns.get_slowdown(name, now),
        )
        return attrs.evolve(adapted, is_slow=True)

    def _add_use(
        self, model: declarations.Model, room: rooms.Room, now: float
    ) -> rooms.Room:
        use = self.find_use(room.entry, model, now)
        return rooms.Room(
            chain=room.chain,
            pace=room.pace,
            places=room.places,
            is_slow=room.is_slow,
            load=use.running if use else self.estimate_load(room.entry),
            is_full=self.is_full(room.chain.engines, now),
        )

    def _add_line(
        self, found: list[rooms.Room], line: _DomainLine | None
    ) -> list[rooms.Room]:
        """Spread the requests of another failure domain over its pipelines."""
        places = sum(each.places for each in found)
        if line is None or places <= 0.0 or not line.free_places >= 0.0:
            return found
        used_share = max(0.0, 1.0 - line.free_places / places)
        return [attrs.evolve(each, load=used_share * each.places) for each in found]

    def _find_line(self, domain: ids.FailureDomainId, now: float) -> _DomainLine | None:
        for line in self.view.list_domains(now):
            if line.domain == domain and line.age_seconds < spill.MAX_LINE_AGE_SECONDS:
                return line
        return None

    def _make_mixed_room(
        self, service: declarations.Service, pipeline: pipelines.Pipeline, now: float
    ) -> rooms.Room | None:
        """Return the room of a pipeline that is no chain of the plan."""
        model, catalog = service.model, self._find_catalog(service)
        if model is None or catalog is None:
            return None
        listed = self.blackboard.backends.listed
        found = [(each, listed.get(each.engine)) for each in pipeline.stages]
        stages = tuple(
            chain_list.ChainStage(
                engine=each.engine,
                layers=len(each.span),
                accelerator=model.accelerators[engine.accelerator],
            )
            for each, engine in found
            if engine is not None and engine.accelerator in model.accelerators
        )
        if len(stages) < len(pipeline.stages):
            return None
        chain = chain_list.Chain(
            failure_domain=self.blackboard.failure_domain,
            stages=stages,
            engines=pipeline.engines,
            is_crossing=False,
            max_requests=chain_list.count_fitting_requests(model, stages),
        )
        return _make_room(
            model,
            chain,
            catalog.gap_seconds,
            lambda name: self.slowdowns.get_slowdown(name, now),
        )


def find_gap_goal(
    declared: declarations.Declarations | None, service: declarations.Service
) -> float:
    """Return the smallest goal for gaps of a service's routes, in seconds."""
    routes = declared.routes if declared else ()
    goals = (
        each.gap_seconds
        for each in routes
        if any(to.service == service.name for to in each.destinations)
    )
    return min((goal for goal in goals if goal > 0.0), default=math.inf)


def _make_room(
    model: declarations.Model,
    chain: chain_list.Chain,
    gap_seconds: float,
    find_slowdown: chain_list.FindSlowdown,
) -> rooms.Room:
    pace = chain_list.compute_pace(model, chain.stages, find_slowdown)
    places = chain_list.count_places(model, pace, chain.max_requests, gap_seconds)
    return rooms.Room(chain=chain, pace=pace, places=float(places), load=0.0)
