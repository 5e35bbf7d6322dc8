"""Callers' requests, attempts, starts of answers, and their translation to HTTP."""

import enum
import typing

import attrs

from jujubepass import ids
from jujubepass.forwarding import declarations, pipelines
from jujubepass.transport import _http_client, _http_server

Fields = _http_client.Fields


@attrs.frozen(kw_only=True)
class CallerRequest:
    """Describe a caller's request as received; times are on the boot clock."""

    request_id: ids.RequestId
    host: str
    method: str
    target: str
    key: str | None
    arrived_at: float
    timeout_seconds: float | None
    """The caller's time limit; None if not given."""
    resume_after: str | None
    """Id of the last event that the caller has; None for a new answer."""
    max_answer_tokens: int
    """Maximum number of tokens in the answer; 0 if not given."""
    fields: Fields
    """Header fields to forward, without those that the node sets itself."""
    body: bytes
    prompt_parts: tuple[ids.PromptPartId, ...] = ()
    """Parts of the prompt that other requests may share, without the last part."""


@attrs.frozen(kw_only=True)
class Attempt:
    """Describe one attempt to send a request to a backend server."""

    backend: ids.BackendServerId
    account: ids.AccountId | None
    priority: int
    remaining_seconds: float
    pipeline: pipelines.Pipeline | None = None
    resume_after: str | None = None
    fresh: bool = False
    """Whether to open a new connection: a kept one may close under the request or have
    a late answer to it, and a failed connect proves that nothing was sent."""


class AnswerKind(enum.Enum):
    """Enumerate the kinds of an answer by its status and header fields."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MISMATCHED = "foreign"
    """The request id in the answer does not match the request."""
    UNVERIFIED = "unproven"
    """No evidence that the answer is this request's, or an unrequested encoding."""


@attrs.frozen(kw_only=True)
class RequestLimit:
    """Describe a backend server's limit of requests from all nodes together."""

    requests_per_second: float | None
    """Infinite if the answer names no limit; None if what it names is invalid."""
    text: str = ""
    """The limit as received."""


@attrs.frozen(kw_only=True)
class Signals:
    """Describe what a backend server says of itself in an answer."""

    is_leaving: bool = False
    """Whether it wants no new requests any more."""
    retry_after_seconds: float | None = None
    """How long it wants no requests after a refusal; None if it does not say."""
    limit: RequestLimit | None = None
    """What it says of its request limit; None if the answer does not tell."""
    at_fault: _http_client.Address | None = None
    """Engine that could not run its stage of the pipeline."""


@attrs.frozen(kw_only=True)
class AnswerHead(Signals):
    """Describe the start of a backend server's answer."""

    kind: AnswerKind
    status: int
    fields: Fields
    """Header fields to forward to the caller."""


class Wire(typing.Protocol):
    """Translate requests and answers to and from HTTP messages."""

    def read_request(self, request: _http_server.Request, now: float) -> CallerRequest:
        """Parse a caller's request."""

    def write_request(self, request: CallerRequest, attempt: Attempt) -> Fields:
        """Return the header fields of a request to a backend server."""

    def read_answer(
        self, request: CallerRequest, status: int, fields: Fields, *, is_first: bool
    ) -> AnswerHead:
        """Parse and classify the start of a backend server's answer.

        Only the first answer on a connection surely is that of its last request.
        """

    def write_refusal(self, request: CallerRequest) -> Fields:
        """Return the header fields of an answer that the node produces itself."""


@attrs.frozen(kw_only=True)
class Admitted:
    """Describe an admitted request: its route, service, account and deadline."""

    route: declarations.Route
    service: declarations.Service
    account: declarations.Account | None
    version: int
    deadline: float
    """Boot-clock time by which the caller receives the final answer."""

    @property
    def priority(self) -> int:
        """Return the account's priority or, without one, the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
