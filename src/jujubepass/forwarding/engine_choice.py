"""Chooses the engines of a model request by what is listed, planned and suspected."""

import collections
import collections.abc

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    backend_list,
    backends,
    board,
    declarations,
    paths,
    suspicion,
)

# Nodes of a failure domain share its engines; each sees only its own requests.
_NODES_PER_DOMAIN = 3


@attrs.define(kw_only=True)
class EngineChoice:
    """Choose paths, and count this node's requests on each engine."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    _running: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )

    def choose(
        self,
        service: declarations.Service,
        now: float,
        avoided: collections.abc.Set[ids.BackendServerId] = frozenset(),
    ) -> paths.Path | None:
        """Return the cheapest path of engines that are up and in place."""
        assert service.model is not None
        options = list(self._list_options(service.name, service.model, now, avoided))
        return paths.find_path(service.model, options, self.blackboard.failure_domain)

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
        for engine in backend_list.list_ready(self.blackboard.backends, service):
            placement = plan.placements.get(engine.name)
            accelerator = model.accelerators.get(engine.accelerator)
            if placement is None or accelerator is None or engine.held is None:
                continue
            span = _intersect(placement.span, engine.held)
            if not len(span) or engine.name in avoided:
                continue
            if self.suspects.is_suspect(engine.name, now):
                continue
            shared = self._running[engine.name] * _NODES_PER_DOMAIN
            step = model.step_seconds + model.sequence_seconds * shared
            yield paths.Option(
                backend=engine,
                span=span,
                layer_seconds=accelerator.step_pace * step / model.layers,
            )

    def note_started(self, path: paths.Path) -> None:
        """Count a request on its engines."""
        self._running.update(path.engines)

    def note_ended(self, path: paths.Path) -> None:
        """Take a request off its engines."""
        self._running.subtract(path.engines)


def _intersect(one: backends.Span, other: backends.Span) -> backends.Span:
    first = max(one.first, other.first)
    return backends.Span(first=first, end=max(first, min(one.end, other.end)))
