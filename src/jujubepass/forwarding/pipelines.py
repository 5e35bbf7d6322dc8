"""Search for the cheapest pipeline of engines through all layers of a model."""

import collections
import collections.abc
import math

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, declarations
from jujubepass.transport import _http_client

# A hop inside a failure domain takes 0.2 ms one way.
_HOP_SECONDS = 0.0002
# A link between failure domains carries the activations of each token, including the
# prompt: 56 MB per request, and the capacity is 24 such requests per second in total.
# Two crossings cost more than an engine with a slowdown of 12, so they are used only
# when layers are lost.
_CROSSING_SECONDS = 0.12
# The answer of a pipeline that begins in another failure domain crosses a link as well.
# The cost exceeds the difference between unloaded pipelines of two failure domains (8
# and 14 ms per token).
_REMOTE_ENTRY_SECONDS = 0.02


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


_State = tuple[int, ids.FailureDomainId]


def find_pipeline(
    model: declarations.Model,
    options: collections.abc.Sequence[StageOption],
    entry_domain: ids.FailureDomainId,
    entries: collections.abc.Set[ids.BackendServerId] | None = None,
) -> Pipeline | None:
    """Return the cheapest pipeline from a failure domain, or None.

    `entries` restricts the engines at which it may begin; None allows all.
    """
    bounds = {0, model.layers}
    for each in options:
        bounds |= {each.span.first, each.span.end}
    best: dict[_State, tuple[float, tuple[Stage, ...]]] = {}
    ordered = sorted(bound for bound in bounds if 0 <= bound <= model.layers)
    for layer in ordered[:-1]:
        for option in options:
            barred = entries is not None and option.backend.name not in entries
            if layer == 0 and barred:
                continue
            if option.span.first <= layer < option.span.end:
                _extend(best, option, layer, ordered, entry_domain)
    finals = [found for (end, _), found in best.items() if end == model.layers]
    if not finals:
        return None
    _, stages = min(finals, key=lambda found: found[0])
    seconds = {each.backend.name: each.layer_seconds for each in options}
    step_seconds = sum(
        len(stage.span) * seconds[stage.engine] + _HOP_SECONDS for stage in stages
    )
    return Pipeline(stages=stages, step_seconds=step_seconds)


def _extend(
    best: dict[_State, tuple[float, tuple[Stage, ...]]],
    option: StageOption,
    layer: int,
    ordered: list[int],
    entry_domain: ids.FailureDomainId,
) -> None:
    """Extend the best partial pipeline up to a layer by one more engine."""
    domain = option.backend.failure_domain
    before = _find_before(best, option, layer, entry_domain)
    if before is None:
        return
    cost, stages = before
    for end in ordered:
        if not layer < end <= option.span.end:
            continue
        seconds = (end - layer) * option.layer_seconds + _HOP_SECONDS
        total = cost + seconds * option.cost_factor + option.stage_seconds
        state = (end, domain)
        if total < best.get(state, (math.inf, ()))[0]:
            stage = Stage(
                engine=option.backend.name,
                address=option.backend.address,
                span=backends.Span(first=layer, end=end),
            )
            best[state] = (total, (*stages, stage))


def _find_before(
    best: dict[_State, tuple[float, tuple[Stage, ...]]],
    option: StageOption,
    layer: int,
    entry_domain: ids.FailureDomainId,
) -> tuple[float, tuple[Stage, ...]] | None:
    domain = option.backend.failure_domain
    if layer == 0:
        return (0.0 if domain == entry_domain else _REMOTE_ENTRY_SECONDS), ()
    found: tuple[float, tuple[Stage, ...]] | None = None
    for (end, last_domain), (cost, stages) in best.items():
        if end != layer or any(stage.engine == option.backend.name for stage in stages):
            continue
        total = cost + (_CROSSING_SECONDS if last_domain != domain else 0.0)
        if found is None or total < found[0]:
            found = total, stages
    return found
