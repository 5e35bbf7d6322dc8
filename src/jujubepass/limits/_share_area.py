"""Blackboard area of shares of account limits; written by the share controller."""

import attrs

from jujubepass import ids


@attrs.frozen(kw_only=True)
class HeldGrant:
    """Describe a share of account limits, granted by the home node until it expires."""

    rate: float
    running: int
    expires_at: float


@attrs.define(kw_only=True)
class ShareArea:
    """Track the number of nodes that divide each limit, and this node's grants."""

    divisor: int = 1
    grants: dict[ids.AccountId, HeldGrant] = attrs.field(factory=dict)
