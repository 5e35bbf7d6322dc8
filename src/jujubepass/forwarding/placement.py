"""Placement of a model's layers so that every stage has token capacity.

placements = make_placements(model, candidates)
"""

import collections
import collections.abc
import math

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, chains, declarations, plans

# A pipeline may have at most 32 engines; with about 12 the balance between the time per
# token and the capacity of each engine is best.
_ENGINES_PER_CHAIN = 12
# Share of a chain's target capacity that an engine outside the chains keeps free. It
# corresponds to the load of one failure domain: 25 requests out of 96.
_EXTRA_CAPACITY_SHARE = 0.37
# Least share of a chain's target capacity with which engines that are left over form a
# chain of their own. Half of the requests that a first engine takes at once are worth
# more to callers than second copies of layers.
_MIN_FURTHER_CAPACITY_SHARE = 0.5
OUTSIDE_CHAINS = -1
"""Chain number of engines that hold additional layers outside the chains."""

Candidate = chains.Candidate
Placements = dict[ids.BackendServerId, plans.Placement]
_Group = list[Candidate]
_Stage = tuple[backends.Span, declarations.Accelerator]


def make_placements(
    model: declarations.Model, candidates: collections.abc.Iterable[Candidate]
) -> Placements:
    """Place all layers from scratch, in as many chains as the engines allow."""
    placements: Placements = {}
    chain = 0
    for group in _group_by_domain(model, candidates):
        for members in _split_chains(model, group):
            needed = chains.select_needed(model, members)
            spans = chains.spread_layers(model, needed)
            if spans is None:
                continue
            for name, span in spans.items():
                placements[name] = plans.Placement(span=span, chain=chain)
            chain += 1
        for spans in _make_further_chains(model, group, placements):
            for name, span in spans.items():
                placements[name] = plans.Placement(span=span, chain=chain)
            chain += 1
    return placements


def _make_further_chains(
    model: declarations.Model,
    group: collections.abc.Iterable[Candidate],
    placements: collections.abc.Container[ids.BackendServerId],
) -> collections.abc.Iterator[chains.Spans]:
    """Yield chains of the engines that are in none, as long as they have capacity."""
    left = [each for each in group if each.name not in placements]
    while left:
        left.sort(key=lambda each: (-each.accelerator.memory_megabytes, each.name))
        members = left[: chains.MAX_ENGINES]
        if not chains.can_hold(model, members):
            return
        capacity = chains.compute_token_capacity(model, members, model.layers)
        needed_tokens = _MIN_FURTHER_CAPACITY_SHARE * chains.compute_target_tokens(
            model
        )
        if capacity < needed_tokens:
            return
        spans = chains.spread_layers(model, chains.select_needed(model, members))
        if spans is None:
            return
        yield spans
        left = [each for each in left if each.name not in spans]


def repair_placements(
    model: declarations.Model,
    candidates: collections.abc.Sequence[Candidate],
    before: collections.abc.Mapping[ids.BackendServerId, plans.Placement],
) -> Placements:
    """Keep complete chains and fill the gaps of others.

    Few engines around a gap change; idle ones of the same failure domain are used.
    """
    present = {each.name: each for each in candidates}
    names_by_chain: dict[int, list[ids.BackendServerId]] = collections.defaultdict(list)
    for name, placement in before.items():
        if placement.chain != OUTSIDE_CHAINS:
            names_by_chain[placement.chain].append(name)
    in_chains = {name for names in names_by_chain.values() for name in names}
    idle = [each for each in candidates if each.name not in in_chains]
    placements: Placements = {}
    for number, names in sorted(names_by_chain.items()):
        members = [present[name] for name in names if name in present]
        lost = [before[name].span for name in names if name not in present]
        mended = chains.repair_chain(model, members, lost, idle)
        if mended is None:
            idle.extend(members)
            continue
        for name, span in mended.items():
            placements[name] = plans.Placement(span=span, chain=number)
        idle = [each for each in idle if each.name not in mended]
    next_chain = max(names_by_chain, default=-1) + 1
    for name, placement in make_placements(model, idle).items():
        placements[name] = attrs.evolve(placement, chain=placement.chain + next_chain)
    idle = [each for each in idle if each.name not in placements]
    placements.update(_place_outside_chains(model, idle, placements, present))
    return placements


def count_chains(
    candidates: collections.abc.Iterable[Candidate], placements: Placements
) -> dict[ids.FailureDomainId, int]:
    """Return how many chains begin in each failure domain."""
    found: collections.Counter[ids.FailureDomainId] = collections.Counter()
    for each in candidates:
        placed = placements.get(each.name)
        if placed is not None and placed.chain != OUTSIDE_CHAINS:
            found[each.failure_domain] += placed.span.first == 0
    return dict(found)


def _place_outside_chains(
    model: declarations.Model,
    idle: collections.abc.Iterable[Candidate],
    placements: Placements,
    present: collections.abc.Mapping[ids.BackendServerId, Candidate],
) -> Placements:
    """Assign a second copy of the slowest layers to engines that no chain needs."""
    extra: Placements = {}
    for engine in idle:
        held = engine.placement
        if held is not None and held.chain == OUTSIDE_CHAINS:
            extra[engine.name] = held
            continue
        stages = [
            (placement.span, present[name].accelerator)
            for name, placement in placements.items()
            if present[name].failure_domain == engine.failure_domain
        ]
        taken = {placement.span for placement in extra.values()}
        span = _find_slowest_window(model, engine, stages, taken)
        if span is not None:
            extra[engine.name] = plans.Placement(span=span, chain=OUTSIDE_CHAINS)
    return extra


def _find_slowest_window(
    model: declarations.Model,
    engine: Candidate,
    stages: collections.abc.Sequence[_Stage],
    taken: collections.abc.Container[backends.Span],
) -> backends.Span | None:
    """Return the span of whole stages that takes the other engines the longest."""
    tokens = _EXTRA_CAPACITY_SHARE * chains.compute_target_tokens(model)
    max_layers = chains.count_fitting_layers(model, engine, tokens)
    best, best_seconds = None, 0.0
    for start, _ in stages:
        end, seconds = start.first, 0.0
        for span, accelerator in sorted(stages, key=lambda stage: stage[0].first):
            if span.first == end and span.end - start.first <= max_layers:
                end = span.end
                seconds += len(span) * accelerator.step_slowdown
        window = backends.Span(first=start.first, end=end)
        if seconds > best_seconds and window not in taken:
            best, best_seconds = window, seconds
    return best


def _group_by_domain(
    model: declarations.Model, candidates: collections.abc.Iterable[Candidate]
) -> list[_Group]:
    """Group engines by failure domain; combine groups too small for the model."""
    groups: dict[ids.FailureDomainId, _Group] = collections.defaultdict(list)
    for each in candidates:
        groups[each.failure_domain].append(each)
    sufficient: list[_Group] = []
    small: list[_Group] = []
    for domain in sorted(groups):
        fits = chains.can_hold(model, groups[domain])
        (sufficient if fits else small).append(groups[domain])
    combined = [each for group in small for each in group]
    return [*sufficient, combined] if chains.can_hold(model, combined) else sufficient


def _split_chains(model: declarations.Model, group: _Group) -> list[_Group]:
    """Divide engines into chains of similar memory that can each hold the model."""
    target_count = max(1, round(len(group) / _ENGINES_PER_CHAIN))
    for count in range(target_count, 0, -1):
        groups: list[_Group] = [[] for _ in range(count)]
        largest_first = sorted(
            group, key=lambda each: (-each.accelerator.memory_megabytes, each.name)
        )
        for each in largest_first:
            smallest = min(groups, key=_sum_memory)
            if len(smallest) < chains.MAX_ENGINES:
                smallest.append(each)
        if all(chains.can_hold(model, members) for members in groups):
            return groups
    return []


def _sum_memory(chain: _Group) -> float:
    return math.fsum(each.accelerator.memory_megabytes for each in chain)
