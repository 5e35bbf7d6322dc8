"""Route policy of the first version, kept as a baseline for later policies."""

import collections.abc
import heapq

import attrs

from jujubepass.answers import _answer_messages
from jujubepass.nodes import _blackboard
from jujubepass.routing import _engine_costs, _routes

_DEFAULT_LINK_SECONDS = 0.005


@attrs.frozen(kw_only=True)
class _Candidate:
    """Describe an engine with its predicted times for one request."""

    stage: _answer_messages.Stage
    first_token_seconds: float
    token_seconds: float
    link_seconds: collections.abc.Mapping[str, float]


@attrs.frozen(kw_only=True)
class FirstPolicy:
    """Minimize the time predicted from reports and the attempts sent since."""

    def plan_route(
        self,
        request: _engine_costs.RouteRequest,
        blackboard: _blackboard.Blackboard,
        now: float,
    ) -> _routes.Route | None:
        """Return the fastest route over all layers, or None if there is none."""
        candidates: dict[int, list[_Candidate]] = {}
        for candidate in _list_candidates(request, blackboard):
            candidates.setdefault(candidate.stage.first_layer, []).append(candidate)
        return _search(request, candidates)


def _list_candidates(
    request: _engine_costs.RouteRequest, blackboard: _blackboard.Blackboard
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
        prefill = request.context_tokens / report.prefill_tokens_per_second
        yield _Candidate(
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
    request: _engine_costs.RouteRequest,
    candidates: collections.abc.Mapping[int, collections.abc.Sequence[_Candidate]],
) -> _routes.Route | None:
    """Run Dijkstra's algorithm over (layer boundary, last engine)."""
    order = 0
    queue: list[tuple[float, int, int, float, float, tuple[_Candidate, ...]]]
    queue = [(0.0, order, 0, 0.0, 0.0, ())]
    settled: set[tuple[int, str]] = set()
    while queue:
        _, _, layer, first, token, chosen = heapq.heappop(queue)
        if layer == request.layers:
            return _routes.Route(
                stages=tuple(candidate.stage for candidate in chosen),
                first_token_seconds=first,
                token_seconds=token,
            )
        state = (layer, chosen[-1].stage.engine if chosen else "")
        if state in settled:
            continue
        settled.add(state)
        for candidate in candidates.get(layer, ()):
            link = _find_link(chosen, candidate)
            first_token = first + candidate.first_token_seconds + link
            token_seconds = token + candidate.token_seconds + link
            cost = first_token + token_seconds * request.tokens_left
            order += 1
            entry = (cost, order, candidate.stage.end_layer, first_token, token_seconds)
            heapq.heappush(queue, (*entry, (*chosen, candidate)))
    return None


def _find_link(chosen: tuple[_Candidate, ...], candidate: _Candidate) -> float:
    if not chosen:
        return 0.0
    return chosen[-1].link_seconds.get(candidate.stage.engine, _DEFAULT_LINK_SECONDS)
