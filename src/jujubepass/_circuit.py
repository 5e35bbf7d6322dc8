"""Circuit breaker that keeps requests from a backend server that fails."""

import enum
import random

import attrs


class CircuitState(enum.Enum):
    """Name what a circuit breaker lets through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@attrs.frozen(kw_only=True)
class CircuitBounds:
    """Set when a circuit opens and for how long."""

    failures_to_open: int = 5
    first_open_seconds: float = 0.5
    maximum_open_seconds: float = 15.0
    jitter: float = 0.2
    probe_timeout_seconds: float = 10.0


@attrs.define(kw_only=True)
class Circuit:
    """Hold the circuit breaker of one backend server.

    Ask `allow` right before each attempt; report each outcome once. An open circuit
    lets one probe through when its time is over.
    """

    random: random.Random
    bounds: CircuitBounds = attrs.field(factory=CircuitBounds)
    _failures: int = attrs.field(default=0, init=False)
    _openings: int = attrs.field(default=0, init=False)
    _state: CircuitState = attrs.field(default=CircuitState.CLOSED, init=False)
    _changes_at: float = attrs.field(default=0.0, init=False)

    @property
    def state(self) -> CircuitState:
        """Return the state as of the last call."""
        return self._state

    def allow(self, now: float) -> bool:
        """Tell whether one attempt may go out, and count it as the probe if due."""
        if self._state is CircuitState.CLOSED:
            return True
        if now < self._changes_at:
            return False
        self._state = CircuitState.HALF_OPEN
        self._changes_at = now + self.bounds.probe_timeout_seconds
        return True

    def may_allow(self, now: float) -> bool:
        """Tell what `allow` would answer, without taking the probe."""
        return self._state is CircuitState.CLOSED or now >= self._changes_at

    def predict_wait_seconds(self, now: float) -> float:
        """Return how long no attempt may go out."""
        if self._state is CircuitState.CLOSED:
            return 0.0
        return max(0.0, self._changes_at - now)

    def report_success(self, now: float) -> None:
        """Close the circuit; ignored from an attempt older than the opening."""
        if self._state is CircuitState.OPEN:
            return
        self._state = CircuitState.CLOSED
        self._failures = 0
        self._openings = 0

    def report_failure(self, now: float) -> None:
        """Count a failure and open the circuit when it is one too many."""
        if self._state is CircuitState.OPEN:
            return
        self._failures += 1
        probe_failed = self._state is CircuitState.HALF_OPEN
        if probe_failed or self._failures >= self.bounds.failures_to_open:
            self._open(now)

    def _open(self, now: float) -> None:
        seconds = self.bounds.first_open_seconds * 2.0**self._openings
        seconds = min(self.bounds.maximum_open_seconds, seconds)
        spread = 1.0 + self.bounds.jitter * (2.0 * self.random.random() - 1.0)
        self._state = CircuitState.OPEN
        self._changes_at = now + seconds * spread
        self._openings = min(self._openings + 1, 32)
        self._failures = 0
