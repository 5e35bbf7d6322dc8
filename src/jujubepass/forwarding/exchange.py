"""Requests as callers ask them, answers as backend servers start them, and the wire."""

import enum
import typing

import attrs

from jujubepass import ids
from jujubepass.forwarding import declarations, paths
from jujubepass.transport import _http_client, _http_server

Fields = _http_client.Fields


@attrs.frozen(kw_only=True)
class Ask:
    """Hold a caller's request as it came; times are on the boot clock."""

    request: ids.RequestId
    host: str
    method: str
    target: str
    key: str | None
    arrived_at: float
    patience_seconds: float | None
    """How long the caller waits; None when it did not say."""
    resume_after: str | None
    """Id of the last event that the caller has; None for a new answer."""
    answer_tokens: int
    """Most tokens of the answer; 0 when the caller did not say."""
    fields: Fields
    """Header fields to pass on, without those that the node sets itself."""
    body: bytes


@attrs.frozen(kw_only=True)
class Send:
    """Say what one attempt of a request is sent with."""

    backend: ids.BackendServerId
    account: ids.AccountId | None
    priority: int
    left_seconds: float
    path: paths.Path | None = None
    resume_after: str | None = None
    fresh: bool = False
    """Whether it needs a connection of its own, so that a failed one tells more."""


class AnswerKind(enum.Enum):
    """Say what the start of a backend server's answer means."""

    RAN = "ran"
    NOT_RUN = "not_run"
    FOREIGN = "foreign"
    """It belongs to another request, or to none."""
    UNPROVEN = "unproven"
    """It claims success without a proof, or in an encoding nobody asked for."""


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Hold the start of an answer with what it says of the request."""

    kind: AnswerKind
    status: int
    fields: Fields
    """Header fields to pass on to the caller."""
    at_fault: _http_client.Address | None = None
    """Engine of the path that could not take its part."""


class Wire(typing.Protocol):
    """Translate requests and answers between HTTP messages and their meaning."""

    def read_request(self, request: _http_server.Request, now: float) -> Ask:
        """Read a caller's request."""

    def write_request(self, ask: Ask, send: Send) -> Fields:
        """Return the header fields of a request to a backend server."""

    def read_answer(self, ask: Ask, status: int, fields: Fields) -> AnswerHead:
        """Read the start of a backend server's answer."""

    def write_refusal(self, ask: Ask) -> Fields:
        """Return the header fields that the node's own answers carry."""


@attrs.frozen(kw_only=True)
class Admitted:
    """Hold what a request was admitted as."""

    route: declarations.Route
    service: declarations.Service
    account: declarations.Account | None
    version: int
    ends_at: float
    """Time at which the caller gets its final answer, on the boot clock."""

    @property
    def priority(self) -> int:
        """Return the account's priority, or else the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
