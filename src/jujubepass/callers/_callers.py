"""HTTP interface for callers."""

import collections.abc
import logging
import typing
import urllib.parse

import attrs
import trio

from jujubepass import declarations, ids
from jujubepass.answers import _answer_messages
from jujubepass.callers import _answer_writers, _caller_input, _mailboxes
from jujubepass.calls import _call_messages
from jujubepass.limits import _limit_messages
from jujubepass.nodes import _blackboard, _node_messages
from jujubepass.telemetry import _logs, _metrics
from jujubepass.transport import _http_server

_LOGGER = logging.getLogger(__name__)

_COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")
_SERVICE_PREFIX = "/services/"
_CALL_PREFIX = "/v1/calls/"
# Time beyond the request's deadline that a caller has to read its response.
_READ_GRACE_SECONDS = 30.0
_CALL_STATUS_TIMEOUT_SECONDS = 60.0

PostEvent = collections.abc.Callable[[typing.Any], None]
ReadArrival = collections.abc.Callable[..., _limit_messages.Arrival]
MakeRequestId = collections.abc.Callable[[], ids.RequestId]


@attrs.frozen(kw_only=True)
class CallerApi:
    """Convert callers' requests to events and the replies to responses."""

    blackboard: _blackboard.Blackboard
    mailboxes: _mailboxes.Mailboxes
    metrics: _metrics.Metrics
    post: PostEvent
    make_request_id: MakeRequestId

    async def __call__(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        """Serve one request."""
        if request.path == "/healthz":
            await responder.send(200, b"ok\n", content_type="text/plain")
        elif request.path == "/readyz":
            await self._send_readiness(responder)
        elif request.path in _COMPLETION_PATHS and request.method == "POST":
            await self._authenticate_and_serve(self._serve_model, request, responder)
        elif request.path.startswith(_SERVICE_PREFIX) and request.method == "POST":
            await self._authenticate_and_serve(self._serve_call, request, responder)
        elif request.path.startswith(_SERVICE_PREFIX) and request.method == "GET":
            await self._authenticate_and_serve(self._serve_lookup, request, responder)
        elif request.path.startswith(_CALL_PREFIX) and request.method == "GET":
            await self._authenticate_and_serve(
                self._serve_call_status, request, responder
            )
        else:
            detail = f"{request.method} {request.path} is not served here."
            await responder.send_problem(404, "unknown_path", detail)

    async def _send_readiness(self, responder: _http_server.Responder) -> None:
        state = self.blackboard.node.state
        ready = state is _node_messages.NodeState.READY
        body = state.value.encode() + b"\n"
        await responder.send(200 if ready else 503, body, content_type="text/plain")

    async def _authenticate_and_serve(
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
        request_id = self.make_request_id()
        model_input = _caller_input.read_model_request(
            request, account, declared, request_id, trio.current_time()
        )
        writer = self._make_writer(
            _answer_writers.StreamWriter
            if model_input.stream
            else _answer_writers.BufferedWriter,
            responder,
            request_id,
        )
        await self._serve_until_end(
            model_input.event, writer, _metrics.RequestKind.MODEL
        )

    async def _serve_call(
        self,
        request: _http_server.Request,
        responder: _http_server.Responder,
        account: declarations.Account,
    ) -> None:
        event = self._read_arrival(_caller_input.read_call, request, account)
        await self._serve_event(event, responder, _metrics.RequestKind.CALL)

    async def _serve_lookup(
        self,
        request: _http_server.Request,
        responder: _http_server.Responder,
        account: declarations.Account,
    ) -> None:
        event = self._read_arrival(_caller_input.read_lookup, request, account)
        await self._serve_event(event, responder, _metrics.RequestKind.LOOKUP)

    def _read_arrival(
        self,
        read: ReadArrival,
        request: _http_server.Request,
        account: declarations.Account,
    ) -> _limit_messages.Arrival:
        declared = self.blackboard.configuration.declared
        now = trio.current_time()
        return read(request, account, declared, self.make_request_id(), now)

    async def _serve_event(
        self,
        event: _limit_messages.Arrival,
        responder: _http_server.Responder,
        kind: _metrics.RequestKind,
    ) -> None:
        writer_type = _answer_writers.CallWriter
        writer = self._make_writer(writer_type, responder, event.request)
        await self._serve_until_end(event, writer, kind)

    async def _serve_call_status(
        self,
        request: _http_server.Request,
        responder: _http_server.Responder,
        account: declarations.Account,
    ) -> None:
        request_id = self.make_request_id()
        key = urllib.parse.unquote(request.path.removeprefix(_CALL_PREFIX))
        event = _call_messages.CallAsked(
            request=request_id, account=account.name, key=ids.IdempotencyKey(key)
        )
        await self._serve_event(event, responder, _metrics.RequestKind.LOOKUP)

    def _make_writer(
        self,
        writer_type: type[_answer_writers.AnswerWriter],
        responder: _http_server.Responder,
        request: ids.RequestId,
    ) -> _answer_writers.AnswerWriter:
        return writer_type(
            node=self.blackboard.identity.node,
            metrics=self.metrics,
            responder=responder,
            request=request,
        )

    async def _serve_until_end(
        self,
        event: _limit_messages.Arrival,
        writer: _answer_writers.AnswerWriter,
        kind: _metrics.RequestKind,
    ) -> None:
        mailbox = self.mailboxes.open(event.request)
        outcome = _metrics.RequestOutcome.CALLER_GONE
        arrived_at = trio.current_time()
        with _logs.bind_fields(request=event.request, account=event.account):
            try:
                self.post(event)
                with trio.CancelScope(deadline=_compute_write_deadline(event)):
                    outcome = await _write_replies(writer, mailbox)
            finally:
                self.mailboxes.close(event.request)
                self.metrics.count_request(kind, outcome)
                if outcome is _metrics.RequestOutcome.CALLER_GONE:
                    self.post(_answer_messages.CallerLeft(request=event.request))
                self.post(_limit_messages.RequestEnded(request=event.request))
                seconds = trio.current_time() - arrived_at
                _log_request_end(kind, outcome, mailbox.backends, seconds)


def _log_request_end(
    kind: _metrics.RequestKind,
    outcome: _metrics.RequestOutcome,
    backends: str,
    seconds: float,
) -> None:
    fields = {"kind": kind.value, "outcome": outcome.value, "backends": backends}
    _LOGGER.info("request ended", extra={**fields, "seconds": round(seconds, 4)})


def _compute_write_deadline(event: _limit_messages.Arrival) -> float:
    """Return the time at which writing a response is aborted."""
    if isinstance(event, _call_messages.CallAsked):
        return trio.current_time() + _CALL_STATUS_TIMEOUT_SECONDS
    return event.deadline + _READ_GRACE_SECONDS


async def _write_replies(
    writer: _answer_writers.AnswerWriter, mailbox: _mailboxes.Mailbox
) -> _metrics.RequestOutcome:
    while True:
        replies = await mailbox.receive_all()
        outcome = await writer.write(replies, mailbox)
        if outcome is not None:
            return outcome
