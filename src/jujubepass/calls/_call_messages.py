"""Events and commands of calls and lookups."""

import enum

import attrs

from jujubepass import ids
from jujubepass.transport import _http_client


class CallMethod(enum.Enum):
    """Enumerate the HTTP methods of a request to a plain service."""

    GET = "GET"
    POST = "POST"


@attrs.frozen(kw_only=True)
class CallArrived:
    """Report a non-repeatable call; `deadline` is on the node's clock."""

    request: ids.RequestId
    account: ids.AccountId
    service: ids.ServiceId
    key: ids.IdempotencyKey
    path: str
    body: str
    body_digest: str
    deadline: float


@attrs.frozen(kw_only=True)
class CallAsked:
    """Report a caller's query for the state of a call."""

    request: ids.RequestId
    account: ids.AccountId
    key: ids.IdempotencyKey


@attrs.frozen(kw_only=True)
class WallClockRead:
    """Report the wall-clock time in seconds since the Unix epoch."""

    seconds: float


@attrs.frozen(kw_only=True)
class LookupArrived:
    """Report an idempotent request; `deadline` is on the node's clock."""

    request: ids.RequestId
    account: ids.AccountId
    service: ids.ServiceId
    path: str
    deadline: float


@attrs.frozen(kw_only=True)
class SendCall:
    """Command one call attempt unless the node's clock has reached `send_before`."""

    request: ids.RequestId
    attempt: ids.AttemptId
    backend: ids.BackendServerId
    address: _http_client.Address
    path: str
    body: str
    key: ids.IdempotencyKey
    fencing: ids.FencingNumber
    timeout_seconds: float
    send_before: float
    reuse_connection: bool = False


@attrs.frozen(kw_only=True)
class SendLookup:
    """Command one attempt of a lookup."""

    request: ids.RequestId
    attempt: ids.AttemptId
    backend: ids.BackendServerId
    address: _http_client.Address
    path: str
    timeout_seconds: float


@attrs.frozen(kw_only=True)
class CancelLookup:
    """Command the cancellation of a lookup attempt."""

    attempt: ids.AttemptId


@attrs.frozen(kw_only=True)
class CallAnswered:
    """Report a backend server's complete response to an attempt."""

    request: ids.RequestId
    attempt: ids.AttemptId
    status: int
    body: str
    retry_after_seconds: float | None = None


@attrs.frozen(kw_only=True)
class CallUnsent:
    """Report an attempt that definitely never reached the backend server."""

    request: ids.RequestId
    attempt: ids.AttemptId
    detail: str


@attrs.frozen(kw_only=True)
class CallUnclear:
    """Report an attempt that may have run or may still run."""

    request: ids.RequestId
    attempt: ids.AttemptId
    detail: str


@attrs.frozen(kw_only=True)
class AskOutcome:
    """Command a query for the outcome of a call at its backend server.

    A fencing number above 0 makes the server refuse attempts with lower numbers.
    """

    request: ids.RequestId
    attempt: ids.AttemptId
    address: _http_client.Address
    key: ids.IdempotencyKey
    fencing: ids.FencingNumber


class OutcomeState(enum.Enum):
    """Enumerate the outcomes of a call as reported by its backend server."""

    RUN = "run"
    ABSENT = "absent"


@attrs.frozen(kw_only=True)
class OutcomeTold:
    """Report the outcome of a call given by its backend server."""

    request: ids.RequestId
    attempt: ids.AttemptId
    state: OutcomeState
    body: str


@attrs.frozen(kw_only=True)
class OutcomeUntold:
    """Report an outcome query that failed."""

    request: ids.RequestId
    attempt: ids.AttemptId
    detail: str


@attrs.frozen(kw_only=True)
class AnswerCall:
    """Command the sending of the answer of a call or lookup to its caller."""

    request: ids.RequestId
    status: int
    body: str
    backend: ids.BackendServerId
