"""Choice of engines for a model request by list, plan, suspicion and load."""

import collections
import collections.abc
import functools
import random

import attrs

from jujubepass import ids
from jujubepass.capacity import own_use, view
from jujubepass.forwarding import (
    backends,
    board,
    declarations,
    demand,
    members,
    pipelines,
    silences,
    slowdowns,
    stage_options,
    suspicion,
)
from jujubepass.spreading import (
    loads,
    places,
    shared_choice,
    shared_rooms,
    spill,
)

# An engine that reports a slowdown delays every token of all requests in its pipeline.
_SLOWDOWN_EXPONENT = 2.0

# Aliases, because fields have the same names as the modules.
_Demand = demand.Demand
_Demanded = view.Demand
_Recorder = view.Recorder
_View = view.View


def _uses_no_view(service: declarations.Service) -> bool:
    return False


@attrs.define(kw_only=True)
class EngineChoice:
    """Choose pipelines and count this node's requests on each engine."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    slowdowns: slowdowns.SlowdownTracker
    silences: silences.Silences
    demand: _Demand = attrs.field(factory=_Demand)
    view: _View | None = None
    """What all nodes run; None if nodes do not share it."""
    recorder: _Recorder = attrs.field(factory=own_use.NoRecorder)
    """Where the other nodes learn of this node's requests."""
    uses_view: collections.abc.Callable[[declarations.Service], bool] = _uses_no_view
    """Whether a service's requests are placed by the view."""
    random_source: random.Random = attrs.field(factory=random.Random)
    shared: shared_choice.SharedChoice | None = attrs.field(default=None, init=False)
    attempts: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    """Attempts by the first engine of their pipeline."""
    _running: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    _prefilling: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )

    def __attrs_post_init__(self) -> None:
        if self.view is None:
            return
        self.shared = shared_choice.SharedChoice(
            domain=self.blackboard.failure_domain,
            rooms=shared_rooms.SharedRooms(
                blackboard=self.blackboard,
                suspects=self.suspects,
                slowdowns=self.slowdowns,
                silences=self.silences,
                view=self.view,
                estimate_load=self._estimate_local_load,
            ),
            spill=spill.Spill(random_source=self.random_source),
            random_source=self.random_source,
        )

    def choose(
        self,
        service: declarations.Service,
        now: float,
        avoided: collections.abc.Set[ids.BackendServerId] = frozenset(),
        entries: collections.abc.Set[ids.BackendServerId] | None = None,
        *,
        closed: collections.abc.Set[ids.BackendServerId] = frozenset(),
        paced: collections.abc.Set[ids.BackendServerId] = frozenset(),
        ignores_silence: bool = False,
        reserve: float = 0.0,
    ) -> pipelines.Pipeline | None:
        """Return the cheapest pipeline of available engines, or None.

        `entries` restricts the engines at which it may begin; None allows all. It
        begins at none of the `closed` ones, nor of those `paced` by their slow start.
        `reserve` free places here are kept for more urgent requests.
        """
        is_limited, may_spill = bool(closed), entries is None
        closed = closed | paced
        if not ignores_silence:
            avoided = self.silences.list_silent(now).union(avoided)
            closed = self.silences.list_closed(now).union(closed)
        listed = self._list_engines(service, avoided)
        if closed:
            entries = (entries or {each.name for each in listed}) - closed
        known = self._find_demand(service, now)
        if self.shared is None or known is None:
            return self._choose_alone(service, listed, now, entries, is_limited)
        query = shared_choice.Query(
            service=service,
            demand=known,
            now=now,
            listed=listed,
            entries=entries,
            may_spill=may_spill,
            reserve=reserve,
            list_options=functools.partial(
                self._list_options, service, now=now, rooms=self.shared.rooms
            ),
        )
        return self.shared.choose(query)

    def _choose_alone(
        self,
        service: declarations.Service,
        listed: collections.abc.Iterable[backends.Backend],
        now: float,
        entries: collections.abc.Set[ids.BackendServerId] | None,
        is_limited: bool,
    ) -> pipelines.Pipeline | None:
        """Return the cheapest pipeline by what this node runs itself."""
        model, domain = service.model, self.blackboard.failure_domain
        assert model is not None
        local, remote = self._list_stages(service, listed, now, is_limited=is_limited)
        options = list(local)
        found = pipelines.find_pipeline(model, options, domain, entries)
        # Engines elsewhere need not be compared, as none of them costs less than this.
        if found and found.cost_seconds <= pipelines.REMOTE_ENTRY_SECONDS:
            return found
        remote_options = list(remote)
        options += remote_options
        return pipelines.find_pipeline(model, options, domain, entries)

    def find_places(self, service: declarations.Service) -> places.ServicePlaces:
        """Return the places of a service's pipelines in this failure domain."""
        return places.ServicePlaces(
            service=service,
            rooms=self.shared.rooms if self.shared else None,
            is_known=lambda now: self._find_demand(service, now) is not None,
            recorder=self.recorder,
        )

    def update_shared(self, now: float) -> None:
        """Count the free places for the other nodes, and update the spill."""
        demands = self._list_demands(now)
        if self.shared is not None:
            self.shared.rooms.keep_free({service.name for service, _ in demands})
        for service, known in demands:
            free = self.find_places(service).count_free(now)
            if self.shared is not None:
                self.shared.update_spill(service, known, now, free or 0.0)

    def count_free_places(self, now: float) -> dict[str, float]:
        """Return the free places by failure domain, as far as known."""
        found: collections.Counter[str] = collections.Counter()
        for service, _ in self._list_demands(now):
            if self.shared is not None:
                found.update(self.shared.rooms.count_free_by_domain(service, now))
        return dict(found)

    def _list_demands(self, now: float) -> list[tuple[declarations.Service, _Demanded]]:
        """Return the services that use the view, with their demand."""
        declared = self.blackboard.configuration.declarations
        services = declared.find_model_services() if declared else ()
        found = ((each, self._find_demand(each, now)) for each in services)
        return [(each, known) for each, known in found if known is not None]

    def _find_demand(
        self, service: declarations.Service, now: float
    ) -> _Demanded | None:
        """Return the shared demand; None if unknown or not used by the service."""
        if self.view is None or not self.uses_view(service):
            return None
        return self.view.find_demand(now)

    def _list_engines(
        self,
        service: declarations.Service,
        avoided: collections.abc.Set[ids.BackendServerId],
    ) -> list[backends.Backend]:
        return [
            engine
            for engine in self.blackboard.backends.listed.values()
            if engine.service == service.name and engine.name not in avoided
        ]

    def _list_stages(
        self,
        service: declarations.Service,
        listed: collections.abc.Iterable[backends.Backend],
        now: float,
        *,
        is_limited: bool,
    ) -> tuple[
        collections.abc.Iterator[pipelines.StageOption],
        collections.abc.Iterator[pipelines.StageOption],
    ]:
        """Return the stages of this failure domain, and those of the others.

        While first engines are limited, nodes of all failure domains turn to others.
        """
        domain = self.blackboard.failure_domain
        local = [each for each in listed if each.failure_domain == domain]
        remote = [each for each in listed if each.failure_domain != domain]
        return (
            self._list_options(service, local, now),
            self._list_options(service, remote, now, is_shared=is_limited),
        )

    def find_end_of_silence(
        self, service: declarations.Service, now: float
    ) -> float | None:
        """Return when a silent engine takes requests again, if none else is missing."""
        names = (
            each.name
            for each in self.blackboard.backends.listed.values()
            if each.service == service.name
        )
        end = self.silences.find_end(names, now)
        if end is None or self.choose(service, now, ignores_silence=True) is None:
            return None
        return end

    def _list_options(
        self,
        service: declarations.Service,
        engines: collections.abc.Iterable[backends.Backend],
        now: float,
        *,
        is_shared: bool = False,
        rooms: shared_rooms.SharedRooms | None = None,
    ) -> collections.abc.Iterator[pipelines.StageOption]:
        """Yield the stages that engines may run; all nodes use them if shared."""
        plan, model = self.blackboard.plans.plans.get(service.name), service.model
        if plan is None or model is None:
            return
        for engine in engines:
            accelerator = model.accelerators.get(engine.accelerator)
            if accelerator is None or engine.held is None:
                continue
            if plan.excludes(engine):
                continue
            if self.suspects.is_suspected(engine.name, now):
                continue
            work = self._estimate_work(
                service, model, engine, now, is_shared=is_shared, rooms=rooms
            )
            seconds = accelerator.step_slowdown * work.step_seconds
            seconds += accelerator.prefill_slowdown * work.queue_seconds
            cost_factor = (
                self.slowdowns.get_slowdown(engine.name, now) ** _SLOWDOWN_EXPONENT
            )
            contention = stage_options.compute_contention(
                model, accelerator, engine, work.requests + work.starting
            )
            yield from stage_options.make_options(
                engine,
                plan.placements.get(engine.name),
                layer_seconds=seconds / model.layers,
                cost_factor=cost_factor,
                stage_seconds=contention,
                is_leaving=stage_options.is_leaving(self.blackboard, engine, now),
            )

    def _estimate_work(
        self,
        service: declarations.Service,
        model: declarations.Model,
        engine: backends.Backend,
        now: float,
        *,
        is_shared: bool,
        rooms: shared_rooms.SharedRooms | None,
    ) -> stage_options.Work:
        """Estimate an engine's work by what all nodes share or else by own requests."""
        use = rooms.find_work(service, engine, now) if rooms else None
        if use is not None:
            return stage_options.Work(
                requests=use.running,
                step_seconds=loads.predict_step_seconds(model, use.running),
                queue_seconds=stage_options.predict_queue_delay(model, use.prefilling),
                starting=1.0,
            )
        load = self._estimate_load(engine, now, is_shared=is_shared)
        neighbors = members.count_neighbors(self.blackboard)
        queued_prompts = self._prefilling[engine.name] * neighbors
        return stage_options.Work(
            requests=load,
            step_seconds=model.step_seconds + model.step_seconds_per_sequence * load,
            queue_seconds=stage_options.predict_queue_delay(model, queued_prompts),
            # Other nodes add theirs at the same time.
            starting=neighbors,
        )

    def _estimate_local_load(self, engine: ids.BackendServerId) -> float:
        """Estimate the requests on an engine here from those of this node."""
        return float(self._running[engine] * members.count_neighbors(self.blackboard))

    def _estimate_load(
        self, engine: backends.Backend, now: float, *, is_shared: bool
    ) -> float:
        """Estimate how many requests of all nodes run on an engine."""
        neighbors = members.count_neighbors(self.blackboard)
        running = self._running[engine.name]
        if not is_shared:
            return running * neighbors
        # Nodes of other failure domains send it the same part of their requests as this
        # one; those of its own use it as this one does the engines here.
        area = self.blackboard.members
        domain = area.sizes[engine.failure_domain]
        others = max(neighbors, len(area.nodes) - domain) - 1
        chains = self._count_first_engines(engine.failure_domain)
        part = running / max(1, self.demand.streams)
        mean = self.demand.estimate_mean(now)
        return running + others * part * mean + domain * mean / chains

    def _count_first_engines(self, domain: ids.FailureDomainId) -> int:
        """Return how many engines of a failure domain hold the first layer."""
        listed = self.blackboard.backends.listed.values()
        found = sum(
            each.failure_domain == domain
            and each.held is not None
            and each.held.first == 0
            for each in listed
        )
        return max(1, found)

    def filter_listed(
        self, engines: collections.abc.Mapping[ids.BackendServerId, int]
    ) -> set[ids.BackendServerId]:
        """Return the engines that are still listed with the given start times."""
        listed = self.blackboard.backends.listed
        return {
            name
            for name, started_at in engines.items()
            if name in listed and listed[name].started_at == started_at
        }

    @property
    def running(self) -> collections.abc.Mapping[ids.BackendServerId, int]:
        """Return this node's requests by engine."""
        return self._running

    def record_arrival(self, service: declarations.Service, priority: int) -> None:
        """Count a request that has arrived, if its service uses the view."""
        if self.uses_view(service):
            self.recorder.record_arrival(priority)

    def record_start(self, pipeline: pipelines.Pipeline) -> None:
        """Count a request on its engines, in the prefill phase."""
        self.attempts[pipeline.stages[0].engine] += 1
        self.demand.streams += 1
        self._running.update(pipeline.engines)
        self._prefilling.update(pipeline.engines)
        self.recorder.record_start(pipeline.engines)

    def record_full(self, engine: ids.BackendServerId, now: float) -> None:
        """Record that an engine has rejected a request for lack of room."""
        self.recorder.record_full(engine, now)

    def record_spill(self, pipeline: pipelines.Pipeline, now: float) -> None:
        """Record that a request is sent to another failure domain, if it is."""
        if self.shared is not None and pipeline.spilled_to is not None:
            self.shared.spill.record(pipeline.spilled_to, now)

    def record_prefilled(self, pipeline: pipelines.Pipeline) -> None:
        """Record that the engines have processed a request's prompt."""
        self._prefilling.subtract(pipeline.engines)
        self.recorder.record_prefilled(pipeline.engines)

    def record_end(self, pipeline: pipelines.Pipeline, *, was_prefilled: bool) -> None:
        """Remove a request from the counts of its engines."""
        self.demand.streams -= 1
        self._running.subtract(pipeline.engines)
        if not was_prefilled:
            self._prefilling.subtract(pipeline.engines)
        self.recorder.record_end(pipeline.engines, was_prefilled=was_prefilled)
