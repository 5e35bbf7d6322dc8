"""Blackboard area of client account limits; written by the limit controller."""

import attrs

from jujubepass import ids


@attrs.define(kw_only=True)
class AccountUse:
    """Hold one account's use on this node; `arrivals` and `denials` only grow."""

    tokens: float
    refilled_at: float
    running: int = 0
    arrivals: int = 0
    denials: int = 0


@attrs.define(kw_only=True)
class LimitArea:
    """Hold the use of accounts and the requests that may run."""

    uses: dict[ids.AccountId, AccountUse] = attrs.field(factory=dict)
    admitted: dict[ids.RequestId, ids.AccountId] = attrs.field(factory=dict)
    queued: int = 0
    queued_cost: float = 0.0
