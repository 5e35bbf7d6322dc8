"""Events and commands of model requests."""

import enum

import attrs

from jujubepass import ids, reasons
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class Stage:
    """Describe an engine that runs a range of layers of a request.

    If `kv_from` is set, the engine imports the request's KV cache from there.
    """

    engine: ids.BackendServerId
    address: _http_client.Address
    first_layer: int
    end_layer: int
    kv_from: _http_client.Address | None = None


class AnswerEnd(enum.Enum):
    """Enumerate the reasons why an answer is complete."""

    STOP = "stop"
    LENGTH = "length"


class AttemptFault(enum.Enum):
    """Enumerate the kinds of an attempt's failure."""

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
    """Report a caller that stopped waiting for its answer."""

    request: ids.RequestId


@attrs.frozen(kw_only=True)
class Token:
    """Describe a generated token and the receipts of the stages that computed it."""

    request: ids.RequestId
    epoch: ids.Epoch
    position: int
    text: str
    receipts: tuple[tuple[str, int, int], ...]


@attrs.frozen(kw_only=True)
class TokensArrived:
    """Report the tokens that one read from an engine's stream returned."""

    request: ids.RequestId
    attempt_epoch: ids.Epoch
    tokens: tuple[Token, ...]


@attrs.frozen(kw_only=True)
class AttemptEnded:
    """Report an answer that an engine ended."""

    request: ids.RequestId
    epoch: ids.Epoch
    end: AnswerEnd


@attrs.frozen(kw_only=True)
class AttemptFailed:
    """Report a failed attempt; `engine` is the faulty one, if known."""

    request: ids.RequestId
    epoch: ids.Epoch
    fault: AttemptFault
    engine: ids.BackendServerId | None
    detail: str
    retry_after_seconds: float = 0.0


@attrs.frozen(kw_only=True)
class EngineProbed:
    """Report an answered or failed probe of an engine."""

    engine: ids.BackendServerId
    answered: bool


@attrs.frozen(kw_only=True)
class ProbeEngine:
    """Command a read of an engine's load report with a short time-out."""

    engine: ids.BackendServerId
    address: _http_client.Address
    timeout_seconds: float


@attrs.frozen(kw_only=True)
class StartAttempt:
    """Command the start of an attempt over a route."""

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
    """Command a stop of an attempt and all older ones at these engines."""

    request: ids.RequestId
    epoch: ids.Epoch
    stages: tuple[Stage, ...]


@attrs.frozen(kw_only=True)
class ReleaseCache:
    """Command the release of a request's KV cache at these engines."""

    request: ids.RequestId
    stages: tuple[Stage, ...]


@attrs.frozen(kw_only=True)
class DeliverTokens:
    """Command the delivery of tokens to the caller."""

    request: ids.RequestId
    tokens: tuple[str, ...]


@attrs.frozen(kw_only=True)
class FinishAnswer:
    """Command the end of a complete answer."""

    request: ids.RequestId
    end: AnswerEnd


@attrs.frozen(kw_only=True)
class Refuse:
    """Command a refusal of a request or the end of an answer that cannot continue."""

    request: ids.RequestId
    reason: reasons.RefusalReason
    detail: str
    retry_after_seconds: float
