"""Places a model's layers on engines so that every stage has room for tokens.

placements = make_placements(model, candidates)
"""

import collections
import collections.abc
import math

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, declarations, plans

# A request may name at most 32 engines; about 12 of them gave the calm day's best
# trade between the time a token takes and the room each engine has.
_ENGINES_PER_CHAIN = 12
_MOST_ENGINES_PER_CHAIN = 32
_ROOM_STEPS = 40
# Tokens for which an engine beside the chains keeps room: about 16 usual requests.
_BESIDE_TOKENS = 15_000.0
BESIDE = -1
"""Number of the chain of engines that hold layers beside the chains."""


@attrs.frozen(kw_only=True)
class Candidate:
    """Describe an engine that may hold layers, and where it stands now."""

    name: ids.BackendServerId
    failure_domain: ids.FailureDomainId
    accelerator: declarations.Accelerator
    placement: plans.Placement | None = None


Placements = dict[ids.BackendServerId, plans.Placement]
_Group = list[Candidate]
_Stage = tuple[backends.Span, declarations.Accelerator]


def make_placements(
    model: declarations.Model, candidates: collections.abc.Iterable[Candidate]
) -> Placements:
    """Place all layers anew, in as many chains as the engines make up."""
    placements: Placements = {}
    chain = 0
    for group in _group_by_domain(model, candidates):
        for members in _split_chains(model, group):
            spans = spread_layers(model, members)
            if spans is None:
                continue
            for name, span in spans.items():
                placements[name] = plans.Placement(span=span, chain=chain)
            chain += 1
    return placements


def mend_placements(
    model: declarations.Model,
    candidates: collections.abc.Sequence[Candidate],
    before: collections.abc.Mapping[ids.BackendServerId, plans.Placement],
) -> Placements:
    """Keep chains that are whole, and place the layers of the others anew.

    A chain that lost an engine takes in idle engines of its failure domain.
    """
    present = {each.name: each for each in candidates}
    chains: dict[int, list[ids.BackendServerId]] = collections.defaultdict(list)
    for name, placement in before.items():
        chains[placement.chain].append(name)
    placements: Placements = {}
    broken: list[list[Candidate]] = []
    for chain, names in chains.items():
        members = [present[name] for name in names if name in present]
        if len(members) == len(names) and chain >= 0:
            placements.update((name, before[name]) for name in names)
        elif chain >= 0:
            broken.append(members)
    used = {each.name for group in broken for each in group} | placements.keys()
    idle = [each for each in candidates if each.name not in used]
    next_chain = max(chains, default=-1) + 1
    for members in broken:
        spans = _mend_chain(model, members, idle)
        if spans is None:
            idle.extend(members)
            continue
        for name, span in spans.items():
            placements[name] = plans.Placement(span=span, chain=next_chain)
        idle = [each for each in idle if each.name not in spans]
        next_chain += 1
    placements.update(_place_anew(model, idle, next_chain))
    idle = [each for each in idle if each.name not in placements]
    placements.update(_place_beside(model, idle, placements, present))
    return placements


def _place_beside(
    model: declarations.Model,
    idle: collections.abc.Iterable[Candidate],
    placements: Placements,
    present: collections.abc.Mapping[ids.BackendServerId, Candidate],
) -> Placements:
    """Let engines that no chain needs hold the slowest layers a second time."""
    beside: Placements = {}
    for engine in idle:
        stages = [
            (placement.span, present[name].accelerator)
            for name, placement in placements.items()
            if present[name].failure_domain == engine.failure_domain
        ]
        taken = {placement.span for placement in beside.values()}
        span = _find_slowest_window(model, engine, stages, taken)
        if span is not None:
            beside[engine.name] = plans.Placement(span=span, chain=BESIDE)
    return beside


def _find_slowest_window(
    model: declarations.Model,
    engine: Candidate,
    stages: collections.abc.Sequence[_Stage],
    taken: collections.abc.Container[backends.Span],
) -> backends.Span | None:
    """Return the window over whole stages that takes the others longest."""
    most = _count_layers(model, engine, _BESIDE_TOKENS)
    best, best_seconds = None, 0.0
    for start, _ in stages:
        end, seconds = start.first, 0.0
        for span, accelerator in sorted(stages, key=lambda stage: stage[0].first):
            if span.first == end and span.end - start.first <= most:
                end = span.end
                seconds += len(span) * accelerator.step_pace
        window = backends.Span(first=start.first, end=end)
        if seconds > best_seconds and window not in taken:
            best, best_seconds = window, seconds
    return best


def _mend_chain(
    model: declarations.Model, members: list[Candidate], idle: list[Candidate]
) -> dict[ids.BackendServerId, backends.Span] | None:
    domains = {each.failure_domain for each in members}
    helpers = [each for each in idle if each.failure_domain in domains]
    room = _MOST_ENGINES_PER_CHAIN - len(members)
    return spread_layers(model, [*members, *helpers[:room]])


def _place_anew(
    model: declarations.Model, idle: list[Candidate], chain: int
) -> Placements:
    """Make chains of idle engines alone, where they suffice."""
    return {
        name: attrs.evolve(placement, chain=placement.chain + chain)
        for name, placement in make_placements(model, idle).items()
    }


def spread_layers(
    model: declarations.Model, members: collections.abc.Sequence[Candidate]
) -> dict[ids.BackendServerId, backends.Span] | None:
    """Give each engine a span with room for equally many tokens, or None.

    Engines keep the order of the spans they hold, so that few layers move.
    """
    if sum(_count_layers(model, each, 0.0) for each in members) < model.layers:
        return None
    tokens = _find_most_tokens(model, members)
    counts = {each.name: _count_layers(model, each, tokens) for each in members}
    _trim(model, members, counts)
    spans = {}
    first = 0
    for member in sorted(members, key=_order_key):
        if counts[member.name] > 0:
            end = first + counts[member.name]
            spans[member.name] = backends.Span(first=first, end=end)
            first = end
    return spans


def _order_key(member: Candidate) -> tuple[float, float, str]:
    held = member.placement.span.first if member.placement else math.inf
    return held, -member.accelerator.memory_megabytes, member.name


def _find_most_tokens(
    model: declarations.Model, members: collections.abc.Sequence[Candidate]
) -> float:
    """Return for how many tokens every stage can have room, by bisection."""
    memory = sum(each.accelerator.memory_megabytes for each in members)
    low, high = 0.0, 1_000.0 * memory / model.token_kilobytes
    for _ in range(_ROOM_STEPS):
        middle = (low + high) / 2.0
        if sum(_count_layers(model, each, middle) for each in members) >= model.layers:
            low = middle
        else:
            high = middle
    return low


def _count_layers(model: declarations.Model, engine: Candidate, tokens: float) -> int:
    """Return how many layers an engine holds beside so many tokens."""
    kv_megabytes = tokens * model.token_kilobytes / model.layers / 1_000.0
    fit = engine.accelerator.memory_megabytes / (model.layer_megabytes + kv_megabytes)
    return min(model.layers, int(fit))


def _trim(
    model: declarations.Model,
    members: collections.abc.Sequence[Candidate],
    counts: dict[ids.BackendServerId, int],
) -> None:
    """Take what is over the model's layers from the slowest engines."""
    surplus = sum(counts.values()) - model.layers
    by_name = {each.name: each for each in members}
    while surplus > 0:
        slowest = max(
            (name for name, count in counts.items() if count > 0),
            key=lambda name: (by_name[name].accelerator.step_pace, counts[name], name),
        )
        counts[slowest] -= 1
        surplus -= 1


def _group_by_domain(
    model: declarations.Model, candidates: collections.abc.Iterable[Candidate]
) -> list[_Group]:
    """Group engines by failure domain; those too small for the model join up."""
    groups: dict[ids.FailureDomainId, _Group] = collections.defaultdict(list)
    for each in candidates:
        groups[each.failure_domain].append(each)
    whole: list[_Group] = []
    small: list[_Group] = []
    for domain in sorted(groups):
        fits = _can_hold(model, groups[domain])
        (whole if fits else small).append(groups[domain])
    joined = [each for group in small for each in group]
    if joined and not _can_hold(model, joined) and whole:
        # They stay idle: helpers of the chains of their own domain have none.
        return whole
    return [*whole, joined] if joined else whole


def _can_hold(
    model: declarations.Model, group: collections.abc.Iterable[Candidate]
) -> bool:
    return sum(_count_layers(model, each, 0.0) for each in group) >= model.layers


def _split_chains(model: declarations.Model, group: _Group) -> list[_Group]:
    """Divide engines into chains of about equal memory that each hold the model."""
    wanted = max(1, round(len(group) / _ENGINES_PER_CHAIN))
    for count in range(wanted, 0, -1):
        chains: list[_Group] = [[] for _ in range(count)]
        largest_first = sorted(
            group, key=lambda each: (-each.accelerator.memory_megabytes, each.name)
        )
        for each in largest_first:
            least = min(chains, key=_sum_memory)
            if len(least) < _MOST_ENGINES_PER_CHAIN:
                least.append(each)
        if all(_can_hold(model, chain) for chain in chains):
            return chains
    return []


def _sum_memory(chain: _Group) -> float:
    return sum(each.accelerator.memory_megabytes for each in chain)
