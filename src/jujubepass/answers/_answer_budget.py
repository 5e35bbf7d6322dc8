"""Budget of a node's retries, so that faults do not multiply its load."""

import attrs

_RETRIES_PER_REQUEST = 0.2
_SMALLEST_CAPACITY = 64.0
_SOFT_SHARE = 0.5


@attrs.define(kw_only=True)
class AnswerBudget:
    """Hold retries that may still be made; each request adds a part of one.

    The capacity follows the answers in progress, so that one engine's loss can be
    met for all of them.
    """

    left: float = _SMALLEST_CAPACITY

    def add_request(self, running: int) -> None:
        """Add what one new request earns."""
        capacity = max(_SMALLEST_CAPACITY, 2.0 * running)
        self.left = min(capacity, self.left + _RETRIES_PER_REQUEST)

    def refund_progress(self, running: int) -> None:
        """Give back a retry that led to a token."""
        capacity = max(_SMALLEST_CAPACITY, 2.0 * running)
        self.left = min(capacity, self.left + 1.0)

    def take(self) -> bool:
        """Take one retry that an answer needs to go on."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True

    def can_afford_move(self) -> bool:
        """Tell whether a retry that merely speeds an answer up is affordable."""
        return self.left >= _SMALLEST_CAPACITY * _SOFT_SHARE
