"""Plans routes over engines that hold ranges of a model's layers."""

import collections.abc
import heapq
import typing

import attrs

from jujubepass import _answer_messages, _blackboard, ids

_DEFAULT_LINK_SECONDS = 0.005


@attrs.frozen(kw_only=True)
class RouteRequest:
    """State what a route must serve."""

    model: ids.ModelId
    layers: int
    prompt: tuple[str, ...]
    tokens_left: int
    avoided: frozenset[ids.BackendServerId]


@attrs.frozen(kw_only=True)
class Route:
    """Hold a route with its predicted times."""

    stages: tuple[_answer_messages.Stage, ...]
    first_token_seconds: float
    token_seconds: float


class RoutePolicy(typing.Protocol):
    """Choose a route for a request."""

    def plan_route(
        self, request: RouteRequest, blackboard: _blackboard.Blackboard, now: float
    ) -> Route | None:
        """Return a route that covers each layer once, or None."""


@attrs.frozen(kw_only=True)
class _Candidate:
    """Hold an engine with its predicted times for one request."""

    engine: ids.BackendServerId
    stage: _answer_messages.Stage
    first_token_seconds: float
    token_seconds: float
    link_seconds: collections.abc.Mapping[str, float]


@attrs.frozen(kw_only=True)
class PredictedTimePolicy:
    """Choose the route with the least predicted time for the whole answer."""

    def plan_route(
        self, request: RouteRequest, blackboard: _blackboard.Blackboard, now: float
    ) -> Route | None:
        """Return the fastest path from the first layer to the last, or None."""
        candidates: dict[int, list[_Candidate]] = {}
        for candidate in _list_candidates(request, blackboard):
            candidates.setdefault(candidate.stage.first_layer, []).append(candidate)
        return _search(request, candidates)


def _list_candidates(
    request: RouteRequest, blackboard: _blackboard.Blackboard
) -> collections.abc.Iterator[_Candidate]:
    area = blackboard.answers
    for name, engine in blackboard.backends.engines.items():
        report = engine.report
        if report is None or engine.leaving or name in request.avoided:
            continue
        if report.model != request.model or engine.failed_polls:
            continue
        sent_since = sum(at > engine.reported_at for at in area.dispatched_at[name])
        busy = report.running + report.waiting + sent_since
        share = max(1.0, (busy + 1) / report.max_batch)
        token_seconds = report.step_seconds * share
        prefill = len(request.prompt) / report.prefill_tokens_per_second
        yield _Candidate(
            engine=name,
            stage=_answer_messages.Stage(
                engine=name,
                address=engine.vm.address,
                first_layer=report.first_layer,
                end_layer=report.end_layer,
            ),
            first_token_seconds=prefill * share + token_seconds,
            token_seconds=token_seconds,
            link_seconds=report.link_seconds,
        )


def _search(
    request: RouteRequest,
    candidates: collections.abc.Mapping[int, collections.abc.Sequence[_Candidate]],
) -> Route | None:
    """Run Dijkstra's algorithm over (layer boundary, last engine)."""
    order = 0
    queue: list[tuple[float, int, int, float, float, tuple[_Candidate, ...]]]
    queue = [(0.0, order, 0, 0.0, 0.0, ())]
    settled: set[tuple[int, str]] = set()
    while queue:
        cost, _, layer, first, token, path = heapq.heappop(queue)
        if layer == request.layers:
            return Route(
                stages=tuple(candidate.stage for candidate in path),
                first_token_seconds=first,
                token_seconds=token,
            )
        state = (layer, path[-1].engine if path else "")
        if state in settled:
            continue
        settled.add(state)
        for candidate in candidates.get(layer, ()):
            link = _find_link(path, candidate)
            first_token = first + candidate.first_token_seconds + link
            each_token = token + candidate.token_seconds + link
            cost = first_token + each_token * request.tokens_left
            order += 1
            step = (*path, candidate)
            entry = (cost, order, candidate.stage.end_layer)
            heapq.heappush(queue, (*entry, first_token, each_token, step))
    return None


def _find_link(path: tuple[_Candidate, ...], candidate: _Candidate) -> float:
    if not path:
        return 0.0
    return path[-1].link_seconds.get(candidate.engine, _DEFAULT_LINK_SECONDS)
