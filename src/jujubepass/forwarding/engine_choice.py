"""Chooses the engines of a model request by what is listed, planned and suspected."""

import collections
import collections.abc

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    backends,
    board,
    declarations,
    paces,
    paths,
    plans,
    suspicion,
)

# Nodes of a failure domain share its engines; each sees only its own requests.
_NODES_PER_DOMAIN = 3
# Time in which a draining engine still gets requests that would otherwise wait for
# its successor; the bound (drainMs) is two seconds.
_DRAINING_USE_SECONDS = 1.0
# Requests wait, or push others out, where memory runs out: up to this share an engine
# is as good as an empty one, and full it is so many times as dear.
_ROOMY_FILL = 0.6
_FULL_FACTOR = 100.0
# An engine that says it is slow delays each token of all requests on its path.
_PACE_POWER = 2.0
# A prompt ahead delays a first event by its slowest stage, about a twelfth of its
# reading on paths of a dozen engines; that counts like as much over 16 tokens.
_QUEUE_TOKENS = 200.0
# Layers that an engine holds and is to give up are used where no other engine has
# them: three times as dear as the slowest kind is slower than the next.
_UNPLANNED_FACTOR = 3.0


@attrs.define(kw_only=True)
class EngineChoice:
    """Choose paths, and count this node's requests on each engine."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    paces: paces.Paces
    _running: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    _reading: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )

    def choose(
        self,
        service: declarations.Service,
        now: float,
        avoided: collections.abc.Set[ids.BackendServerId] = frozenset(),
        entries: collections.abc.Set[ids.BackendServerId] | None = None,
    ) -> paths.Path | None:
        """Return the cheapest path of engines that are up and in place.

        `entries` names the engines at which it may begin, if not at all of them.
        """
        assert service.model is not None
        options = list(self._list_options(service.name, service.model, now, avoided))
        return paths.find_path(
            service.model, options, self.blackboard.failure_domain, entries
        )

    def _list_options(
        self,
        service: ids.ServiceId,
        model: declarations.Model,
        now: float,
        avoided: collections.abc.Set[ids.BackendServerId],
    ) -> collections.abc.Iterator[paths.Option]:
        plan = self.blackboard.plans.plans.get(service)
        if plan is None:
            return
        for engine in self.blackboard.backends.listed.values():
            accelerator = model.accelerators.get(engine.accelerator)
            if engine.service != service or accelerator is None:
                continue
            if engine.held is None or engine.name in avoided:
                continue
            if self.suspects.is_suspect(engine.name, now):
                continue
            seconds = accelerator.step_pace * self._predict_step(model, engine.name)
            seconds += accelerator.read_pace * self._predict_queue(model, engine.name)
            weight = self._weigh_room(model, accelerator, engine)
            weight *= self.paces.find_pace(engine.name, now) ** _PACE_POWER
            yield from _make_options(
                engine,
                plan.placements.get(engine.name),
                layer_seconds=seconds / model.layers,
                weight=weight,
                is_leaving=self._is_leaving(engine, now),
            )

    def _predict_step(
        self, model: declarations.Model, engine: ids.BackendServerId
    ) -> float:
        shared = self._running[engine] * _NODES_PER_DOMAIN
        return model.step_seconds + model.sequence_seconds * shared

    def _predict_queue(
        self, model: declarations.Model, engine: ids.BackendServerId
    ) -> float:
        """Return what the prompts ahead cost each token, in seconds."""
        ahead = self._reading[engine] * _NODES_PER_DOMAIN
        return (
            ahead * model.prompt_tokens / model.read_tokens_per_second / _QUEUE_TOKENS
        )

    def _weigh_room(
        self,
        model: declarations.Model,
        accelerator: declarations.Accelerator,
        engine: backends.Backend,
    ) -> float:
        """Return how much dearer an engine is for the memory that requests take."""
        assert engine.held is not None
        free = accelerator.memory_megabytes - len(engine.held) * model.layer_megabytes
        request_tokens = model.prompt_tokens + model.answer_tokens / 2.0
        taken_tokens = self._running[engine.name] * _NODES_PER_DOMAIN * request_tokens
        token_kilobytes = model.token_kilobytes * len(engine.held) / model.layers
        fill = taken_tokens * token_kilobytes / max(1.0, free * 1_000.0)
        return 1.0 + _FULL_FACTOR * max(0.0, fill - _ROOMY_FILL)

    def _is_leaving(self, engine: backends.Backend, now: float) -> bool | None:
        """Tell whether an engine leaves; None when it takes nothing any more."""
        if engine.state is backends.BackendState.READY:
            return False
        since = self.blackboard.backends.draining_since.get(engine.name, 0.0)
        return True if now - since < _DRAINING_USE_SECONDS else None

    def find_running(
        self, engines: collections.abc.Mapping[ids.BackendServerId, int]
    ) -> set[ids.BackendServerId]:
        """Return which runs of engines, by their start, are still listed."""
        listed = self.blackboard.backends.listed
        return {
            name
            for name, started_at in engines.items()
            if name in listed and listed[name].started_at == started_at
        }

    def note_started(self, path: paths.Path) -> None:
        """Count a request on its engines, which read its prompt first."""
        self._running.update(path.engines)
        self._reading.update(path.engines)

    def note_read(self, path: paths.Path) -> None:
        """Note that the engines have read a request's prompt."""
        self._reading.subtract(path.engines)

    def note_ended(self, path: paths.Path, *, was_read: bool) -> None:
        """Take a request off its engines."""
        self._running.subtract(path.engines)
        if not was_read:
            self._reading.subtract(path.engines)


def _make_options(
    engine: backends.Backend,
    placement: plans.Placement | None,
    *,
    layer_seconds: float,
    weight: float,
    is_leaving: bool | None,
) -> collections.abc.Iterator[paths.Option]:
    """Offer the planned span, and at a price what else the engine holds."""
    held = engine.held
    if held is None or is_leaving is None:
        return
    planned = _intersect(placement.span, held) if placement else None
    if planned and len(planned) and not is_leaving:
        yield paths.Option(
            backend=engine, span=planned, layer_seconds=layer_seconds, weight=weight
        )
    if planned != held or is_leaving:
        yield paths.Option(
            backend=engine,
            span=held,
            layer_seconds=layer_seconds,
            weight=weight * _UNPLANNED_FACTOR,
        )


def _intersect(one: backends.Span, other: backends.Span) -> backends.Span:
    first = max(one.first, other.first)
    return backends.Span(first=first, end=max(first, min(one.end, other.end)))
