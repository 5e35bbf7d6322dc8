"""Chains of a plan as pipelines that can run now, and the places of each."""

import collections
import collections.abc
import math

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, declarations, pipelines, plans
from jujubepass.spreading import loads

# Share of the goal for gaps that predicted gaps may use; the rest covers requests that
# the view does not have yet.
_USED_GAP_SHARE = 0.9
# Prompts that are read within one gap vary by chance. A stream is late after one long
# gap among some forty, so that gaps with this many deviations more must be in time.
_PROMPT_DEVIATIONS = 3.0

FindSlowdown = collections.abc.Callable[[ids.BackendServerId], float]


@attrs.frozen(kw_only=True)
class ChainStage:
    """Describe an engine's part of a chain."""

    engine: ids.BackendServerId
    layers: int
    accelerator: declarations.Accelerator


@attrs.frozen(kw_only=True)
class Chain:
    """Describe listed engines that hold all layers in order, as planned."""

    failure_domain: ids.FailureDomainId
    """Failure domain of the first engine."""
    stages: tuple[ChainStage, ...]
    engines: frozenset[ids.BackendServerId]
    is_crossing: bool
    """Whether the engines are in several failure domains."""
    max_requests: int
    """Requests that the slots and the free memory hold."""

    @property
    def entry(self) -> ids.BackendServerId:
        """Return the first engine."""
        return self.stages[0].engine


@attrs.frozen(kw_only=True)
class Pace:
    """Describe the time of a pipeline's step as a line over the running requests."""

    idle_seconds: float
    seconds_per_request: float
    prompt_seconds: float = 0.0
    """Time in which all stages read the prompt of a typical request."""

    def predict(self, requests: float) -> float:
        """Return the time of a step while some requests run."""
        return self.idle_seconds + requests * self.seconds_per_request


def list_chains(
    model: declarations.Model,
    plan: plans.Plan,
    listed: collections.abc.Mapping[ids.BackendServerId, backends.Backend],
) -> tuple[Chain, ...]:
    """Return the chains of a plan whose engines all hold their layers."""
    members: dict[int, list[tuple[backends.Span, backends.Backend]]]
    members = collections.defaultdict(list)
    for name, placement in plan.placements.items():
        engine = listed.get(name)
        if placement.chain >= 0 and engine is not None and _can_run(engine, plan):
            members[placement.chain].append((placement.span, engine))
    found = (_make_chain(model, each) for _, each in sorted(members.items()))
    return tuple(each for each in found if each is not None)


def _can_run(engine: backends.Backend, plan: plans.Plan) -> bool:
    """Return whether an engine takes requests and holds the layers planned for it."""
    held, span = engine.held, plan.placements[engine.name].span
    if engine.state is not backends.BackendState.READY or plan.excludes(engine):
        return False
    return held is not None and held.first <= span.first < span.end <= held.end


def _make_chain(
    model: declarations.Model,
    members: list[tuple[backends.Span, backends.Backend]],
) -> Chain | None:
    """Return a chain of engines, or None if a layer is missing."""
    members.sort(key=lambda each: each[0].first)
    stages, end = [], 0
    for span, engine in members:
        accelerator = model.accelerators.get(engine.accelerator)
        if span.first != end or accelerator is None:
            return None
        end = span.end
        stages.append(
            ChainStage(engine=engine.name, layers=len(span), accelerator=accelerator)
        )
    if end != model.layers:
        return None
    return Chain(
        failure_domain=members[0][1].failure_domain,
        stages=tuple(stages),
        engines=frozenset(each.engine for each in stages),
        is_crossing=len({each.failure_domain for _, each in members}) > 1,
        max_requests=count_fitting_requests(model, stages),
    )


def count_fitting_requests(
    model: declarations.Model, stages: collections.abc.Iterable[ChainStage]
) -> int:
    """Return how many requests the slots and the free memory of all stages hold."""
    token_kilobytes = max(1e-9, model.token_kilobytes / model.layers)
    tokens = min(
        (
            1_000.0
            * (each.accelerator.memory_megabytes - each.layers * model.layer_megabytes)
            / (each.layers * token_kilobytes)
        )
        for each in stages
    )
    request_tokens = max(1.0, loads.compute_request_tokens(model))
    return max(0, min(model.slots, int(tokens / request_tokens)))


def compute_pace(
    model: declarations.Model,
    stages: collections.abc.Sequence[ChainStage],
    find_slowdown: FindSlowdown,
) -> Pace:
    """Return the time of a step of all stages, at the slowdowns engines report."""
    weight = sum(
        each.layers * each.accelerator.step_slowdown * find_slowdown(each.engine)
        for each in stages
    )
    weight /= model.layers
    hop_seconds = len(stages) * pipelines.HOP_SECONDS
    prompt_seconds = model.prompt_tokens / model.prefill_tokens_per_second
    read_weight = sum(
        each.layers * each.accelerator.prefill_slowdown * find_slowdown(each.engine)
        for each in stages
    )
    return Pace(
        prompt_seconds=prompt_seconds * read_weight / model.layers,
        idle_seconds=hop_seconds
        + loads.predict_step_seconds(model, 0.0, slowdown=weight),
        seconds_per_request=weight * loads.compute_sequence_seconds(model),
    )


def count_places(
    model: declarations.Model, pace: Pace, max_requests: int, gap_seconds: float
) -> int:
    """Return how many requests a first engine may have at once.

    A pipeline too slow for the goal even with one request keeps one place, so that
    goals nobody can meet do not close a service.
    """
    if math.isinf(gap_seconds) or pace.seconds_per_request <= 0.0:
        return max(1, max_requests)
    longest = _USED_GAP_SHARE * gap_seconds
    least, most = 1, max(1, max_requests)
    while least < most:
        middle = (least + most + 1) // 2
        if _predict_gap(model, pace, middle) <= longest:
            least = middle
        else:
            most = middle - 1
    return least


def _predict_gap(model: declarations.Model, pace: Pace, requests: int) -> float:
    """Return the longest usual time between two events of a stream.

    Each request brings one prompt in the time of all its events.
    """
    prompts = requests * model.stride / max(model.stride, model.answer_tokens)
    prompts += _PROMPT_DEVIATIONS * math.sqrt(prompts)
    return model.stride * pace.predict(requests) + prompts * pace.prompt_seconds
