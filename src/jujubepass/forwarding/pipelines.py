"""Search for the cheapest pipeline of engines through all layers of a model."""

import collections
import collections.abc
import math

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, declarations
from jujubepass.transport import _http_client

# A hop inside a failure domain takes 0.2 ms one way.
HOP_SECONDS = 0.0002
"""Time of a hop between two engines, per token."""
# A link between failure domains carries the activations of each token, including the
# prompt: 56 MB per request, and the capacity is 24 such requests per second in total.
# Two crossings cost more than an engine with a slowdown of 12, so they are used only
# when layers are lost.
CROSSING_SECONDS = 0.12
"""Cost of a crossing, and of a first engine that has no place left."""
# The answer of a pipeline that begins in another failure domain crosses a link as well.
# The cost exceeds the difference between unloaded pipelines of two failure domains (8
# and 14 ms per token).
REMOTE_ENTRY_SECONDS = 0.02
"""Least cost of a pipeline that uses another failure domain."""


@attrs.frozen(kw_only=True)
class Stage:
    """Assign a span of layers to one engine."""

    engine: ids.BackendServerId
    address: _http_client.Address
    span: backends.Span


@attrs.frozen(kw_only=True)
class Pipeline:
    """Describe the stages that run every layer once and in order."""

    stages: tuple[Stage, ...]
    step_seconds: float
    """Predicted time per token."""
    cost_seconds: float = math.inf
    """Predicted time per token with all factors and costs of the search."""
    spilled_to: ids.FailureDomainId | None = None
    """Failure domain of a pipeline that was chosen for lack of places here."""

    @property
    def engines(self) -> frozenset[ids.BackendServerId]:
        """Return the engines of the pipeline."""
        return frozenset(stage.engine for stage in self.stages)


@attrs.frozen(kw_only=True)
class StageOption:
    """Describe an engine that may run any part of a span, and its cost per layer."""

    backend: backends.Backend
    span: backends.Span
    layer_seconds: float
    """Time per layer and token."""
    cost_factor: float = 1.0
    """Factor on the predicted time."""
    stage_seconds: float = 0.0
    """Cost of a stage beside its predicted time."""


@attrs.frozen
class _Partial:
    """Describe the cheapest stages from the first layer up to some layer."""

    cost: float
    option: StageOption
    span: backends.Span
    before: "_Partial | None"

    def uses(self, engine: ids.BackendServerId) -> bool:
        """Return whether an engine runs one of the stages."""
        partial: _Partial | None = self
        while partial is not None:
            if partial.option.backend.name == engine:
                return True
            partial = partial.before
        return False

    def list_stages(self) -> list[Stage]:
        """Return the stages in order."""
        stages = []
        partial: _Partial | None = self
        while partial is not None:
            backend = partial.option.backend
            stage = Stage(
                engine=backend.name, address=backend.address, span=partial.span
            )
            stages.append(stage)
            partial = partial.before
        return stages[::-1]


_Reached = dict[ids.FailureDomainId, _Partial]
"""The cheapest stages up to one layer, by the failure domain of the last one."""


def find_pipeline(
    model: declarations.Model,
    options: collections.abc.Sequence[StageOption],
    entry_domain: ids.FailureDomainId,
    entries: collections.abc.Set[ids.BackendServerId] | None = None,
) -> Pipeline | None:
    """Return the cheapest pipeline from a failure domain, or None.

    `entries` restricts the engines at which it may begin; None allows all.
    """
    bounds = _list_bounds(model, options)
    options_by_bound = _index_options(options, bounds)
    reached: list[_Reached] = [{} for _ in bounds]
    for option, last in options_by_bound[0]:
        if entries is None or option.backend.name in entries:
            is_local = option.backend.failure_domain == entry_domain
            cost = 0.0 if is_local else REMOTE_ENTRY_SECONDS
            _extend(reached, bounds, 0, last, option, None, cost)
    for number in range(1, len(bounds) - 1):
        for option, last in options_by_bound[number]:
            before, cost = _find_before(reached[number], option)
            if before is not None:
                _extend(reached, bounds, number, last, option, before, cost)
    if not reached[-1]:
        return None
    cheapest = min(reached[-1].values(), key=lambda each: each.cost)
    stages = cheapest.list_stages()
    seconds = {each.backend.name: each.layer_seconds for each in options}
    step_seconds = sum(
        len(stage.span) * seconds[stage.engine] + HOP_SECONDS for stage in stages
    )
    return Pipeline(
        stages=tuple(stages), step_seconds=step_seconds, cost_seconds=cheapest.cost
    )


def _list_bounds(
    model: declarations.Model, options: collections.abc.Sequence[StageOption]
) -> list[int]:
    """Return the layers at which stages may begin or end, in order."""
    found = {0, model.layers}
    for each in options:
        found |= {each.span.first, each.span.end}
    return sorted(bound for bound in found if 0 <= bound <= model.layers)


def _index_options(
    options: collections.abc.Sequence[StageOption], bounds: list[int]
) -> list[list[tuple[StageOption, int]]]:
    """Return, for each bound, the options that may go on from it.

    Each option is listed with the number of the last bound that it reaches.
    """
    numbers = {bound: number for number, bound in enumerate(bounds)}
    indexed: list[list[tuple[StageOption, int]]] = [[] for _ in bounds]
    for option in options:
        first = numbers.get(option.span.first)
        last = numbers.get(option.span.end)
        if first is None or last is None:
            continue
        for number in range(first, last):
            indexed[number].append((option, last))
    return indexed


def _find_before(
    reached: _Reached, option: StageOption
) -> tuple[_Partial | None, float]:
    """Return the cheapest stages to go on from, with the cost of crossing to here."""
    engine, domain = option.backend.name, option.backend.failure_domain
    found, cost = None, math.inf
    for last_domain, partial in reached.items():
        total = partial.cost + (CROSSING_SECONDS if last_domain != domain else 0.0)
        if total < cost and not partial.uses(engine):
            found, cost = partial, total
    return found, cost


def _extend(
    reached: list[_Reached],
    bounds: list[int],
    number: int,
    last: int,
    option: StageOption,
    before: _Partial | None,
    cost: float,
) -> None:
    """Extend stages up to a bound by one engine, to each bound that it reaches."""
    domain, first = option.backend.failure_domain, bounds[number]
    for reached_number in range(number + 1, last + 1):
        end = bounds[reached_number]
        seconds = (end - first) * option.layer_seconds + HOP_SECONDS
        total = cost + seconds * option.cost_factor + option.stage_seconds
        known = reached[reached_number].get(domain)
        if known is None or total < known.cost:
            reached[reached_number][domain] = _Partial(
                total, option, backends.Span(first=first, end=end), before
            )
