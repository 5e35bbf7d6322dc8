"""Plans routes over engines that hold ranges of a model's layers."""

import collections.abc
import typing

import attrs

from jujubepass import ids
from jujubepass.answers import _answer_messages
from jujubepass.nodes import _blackboard
from jujubepass.routing import _engine_costs, _route_search

_BEST_PER_RANGE = 8
_JITTER_SHARE = 0.02
_KEEP_SHARE = 0.9


@attrs.frozen(kw_only=True)
class Route:
    """Hold a route with its predicted times."""

    stages: tuple[_answer_messages.Stage, ...]
    first_token_seconds: float
    token_seconds: float

    def predict_seconds(self, tokens: int) -> float:
        """Predict the time until so many tokens have come."""
        return self.first_token_seconds + self.token_seconds * max(0, tokens - 1)


class RoutePolicy(typing.Protocol):
    """Choose a route for a request."""

    def plan_route(
        self,
        request: _engine_costs.RouteRequest,
        blackboard: _blackboard.Blackboard,
        now: float,
    ) -> Route | None:
        """Return a route that covers each layer once, or None."""


class RandomSource(typing.Protocol):
    """Give random numbers."""

    def random(self) -> float:
        """Return a number from 0 to below 1."""


@attrs.frozen(kw_only=True)
class PredictedTimePolicy:
    """Choose the route with the least predicted time for the whole answer."""

    random_source: RandomSource

    def plan_route(
        self,
        request: _engine_costs.RouteRequest,
        blackboard: _blackboard.Blackboard,
        now: float,
    ) -> Route | None:
        """Return the fastest path from the first layer to the last, or None."""
        best: dict[tuple[int, int], list[tuple[float, _engine_costs.Candidate]]] = {}
        for candidate in _engine_costs.list_candidates(request, blackboard, now):
            cost = candidate.first_token_seconds
            cost += candidate.token_seconds * request.tokens_left
            cost *= 1.0 + _JITTER_SHARE * self.random_source.random()
            if candidate.holds_cache:
                cost *= _KEEP_SHARE
            key = (candidate.first_layer, candidate.end_layer)
            best.setdefault(key, []).append((cost, candidate))
        kept = [found for group in best.values() for found in _keep_best(group)]
        path = _route_search.find_path(kept, request)
        if path is None:
            return None
        return Route(
            stages=path.stages,
            first_token_seconds=path.first_token_seconds,
            token_seconds=path.token_seconds,
        )


def _keep_best(
    group: list[tuple[float, _engine_costs.Candidate]],
) -> collections.abc.Iterator[tuple[float, _engine_costs.Candidate]]:
    group.sort(key=lambda found: found[0])
    for rank, (cost, candidate) in enumerate(group):
        if rank < _BEST_PER_RANGE or candidate.holds_cache:
            yield cost, candidate


def find_engines(
    stages: collections.abc.Iterable[_answer_messages.Stage],
) -> frozenset[ids.BackendServerId]:
    """Return the engines of a route."""
    return frozenset(stage.engine for stage in stages)
