"""Stages that engines may run, and what their load costs."""

import collections.abc

import attrs

from jujubepass.forwarding import backends, board, declarations, pipelines, plans
from jujubepass.spreading import loads

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
# A queued prompt delays the first event by its time on the slowest stage, about 1/12 of
# its prefill time in pipelines of a dozen engines. Spread over 16 tokens, that is about
# 1/200 of the prefill time per token.
_QUEUE_DELAY_TOKENS = 200.0
# Layers that an engine still holds but is to unload are used only where no other engine
# has them: the factor is three times the ratio of the slowest kind of accelerator to
# the next.
_UNPLANNED_COST_FACTOR = 3.0


@attrs.frozen(kw_only=True)
class Work:
    """Describe what is estimated to run on an engine."""

    requests: float
    step_seconds: float
    """Time of a step of all layers at normal speed."""
    queue_seconds: float
    """Delay per token caused by queued prompts."""
    starting: float
    """Requests that nodes may start at the same time as this one."""


def predict_queue_delay(model: declarations.Model, queued_prompts: float) -> float:
    """Return the delay per token caused by queued prompts, in seconds."""
    return (
        queued_prompts
        * model.prompt_tokens
        / model.prefill_tokens_per_second
        / _QUEUE_DELAY_TOKENS
    )


def compute_contention(
    model: declarations.Model,
    accelerator: declarations.Accelerator,
    engine: backends.Backend,
    requests: float,
) -> float:
    """Return the cost in seconds of the cache memory that requests use."""
    assert engine.held is not None
    free_megabytes = (
        accelerator.memory_megabytes - len(engine.held) * model.layer_megabytes
    )
    used_tokens = requests * loads.compute_request_tokens(model)
    token_kilobytes = model.token_kilobytes * len(engine.held) / model.layers
    used_share = used_tokens * token_kilobytes / max(1.0, free_megabytes * 1_000.0)
    return _CONTENTION_SECONDS * max(0.0, used_share - _UNCONTENDED_MEMORY_SHARE)


def make_options(
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


def is_leaving(
    blackboard: board.Blackboard, engine: backends.Backend, now: float
) -> bool | None:
    """Return whether an engine is leaving; None if it accepts no more requests."""
    if engine.state is backends.BackendState.READY:
        return False
    since = blackboard.backends.draining_since.get(engine.name, 0.0)
    bound_seconds = 0.001 * blackboard.bounds.drain_milliseconds
    use_seconds = min(_MAX_DRAINING_USE_SECONDS, _DRAINING_USE_SHARE * bound_seconds)
    return True if now - since < use_seconds else None
