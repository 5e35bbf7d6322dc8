"""States and events of a node's life cycle."""

import enum

import attrs


class NodeState(enum.Enum):
    """Define the states of a node's life cycle."""

    STARTING = "starting"
    READY = "ready"
    RESUMING = "resuming"
    DRAINING = "draining"
    STOPPING = "stopping"


_ADMITTING_STATES = (NodeState.READY, NodeState.DRAINING)
_LEAVING_STATES = (NodeState.DRAINING, NodeState.STOPPING)


def admits_requests(state: NodeState) -> bool:
    """Return whether a node in this state admits requests of callers."""
    return state in _ADMITTING_STATES


def is_leaving(state: NodeState) -> bool:
    """Return whether a node in this state takes over no more work."""
    return state in _LEAVING_STATES


@attrs.frozen
class Tick:
    """Report that the tick interval has passed."""


@attrs.frozen(kw_only=True)
class PauseDetected:
    """Report that this process was not running for a while."""

    seconds: float


@attrs.frozen
class StopRequested:
    """Report that the process received a signal to stop."""


@attrs.frozen
class DrainEnded:
    """Report that the listener for callers is about to close."""
