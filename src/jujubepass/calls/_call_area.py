"""Blackboard area of calls and lookups; written by their controllers."""

import enum

import attrs

from jujubepass import ids, reasons
from jujubepass.calls import _call_messages

_NO_ATTEMPT = ids.AttemptId("")
_NO_BACKEND = ids.BackendServerId("")
_NO_FENCING = ids.FencingNumber(0)


class CallState(enum.Enum):
    """Enumerate the states of a call as stored in its row."""

    DISPATCHED = "dispatched"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CallStep(enum.Enum):
    """Enumerate the operations that this node awaits before it continues a call."""

    OPENING = "opening"
    SENDING = "sending"
    WAITING = "waiting"
    TAKING_OVER = "taking_over"
    QUERYING = "asking"
    CLOSING = "closing"


@attrs.define(kw_only=True)
class OpenCall:
    """Track a call in progress on this node; `version` is the last known row version.

    `not_run_attempts` holds this node's attempts that certainly did not run;
    `uncertain_attempt` is the attempt that may have run.
    """

    key: str
    digest: str
    backend_key: ids.IdempotencyKey
    arrival: _call_messages.CallArrived | None = None
    waiters: dict[ids.RequestId, float] = attrs.field(factory=dict)
    deferred: list[_call_messages.CallArrived] = attrs.field(factory=list)
    step: CallStep = CallStep.OPENING
    version: int = 0
    row_state: CallState | None = None
    row_is_read: bool = False
    attempt: ids.AttemptId = _NO_ATTEMPT
    attempts: int = 0
    not_run_attempts: set[ids.AttemptId] = attrs.field(factory=set)
    uncertain_attempt: ids.AttemptId = _NO_ATTEMPT
    backend: ids.BackendServerId = _NO_BACKEND
    refused_by: set[ids.BackendServerId] = attrs.field(factory=set)
    fencing: ids.FencingNumber = _NO_FENCING
    written_at: float = float("-inf")
    may_be_written: bool = False
    unknown_cause: reasons.UnknownCause = reasons.UnknownCause.BACKEND_IS_SILENT
    retry_at: float = float("inf")
    retries: int = 0
    closing_state: CallState = CallState.UNKNOWN
    closing_status: int = 0
    closing_body: str | None = None
    closing_until: float = float("inf")


@attrs.define(kw_only=True)
class Lookup:
    """Track a lookup in progress and the attempts that are still running."""

    arrival: _call_messages.LookupArrived
    started_at: float
    sent_count: int = 0
    attempts: dict[ids.AttemptId, ids.BackendServerId] = attrs.field(factory=dict)
    sent_at: dict[ids.AttemptId, float] = attrs.field(factory=dict)
    tried_backends: set[ids.BackendServerId] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class CallArea:
    """Track calls and lookups in progress, and whether the table is unavailable."""

    open: dict[str, OpenCall] = attrs.field(factory=dict)
    lookups: dict[ids.RequestId, Lookup] = attrs.field(factory=dict)
    store_is_down: bool = False
