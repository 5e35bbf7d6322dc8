"""Node with the naive policies: `python -m bench.naive_node serve FILE`."""

import sys

from jujubepass import _startup

_startup.avoid_child_processes()

from jujubepass import cli, settings  # noqa: E402
from jujubepass.answers import _answers, _attempts  # noqa: E402
from jujubepass.nodes import _blackboard, _node_answers  # noqa: E402
from jujubepass.routing import _naive  # noqa: E402
from jujubepass.telemetry import _metrics  # noqa: E402


def make_answers(
    node_settings: settings.Settings,
    blackboard: _blackboard.Blackboard,
    metrics: _metrics.Metrics,
) -> _answers.AnswerController:
    """Make the controller of model requests with the naive policies."""
    attempts = _attempts.Attempts(
        blackboard=blackboard,
        routes=_naive.NaiveRoutePolicy(),
        recovery=_naive.RestartPolicy(stall_seconds=node_settings.timing.stall_seconds),
        counters=metrics,
    )
    return _answers.AnswerController(attempts=attempts)


if __name__ == "__main__":
    _node_answers.make_answer_controller = make_answers
    sys.exit(cli.run(sys.argv[1:]))
