"""Blackboard area of service calls; written by the call and lookup controllers."""

import enum

import attrs

from jujubepass import ids, reasons
from jujubepass.calls import _call_messages

_NO_ATTEMPT = ids.AttemptId("")
_NO_BACKEND = ids.BackendServerId("")
_NO_FENCING = ids.FencingNumber(0)


class CallState(enum.Enum):
    """Name how far a call has come, as its row in the table says."""

    DISPATCHED = "dispatched"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CallStep(enum.Enum):
    """Name what this node waits for to go on with a call."""

    OPENING = "opening"
    SENDING = "sending"
    WAITING = "waiting"
    TAKING_OVER = "taking_over"
    ASKING = "asking"
    CLOSING = "closing"


@attrs.define(kw_only=True)
class OpenCall:
    """Hold a call that this node works on; `version` is its row's, as last known.

    `unsent` holds this node's attempts that certainly did not run; `doubted` is the
    attempt that a row left in doubt.
    """

    key: str
    digest: str
    backend_key: ids.IdempotencyKey
    arrived: _call_messages.CallArrived | None = None
    waiters: dict[ids.RequestId, float] = attrs.field(factory=dict)
    later: list[_call_messages.CallArrived] = attrs.field(factory=list)
    step: CallStep = CallStep.OPENING
    version: int = 0
    row_state: CallState | None = None
    row_is_read: bool = False
    attempt: ids.AttemptId = _NO_ATTEMPT
    attempts: int = 0
    unsent: set[ids.AttemptId] = attrs.field(factory=set)
    doubted: ids.AttemptId = _NO_ATTEMPT
    backend: ids.BackendServerId = _NO_BACKEND
    refused_by: set[ids.BackendServerId] = attrs.field(factory=set)
    fencing: ids.FencingNumber = _NO_FENCING
    written_at: float = float("-inf")
    may_be_written: bool = False
    doubt: reasons.UnknownCause = reasons.UnknownCause.BACKEND_IS_SILENT
    retry_at: float = float("inf")
    retries: int = 0
    closing_state: CallState = CallState.UNKNOWN
    closing_status: int = 0
    closing_body: str | None = None
    closing_until: float = float("inf")


@attrs.define(kw_only=True)
class Lookup:
    """Hold a lookup in progress."""

    arrived: _call_messages.LookupArrived
    started_at: float
    sent: int = 0
    attempts: dict[ids.AttemptId, ids.BackendServerId] = attrs.field(factory=dict)
    sent_at: dict[ids.AttemptId, float] = attrs.field(factory=dict)
    tried: set[ids.BackendServerId] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class CallArea:
    """Hold the calls and lookups in progress, and whether the table answers."""

    open: dict[str, OpenCall] = attrs.field(factory=dict)
    lookups: dict[ids.RequestId, Lookup] = attrs.field(factory=dict)
    store_is_down: bool = False
