"""Construction of the limit controller from the node's settings."""

from jujubepass import settings
from jujubepass.limits import _admission, _limits
from jujubepass.nodes import _blackboard


def make_controller(
    node_settings: settings.Settings, blackboard: _blackboard.Blackboard
) -> _limits.LimitController:
    """Make the limit controller with the bounds of the settings."""
    limits = node_settings.limits
    return _limits.LimitController(
        blackboard=blackboard,
        bounds=_limits.NodeBounds(
            running_requests=limits.running_requests, held_bytes=limits.held_bytes
        ),
        admission=_admission.Admission(
            blackboard=blackboard, max_queued=limits.queued_requests
        ),
    )
