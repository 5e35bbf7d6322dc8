"""Events and commands of calls to plain services."""

import enum

import attrs

from jujubepass import ids
from jujubepass.transport import _http_client


class CallMethod(enum.Enum):
    """Name how a plain service is called."""

    GET = "GET"
    POST = "POST"


@attrs.frozen(kw_only=True)
class CallArrived:
    """Report a call that may not be repeated; `deadline` is on the node's clock."""

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
    """Report a caller's question after the call that a key names."""

    request: ids.RequestId
    account: ids.AccountId
    key: ids.IdempotencyKey


@attrs.frozen(kw_only=True)
class WallClockRead:
    """Report the time of day, in seconds since 1970."""

    seconds: float


@attrs.frozen(kw_only=True)
class LookupArrived:
    """Report an idempotent call; `deadline` is on the node's clock."""

    request: ids.RequestId
    account: ids.AccountId
    service: ids.ServiceId
    path: str
    deadline: float


@attrs.frozen(kw_only=True)
class SendCall:
    """Command one attempt, unless the node's clock has reached `send_before`."""

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
    """Command one attempt of an idempotent call."""

    request: ids.RequestId
    attempt: ids.AttemptId
    backend: ids.BackendServerId
    address: _http_client.Address
    path: str
    timeout_seconds: float


@attrs.frozen(kw_only=True)
class CancelLookup:
    """Command that a lookup attempt stop."""

    attempt: ids.AttemptId


@attrs.frozen(kw_only=True)
class CallAnswered:
    """Report a backend server's whole answer to an attempt."""

    request: ids.RequestId
    attempt: ids.AttemptId
    status: int
    body: str
    retry_after_seconds: float | None = None


@attrs.frozen(kw_only=True)
class CallUnsent:
    """Report that an attempt certainly never reached the backend server."""

    request: ids.RequestId
    attempt: ids.AttemptId
    detail: str


@attrs.frozen(kw_only=True)
class CallUnclear:
    """Report that an attempt may have run, or may yet run."""

    request: ids.RequestId
    attempt: ids.AttemptId
    detail: str


@attrs.frozen(kw_only=True)
class AskOutcome:
    """Command a question after a call; `fencing` over 0 refuses older attempts."""

    request: ids.RequestId
    attempt: ids.AttemptId
    address: _http_client.Address
    key: ids.IdempotencyKey
    fencing: ids.FencingNumber


class OutcomeState(enum.Enum):
    """Name what a backend server says of a call."""

    RUN = "run"
    ABSENT = "absent"


@attrs.frozen(kw_only=True)
class OutcomeTold:
    """Report what the backend server knows of a call."""

    request: ids.RequestId
    attempt: ids.AttemptId
    state: OutcomeState
    body: str


@attrs.frozen(kw_only=True)
class OutcomeUntold:
    """Report that the backend server did not tell."""

    request: ids.RequestId
    attempt: ids.AttemptId
    detail: str


@attrs.frozen(kw_only=True)
class AnswerCall:
    """Command a call's or lookup's answer to the caller."""

    request: ids.RequestId
    status: int
    body: str
    backend: ids.BackendServerId
