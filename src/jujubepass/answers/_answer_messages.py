"""Events and commands of model requests."""

import enum

import attrs

from jujubepass import ids, reasons
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class Stage:
    """Engine that runs a range of layers of a request.

    If `kv_from` is set, the engine imports the request's KV cache from there.
    """

    engine: ids.BackendServerId
    address: _http_client.Address
    first_layer: int
    end_layer: int
    kv_from: _http_client.Address | None = None


class AnswerEnd(enum.Enum):
    """Reason why an answer is complete."""

    STOP = "stop"
    LENGTH = "length"


class AttemptFault(enum.Enum):
    """Kind of an attempt's failure."""

    NOT_CONNECTED = "not_connected"
    FULL = "full"
    LEAVING = "leaving"
    REFUSED = "refused"
    OLD_EPOCH = "old_epoch"
    STAGE_FAILED = "stage_failed"
    STREAM_CUT = "stream_cut"


@attrs.frozen(kw_only=True)
class PromptArrived:
    """Event: a caller's model request arrived; `deadline` is on the node's clock."""

    request: ids.RequestId
    account: ids.AccountId
    model: ids.ModelId
    prompt: tuple[str, ...]
    max_tokens: int
    priority: int
    deadline: float


@attrs.frozen(kw_only=True)
class CallerLeft:
    """Event: the caller stopped waiting for its answer."""

    request: ids.RequestId


@attrs.frozen(kw_only=True)
class Token:
    """Generated token with the receipts of the stages that computed it."""

    request: ids.RequestId
    epoch: ids.Epoch
    position: int
    text: str
    receipts: tuple[tuple[str, int, int], ...]


@attrs.frozen(kw_only=True)
class TokensArrived:
    """Event: one read from an engine's stream returned these tokens."""

    request: ids.RequestId
    attempt_epoch: ids.Epoch
    tokens: tuple[Token, ...]


@attrs.frozen(kw_only=True)
class AttemptEnded:
    """Event: an engine ended an answer."""

    request: ids.RequestId
    epoch: ids.Epoch
    end: AnswerEnd


@attrs.frozen(kw_only=True)
class AttemptFailed:
    """Event: an attempt failed; `engine` is the faulty one, if known."""

    request: ids.RequestId
    epoch: ids.Epoch
    fault: AttemptFault
    engine: ids.BackendServerId | None
    detail: str
    retry_after_seconds: float = 0.0


@attrs.frozen(kw_only=True)
class EngineProbed:
    """Event: a probe of an engine was answered or failed."""

    engine: ids.BackendServerId
    answered: bool


@attrs.frozen(kw_only=True)
class ProbeEngine:
    """Command to read an engine's load report with a short time-out."""

    engine: ids.BackendServerId
    address: _http_client.Address
    timeout_seconds: float


@attrs.frozen(kw_only=True)
class StartAttempt:
    """Command to start an attempt over a route."""

    request: ids.RequestId
    epoch: ids.Epoch
    model: ids.ModelId
    prompt: tuple[str, ...]
    sent: tuple[str, ...]
    max_tokens: int
    priority: int
    deadline_seconds: float
    stages: tuple[Stage, ...]


@attrs.frozen(kw_only=True)
class CancelAttempt:
    """Command to stop an attempt and all older ones at these engines."""

    request: ids.RequestId
    epoch: ids.Epoch
    stages: tuple[Stage, ...]


@attrs.frozen(kw_only=True)
class ReleaseCache:
    """Command to release a request's KV cache at these engines."""

    request: ids.RequestId
    stages: tuple[Stage, ...]


@attrs.frozen(kw_only=True)
class DeliverTokens:
    """Command to send tokens to the caller."""

    request: ids.RequestId
    tokens: tuple[str, ...]


@attrs.frozen(kw_only=True)
class FinishAnswer:
    """Command to end a complete answer."""

    request: ids.RequestId
    end: AnswerEnd


@attrs.frozen(kw_only=True)
class Refuse:
    """Command to refuse a request, or to end an answer that cannot continue."""

    request: ids.RequestId
    reason: reasons.RefusalReason
    detail: str
    retry_after_seconds: float
