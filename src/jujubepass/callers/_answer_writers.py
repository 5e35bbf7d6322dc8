"""Writers of responses to callers."""

import collections.abc
import json
import math
import typing

import attrs

from jujubepass import ids, reasons
from jujubepass.answers import _answer_messages
from jujubepass.callers import _mailboxes
from jujubepass.calls import _call_messages
from jujubepass.telemetry import _metrics
from jujubepass.transport import _http_server

_RUN_FIELD_BY_REASON = {
    reasons.RefusalReason.OUTCOME_UNKNOWN: "unknown",
    reasons.RefusalReason.ANSWER_NOT_KEPT: "yes",
}
_EVENT_STREAM_TYPE = "text/event-stream"


@attrs.define(kw_only=True)
class AnswerWriter:
    """Write the replies to one request as its HTTP response."""

    # Field `run` of a refusal if the request was sent to a backend server.
    run_when_sent: typing.ClassVar[str] = "incomplete"

    node: ids.NodeId
    metrics: _metrics.Metrics
    responder: _http_server.Responder
    request: ids.RequestId

    async def write(
        self,
        replies: collections.abc.Sequence[_mailboxes.Reply],
        mailbox: _mailboxes.Mailbox,
    ) -> _metrics.RequestOutcome | None:
        """Write the replies; return the outcome once the request has ended."""
        raise NotImplementedError

    def _make_headers(self, mailbox: _mailboxes.Mailbox) -> dict[str, str]:
        return {
            "x-jujubepass-node": self.node,
            "x-jujubepass-request": self.request,
            "x-jujubepass-backend": mailbox.backends,
        }

    async def _send_refusal(
        self, refusal: _answer_messages.Refuse, mailbox: _mailboxes.Mailbox
    ) -> _metrics.RequestOutcome:
        self.metrics.count_refusal(refusal.reason)
        unknown = refusal.reason is reasons.RefusalReason.OUTCOME_UNKNOWN
        sent = self.run_when_sent if mailbox.backends else "no"
        run = _RUN_FIELD_BY_REASON.get(refusal.reason, sent)
        await self.responder.send_problem(
            refusal.reason.status,
            refusal.reason.code,
            refusal.detail,
            retry_after_seconds=_get_retry_after_seconds(refusal),
            extra={"request": self.request, "run": run},
        )
        if unknown:
            return _metrics.RequestOutcome.UNKNOWN
        return _metrics.RequestOutcome.REFUSED


@attrs.define(kw_only=True)
class CallWriter(AnswerWriter):
    """Write the response to a call, a lookup or a call status request."""

    run_when_sent: typing.ClassVar[str] = "unknown"

    async def write(
        self,
        replies: collections.abc.Sequence[_mailboxes.Reply],
        mailbox: _mailboxes.Mailbox,
    ) -> _metrics.RequestOutcome | None:
        """Write the replies; return the outcome once the request has ended."""
        for reply in replies:
            if isinstance(reply, _answer_messages.Refuse):
                return await self._send_refusal(reply, mailbox)
            if isinstance(reply, _call_messages.AnswerCall):
                mailbox.backends = reply.backend
                await self.responder.send(
                    reply.status,
                    reply.body.encode(),
                    headers=self._make_headers(mailbox),
                )
                return _metrics.RequestOutcome.ANSWERED
        return None


@attrs.define(kw_only=True)
class BufferedWriter(AnswerWriter):
    """Write a model's answer as one response when it is complete."""

    _tokens: list[str] = attrs.field(factory=list, init=False)

    async def write(
        self,
        replies: collections.abc.Sequence[_mailboxes.Reply],
        mailbox: _mailboxes.Mailbox,
    ) -> _metrics.RequestOutcome | None:
        """Write the replies; return the outcome once the request has ended."""
        for reply in replies:
            if isinstance(reply, _answer_messages.Refuse):
                return await self._send_refusal(reply, mailbox)
            if isinstance(reply, _answer_messages.DeliverTokens):
                self._tokens += reply.tokens
            if isinstance(reply, _answer_messages.FinishAnswer):
                await self._send_answer(reply, mailbox)
                return _metrics.RequestOutcome.ANSWERED
        return None

    async def _send_answer(
        self, reply: _answer_messages.FinishAnswer, mailbox: _mailboxes.Mailbox
    ) -> None:
        text = " ".join(self._tokens)
        choice = {
            "index": 0,
            "text": text,
            "message": {"role": "assistant", "content": text},
            "finish_reason": reply.end.value,
        }
        usage = {"completion_tokens": len(self._tokens)}
        value = {"id": self.request, "choices": [choice], "usage": usage}
        await self.responder.send(
            200, json.dumps(value).encode(), headers=self._make_headers(mailbox)
        )


@attrs.define(kw_only=True)
class StreamWriter(AnswerWriter):
    """Write a model's answer as server-sent events."""

    _written: int = attrs.field(default=0, init=False)
    _prefix: str = attrs.field(init=False)

    @_prefix.default
    def _make_prefix(self) -> str:
        return f'data: {{"id": "{self.request}", "choices": [{{"index": 0, '

    async def write(
        self,
        replies: collections.abc.Sequence[_mailboxes.Reply],
        mailbox: _mailboxes.Mailbox,
    ) -> _metrics.RequestOutcome | None:
        """Write the replies; return the outcome once the request has ended."""
        data: list[bytes] = []
        outcome = None
        for reply in replies:
            if isinstance(reply, _answer_messages.DeliverTokens):
                data += map(self._format_token, reply.tokens)
            elif isinstance(reply, _answer_messages.FinishAnswer):
                data.append(_format_end(reply.end))
                outcome = _metrics.RequestOutcome.ANSWERED
            elif isinstance(reply, _answer_messages.Refuse):
                if not self.responder.started and not data:
                    return await self._send_refusal(reply, mailbox)
                data.append(self._format_refusal(reply))
                outcome = _metrics.RequestOutcome.CUT
        if data:
            await self._send_events(b"".join(data), mailbox)
        if outcome is not None:
            await self.responder.finish()
        return outcome

    async def _send_events(self, data: bytes, mailbox: _mailboxes.Mailbox) -> None:
        if not self.responder.started:
            headers = {"content-type": _EVENT_STREAM_TYPE, "cache-control": "no-store"}
            headers |= self._make_headers(mailbox)
            headers["transfer-encoding"] = "chunked"
            await self.responder.start(200, headers)
        await self.responder.write(data)

    def _format_token(self, token: str) -> bytes:
        text = json.dumps(f" {token}" if self._written else token)
        self._written += 1
        chunk = f'"text": {text}, "delta": {{"content": {text}}}}}]}}\n\n'
        return (self._prefix + chunk).encode()

    def _format_refusal(self, refusal: _answer_messages.Refuse) -> bytes:
        self.metrics.count_refusal(refusal.reason)
        error: dict[str, object] = {
            "code": refusal.reason.code,
            "message": refusal.detail,
        }
        retry_after_seconds = _get_retry_after_seconds(refusal)
        if retry_after_seconds is not None:
            error["retry_after_seconds"] = retry_after_seconds
        return _format_event({"id": self.request, "error": error})


def _get_retry_after_seconds(refusal: _answer_messages.Refuse) -> int | None:
    """Return the delay before a retry, or None if a retry cannot succeed."""
    if not refusal.reason.is_retryable:
        return None
    return max(1, math.ceil(refusal.retry_after_seconds))


def _format_event(value: object) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _format_end(end: _answer_messages.AnswerEnd) -> bytes:
    choice = {"index": 0, "text": "", "delta": {}, "finish_reason": end.value}
    return _format_event({"choices": [choice]}) + b"data: [DONE]\n\n"
