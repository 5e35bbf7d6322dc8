"""Circuit breakers for backend servers that fail."""

import enum
import random

import attrs

_MAX_DOUBLINGS = 32


class BreakerState(enum.Enum):
    """Enumerate a circuit breaker's states; a half-open one has a probe in flight."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@attrs.frozen(kw_only=True)
class BreakerBounds:
    """Configure the thresholds and durations of a circuit breaker."""

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
    """Block attempts to a backend server after repeated failures.

    Callers record each attempt and its outcome once. An open breaker admits one
    attempt as a probe when its open time has passed.
    """

    bounds: BreakerBounds
    jitter_random: random.Random | None = None
    _failures: int = attrs.field(default=0, init=False)
    _consecutive_openings: int = attrs.field(default=0, init=False)
    _state: BreakerState = attrs.field(default=BreakerState.CLOSED, init=False)
    _blocked_until: float = attrs.field(default=0.0, init=False)
    _unresponsive_at: float | None = attrs.field(default=None, init=False)

    @property
    def state(self) -> BreakerState:
        """Return the state after the last recorded event."""
        return self._state

    def is_open(self, now: float, heard_at: float = float("-inf")) -> bool:
        """Return whether attempts are blocked.

        A server heard from at `heard_at`, after it was confirmed unresponsive, has
        its breaker closed.
        """
        if self._unresponsive_at is not None and heard_at > self._unresponsive_at:
            self._close()
        return self._state is not BreakerState.CLOSED and now < self._blocked_until

    def predict_wait_seconds(self, now: float) -> float:
        """Return how long attempts remain blocked."""
        return self._blocked_until - now if self.is_open(now) else 0.0

    def record_dispatch(self, now: float) -> None:
        """Record an attempt; a breaker that is not closed blocks others meanwhile."""
        if self._state is not BreakerState.CLOSED:
            self._state = BreakerState.HALF_OPEN
            self._blocked_until = now + self.bounds.probe_timeout_seconds

    def record_success(self) -> None:
        """Close the breaker unless it is open.

        A success while it is open belongs to an attempt sent before it opened.
        """
        if self._state is not BreakerState.OPEN:
            self._close()

    def count_fault(self, now: float, *, is_certain: bool = False) -> None:
        """Count a failure; open the breaker at the threshold or after a failed probe.

        `is_certain` means the server is confirmed unresponsive: opens at once.
        """
        if is_certain:
            self._unresponsive_at = now
        if self._state is BreakerState.OPEN and (not is_certain or self.is_open(now)):
            return
        self._failures += 1
        probe_failed = self._state is BreakerState.HALF_OPEN
        reaches_threshold = self._failures >= self.bounds.failures_to_open
        if is_certain or probe_failed or reaches_threshold:
            self._open(now)

    def _open(self, now: float) -> None:
        seconds = self.bounds.first_open_seconds * 2.0**self._consecutive_openings
        seconds = min(self.bounds.maximum_open_seconds, seconds)
        if self.jitter_random is not None:
            draw = 2.0 * self.jitter_random.random() - 1.0
            seconds *= 1.0 + self.bounds.jitter * draw
        self._state = BreakerState.OPEN
        self._blocked_until = now + seconds
        self._consecutive_openings = min(self._consecutive_openings + 1, _MAX_DOUBLINGS)
        self._failures = 0

    def _close(self) -> None:
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._consecutive_openings = 0
        self._unresponsive_at = None
