"""Budget that limits retries to a fraction of first attempts."""

import collections

import attrs


@attrs.frozen(kw_only=True)
class RetryBudgetBounds:
    """Configure how a retry budget is refilled and its capacity."""

    retries_per_attempt: float = 0.2
    retries_per_second: float = 0.5
    capacity: float = 10.0
    attempt_memory_seconds: float = 0.0
    """Time for which attempts add their retries to the capacity."""


@attrs.define(kw_only=True)
class RetryBudget:
    """Track the token bucket of retries to one backend server, service or model.

    First attempts and elapsed time refill it; `now` is read from the node's clock.
    """

    bounds: RetryBudgetBounds = attrs.field(factory=RetryBudgetBounds)
    spent: int = attrs.field(default=0, init=False)
    denied: int = attrs.field(default=0, init=False)
    _available: float = attrs.field(init=False)
    _refilled_at: float | None = attrs.field(default=None, init=False)
    _recent_attempts: collections.deque[float] = attrs.field(
        factory=collections.deque, init=False
    )

    def __attrs_post_init__(self) -> None:
        self._available = self.bounds.capacity

    def count_attempt(self, now: float) -> None:
        """Refill the budget for one first attempt."""
        if self.bounds.attempt_memory_seconds:
            self._recent_attempts.append(now)
        self._refill(now)
        self._refill_by(self.bounds.retries_per_attempt)

    def spend(self, now: float) -> bool:
        """Spend one retry; return False when the budget is exhausted."""
        self._refill(now)
        if self._available < 1.0:
            self.denied += 1
            return False
        self._available -= 1.0
        self.spent += 1
        return True

    def predict_wait_seconds(self, now: float) -> float:
        """Predict the time until the refill over time alone allows one retry."""
        self._refill(now)
        if self._available >= 1.0:
            return 0.0
        if not self.bounds.retries_per_second:
            return float("inf")
        return (1.0 - self._available) / self.bounds.retries_per_second

    def _refill(self, now: float) -> None:
        oldest = now - self.bounds.attempt_memory_seconds
        while self._recent_attempts and self._recent_attempts[0] <= oldest:
            self._recent_attempts.popleft()
        elapsed_seconds = 0.0
        if self._refilled_at is not None:
            elapsed_seconds = max(0.0, now - self._refilled_at)
        self._refill_by(elapsed_seconds * self.bounds.retries_per_second)
        self._refilled_at = now

    def _refill_by(self, retries: float) -> None:
        remembered = len(self._recent_attempts) * self.bounds.retries_per_attempt
        capacity = self.bounds.capacity + remembered
        self._available = min(capacity, self._available + retries)
