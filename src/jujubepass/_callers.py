"""HTTP interface for callers."""

import collections.abc
import json
import logging
import math
import typing
import urllib.parse

import attrs
import trio

from jujubepass import (
    _answer_messages,
    _blackboard,
    _call_messages,
    _caller_input,
    _http_server,
    _limit_messages,
    _logs,
    _mailboxes,
    _metrics,
    _node_messages,
    declarations,
    ids,
    reasons,
)

_LOGGER = logging.getLogger(__name__)

_COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")
_SERVICE_PREFIX = "/services/"
_CALL_PREFIX = "/v1/calls/"
_RUN_BY_REASON = {
    reasons.RefusalReason.OUTCOME_UNKNOWN: "unknown",
    reasons.RefusalReason.ANSWER_NOT_KEPT: "yes",
}
_READ_GRACE_SECONDS = 30.0
_QUESTION_SECONDS = 60.0
_EVENT_STREAM = "text/event-stream"

Post = collections.abc.Callable[[typing.Any], None]
NewRequestId = collections.abc.Callable[[], ids.RequestId]


@attrs.frozen(kw_only=True)
class CallerApi:
    """Turn callers' requests into events and the replies into responses."""

    blackboard: _blackboard.Blackboard
    mailboxes: _mailboxes.Mailboxes
    metrics: _metrics.Metrics
    post: Post
    new_request_id: NewRequestId

    async def __call__(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        """Serve one request."""
        if request.path == "/healthz":
            await responder.send(200, b"ok\n", content_type="text/plain")
        elif request.path == "/readyz":
            await self._send_readiness(responder)
        elif request.path in _COMPLETION_PATHS and request.method == "POST":
            await self._guard(self._serve_model, request, responder)
        elif request.path.startswith(_SERVICE_PREFIX) and request.method == "POST":
            await self._guard(self._serve_call, request, responder)
        elif request.path.startswith(_SERVICE_PREFIX) and request.method == "GET":
            await self._guard(self._serve_lookup, request, responder)
        elif request.path.startswith(_CALL_PREFIX) and request.method == "GET":
            await self._guard(self._serve_question, request, responder)
        else:
            detail = f"{request.method} {request.path} is not served here."
            await responder.send_problem(404, "unknown_path", detail)

    async def _send_readiness(self, responder: _http_server.Responder) -> None:
        state = self.blackboard.node.state
        ready = state is _node_messages.NodeState.READY
        body = state.value.encode() + b"\n"
        await responder.send(200 if ready else 503, body, content_type="text/plain")

    async def _guard(
        self,
        serve: collections.abc.Callable[..., collections.abc.Awaitable[None]],
        request: _http_server.Request,
        responder: _http_server.Responder,
    ) -> None:
        try:
            declared = self.blackboard.configuration.declared
            account = _caller_input.find_account(request, declared)
            await serve(request, responder, account)
        except _caller_input.CallerInputError as error:
            self.metrics.count_refusal(error.reason)
            await responder.send_problem(
                error.reason.status, error.reason.code, error.detail
            )

    async def _serve_model(
        self,
        request: _http_server.Request,
        responder: _http_server.Responder,
        account: declarations.Account,
    ) -> None:
        declared = self.blackboard.configuration.declared
        request_id = self.new_request_id()
        checked = _caller_input.read_model_request(
            request, account, declared, request_id, trio.current_time()
        )
        writer: _AnswerWriter
        if checked.stream:
            writer = _StreamWriter(api=self, responder=responder, request=request_id)
        else:
            writer = _WholeWriter(api=self, responder=responder, request=request_id)
        await self._serve(checked.event, writer, _metrics.RequestKind.MODEL)

    async def _serve_call(
        self,
        request: _http_server.Request,
        responder: _http_server.Responder,
        account: declarations.Account,
    ) -> None:
        declared = self.blackboard.configuration.declared
        request_id = self.new_request_id()
        event = _caller_input.read_call(
            request, account, declared, request_id, trio.current_time()
        )
        writer = _CallWriter(api=self, responder=responder, request=request_id)
        await self._serve(event, writer, _metrics.RequestKind.CALL)

    async def _serve_lookup(
        self,
        request: _http_server.Request,
        responder: _http_server.Responder,
        account: declarations.Account,
    ) -> None:
        declared = self.blackboard.configuration.declared
        request_id = self.new_request_id()
        event = _caller_input.read_lookup(
            request, account, declared, request_id, trio.current_time()
        )
        writer = _CallWriter(api=self, responder=responder, request=request_id)
        await self._serve(event, writer, _metrics.RequestKind.LOOKUP)

    async def _serve_question(
        self,
        request: _http_server.Request,
        responder: _http_server.Responder,
        account: declarations.Account,
    ) -> None:
        request_id = self.new_request_id()
        key = urllib.parse.unquote(request.path.removeprefix(_CALL_PREFIX))
        event = _call_messages.CallAsked(
            request=request_id, account=account.name, key=ids.IdempotencyKey(key)
        )
        writer = _CallWriter(api=self, responder=responder, request=request_id)
        await self._serve(event, writer, _metrics.RequestKind.LOOKUP)

    async def _serve(
        self,
        event: _limit_messages.Arrival,
        writer: "_AnswerWriter",
        kind: _metrics.RequestKind,
    ) -> None:
        mailbox = self.mailboxes.open(event.request)
        outcome = _metrics.RequestOutcome.CALLER_GONE
        arrived_at = trio.current_time()
        with _logs.bind_fields(request=event.request, account=event.account):
            try:
                self.post(event)
                with trio.CancelScope(deadline=_bound_time(event)):
                    outcome = await _write_replies(writer, mailbox)
            finally:
                self.mailboxes.close(event.request)
                self.metrics.count_request(kind, outcome)
                if outcome is _metrics.RequestOutcome.CALLER_GONE:
                    self.post(_answer_messages.CallerLeft(request=event.request))
                self.post(_limit_messages.RequestEnded(request=event.request))
                seconds = trio.current_time() - arrived_at
                _log_end(kind, outcome, mailbox.backends, seconds)


def _log_end(
    kind: _metrics.RequestKind,
    outcome: _metrics.RequestOutcome,
    backends: str,
    seconds: float,
) -> None:
    fields = {"kind": kind.value, "outcome": outcome.value, "backends": backends}
    _LOGGER.info("request ended", extra={**fields, "seconds": round(seconds, 4)})


def _bound_time(event: _limit_messages.Arrival) -> float:
    """Return when a caller that does not read its answer is given up on."""
    if isinstance(event, _call_messages.CallAsked):
        return trio.current_time() + _QUESTION_SECONDS
    return event.deadline + _READ_GRACE_SECONDS


async def _write_replies(
    writer: "_AnswerWriter", mailbox: _mailboxes.Mailbox
) -> _metrics.RequestOutcome:
    while True:
        replies = await mailbox.receive_ready()
        outcome = await writer.write(replies, mailbox)
        if outcome is not None:
            return outcome


@attrs.define(kw_only=True)
class _AnswerWriter:
    """Write the replies of one request to its caller."""

    api: CallerApi
    responder: _http_server.Responder
    request: ids.RequestId

    async def write(
        self,
        replies: collections.abc.Sequence[_mailboxes.Reply],
        mailbox: _mailboxes.Mailbox,
    ) -> _metrics.RequestOutcome | None:
        """Write what is ready; return the outcome once it is known."""
        raise NotImplementedError

    def _describe(self, mailbox: _mailboxes.Mailbox) -> dict[str, str]:
        return {
            "x-jujubepass-node": self.api.blackboard.identity.node,
            "x-jujubepass-request": self.request,
            "x-jujubepass-backend": mailbox.backends,
        }

    async def _refuse(
        self, refusal: _answer_messages.Refuse
    ) -> _metrics.RequestOutcome:
        self.api.metrics.count_refusal(refusal.reason)
        unknown = refusal.reason is reasons.RefusalReason.OUTCOME_UNKNOWN
        run = _RUN_BY_REASON.get(refusal.reason, "no")
        await self.responder.send_problem(
            refusal.reason.status,
            refusal.reason.code,
            refusal.detail,
            retry_after_seconds=max(1, math.ceil(refusal.retry_after_seconds)),
            extra={"request": self.request, "run": run},
        )
        if unknown:
            return _metrics.RequestOutcome.UNKNOWN
        return _metrics.RequestOutcome.REFUSED


@attrs.define(kw_only=True)
class _CallWriter(_AnswerWriter):
    async def write(
        self,
        replies: collections.abc.Sequence[_mailboxes.Reply],
        mailbox: _mailboxes.Mailbox,
    ) -> _metrics.RequestOutcome | None:
        """Write what is ready; return the outcome once it is known."""
        for reply in replies:
            if isinstance(reply, _answer_messages.Refuse):
                return await self._refuse(reply)
            if isinstance(reply, _call_messages.AnswerCall):
                mailbox.backends = reply.backend
                await self.responder.send(
                    reply.status, reply.body.encode(), headers=self._describe(mailbox)
                )
                return _metrics.RequestOutcome.ANSWERED
        return None


@attrs.define(kw_only=True)
class _WholeWriter(_AnswerWriter):
    _tokens: list[str] = attrs.field(factory=list, init=False)

    async def write(
        self,
        replies: collections.abc.Sequence[_mailboxes.Reply],
        mailbox: _mailboxes.Mailbox,
    ) -> _metrics.RequestOutcome | None:
        """Write what is ready; return the outcome once it is known."""
        for reply in replies:
            if isinstance(reply, _answer_messages.Refuse):
                return await self._refuse(reply)
            if isinstance(reply, _answer_messages.DeliverTokens):
                self._tokens += reply.tokens
            if isinstance(reply, _answer_messages.FinishAnswer):
                await self._finish(reply, mailbox)
                return _metrics.RequestOutcome.ANSWERED
        return None

    async def _finish(
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
            200, json.dumps(value).encode(), headers=self._describe(mailbox)
        )


@attrs.define(kw_only=True)
class _StreamWriter(_AnswerWriter):
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
        """Write what is ready; return the outcome once it is known."""
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
                    return await self._refuse(reply)
                data.append(self._format_refusal(reply))
                outcome = _metrics.RequestOutcome.CUT
        if data:
            await self._send(b"".join(data), mailbox)
        if outcome is not None:
            await self.responder.finish()
        return outcome

    async def _send(self, data: bytes, mailbox: _mailboxes.Mailbox) -> None:
        if not self.responder.started:
            headers = {"content-type": _EVENT_STREAM, "cache-control": "no-store"}
            headers |= self._describe(mailbox)
            headers["transfer-encoding"] = "chunked"
            await self.responder.start(200, headers)
        await self.responder.write(data)

    def _format_token(self, token: str) -> bytes:
        text = json.dumps(f" {token}" if self._written else token)
        self._written += 1
        chunk = f'"text": {text}, "delta": {{"content": {text}}}}}]}}\n\n'
        return (self._prefix + chunk).encode()

    def _format_refusal(self, refusal: _answer_messages.Refuse) -> bytes:
        self.api.metrics.count_refusal(refusal.reason)
        error = {
            "code": refusal.reason.code,
            "message": refusal.detail,
            "retry_after_seconds": max(1, math.ceil(refusal.retry_after_seconds)),
        }
        return _format_event({"id": self.request, "error": error})


def _format_event(value: object) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _format_end(end: _answer_messages.AnswerEnd) -> bytes:
    choice = {"index": 0, "text": "", "delta": {}, "finish_reason": end.value}
    return _format_event({"choices": [choice]}) + b"data: [DONE]\n\n"
