"""Circuit breaker that keeps requests from a backend server that fails."""

import enum
import random

import attrs

_MOST_DOUBLINGS = 32


class BreakerState(enum.Enum):
    """Name what a circuit breaker lets through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@attrs.frozen(kw_only=True)
class BreakerBounds:
    """Set when a circuit breaker opens and for how long."""

    failures_to_open: int = 5
    first_open_seconds: float = 0.5
    maximum_open_seconds: float = 15.0
    jitter: float = 0.2
    probe_timeout_seconds: float = 10.0


SERVICE_BOUNDS = BreakerBounds()
ENGINE_BOUNDS = BreakerBounds(
    failures_to_open=3,
    first_open_seconds=1.0,
    maximum_open_seconds=30.0,
    jitter=0.0,
    probe_timeout_seconds=1.0,
)


@attrs.define(kw_only=True)
class Breaker:
    """Hold the circuit breaker of one backend server.

    Call `note_dispatch` at each attempt and report each outcome once. An open breaker
    lets one probe through when its time is over.
    """

    bounds: BreakerBounds
    jitter_random: random.Random | None = None
    _failures: int = attrs.field(default=0, init=False)
    _openings: int = attrs.field(default=0, init=False)
    _state: BreakerState = attrs.field(default=BreakerState.CLOSED, init=False)
    _changes_at: float = attrs.field(default=0.0, init=False)
    _silent_at: float | None = attrs.field(default=None, init=False)

    @property
    def state(self) -> BreakerState:
        """Return the state as of the last call."""
        return self._state

    def is_open(self, now: float, heard_at: float = float("-inf")) -> bool:
        """Tell whether no attempt may go to a server that was last heard then.

        News from a server that was silent closes its breaker.
        """
        if self._silent_at is not None and heard_at > self._silent_at:
            self._close()
        return self._state is not BreakerState.CLOSED and now < self._changes_at

    def predict_wait_seconds(self, now: float) -> float:
        """Return how long no attempt may go out."""
        return self._changes_at - now if self.is_open(now) else 0.0

    def note_dispatch(self, now: float) -> None:
        """Let no second attempt through while the first one shows the state."""
        if self._state is not BreakerState.CLOSED:
            self._state = BreakerState.HALF_OPEN
            self._changes_at = now + self.bounds.probe_timeout_seconds

    def note_success(self) -> None:
        """Close the breaker; ignored from an attempt older than the opening."""
        if self._state is not BreakerState.OPEN:
            self._close()

    def count_fault(self, now: float, *, is_certain: bool = False) -> None:
        """Count a fault; certain silence opens the breaker at once."""
        if is_certain:
            self._silent_at = now
        if self._state is BreakerState.OPEN and (not is_certain or self.is_open(now)):
            return
        self._failures += 1
        probe_failed = self._state is BreakerState.HALF_OPEN
        too_many = self._failures >= self.bounds.failures_to_open
        if is_certain or probe_failed or too_many:
            self._open(now)

    def _open(self, now: float) -> None:
        seconds = self.bounds.first_open_seconds * 2.0**self._openings
        seconds = min(self.bounds.maximum_open_seconds, seconds)
        if self.jitter_random is not None:
            draw = 2.0 * self.jitter_random.random() - 1.0
            seconds *= 1.0 + self.bounds.jitter * draw
        self._state = BreakerState.OPEN
        self._changes_at = now + seconds
        self._openings = min(self._openings + 1, _MOST_DOUBLINGS)
        self._failures = 0

    def _close(self) -> None:
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._openings = 0
        self._silent_at = None
