"""Route policies whose throughput is compared."""

import collections.abc
import random

import attrs

from bench import first_policy
from jujubepass import ids
from jujubepass.answers import _answers
from jujubepass.limits import _admission, _limits
from jujubepass.nodes import _dispatch
from jujubepass.routing import _naive, _routes

OURS = "ours"
NAIVE = "naive"
OPEN = "ours without a queue"
FIRST = "first"
NAMES = (OURS, OPEN, FIRST, NAIVE)


def choose_policy(
    controllers: collections.abc.Iterable[_dispatch.Controller], name: str, seed: int
) -> None:
    """Set the route policy of controllers; only OURS queues requests on the node."""
    for controller in controllers:
        if isinstance(controller, _answers.AnswerController):
            controller.attempts.routes = make_routes(name, seed)
        if isinstance(controller, _limits.LimitController) and name != OURS:
            blackboard = controller.blackboard
            controller.admission = OpenAdmission(blackboard=blackboard)


def make_routes(name: str, seed: int) -> _routes.RoutePolicy:
    """Make a route policy with a seeded random source."""
    if name == NAIVE:
        return _naive.NaiveRoutePolicy()
    if name == FIRST:
        return first_policy.FirstPolicy()
    return _routes.PredictedTimePolicy(random_source=random.Random(seed))


@attrs.define(kw_only=True)
class OpenAdmission(_admission.Admission):
    """Dispatch every admitted request at once, without a queue on the node."""

    def _has_free_slot(self, model: ids.ModelId) -> bool:
        return True
