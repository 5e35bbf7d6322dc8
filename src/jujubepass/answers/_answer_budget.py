"""Retry budget of a node, which keeps faults from multiplying its load."""

import attrs

_RETRIES_PER_REQUEST = 0.2
_MIN_CAPACITY = 64.0
_MOVE_RESERVE_FRACTION = 0.5


@attrs.define(kw_only=True)
class AnswerBudget:
    """Track a token bucket of retries; each new request adds a fraction of one.

    The capacity grows with the answers in progress, so that all of them can be retried
    when an engine is lost.
    """

    available: float = _MIN_CAPACITY

    def record_request(self, running: int) -> None:
        """Refill the budget for one new request."""
        capacity = max(_MIN_CAPACITY, 2.0 * running)
        self.available = min(capacity, self.available + _RETRIES_PER_REQUEST)

    def refund(self, running: int) -> None:
        """Return a retry to the budget after it led to a token."""
        capacity = max(_MIN_CAPACITY, 2.0 * running)
        self.available = min(capacity, self.available + 1.0)

    def spend(self) -> bool:
        """Spend one retry; return False when the budget is exhausted."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True

    def can_afford_move(self) -> bool:
        """Return whether the budget allows a retry that only speeds up an answer.

        A reserve is kept for answers whose attempts failed.
        """
        return self.available >= _MIN_CAPACITY * _MOVE_RESERVE_FRACTION
