"""Route policies that throughput is compared over."""

import collections.abc
import hashlib
import random

import attrs

from bench import first_policy
from jujubepass import (
    _admission,
    _answer_messages,
    _answers,
    _blackboard,
    _dispatch,
    _limits,
    _routes,
    ids,
)

OURS = "ours"
NAIVE = "naive"
FIRST = "first"
NAMES = (OURS, FIRST, NAIVE)

_WORDS_PER_BLOCK = 16
_HASH_CHARACTERS = 16
_ANY_SECONDS = 0.1


def choose_policy(
    controllers: collections.abc.Iterable[_dispatch.Controller], name: str
) -> None:
    """Give controllers a route policy; earlier ones had no queue before the engines."""
    if name == OURS:
        return
    for controller in controllers:
        if isinstance(controller, _answers.AnswerController):
            is_naive = name == NAIVE
            routes = RandomPolicy() if is_naive else first_policy.FirstPolicy()
            controller.routes = routes
        if isinstance(controller, _limits.LimitController):
            board = controller.blackboard
            controller.admission = OpenAdmission(blackboard=board)


@attrs.define(kw_only=True)
class OpenAdmission(_admission.Admission):
    """Let every admitted request to the engines at once."""

    def _has_place(self, model: ids.ModelId) -> bool:
        return True


@attrs.define(kw_only=True)
class RandomPolicy:
    """Take the engines of each layer range at random, whatever their load."""

    _random: random.Random = attrs.field(factory=lambda: random.Random(1))

    def plan_route(
        self,
        request: _routes.RouteRequest,
        blackboard: _blackboard.Blackboard,
        now: float,
    ) -> _routes.Route | None:
        """Return a route that covers each layer once, or None."""
        layer = 0
        stages = []
        while layer < request.layers:
            found = [
                (name, engine.vm.address, engine.report)
                for name, engine in blackboard.backends.engines.items()
                if engine.report is not None and engine.report.first_layer == layer
            ]
            if not found:
                return None
            name, address, report = self._random.choice(found)
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
            first_token_seconds=_ANY_SECONDS,
            token_seconds=_ANY_SECONDS,
        )


def hash_blocks(model: str, prompt: collections.abc.Sequence[str]) -> tuple[str, ...]:
    """Hash a prompt's whole blocks as docs/interfaces.md says."""
    previous = model
    blocks = []
    for start in range(0, len(prompt) - _WORDS_PER_BLOCK + 1, _WORDS_PER_BLOCK):
        text = "\x1f".join(prompt[start : start + _WORDS_PER_BLOCK])
        digest = hashlib.sha256((previous + text).encode()).hexdigest()
        previous = digest[:_HASH_CHARACTERS]
        blocks.append(previous)
    return tuple(blocks)
