"""Events and commands of model requests."""

import enum

import attrs

from jujubepass import ids, reasons
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class Stage:
    """Name the engine that runs a range of layers."""

    engine: ids.BackendServerId
    address: _http_client.Address
    first_layer: int
    end_layer: int
    kv_from: _http_client.Address | None = None


class AnswerEnd(enum.Enum):
    """Name why an answer is whole."""

    STOP = "stop"
    LENGTH = "length"


class AttemptFault(enum.Enum):
    """Name how an attempt failed."""

    NOT_CONNECTED = "not_connected"
    FULL = "full"
    LEAVING = "leaving"
    REFUSED = "refused"
    OLD_EPOCH = "old_epoch"
    STAGE_FAILED = "stage_failed"
    STREAM_CUT = "stream_cut"


@attrs.frozen(kw_only=True)
class PromptArrived:
    """Report a caller's model request; `deadline` is on the node's clock."""

    request: ids.RequestId
    account: ids.AccountId
    model: ids.ModelId
    prompt: tuple[str, ...]
    max_tokens: int
    priority: int
    deadline: float


@attrs.frozen(kw_only=True)
class CallerLeft:
    """Report that the caller no longer waits."""

    request: ids.RequestId


@attrs.frozen(kw_only=True)
class Token:
    """Hold a token with the layer ranges that its stages ran."""

    request: ids.RequestId
    epoch: ids.Epoch
    position: int
    text: str
    receipts: tuple[tuple[str, int, int], ...]


@attrs.frozen(kw_only=True)
class TokensArrived:
    """Report the tokens that one read from an engine gave."""

    request: ids.RequestId
    attempt_epoch: ids.Epoch
    tokens: tuple[Token, ...]


@attrs.frozen(kw_only=True)
class AttemptEnded:
    """Report that an engine ended an answer."""

    request: ids.RequestId
    epoch: ids.Epoch
    end: AnswerEnd


@attrs.frozen(kw_only=True)
class AttemptFailed:
    """Report that an attempt failed; `engine` is to blame where known."""

    request: ids.RequestId
    epoch: ids.Epoch
    fault: AttemptFault
    engine: ids.BackendServerId | None
    detail: str
    retry_after_seconds: float = 0.0


@attrs.frozen(kw_only=True)
class EngineProbed:
    """Report whether an engine answered a probe."""

    engine: ids.BackendServerId
    answered: bool


@attrs.frozen(kw_only=True)
class ProbeEngine:
    """Command a read of an engine's load with a short timeout."""

    engine: ids.BackendServerId
    address: _http_client.Address
    timeout_seconds: float


@attrs.frozen(kw_only=True)
class StartAttempt:
    """Command an attempt over a route."""

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
    """Command that an attempt and all older ones stop at these engines."""

    request: ids.RequestId
    epoch: ids.Epoch
    stages: tuple[Stage, ...]


@attrs.frozen(kw_only=True)
class ReleaseCache:
    """Command that engines drop what they keep for a request."""

    request: ids.RequestId
    stages: tuple[Stage, ...]


@attrs.frozen(kw_only=True)
class DeliverTokens:
    """Command tokens to the caller."""

    request: ids.RequestId
    tokens: tuple[str, ...]


@attrs.frozen(kw_only=True)
class FinishAnswer:
    """Command the end of a whole answer."""

    request: ids.RequestId
    end: AnswerEnd


@attrs.frozen(kw_only=True)
class Refuse:
    """Command a final refusal, or the end of an answer that cannot go on."""

    request: ids.RequestId
    reason: reasons.RefusalReason
    detail: str
    retry_after_seconds: float
