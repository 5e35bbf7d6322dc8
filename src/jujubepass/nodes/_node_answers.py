"""Creation of the model request controller, its policies and the recorder."""

import random

from jujubepass import settings, traces
from jujubepass.answers import _answers, _attempts, _recovery
from jujubepass.nodes import _blackboard
from jujubepass.routing import _routes
from jujubepass.telemetry import _metrics


def make_answer_controller(
    node_settings: settings.Settings,
    blackboard: _blackboard.Blackboard,
    metrics: _metrics.Metrics,
) -> _answers.AnswerController:
    """Make the controller of model requests and its policies."""
    recovery = _recovery.ResumePolicy(
        min_stall_seconds=node_settings.timing.stall_seconds
    )
    source = random.Random(_choose_seed(node_settings, blackboard))
    attempts = _attempts.Attempts(
        blackboard=blackboard,
        routes=_routes.PredictedTimePolicy(random_source=source),
        recovery=recovery,
        counters=metrics,
    )
    return _answers.AnswerController(attempts=attempts)


def make_recorder(
    node_settings: settings.Settings, blackboard: _blackboard.Blackboard
) -> traces.MemoryRecorder | None:
    """Make the trace recorder, or return None if the settings turn it off."""
    if node_settings.trace.record is settings.TraceRecord.OFF:
        return None
    timing = node_settings.timing
    start = traces.Start(
        node=blackboard.identity.node,
        seed=_choose_seed(node_settings, blackboard),
        stall_seconds=timing.stall_seconds,
        load_poll_seconds=timing.load_poll_seconds,
        vm_poll_seconds=timing.vm_poll_seconds,
    )
    return traces.MemoryRecorder(
        start=start,
        blackboard=blackboard,
        capacity=node_settings.trace.memory_events,
    )


def _choose_seed(
    node_settings: settings.Settings, blackboard: _blackboard.Blackboard
) -> int:
    """Return the random seed of route choices, which a trace records."""
    derived = int(blackboard.identity.incarnation, 16) % 2**32
    return node_settings.seeds.random or derived
