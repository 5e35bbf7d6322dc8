"""Blackboard area of client account limits; written by the limit controller."""

import attrs

from jujubepass import ids


@attrs.define(kw_only=True)
class AccountUsage:
    """Track one account's usage on this node.

    The counters `arrivals` and `denials` only increase.
    """

    tokens: float
    refilled_at: float
    running: int = 0
    arrivals: int = 0
    denials: int = 0


@attrs.define(kw_only=True)
class LimitArea:
    """Track the usage of accounts and the requests that are admitted or queued."""

    usages: dict[ids.AccountId, AccountUsage] = attrs.field(factory=dict)
    admitted: dict[ids.RequestId, ids.AccountId] = attrs.field(factory=dict)
    queued: int = 0
    queued_cost: float = 0.0
