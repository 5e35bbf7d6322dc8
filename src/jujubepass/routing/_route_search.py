"""Finds the cheapest path of engines from the first layer to the last."""

import collections.abc
import heapq

import attrs

from jujubepass.answers import _answer_messages
from jujubepass.routing import _engine_costs


@attrs.frozen(kw_only=True)
class Path:
    """Hold the stages of a path with its predicted times."""

    stages: tuple[_answer_messages.Stage, ...]
    first_token_seconds: float
    token_seconds: float


@attrs.frozen(kw_only=True)
class _Step:
    """Hold the last stage of a partial path and what led to it."""

    candidate: _engine_costs.Candidate
    first_layer: int
    end_layer: int
    first_token_seconds: float
    token_seconds: float
    before: "_Step | None"


def find_path(
    costs: collections.abc.Sequence[tuple[float, _engine_costs.Candidate]],
    request: _engine_costs.RouteRequest,
) -> Path | None:
    """Run Dijkstra's algorithm over (layer boundary, last engine).

    An engine may be entered or left at any layer boundary within its own range.
    """
    ends = _list_ends(costs, request.layers)
    queue: list[tuple[float, int, int, _Step | None]] = [(0.0, 0, 0, None)]
    settled: set[tuple[int, str]] = set()
    order = 0
    while queue:
        cost, _, layer, step = heapq.heappop(queue)
        if layer == request.layers and step is not None:
            return _describe_path(step)
        state = (layer, step.candidate.engine if step else "")
        if state in settled:
            continue
        settled.add(state)
        for own_cost, candidate in costs:
            if not candidate.first_layer <= layer < candidate.end_layer:
                continue
            if step is not None and step.candidate is candidate:
                continue
            link = step.candidate.find_link(candidate) if step else 0.0
            total = cost + own_cost + link * (request.tokens_left + 1)
            for end in ends:
                if layer < end <= candidate.end_layer:
                    following = _extend(step, candidate, layer, end, link)
                    order += 1
                    heapq.heappush(queue, (total, order, end, following))
    return None


def _list_ends(
    costs: collections.abc.Sequence[tuple[float, _engine_costs.Candidate]], layers: int
) -> list[int]:
    ends = {candidate.end_layer for _, candidate in costs}
    ends |= {candidate.first_layer for _, candidate in costs}
    return sorted((end for end in ends if 0 < end <= layers), reverse=True)


def _extend(
    step: _Step | None,
    candidate: _engine_costs.Candidate,
    layer: int,
    end: int,
    link: float,
) -> _Step:
    first = step.first_token_seconds if step else 0.0
    token = step.token_seconds if step else 0.0
    return _Step(
        candidate=candidate,
        first_layer=layer,
        end_layer=end,
        first_token_seconds=first + candidate.first_token_seconds + link,
        token_seconds=token + candidate.token_seconds + link,
        before=step,
    )


def _describe_path(step: _Step) -> Path:
    stages = []
    last: _Step | None = step
    first = step
    while last is not None:
        stages.append(
            _answer_messages.Stage(
                engine=last.candidate.engine,
                address=last.candidate.address,
                first_layer=last.first_layer,
                end_layer=last.end_layer,
                kv_from=last.candidate.kv_from,
            )
        )
        first, last = last, last.before
    back = step.candidate.find_link(first.candidate) if len(stages) > 1 else 0.0
    return Path(
        stages=tuple(reversed(stages)),
        first_token_seconds=step.first_token_seconds + back,
        token_seconds=step.token_seconds + back,
    )
