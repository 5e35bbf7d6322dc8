"""Route policies for engines that hold layer ranges of a model."""

import collections.abc
import typing

import attrs

from jujubepass import ids
from jujubepass.answers import _answer_messages
from jujubepass.nodes import _blackboard
from jujubepass.routing import _engine_costs, _route_search

_MAX_CANDIDATES_PER_RANGE = 8
_JITTER_FRACTION = 0.02
_CACHE_HOLDER_COST_FACTOR = 0.9


@attrs.frozen(kw_only=True)
class Route:
    """Describe a route with its predicted times."""

    stages: tuple[_answer_messages.Stage, ...]
    first_token_seconds: float
    token_seconds: float

    def predict_seconds(self, tokens: int) -> float:
        """Predict the time until this number of tokens has been generated."""
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
    """Generate random numbers."""

    def random(self) -> float:
        """Return a number in [0, 1)."""


@attrs.frozen(kw_only=True)
class PredictedTimePolicy:
    """Choose the route with the shortest predicted time for the rest of the answer."""

    random_source: RandomSource

    def plan_route(
        self,
        request: _engine_costs.RouteRequest,
        blackboard: _blackboard.Blackboard,
        now: float,
    ) -> Route | None:
        """Return the fastest route from the first layer to the last, or None."""
        groups: dict[tuple[int, int], list[tuple[float, _engine_costs.Candidate]]] = {}
        for candidate in _engine_costs.list_candidates(request, blackboard, now):
            cost = candidate.first_token_seconds
            cost += candidate.token_seconds * request.tokens_left
            cost *= 1.0 + _JITTER_FRACTION * self.random_source.random()
            if candidate.holds_cache:
                cost *= _CACHE_HOLDER_COST_FACTOR
            key = (candidate.first_layer, candidate.end_layer)
            groups.setdefault(key, []).append((cost, candidate))
        selected = [
            costed for group in groups.values() for costed in _select_cheapest(group)
        ]
        found_route = _route_search.find_route(selected, request)
        if found_route is None:
            return None
        return Route(
            stages=found_route.stages,
            first_token_seconds=found_route.first_token_seconds,
            token_seconds=found_route.token_seconds,
        )


def _select_cheapest(
    group: list[tuple[float, _engine_costs.Candidate]],
) -> collections.abc.Iterator[tuple[float, _engine_costs.Candidate]]:
    group.sort(key=lambda costed: costed[0])
    for rank, (cost, candidate) in enumerate(group):
        if rank < _MAX_CANDIDATES_PER_RANGE or candidate.holds_cache:
            yield cost, candidate


def get_engines(
    stages: collections.abc.Iterable[_answer_messages.Stage],
) -> frozenset[ids.BackendServerId]:
    """Return the engines of a route."""
    return frozenset(stage.engine for stage in stages)
