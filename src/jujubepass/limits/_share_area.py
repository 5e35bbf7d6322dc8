"""Blackboard area of shares of account limits; written by the share controller."""

import attrs

from jujubepass import ids


@attrs.frozen(kw_only=True)
class HeldGrant:
    """Hold a share that another node granted, until it expires."""

    rate: float
    running: int
    expires_at: float


@attrs.define(kw_only=True)
class ShareArea:
    """Hold how many nodes divide each limit, and the grants of this node."""

    divisor: int = 1
    grants: dict[ids.AccountId, HeldGrant] = attrs.field(factory=dict)
