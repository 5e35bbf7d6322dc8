"""States and events of a node's life cycle."""

import enum

import attrs


class NodeState(enum.Enum):
    """Enumerate the states of a node's life cycle."""

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
    """Report the end of a tick interval."""


@attrs.frozen(kw_only=True)
class PauseDetected:
    """Report a period in which this process was not running."""

    seconds: float


@attrs.frozen
class StopRequested:
    """Report a signal to stop that the process received."""


@attrs.frozen
class DrainEnded:
    """Report the end of the drain; the listener for callers is about to close."""
