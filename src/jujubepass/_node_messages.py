"""Events and commands of the node's own life."""

import enum

import attrs


class NodeState(enum.Enum):
    """Name the stages of a node's life."""

    STARTING = "starting"
    READY = "ready"
    STOPPING = "stopping"


@attrs.frozen
class Tick:
    """Report that time has passed."""


@attrs.frozen
class StopRequested:
    """Report that the process was asked to stop."""
