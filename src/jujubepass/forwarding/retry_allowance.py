"""Share of a node in the retries that all nodes may send to a service."""

import attrs

from jujubepass.forwarding import board
from jujubepass.limits import _retry_budget

# Number of nodes that may share a service's retry allowance; each uses only its own
# share.
_SHARING_NODES = 12
# Share of a node's retry slack that may be spent at once, for example when all streams
# of an engine break. The rest accrues over the window, so that no window exceeds the
# slack.
_BURST_SLACK_SHARE = 0.75


@attrs.define(kw_only=True)
class RetryAllowance:
    """Divide the retry allowance of all nodes."""

    blackboard: board.Blackboard

    def find_bounds(self, now: float) -> _retry_budget.RetryBudgetBounds:
        """Return the bounds of this node's retry budget for one service."""
        bounds = self.blackboard.bounds
        slack = bounds.retry_slack / _SHARING_NODES
        saved = _BURST_SLACK_SHARE * slack
        return _retry_budget.RetryBudgetBounds(
            retries_per_attempt=bounds.retry_share,
            retries_per_second=(slack - saved) / bounds.retry_window_seconds,
            capacity=max(1.0, saved),
        )
