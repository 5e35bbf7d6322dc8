"""Choice of engines for a model request by list, plan, suspicion and load."""

import collections
import collections.abc

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    backends,
    board,
    declarations,
    demand,
    members,
    pipelines,
    plans,
    silences,
    slowdowns,
    suspicion,
)

# A draining engine is used for this long, so that requests need not wait for its
# successor, and for no more than this share of the platform's bound.
_MAX_DRAINING_USE_SECONDS = 1.0
_DRAINING_USE_SHARE = 0.5
# Once an engine's cache memory runs out, it refuses requests or evicts others, however
# fast it is. Beyond this share of used memory each stage costs more, by so many seconds
# for the whole memory; in a pipeline of a dozen stages that are all full, this exceeds
# the cost of crossing to another failure domain.
_UNCONTENDED_MEMORY_SHARE = 0.6
_CONTENTION_SECONDS = 0.1
# An engine that reports a slowdown delays every token of all requests in its pipeline.
_SLOWDOWN_EXPONENT = 2.0
# A queued prompt delays the first event by its time on the slowest stage, about 1/12 of
# its prefill time in pipelines of a dozen engines. Spread over 16 tokens, that is about
# 1/200 of the prefill time per token.
_QUEUE_DELAY_TOKENS = 200.0
# Layers that an engine still holds but is to unload are used only where no other engine
# has them: the factor is three times the ratio of the slowest kind of accelerator to
# the next.
_UNPLANNED_COST_FACTOR = 3.0


# An alias, because a field has the same name as the module.
_Demand = demand.Demand


@attrs.define(kw_only=True)
class EngineChoice:
    """Choose pipelines and count this node's requests on each engine."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    slowdowns: slowdowns.SlowdownTracker
    silences: silences.Silences
    demand: _Demand = attrs.field(factory=_Demand)
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

    def choose(
        self,
        service: declarations.Service,
        now: float,
        avoided: collections.abc.Set[ids.BackendServerId] = frozenset(),
        entries: collections.abc.Set[ids.BackendServerId] | None = None,
        *,
        closed: collections.abc.Set[ids.BackendServerId] = frozenset(),
        ignores_silence: bool = False,
    ) -> pipelines.Pipeline | None:
        """Return the cheapest pipeline of available engines, or None.

        `entries` restricts the engines at which it may begin; None allows all. It
        begins at none of the `closed` ones.
        """
        model = service.model
        assert model is not None
        domain = self.blackboard.failure_domain
        is_limited = bool(closed)
        if not ignores_silence:
            avoided = self.silences.list_silent(now).union(avoided)
            closed = self.silences.list_closed(now).union(closed)
        listed = self._list_engines(service, avoided)
        if closed:
            entries = (entries or {each.name for each in listed}) - closed
        local, remote = self._list_stages(service, listed, now, is_limited=is_limited)
        options = list(local)
        found = pipelines.find_pipeline(model, options, domain, entries)
        # Engines elsewhere need not be compared, as none of them costs less than this.
        if found and found.cost_seconds <= pipelines.REMOTE_ENTRY_SECONDS:
            return found
        remote_options = list(remote)
        options += remote_options
        return pipelines.find_pipeline(model, options, domain, entries)

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
            load = self._estimate_load(engine, now, is_shared=is_shared)
            step_seconds = model.step_seconds + model.step_seconds_per_sequence * load
            seconds = accelerator.step_slowdown * step_seconds
            seconds += accelerator.prefill_slowdown * self._predict_queue_delay(
                model, engine.name
            )
            cost_factor = (
                self.slowdowns.get_slowdown(engine.name, now) ** _SLOWDOWN_EXPONENT
            )
            contention = self._compute_contention(model, accelerator, engine, load)
            yield from _make_options(
                engine,
                plan.placements.get(engine.name),
                layer_seconds=seconds / model.layers,
                cost_factor=cost_factor,
                stage_seconds=contention,
                is_leaving=self._is_leaving(engine, now),
            )

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

    def _predict_queue_delay(
        self, model: declarations.Model, engine: ids.BackendServerId
    ) -> float:
        """Return the delay per token caused by queued prompts, in seconds."""
        neighbors = members.count_neighbors(self.blackboard)
        queued_prompts = self._prefilling[engine] * neighbors
        return (
            queued_prompts
            * model.prompt_tokens
            / model.prefill_tokens_per_second
            / _QUEUE_DELAY_TOKENS
        )

    def _compute_contention(
        self,
        model: declarations.Model,
        accelerator: declarations.Accelerator,
        engine: backends.Backend,
        load: float,
    ) -> float:
        """Return the cost in seconds of the cache memory that requests use."""
        assert engine.held is not None
        free_megabytes = (
            accelerator.memory_megabytes - len(engine.held) * model.layer_megabytes
        )
        request_tokens = model.prompt_tokens + model.answer_tokens / 2.0
        # Counts the request to be sent, since other nodes add theirs at the same time.
        neighbors = members.count_neighbors(self.blackboard)
        requests = load + neighbors
        used_tokens = requests * request_tokens
        token_kilobytes = model.token_kilobytes * len(engine.held) / model.layers
        used_share = used_tokens * token_kilobytes / max(1.0, free_megabytes * 1_000.0)
        return _CONTENTION_SECONDS * max(0.0, used_share - _UNCONTENDED_MEMORY_SHARE)

    def _is_leaving(self, engine: backends.Backend, now: float) -> bool | None:
        """Return whether an engine is leaving; None if it accepts no more requests."""
        if engine.state is backends.BackendState.READY:
            return False
        since = self.blackboard.backends.draining_since.get(engine.name, 0.0)
        bound_seconds = 0.001 * self.blackboard.bounds.drain_milliseconds
        use_seconds = min(
            _MAX_DRAINING_USE_SECONDS, _DRAINING_USE_SHARE * bound_seconds
        )
        return True if now - since < use_seconds else None

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

    def list_names(self, service: declarations.Service) -> set[ids.BackendServerId]:
        """Return the names of a service's engines."""
        return {each.name for each in self._list_engines(service, frozenset())}

    def record_start(self, pipeline: pipelines.Pipeline) -> None:
        """Count a request on its engines, in the prefill phase."""
        self.attempts[pipeline.stages[0].engine] += 1
        self.demand.streams += 1
        self._running.update(pipeline.engines)
        self._prefilling.update(pipeline.engines)

    def record_prefilled(self, pipeline: pipelines.Pipeline) -> None:
        """Record that the engines have processed a request's prompt."""
        self._prefilling.subtract(pipeline.engines)

    def record_end(self, pipeline: pipelines.Pipeline, *, was_prefilled: bool) -> None:
        """Remove a request from the counts of its engines."""
        self.demand.streams -= 1
        self._running.subtract(pipeline.engines)
        if not was_prefilled:
            self._prefilling.subtract(pipeline.engines)


def _make_options(
    engine: backends.Backend,
    placement: plans.Placement | None,
    *,
    layer_seconds: float,
    cost_factor: float,
    stage_seconds: float,
    is_leaving: bool | None,
) -> collections.abc.Iterator[pipelines.StageOption]:
    """Yield the planned span, and at a higher cost all layers that are held."""
    held = engine.held
    if held is None or is_leaving is None:
        return
    planned = _intersect(placement.span, held) if placement else None
    if planned and len(planned) and not is_leaving:
        yield pipelines.StageOption(
            backend=engine,
            span=planned,
            layer_seconds=layer_seconds,
            cost_factor=cost_factor,
            stage_seconds=stage_seconds,
        )
    if planned != held or is_leaving:
        yield pipelines.StageOption(
            backend=engine,
            span=held,
            layer_seconds=layer_seconds,
            cost_factor=cost_factor * _UNPLANNED_COST_FACTOR,
            stage_seconds=stage_seconds,
        )


def _intersect(one: backends.Span, other: backends.Span) -> backends.Span:
    first = max(one.first, other.first)
    return backends.Span(first=first, end=max(first, min(one.end, other.end)))
