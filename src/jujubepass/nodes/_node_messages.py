"""Events and commands of the node's own life."""

import enum

import attrs


class NodeState(enum.Enum):
    """Name the stages of a node's life."""

    STARTING = "starting"
    READY = "ready"
    RESUMING = "resuming"
    DRAINING = "draining"
    STOPPING = "stopping"


_ADMITTING = (NodeState.READY, NodeState.DRAINING)
_LEAVING = (NodeState.DRAINING, NodeState.STOPPING)


def admits_requests(state: NodeState) -> bool:
    """Tell whether a node in this state takes callers' requests."""
    return state in _ADMITTING


def is_leaving(state: NodeState) -> bool:
    """Tell whether a node in this state takes over no more work."""
    return state in _LEAVING


@attrs.frozen
class Tick:
    """Report that time has passed."""


@attrs.frozen(kw_only=True)
class PauseDetected:
    """Report that this process did not run for a time."""

    seconds: float


@attrs.frozen
class StopRequested:
    """Report that the process was asked to stop."""


@attrs.frozen
class DrainEnded:
    """Report that the listener for callers is about to close."""
