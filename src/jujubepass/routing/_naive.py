"""Naive route and recovery policies that serve as a baseline in comparisons."""

import itertools

import attrs

from jujubepass.answers import _answer_area, _answer_messages, _recovery
from jujubepass.nodes import _blackboard
from jujubepass.routing import _engine_costs, _routes

_ASSUMED_TOKEN_SECONDS = 0.030
_ASSUMED_FIRST_TOKEN_SECONDS = 0.1


@attrs.frozen(kw_only=True)
class NaiveRoutePolicy:
    """Select the engines of each layer range round-robin, regardless of load."""

    _turns: "itertools.count[int]" = attrs.field(factory=itertools.count, init=False)

    def plan_route(
        self,
        request: _engine_costs.RouteRequest,
        blackboard: _blackboard.Blackboard,
        now: float,
    ) -> _routes.Route | None:
        """Return a route that covers each layer once, or None."""
        turn = next(self._turns)
        layer = 0
        stages = []
        while layer < request.layers:
            engines = [
                (name, engine.vm.address, engine.report)
                for name, engine in blackboard.backends.engines.items()
                if engine.report is not None
                and engine.report.model == request.model
                and engine.report.first_layer == layer
                and not engine.leaving
            ]
            if not engines:
                return None
            name, address, report = engines[turn % len(engines)]
            stages.append(
                _answer_messages.Stage(
                    engine=name,
                    address=address,
                    first_layer=layer,
                    end_layer=report.end_layer,
                )
            )
            layer = report.end_layer
        return _routes.Route(
            stages=tuple(stages),
            first_token_seconds=_ASSUMED_FIRST_TOKEN_SECONDS,
            token_seconds=_ASSUMED_TOKEN_SECONDS,
        )


@attrs.frozen(kw_only=True)
class RestartPolicy:
    """Restart from the first token after a fixed time without progress."""

    stall_seconds: float
    probes_stages: bool = False

    def compute_stall_bounds(
        self, answer: _answer_area.Answer
    ) -> _recovery.StallBounds:
        """Return the fixed time-outs."""
        return _recovery.StallBounds(
            probe_seconds=self.stall_seconds, stall_seconds=self.stall_seconds
        )

    def is_slow(self, answer: _answer_area.Answer) -> bool:
        """Return False: the naive policy does not detect slow answers."""
        return False

    def list_resumed_tokens(self, answer: _answer_area.Answer) -> tuple[str, ...]:
        """Return no tokens: the next attempt restarts from the first token."""
        return ()
