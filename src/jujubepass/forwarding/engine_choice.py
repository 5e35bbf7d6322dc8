"""Choice of engines for a model request by list, plan, suspicion and load."""

import collections
import collections.abc

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    backends,
    board,
    declarations,
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


@attrs.define(kw_only=True)
class EngineChoice:
    """Choose pipelines and count this node's requests on each engine."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    slowdowns: slowdowns.SlowdownTracker
    silences: silences.Silences
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
        ignores_silence: bool = False,
    ) -> pipelines.Pipeline | None:
        """Return the cheapest pipeline of available engines, or None.

        `entries` restricts the engines at which it may begin; None allows all.
        """
        model = service.model
        assert model is not None
        domain = self.blackboard.failure_domain
        if not ignores_silence:
            avoided = self.silences.list_silent(now).union(avoided)
        listed = [
            engine
            for engine in self.blackboard.backends.listed.values()
            if engine.service == service.name and engine.name not in avoided
        ]
        local = [engine for engine in listed if engine.failure_domain == domain]
        if not ignores_silence:
            entries = self._remove_closed(listed, entries, now)
        options = list(self._list_options(service.name, model, local, now))
        found = pipelines.find_pipeline(model, options, domain, entries)
        # Engines elsewhere need not be compared, as none of them costs less than this.
        if found and found.cost_seconds <= pipelines.REMOTE_ENTRY_SECONDS:
            return found
        remote = [engine for engine in listed if engine.failure_domain != domain]
        options += self._list_options(service.name, model, remote, now)
        return pipelines.find_pipeline(model, options, domain, entries)

    def _remove_closed(
        self,
        listed: list[backends.Backend],
        entries: collections.abc.Set[ids.BackendServerId] | None,
        now: float,
    ) -> collections.abc.Set[ids.BackendServerId] | None:
        """Return the allowed first engines without those that asked for silence."""
        closed = self.silences.list_closed(now)
        if not closed:
            return entries
        return (entries or {each.name for each in listed}) - closed

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
        service: ids.ServiceId,
        model: declarations.Model,
        engines: collections.abc.Iterable[backends.Backend],
        now: float,
    ) -> collections.abc.Iterator[pipelines.StageOption]:
        plan = self.blackboard.plans.plans.get(service)
        if plan is None:
            return
        neighbors = members.count_neighbors(self.blackboard)
        for engine in engines:
            accelerator = model.accelerators.get(engine.accelerator)
            if accelerator is None or engine.held is None:
                continue
            if plan.excludes(engine):
                continue
            if self.suspects.is_suspected(engine.name, now):
                continue
            seconds = accelerator.step_slowdown * self._predict_step_seconds(
                model, engine.name, neighbors
            )
            seconds += accelerator.prefill_slowdown * self._predict_queue_delay(
                model, engine.name, neighbors
            )
            cost_factor = (
                self.slowdowns.get_slowdown(engine.name, now) ** _SLOWDOWN_EXPONENT
            )
            contention = self._compute_contention(model, accelerator, engine, neighbors)
            yield from _make_options(
                engine,
                plan.placements.get(engine.name),
                layer_seconds=seconds / model.layers,
                cost_factor=cost_factor,
                stage_seconds=contention,
                is_leaving=self._is_leaving(engine, now),
            )

    def _predict_step_seconds(
        self, model: declarations.Model, engine: ids.BackendServerId, neighbors: int
    ) -> float:
        shared = self._running[engine] * neighbors
        return model.step_seconds + model.step_seconds_per_sequence * shared

    def _predict_queue_delay(
        self, model: declarations.Model, engine: ids.BackendServerId, neighbors: int
    ) -> float:
        """Return the delay per token caused by queued prompts, in seconds."""
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
        neighbors: int,
    ) -> float:
        """Return the cost in seconds of the cache memory that requests use."""
        assert engine.held is not None
        free_megabytes = (
            accelerator.memory_megabytes - len(engine.held) * model.layer_megabytes
        )
        request_tokens = model.prompt_tokens + model.answer_tokens / 2.0
        # Counts the request to be sent, since other nodes add theirs at the same time.
        requests = (self._running[engine.name] + 1) * neighbors
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

    def record_start(self, pipeline: pipelines.Pipeline) -> None:
        """Count a request on its engines, in the prefill phase."""
        self.attempts[pipeline.stages[0].engine] += 1
        self._running.update(pipeline.engines)
        self._prefilling.update(pipeline.engines)

    def record_prefilled(self, pipeline: pipelines.Pipeline) -> None:
        """Record that the engines have processed a request's prompt."""
        self._prefilling.subtract(pipeline.engines)

    def record_end(self, pipeline: pipelines.Pipeline, *, was_prefilled: bool) -> None:
        """Remove a request from the counts of its engines."""
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
