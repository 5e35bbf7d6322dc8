"""Search for the cheapest route from the first layer to the last."""

import collections.abc
import heapq

import attrs

from jujubepass.answers import _answer_messages
from jujubepass.routing import _engine_costs


@attrs.frozen(kw_only=True)
class FoundRoute:
    """Describe the stages of a route with its predicted times."""

    stages: tuple[_answer_messages.Stage, ...]
    first_token_seconds: float
    token_seconds: float


@attrs.frozen(kw_only=True)
class _PartialRoute:
    """Describe a partial route by its last stage and its predecessor."""

    candidate: _engine_costs.Candidate
    first_layer: int
    end_layer: int
    first_token_seconds: float
    token_seconds: float
    previous: "_PartialRoute | None"


def find_route(
    costs: collections.abc.Sequence[tuple[float, _engine_costs.Candidate]],
    request: _engine_costs.RouteRequest,
) -> FoundRoute | None:
    """Run Dijkstra's algorithm over (layer boundary, last engine).

    An engine may be entered or left at any layer boundary within its own range.
    """
    ends = _list_ends(costs, request.layers)
    queue: list[tuple[float, int, int, _PartialRoute | None]] = [(0.0, 0, 0, None)]
    settled: set[tuple[int, str]] = set()
    sequence = 0
    while queue:
        cost, _, layer, partial = heapq.heappop(queue)
        if layer == request.layers and partial is not None:
            return _build_route(partial)
        state = (layer, partial.candidate.engine if partial else "")
        if state in settled:
            continue
        settled.add(state)
        for engine_cost, candidate in costs:
            if not candidate.first_layer <= layer < candidate.end_layer:
                continue
            if partial is not None and partial.candidate is candidate:
                continue
            link_seconds = (
                partial.candidate.get_link_seconds(candidate) if partial else 0.0
            )
            total_cost = cost + engine_cost + link_seconds * (request.tokens_left + 1)
            for end in ends:
                if layer < end <= candidate.end_layer:
                    extended = _extend(partial, candidate, layer, end, link_seconds)
                    sequence += 1
                    heapq.heappush(queue, (total_cost, sequence, end, extended))
    return None


def _list_ends(
    costs: collections.abc.Sequence[tuple[float, _engine_costs.Candidate]], layers: int
) -> list[int]:
    ends = {candidate.end_layer for _, candidate in costs}
    ends |= {candidate.first_layer for _, candidate in costs}
    return sorted((end for end in ends if 0 < end <= layers), reverse=True)


def _extend(
    partial: _PartialRoute | None,
    candidate: _engine_costs.Candidate,
    layer: int,
    end: int,
    link_seconds: float,
) -> _PartialRoute:
    first = partial.first_token_seconds if partial else 0.0
    token = partial.token_seconds if partial else 0.0
    return _PartialRoute(
        candidate=candidate,
        first_layer=layer,
        end_layer=end,
        first_token_seconds=first + candidate.first_token_seconds + link_seconds,
        token_seconds=token + candidate.token_seconds + link_seconds,
        previous=partial,
    )


def _build_route(partial: _PartialRoute) -> FoundRoute:
    stages = []
    current: _PartialRoute | None = partial
    first = partial
    while current is not None:
        stages.append(
            _answer_messages.Stage(
                engine=current.candidate.engine,
                address=current.candidate.address,
                first_layer=current.first_layer,
                end_layer=current.end_layer,
                kv_from=current.candidate.kv_from,
            )
        )
        first, current = current, current.previous
    return_link_seconds = (
        partial.candidate.get_link_seconds(first.candidate) if len(stages) > 1 else 0.0
    )
    return FoundRoute(
        stages=tuple(reversed(stages)),
        first_token_seconds=partial.first_token_seconds + return_link_seconds,
        token_seconds=partial.token_seconds + return_link_seconds,
    )
