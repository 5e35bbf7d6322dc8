"""Distribution of layers over the engines of a chain, and repair of chains.

spans = spread_layers(model, members)
"""

import collections.abc
import math

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, declarations, plans

MAX_ENGINES = 32
"""Maximum number of engines in one pipeline, as set by the platform."""
_BISECTION_STEPS = 40
# A gap is filled by the fewest engines whose token capacity is at least this share of
# what all engines of the chain together would have.
_SUFFICIENT_CAPACITY_SHARE = 0.5


@attrs.frozen(kw_only=True)
class Candidate:
    """Describe an engine that may hold layers, and its current placement."""

    name: ids.BackendServerId
    failure_domain: ids.FailureDomainId
    accelerator: declarations.Accelerator
    placement: plans.Placement | None = None


Spans = dict[ids.BackendServerId, backends.Span]


def spread_layers(
    model: declarations.Model,
    members: collections.abc.Sequence[Candidate],
    window: backends.Span | None = None,
) -> Spans | None:
    """Assign spans so that all engines have capacity for equally many tokens.

    Spans follow the order of the current ones. Returns None if the engines cannot hold
    the window, which defaults to all layers.
    """
    window = window or backends.Span(first=0, end=model.layers)
    if not can_hold(model, members, len(window)):
        return None
    tokens = compute_token_capacity(model, members, len(window))
    counts = {each.name: count_fitting_layers(model, each, tokens) for each in members}
    _remove_surplus(members, counts, len(window))
    spans: Spans = {}
    first = window.first
    for member in sorted(members, key=_make_order_key):
        if counts[member.name] > 0:
            end = first + counts[member.name]
            spans[member.name] = backends.Span(first=first, end=end)
            first = end
    return spans


def select_needed(
    model: declarations.Model, members: collections.abc.Sequence[Candidate]
) -> list[Candidate]:
    """Return the fastest engines with capacity for an engine's maximum of requests.

    Further, slower engines would only lengthen the pipeline.
    """
    target_tokens = compute_target_tokens(model)
    needed = sorted(members, key=lambda each: _make_speed_key(model, each))
    while (
        len(needed) > 1
        and compute_token_capacity(model, needed[:-1], model.layers) >= target_tokens
    ):
        needed.pop()
    return needed


def compute_target_tokens(model: declarations.Model) -> float:
    """Return the tokens of the maximum number of typical requests on an engine."""
    return model.slots * (model.prompt_tokens + model.answer_tokens / 2.0)


def _make_speed_key(
    model: declarations.Model, member: Candidate
) -> tuple[float, float, str]:
    """Return a sort key: seconds per layer for a typical request, then memory."""
    decode_seconds = (
        model.answer_tokens * model.step_seconds * member.accelerator.step_slowdown
    )
    prefill_seconds = model.prompt_tokens / model.prefill_tokens_per_second
    seconds = decode_seconds + prefill_seconds * member.accelerator.prefill_slowdown
    return seconds, -member.accelerator.memory_megabytes, member.name


def can_hold(
    model: declarations.Model,
    members: collections.abc.Iterable[Candidate],
    layers: int | None = None,
) -> bool:
    """Return whether engines can hold a number of layers, by default all of them."""
    total = sum(count_fitting_layers(model, each, 0.0) for each in members)
    return total >= (model.layers if layers is None else layers)


def compute_token_capacity(
    model: declarations.Model,
    members: collections.abc.Sequence[Candidate],
    layers: int,
) -> float:
    """Return the token capacity that every engine can have, found by bisection."""
    memory = sum(each.accelerator.memory_megabytes for each in members)
    low, high = 0.0, 1_000.0 * memory / model.token_kilobytes * model.layers / layers
    for _ in range(_BISECTION_STEPS):
        middle = (low + high) / 2.0
        if sum(count_fitting_layers(model, each, middle) for each in members) >= layers:
            low = middle
        else:
            high = middle
    return low


def count_fitting_layers(
    model: declarations.Model, engine: Candidate, tokens: float
) -> int:
    """Return how many layers fit on an engine along with the cache of some tokens."""
    kv_megabytes = tokens * model.token_kilobytes / model.layers / 1_000.0
    fit = engine.accelerator.memory_megabytes / (model.layer_megabytes + kv_megabytes)
    return min(model.layers, int(fit))


def repair_chain(
    model: declarations.Model,
    members: collections.abc.Sequence[Candidate],
    lost: collections.abc.Iterable[backends.Span],
    idle: collections.abc.Iterable[Candidate],
) -> Spans | None:
    """Reassign lost spans to nearby engines; return None if they do not fit.

    Engines that are not next to a gap keep their spans.
    """
    spans = {each.name: each.placement.span for each in members if each.placement}
    present = {each.name: each for each in members}
    domains = {each.failure_domain for each in members}
    spares = [each for each in idle if each.failure_domain in domains]
    for gap in sorted(lost, key=lambda span: span.first):
        filled = _fill_gap(model, present, spans, gap, spares)
        if filled is None:
            return None
        spans.update(filled)
        for name in filled.keys() - present.keys():
            present[name] = next(each for each in spares if each.name == name)
        spares = [each for each in spares if each.name not in spans]
    return spans


def _fill_gap(
    model: declarations.Model,
    present: collections.abc.Mapping[ids.BackendServerId, Candidate],
    spans: collections.abc.Mapping[ids.BackendServerId, backends.Span],
    gap: backends.Span,
    spares: collections.abc.Sequence[Candidate],
) -> Spans | None:
    """Return the changed spans, for the fewest engines with sufficient capacity.

    A spare engine that already holds the gap loads nothing, and using an empty one
    affects no other. Rather than clear a spare that serves requests, neighbors of the
    gap load a few layers each.
    """
    for each in spares:
        if each.placement is not None and _covers(each.placement.span, gap):
            return {each.name: gap}
    spare = _choose_spare(model, gap, spares)
    is_empty = any(each.placement is None for each in spares)
    sufficient = _SUFFICIENT_CAPACITY_SHARE * _compute_chain_capacity(
        model, present, spare
    )
    found: Spans | None = None
    for added in (spare,) if is_empty else (None, spare):
        spread, capacity = _spread_around(model, present, spans, gap, added, sufficient)
        found = spread or found
        if capacity >= sufficient:
            break
    return found


def _spread_around(
    model: declarations.Model,
    present: collections.abc.Mapping[ids.BackendServerId, Candidate],
    spans: collections.abc.Mapping[ids.BackendServerId, backends.Span],
    gap: backends.Span,
    spare: Candidate | None,
    sufficient: float,
) -> tuple[Spans | None, float]:
    """Return spans for the fewest engines around a gap, and their token capacity."""
    before = sorted(
        (each for each in present if spans[each].end <= gap.first),
        key=lambda each: -spans[each].first,
    )
    after = sorted(
        (each for each in present if spans[each].first >= gap.end),
        key=lambda each: spans[each].first,
    )
    found: Spans | None = None
    capacity = 0.0
    for radius in range(max(len(before), len(after)) + 1):
        near = [*before[:radius], *after[:radius]]
        window = backends.Span(
            first=min((spans[each].first for each in near), default=gap.first),
            end=max((spans[each].end for each in near), default=gap.end),
        )
        window = backends.Span(
            first=min(window.first, gap.first), end=max(window.end, gap.end)
        )
        group = [_place_at(present[each], spans[each]) for each in near]
        group += [spare] if spare is not None else []
        spread = spread_layers(model, group, window) if group else None
        if spread is None or len(spread) < len(near):
            continue
        found, capacity = spread, compute_token_capacity(model, group, len(window))
        if capacity >= sufficient:
            break
    return found, capacity


def _covers(span: backends.Span, gap: backends.Span) -> bool:
    return span.first <= gap.first and gap.end <= span.end


def _place_at(member: Candidate, span: backends.Span) -> Candidate:
    placement = plans.Placement(span=span, chain=0)
    return attrs.evolve(member, placement=placement)


def _choose_spare(
    model: declarations.Model,
    gap: backends.Span,
    spares: collections.abc.Sequence[Candidate],
) -> Candidate | None:
    """Return the smallest spare engine that can hold the gap alone, or the largest.

    Empty engines are preferred to those that hold layers outside the chains.
    """
    if not spares:
        return None
    alone = [
        each for each in spares if count_fitting_layers(model, each, 0.0) > len(gap)
    ]
    if alone:
        chosen = min(
            alone,
            key=lambda each: (
                each.placement is not None,
                each.accelerator.memory_megabytes,
            ),
        )
    else:
        chosen = max(
            spares,
            key=lambda each: (
                each.placement is None,
                each.accelerator.memory_megabytes,
            ),
        )
    return _place_at(chosen, gap)


def _compute_chain_capacity(
    model: declarations.Model,
    present: collections.abc.Mapping[ids.BackendServerId, Candidate],
    spare: Candidate | None,
) -> float:
    group = [*present.values(), *([spare] if spare is not None else [])]
    if not can_hold(model, group):
        return 0.0
    return compute_token_capacity(model, group, model.layers)


def _make_order_key(member: Candidate) -> tuple[float, float, str]:
    held = member.placement.span.first if member.placement else math.inf
    return held, -member.accelerator.memory_megabytes, member.name


def _remove_surplus(
    members: collections.abc.Sequence[Candidate],
    counts: dict[ids.BackendServerId, int],
    layers: int,
) -> None:
    """Remove surplus layers, starting with the slowest engines."""
    surplus = sum(counts.values()) - layers
    by_name = {each.name: each for each in members}
    while surplus > 0:
        slowest = max(
            (name for name, count in counts.items() if count > 0),
            key=lambda name: (
                by_name[name].accelerator.step_slowdown,
                counts[name],
                name,
            ),
        )
        counts[slowest] -= 1
        surplus -= 1
