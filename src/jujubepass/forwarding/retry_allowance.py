"""Share of a node in the retries that all nodes may send to a service."""

import attrs

from jujubepass.forwarding import board, members
from jujubepass.limits import _retry_budget

# Share of a node's retry slack that may be spent at once, for example when all streams
# of an engine break. The rest accrues over the window, so that no window exceeds the
# slack.
_BURST_SLACK_SHARE = 0.75
# A node that cannot save a whole retry of slack saves retries of its own attempts
# instead. They may all fall into the window after the one they were earned in, so that
# half of them keeps both windows within the allowance.
_SAVED_ATTEMPT_SHARE = 0.5


@attrs.define(kw_only=True)
class RetryAllowance:
    """Divide the retry allowance over the nodes."""

    blackboard: board.Blackboard

    def find_bounds(self, now: float) -> _retry_budget.RetryBudgetBounds:
        """Return the bounds of this node's retry budget for one service."""
        bounds = self.blackboard.bounds
        window_seconds = bounds.retry_window_seconds
        slack = bounds.retry_slack * members.find_share(self.blackboard, now)
        saved = _BURST_SLACK_SHARE * slack
        if saved >= 1.0:
            return _retry_budget.RetryBudgetBounds(
                retries_per_attempt=bounds.retry_share,
                retries_per_second=(slack - saved) / window_seconds,
                capacity=saved,
            )
        return _retry_budget.RetryBudgetBounds(
            retries_per_attempt=_SAVED_ATTEMPT_SHARE * bounds.retry_share,
            retries_per_second=slack / window_seconds,
            capacity=0.0,
            attempt_memory_seconds=window_seconds,
        )
