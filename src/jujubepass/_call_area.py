"""Blackboard area of service calls; written by the call and lookup controllers."""

import enum

import attrs

from jujubepass import _call_messages, ids


class CallState(enum.Enum):
    """Name how far a call has come, as its row in the table says."""

    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.define(kw_only=True)
class Lookup:
    """Hold a lookup in progress."""

    arrived: _call_messages.LookupArrived
    tried: set[ids.BackendServerId] = attrs.field(factory=set)
    attempts: dict[ids.AttemptId, ids.BackendServerId] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class CallArea:
    """Hold the lookups in progress."""

    lookups: dict[ids.RequestId, Lookup] = attrs.field(factory=dict)
