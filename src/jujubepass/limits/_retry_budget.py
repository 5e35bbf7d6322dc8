"""Budget that bounds retries to a share of first attempts."""

import attrs


@attrs.frozen(kw_only=True)
class RetryBudgetBounds:
    """Set how many retries first attempts and idle time pay for."""

    retries_per_attempt: float = 0.2
    idle_retries_per_second: float = 0.5
    maximum_saved: float = 10.0


@attrs.define(kw_only=True)
class RetryBudget:
    """Hold the retries of one backend server, service or model that may still go out.

    Each first attempt adds a fraction of a retry; `now` is the node's clock.
    """

    bounds: RetryBudgetBounds = attrs.field(factory=RetryBudgetBounds)
    _saved: float = attrs.field(init=False)
    _refilled_at: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._saved = self.bounds.maximum_saved

    def count_attempt(self, now: float) -> None:
        """Add what one first attempt pays for."""
        self._refill(now)
        self._add(self.bounds.retries_per_attempt)

    def spend(self, now: float) -> bool:
        """Take one retry out of the budget; return False when none is left."""
        self._refill(now)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def predict_wait_seconds(self, now: float) -> float:
        """Predict when idle time alone has paid for one retry."""
        self._refill(now)
        if self._saved >= 1.0:
            return 0.0
        if not self.bounds.idle_retries_per_second:
            return float("inf")
        return (1.0 - self._saved) / self.bounds.idle_retries_per_second

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            idle_seconds = max(0.0, now - self._refilled_at)
            self._add(idle_seconds * self.bounds.idle_retries_per_second)
        self._refilled_at = now

    def _add(self, retries: float) -> None:
        self._saved = min(self.bounds.maximum_saved, self._saved + retries)
