"""Requests that wait for a place, and declared values made usable."""

import enum
import math

import attrs

from jujubepass.capacity import view


class State(enum.Enum):
    """Enumerate the states of a request at the queue."""

    WAITING = "waiting"
    STARTED = "started"
    REFUSED = "refused"
    LEFT = "left"


@attrs.define(kw_only=True, eq=False)
class Entry:
    """Describe one request at the queue; times are on the boot clock."""

    request: str
    priority: int
    account: str
    weight: float = 1.0
    arrived_at: float
    deadline: float
    goal_seconds: float
    caller_timeout_seconds: float
    """Time without an event after which the caller abandons the request."""
    is_resumed: bool = False
    """Whether the caller has a part of the response."""
    is_again: bool = False
    """Whether an engine has rejected it, so that its arrival is counted already."""
    is_protected: bool = False
    """Whether it was drawn to go first, for want of counts of its priority."""
    is_first: bool = False
    """Whether it goes ahead of others lest its priority or account starves."""
    state: State = State.WAITING
    blocked_until: float = 0.0
    """Time before which no other pipeline is tried, as the last had no place."""
    has_waited: bool = False
    started_at: float | None = None
    predicted_seconds: float = 0.0
    retry_after_seconds: float = 0.0
    is_ahead: bool = False
    """Whether it started ahead of more urgent ones lest its kind starves."""

    def reset(self) -> None:
        """Prepare for a further turn; an engine has rejected the one before."""
        self.is_again = self.is_again or self.started_at is not None
        self.state, self.started_at = State.WAITING, None
        self.has_waited = self.is_ahead = False


def clamp_priority(value: object) -> int:
    """Return the nearest valid priority; the least urgent one for no number."""
    if not isinstance(value, int | float) or math.isnan(value):
        return view.PRIORITIES - 1
    return int(min(max(value, 0), view.PRIORITIES - 1))


def is_priority(value: object) -> bool:
    """Return whether a declared priority is used as it is."""
    return type(value) is int and 0 <= value < view.PRIORITIES


def is_weight(value: object) -> bool:
    """Return whether a declared weight is a number above zero."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and value > 0


def clamp_weight(value: object) -> float:
    """Return a declared weight, or 1 if it is invalid."""
    if isinstance(value, int | float) and is_weight(value):
        return float(value)
    return 1.0
