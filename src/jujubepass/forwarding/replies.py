"""Answers and refusals sent to the caller of one request."""

import logging

import attrs

from jujubepass import ids, reasons
from jujubepass.forwarding import admission, exchange
from jujubepass.transport import _http_server

_LOGGER = logging.getLogger(__name__)

_DETAILS = {
    reasons.RefusalReason.NOT_READY: "The node has no configuration yet.",
    reasons.RefusalReason.CONFIGURATION_STALE: (
        "The node lost the platform's store and may not know the newest keys."
    ),
    reasons.RefusalReason.UNKNOWN_ROUTE: "No route serves this host and path.",
    reasons.RefusalReason.UNKNOWN_ACCOUNT: "The key is missing or not valid.",
    reasons.RefusalReason.BACKEND_UNAVAILABLE: "No backend server can take it now.",
    reasons.RefusalReason.BACKEND_REFUSED: "The backend servers took no more requests.",
    reasons.RefusalReason.NO_ROUTE: "No path of engines holds every layer now.",
    reasons.RefusalReason.NODE_STOPPING: "This node stops. Ask another one.",
    reasons.RefusalReason.RETRY_BUDGET_SPENT: (
        "It was not run, and no retry is left for it now."
    ),
    reasons.RefusalReason.BACKEND_LIMITED: (
        "The backend servers take no more requests a second now."
    ),
    reasons.RefusalReason.ENGINES_FULL: "The engines are full.",
    reasons.RefusalReason.SHORTAGE: (
        "It was not run: more requests than the engines have places for."
    ),
    reasons.RefusalReason.PROMPT_QUARANTINED: (
        "Engines ended under requests with a part of this prompt."
    ),
    reasons.RefusalReason.REQUEST_QUARANTINED: (
        "It was not run: backend servers ended under the same request."
    ),
    reasons.RefusalReason.DEADLINE_UNREACHABLE: "The time left is too short.",
    reasons.RefusalReason.DEADLINE_PASSED: "No answer came in time; it may have run.",
    reasons.RefusalReason.OUTCOME_UNKNOWN: "The answer was lost; it may have run.",
}


@attrs.define(kw_only=True)
class Reply:
    """Send one answer and record its outcome."""

    request: exchange.CallerRequest
    wire: exchange.Wire
    responder: _http_server.Responder
    outcome: str = "open"
    reason: str = ""
    status: int = 0
    attempts: int = 0
    backend: str = ""
    """Backend server of the last attempt; empty without one."""

    @property
    def started(self) -> bool:
        """Return whether the start of an answer has been sent."""
        return self.responder.started

    def record_attempt(self, backend: ids.BackendServerId) -> None:
        """Record that the request is being sent to a backend server."""
        self.attempts += 1
        self.backend = backend

    async def refuse(self, refusal: admission.Refusal) -> None:
        """Send a refusal as the final answer."""
        reason = refusal.reason
        self.outcome, self.reason = "refused", reason.code
        self.status = reason.status
        await self.responder.send_problem(
            reason.status,
            reason.code,
            _DETAILS[reason],
            retry_after_seconds=refusal.retry_after_seconds,
            fields=self.wire.write_refusal(self.request),
        )

    async def end(self, refusal: admission.Refusal) -> None:
        """Refuse a request, or abort its answer if that has begun."""
        if self.started:
            self.abort(refusal.reason)
        else:
            await self.refuse(refusal)

    async def send_complete(self, head: exchange.AnswerHead, body: bytes) -> None:
        """Send a backend server's complete answer unchanged."""
        self.status = head.status
        self.outcome = "answered"
        await self.responder.send_fields(head.status, head.fields, body)

    async def start(self, head: exchange.AnswerHead) -> None:
        """Send the start of an answer whose body is streamed."""
        self.status = head.status
        self.outcome = "started"
        await self.responder.start_fields(head.status, head.fields)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self.responder.write(data)

    async def finish(self) -> None:
        """Send the end of the body."""
        await self.responder.finish()
        self.outcome = "answered"

    def abort(self, reason: reasons.RefusalReason) -> None:
        """Record that a started answer is aborted; without its end it is incomplete."""
        self.outcome, self.reason = "cut", reason.code
