"""Stand-in for engines of forwarding pipelines and for plain services."""

import collections
import collections.abc
import json
import os
import socket
import sys
import time
import typing
import weakref

import attrs
import cappa
import h11
import trio

from jujubepass.transport import _http_client, _http_input, _http_server
from standins import knobs, raw_answers, request_limits

_HEARTBEAT_INTERVAL_SECONDS = 0.2
_EVENT_INTERVAL_SECONDS = 0.02
_STALL_TIMEOUT_SECONDS = 1.0
_STAGE_CHECK_TIMEOUT_SECONDS = 0.2
_MAX_CHECK_SECONDS = 0.25
_CRASH_DELAY_SECONDS = 0.06
_MAX_BODY_BYTES = 16_777_216
# More than the sockets of a loopback connection take.
_LONG_BODY_BYTES = 8_000_000
_EARLY_EVENTS = 10

Responder = _http_server.Responder
LayerSpan = tuple[int, int]
Stage = tuple[str, int, int]


@attrs.define(kw_only=True)
class EngineKnobs:
    """Configure an engine's times and faults; see `knobs.draw_fault`."""

    state: str = "ready"
    layer_seconds: float = 0.02
    work_seconds: float = 0.01
    refuse: float = 0
    refuse_move: float = 0
    move_delay_seconds: float = 0.0
    """Time after which orders to move are carried out, with or without their sender."""
    lose_answer: float = 0
    cut_event: float = 0
    fail: float = 0
    spoil: float = 0
    pretend_other: bool = False
    leaving: bool = False
    retry_after: str = ""
    """Value of Retry-After in refusals; empty for none."""
    limit: str = ""
    """Value of Server-Limit in answers; empty for none."""
    crash_part: str = ""
    """Part of a prompt on which each answer crashes the process; empty for none."""
    crash_requests: list[list[str]] = attrs.field(factory=list)
    """Path, client account and body of requests that crash each process that begins to
    run them."""
    crash_events: int = 0
    """Events that an answer has before its request crashes the process."""
    crash_restart: str = ""
    """Whether the engine starts again under another name after a crash, and what
    connections to its address meet meanwhile: `refused` or `unanswered`."""
    unframed: bool = False
    """Whether answers have neither a length nor chunks."""
    reset_answer: float = 0
    """Resets of the connection in the middle of an unframed answer."""
    early_reset: float = 0
    """Long requests that are answered before their body was read, and then reset."""
    cut_head: int = 0
    """Bytes of a head after which an answer stops; 0 for whole answers."""
    cut_head_reset: bool = False
    cut_head_resumed: bool = False
    """Whether only answers of resumed streams stop so."""
    cut_head_left: int = -1
    """Number of answers that still stop so; negative for all."""
    status_line: str = ""
    """Status line of answers that `status_lines` counts."""
    status_lines: float = 0
    cut_after: int = 0
    """Events after which a stream from its start on is cut; 0 for none."""
    event_filler_bytes: int = 0
    """Size of a line that each event of a stream has beside its usual ones."""
    resume_errors: float = 0
    """Streams to be resumed that are answered with an error instead."""
    resume_error: str = ""
    """Form of that error; see `raw_answers.write_error`."""
    drop_kept: float = 0
    """Requests on kept connections that are closed instead, without a run."""
    late_refusal: str = ""
    """Whether a refusal comes once more as a request runs on a kept connection: `with
    its id`, `without an id` or, if empty, not at all."""
    endless_request: str = ""
    """Form of bytes without end in place of answers; see `raw_answers`."""
    endless_report: str = ""
    endless_order: str = ""


@cappa.command(name="path-engine")
@attrs.define(kw_only=True)
class Arguments:
    """Run a stand-in of an engine, or of a plain service if no kind is given."""

    name: typing.Annotated[str, cappa.Arg(long=True)]
    service: typing.Annotated[str, cappa.Arg(long=True)]
    port: typing.Annotated[int, cappa.Arg(long=True)]
    store: typing.Annotated[int, cappa.Arg(long=True)]
    domain: typing.Annotated[str, cappa.Arg(long=True)] = "a"
    layers: typing.Annotated[int, cappa.Arg(long=True)] = 8
    host: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    kind: typing.Annotated[str | None, cappa.Arg(long=True)] = None
    knobs: typing.Annotated[str | None, cappa.Arg(long=True)] = None
    """Knobs from the start on, as a JSON object."""
    previous: typing.Annotated[str | None, cappa.Arg(long=True)] = None
    """Name of the engine before at this address, whose entry is replaced."""
    listener: typing.Annotated[int | None, cappa.Arg(long=True)] = None
    """Inherited descriptor of the listener in place of a new one."""


class Server(_http_server.Server):
    """Serve a listener that may outlast the process."""

    answer_early: (
        collections.abc.Callable[
            [h11.Request, trio.SocketStream], collections.abc.Awaitable[None]
        ]
        | None
    ) = None
    """May answer a request and end its connection before the body is read."""

    async def _receive_head(
        self, source: _http_input.Input, responder: Responder
    ) -> h11.Request | None:
        head = await super()._receive_head(source, responder)
        if head is not None and self.answer_early is not None:
            await self.answer_early(head, responder._stream)
        return head

    async def open_listeners(self, arguments: Arguments) -> list[trio.SocketListener]:
        """Return the inherited listener, or open a new one."""
        if arguments.listener is None:
            return await trio.open_tcp_listeners(
                arguments.port, host=arguments.host, backlog=1024
            )
        inherited = trio.socket.from_stdlib_socket(
            socket.socket(fileno=arguments.listener)
        )
        return [trio.SocketListener(inherited)]

    async def serve_listeners(self, listeners: list[trio.SocketListener]) -> None:
        """Accept connections until cancelled."""
        await trio.serve_listeners(self._serve_connection, listeners)


class Engine:
    """Serve requests, reports and orders."""

    def __init__(self, *, arguments: Arguments) -> None:
        self.settings = EngineKnobs(**json.loads(arguments.knobs or "{}"))
        self._arguments = arguments
        self._client = _http_client.Client(
            connect_timeout_seconds=_STAGE_CHECK_TIMEOUT_SECONDS
        )
        self._started_at_ms = time.time_ns() // 1_000_000
        self._span: LayerSpan | None = None
        self._retained_span: LayerSpan | None = None
        self._admitted_stages: set[tuple[str, str]] = set()
        self._loading_until = 0.0
        self._orders = 0
        self._max_layers = 0
        self._runs: collections.Counter[str] = collections.Counter()
        self._judge = request_limits.LimitJudge()
        self._refused = 0
        self._refused_at: list[float] = []
        self._invalid_pipelines = 0
        self._stalled: dict[str, str] = {}
        self._pipelines: dict[str, list[Stage]] = {}
        self._moves = 0
        self._used_connections: weakref.WeakSet[trio.SocketStream] = weakref.WeakSet()
        self._last_refused = ""
        self._previous = arguments.previous
        self._listeners: list[trio.SocketListener] = []
        limits = _http_server.ServerLimits(body_bytes=_MAX_BODY_BYTES)
        self.server = Server(handler=self.handle, limits=limits)
        self.server.answer_early = self._answer_early

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        self._listeners = await self.server.open_listeners(self._arguments)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.server.serve_listeners, self._listeners)
            nursery.start_soon(self.send_heartbeats)

    async def handle(self, request: _http_server.Request, responder: Responder) -> None:
        """Serve one request."""
        is_kept = responder._stream in self._used_connections
        self._used_connections.add(responder._stream)
        if request.path == "/knobs":
            await knobs.serve_knobs(self.settings, request, responder)
        elif request.path == "/counts":
            counts = {
                "runs": dict(self._runs),
                "running": list(self._pipelines),
                "refused": self._refused,
                "refused_at": self._refused_at,
                "bad_paths": self._invalid_pipelines,
                "most_layers": self._max_layers,
                "orders": self._orders,
                "moves": self._moves,
                "limit": self._judge.describe(),
                "passed": sorted({request for request, _ in self._admitted_stages}),
                "connections": self.server.connections,
            }
            await responder.send_json(200, counts)
        elif endless := self._find_endless(request.path):
            await self._write_endless(request, responder, endless)
        elif request.path.startswith("/v1/") and not self._is_expected(request):
            await responder.send_json(421, {})
        elif request.path == "/v1/report":
            report = json.dumps(self._report()).encode()
            await responder.send_fields(200, self._list_signals(200), report)
        elif request.path == "/v1/order":
            order = json.loads(request.body)
            if order["operation"] == "repath":
                self._record_arrival(order["id"])
            await self._order(order, responder)
        elif request.path.startswith("/part/"):
            layers = request.path.removeprefix("/part/")
            is_admitted = self._admit_stage(layers, request.headers["x-request-id"])
            await responder.send_json(200 if is_admitted else 503, {})
        elif is_kept and self._draw_fault("drop_kept"):
            raise trio.BrokenResourceError("idle limit reached")
        else:
            await self._serve(request, responder, is_kept)

    async def _answer_early(self, head: h11.Request, stream: trio.SocketStream) -> None:
        """Answer a long request with its first events and a reset, if so set."""
        headers = {name.decode(): value.decode() for name, value in head.headers}
        is_long = int(headers.get("content-length", "0")) >= _LONG_BODY_BYTES
        if not is_long or not self._draw_fault("early_reset"):
            return
        request_id = headers["x-request-id"]
        self._runs[request_id] += 1
        fields = [("x-request-id", request_id), ("x-server-seal", self._arguments.name)]
        fields.append(("content-type", "text/event-stream"))
        last = int(headers.get("last-event-id", 0))
        numbers = range(last + 1, last + 1 + _EARLY_EVENTS)
        events = b"".join(_format_event(request_id, number) for number in numbers)
        await raw_answers.write_and_reset(stream, fields, events)

    def _is_expected(self, request: _http_server.Request) -> bool:
        """Return whether a request is for this engine, not for one before it."""
        own = self._arguments.name
        return request.headers.get("x-expect-instance", own) == own

    def _find_endless(self, path: str) -> str:
        """Return the form of bytes without end that a path is answered with."""
        if path.startswith("/part/"):
            return ""
        forms = {
            "/v1/report": self.settings.endless_report,
            "/v1/order": self.settings.endless_order,
        }
        return forms.get(path, self.settings.endless_request)

    async def _write_endless(
        self, request: _http_server.Request, responder: Responder, form: str
    ) -> None:
        request_id = request.headers.get("x-request-id", "")
        fields = [("x-request-id", request_id), ("x-server-seal", "seal")]
        began_at = time.monotonic()
        _log("endless begun", request_id)
        try:
            await raw_answers.write_endless(responder, form, fields)
        finally:
            _log("endless", request_id, seconds=time.monotonic() - began_at)

    def _report(self) -> dict[str, typing.Any]:
        return {
            "kind": self._arguments.kind or "",
            "layers": self._describe_layers(),
            "busy": time.monotonic() < self._loading_until,
            "seqNo": self._orders,
            "born": self._started_at_ms,
            "queued": 0,
            "running": 0,
            "stalled": [
                {"id": request, "address": address}
                for request, address in self._stalled.items()
            ],
        }

    def _describe_layers(self) -> dict[str, int] | None:
        span = self._span
        if time.monotonic() < self._loading_until:
            # Layers of both the old and the new span stay available while loading.
            span = self._retained_span
        if span is None:
            return None
        return {"from": span[0], "to": span[1], "version": 1}

    def _has_layers(self, first: int, end: int) -> bool:
        span = self._describe_layers()
        return span is not None and span["from"] <= first and end <= span["to"]

    def _admit_stage(self, layers: str, request_id: str) -> bool:
        """Return whether a request may run a stage here.

        Removed layers stay available to requests that already run on them.
        """
        first, end = map(int, layers.split("-"))
        if self._has_layers(first, end):
            self._admitted_stages.add((request_id, layers))
        return (request_id, layers) in self._admitted_stages

    async def _order(self, order: dict[str, typing.Any], responder: Responder) -> None:
        if order["operation"] == "repath":
            seconds = self.settings.move_delay_seconds
            with trio.CancelScope(shield=seconds > 0.0):
                await trio.sleep(seconds)
                await self._move(order, responder)
            return
        if order.get("precondition", self._orders) != self._orders:
            await responder.send_json(409, {})
            return
        layers = (order["from"], order["to"])
        if layers == self._span:
            await responder.send_json(200, {})
            return
        self._orders += 1
        self._retained_span = _intersect(self._describe_layers(), layers)
        self._span = layers
        self._max_layers = max(self._max_layers, layers[1] - layers[0])
        seconds = self.settings.layer_seconds * (layers[1] - layers[0])
        self._loading_until = time.monotonic() + seconds
        await responder.send_json(202, {})

    async def _move(self, order: dict[str, typing.Any], responder: Responder) -> None:
        """Move a running request to another pipeline with the same first stage."""
        request_id = order["id"]
        stages = [_parse_stage(text) for text in order["path"].split(",")]
        previous = self._pipelines.get(request_id)
        if previous is None:
            await responder.send_json(404, {})
            return
        if self._draw_fault("refuse_move"):
            await responder.send_json(409, {})
            return
        if not self._is_complete(stages) or stages[0] != previous[0]:
            self._invalid_pipelines += 1
        missing = await self._find_missing_stage(stages, request_id)
        if missing is not None:
            await responder.send_json(409, {"address": missing})
            return
        self._moves += 1
        self._pipelines[request_id] = stages
        await responder.send_json(200, {})

    def _list_signals(self, status: int) -> list[tuple[str, str]]:
        """Return the header fields in which this server speaks of itself."""
        if status == 503:
            text = self.settings.retry_after
            return [("retry-after", text)] if text else []
        fields = [("server-leaving", "1")] if self.settings.leaving else []
        if self.settings.limit:
            fields.append(("server-limit", self.settings.limit))
        return fields

    def _record_arrival(self, request_id: str) -> None:
        """Judge a request; ids of a test's requests begin with their node's name."""
        now = time.monotonic()
        self._judge.set_limit(now, _parse_limit(self.settings.limit))
        self._judge.record_arrival(now, request_id.partition("-")[0])

    def _record_answer(self, request_id: str) -> None:
        """Record that the node of a request is being told the limit."""
        self._judge.record_answer(time.monotonic(), request_id.partition("-")[0])

    def _draw_fault(self, knob: str) -> bool:
        happens, knob_value = knobs.draw_fault(getattr(self.settings, knob), 1.0)
        setattr(self.settings, knob, knob_value)
        return happens

    async def _serve(
        self, request: _http_server.Request, responder: Responder, is_kept: bool
    ) -> None:
        request_id = request.headers["x-request-id"]
        if self._crashes(request):
            _log("arrival", request_id)
        self._record_arrival(request_id)
        self._record_answer(request_id)
        echo = [("x-request-id", request_id), *self._list_signals(200)]
        if not self._is_expected(request) or self.settings.pretend_other:
            await responder.send_fields(421, echo, b"")
            return
        if self.settings.late_refusal and is_kept and self._last_refused:
            await self._refuse_late(request_id, responder)
            return
        if self._draw_fault("refuse"):
            self._last_refused = request_id
            self._refused += 1
            self._refused_at.append(time.time())
            refusal = [*echo, *self._list_signals(503), ("x-not-executed", "1")]
            await responder.send_fields(503, refusal, b"")
            return
        if self.settings.unframed:
            responder = raw_answers.UnframedResponder(responder=responder)
        await self._cut_head(request, responder)
        if self._draw_fault("status_lines"):
            self._runs[request_id] += 1
            fields = [*echo, ("x-server-seal", "seal")]
            line = self.settings.status_line
            await raw_answers.write_status_line(
                responder._stream, line, fields, b"engine failed\n\n"
            )
        path = request.headers.get("x-hop-count")
        if path is not None:
            await self._stream(request, responder, path, echo)
            return
        if "x-token-count" in request.headers:
            self._runs[request_id] += 1
            await self._run_stream(request, responder, [], echo)
            return
        await self._serve_plain(request, responder, echo)

    async def _refuse_late(self, request_id: str, responder: Responder) -> None:
        """Run a request, and write an earlier refusal before its answer."""
        self._runs[request_id] += 1
        fields = [("x-not-executed", "1"), ("content-length", "0")]
        if self.settings.late_refusal == "with its id":
            fields.append(("x-request-id", self._last_refused))
        raw = raw_answers.UnframedResponder(responder=responder)
        await raw.start_fields(503, fields)
        # The request still runs as the refusal is read.
        await trio.sleep(self.settings.work_seconds)
        raise trio.BrokenResourceError("answered twice")

    async def _cut_head(
        self, request: _http_server.Request, responder: Responder
    ) -> None:
        """Run a request and stop in the middle of its answer's head, if so set."""
        settings = self.settings
        is_due = settings.cut_head > 0 and settings.cut_head_left != 0
        is_resumed = "last-event-id" in request.headers
        if not is_due or (settings.cut_head_resumed and not is_resumed):
            return
        settings.cut_head_left -= 1
        request_id = request.headers["x-request-id"]
        self._runs[request_id] += 1
        await raw_answers.cut_head(
            responder._stream,
            [("x-request-id", request_id), ("x-server-seal", "seal")],
            settings.cut_head,
            is_reset=settings.cut_head_reset,
        )

    async def _serve_plain(
        self,
        request: _http_server.Request,
        responder: Responder,
        echo: list[tuple[str, str]],
    ) -> None:
        request_id, own = request.headers["x-request-id"], self._arguments.name
        self._runs[request_id] += 1
        if self._crashes(request):
            await self._crash(request_id)
        await trio.sleep(self.settings.work_seconds)
        if self._draw_fault("lose_answer"):
            raise trio.BrokenResourceError
        status = 500 if self._draw_fault("fail") else 200
        fields = [*echo, ("x-server-seal", own)]
        if self._draw_fault("spoil"):
            fields = echo
        value = {
            "run": self._runs[request_id],
            "account": request.headers.get("x-tenant"),
            "key_seen": "x-key" in request.headers,
            "method": request.method,
            "path": request.path,
            "body": request.body.decode(),
        }
        body = json.dumps(value).encode()
        if self._draw_fault("reset_answer"):
            await responder.start_fields(status, fields)
            await self._reset(responder, body[: len(body) // 2])
        await responder.send_fields(status, fields, body)

    async def _reset(self, responder: Responder, data: bytes) -> None:
        """Reset the connection of an unframed answer after some more data."""
        assert isinstance(responder, raw_answers.UnframedResponder)
        await responder.write(data)
        # The caller reads what has arrived before the reset.
        await trio.sleep(_EVENT_INTERVAL_SECONDS)
        responder.reset()

    async def _stream(
        self,
        request: _http_server.Request,
        responder: Responder,
        path: str,
        echo: list[tuple[str, str]],
    ) -> None:
        request_id = request.headers["x-request-id"]
        stages = [_parse_stage(text) for text in path.split(",")]
        if not self._is_complete(stages):
            self._invalid_pipelines += 1
        missing = await self._find_missing_stage(stages, request_id)
        if missing is not None:
            refusal = [*echo, ("x-not-executed", "1"), ("at-server", missing)]
            await responder.send_fields(503, refusal, b"")
            return
        self._runs[request_id] += 1
        await self._run_stream(request, responder, stages, echo)

    async def _run_stream(
        self,
        request: _http_server.Request,
        responder: Responder,
        stages: list[Stage],
        echo: list[tuple[str, str]],
    ) -> None:
        """Write the events of a run; a plain server has no stages."""
        request_id = request.headers["x-request-id"]
        fields = [*echo, ("x-server-seal", self._arguments.name)]
        if "last-event-id" in request.headers and self._draw_fault("resume_errors"):
            event = _format_event(request_id, int(request.headers["last-event-id"]) + 1)
            form = self.settings.resume_error
            await raw_answers.write_error(responder, form, fields, event)
            return
        fields.append(("content-type", "text/event-stream"))
        await responder.start_fields(200, fields)
        tokens = int(request.headers["x-token-count"].partition(",")[2])
        last = int(request.headers.get("last-event-id", 0))
        if self._crashes(request):
            for number in range(last + 1, last + 1 + self.settings.crash_events):
                await responder.write(_format_event(request_id, number))
            await self._crash(request_id)
        self._pipelines[request_id] = stages
        try:
            await self._write_events(request_id, responder, last, tokens // 2)
        finally:
            del self._pipelines[request_id]
        await responder.finish()

    def _crashes(self, request: _http_server.Request) -> bool:
        """Return whether a request crashes each process that begins to run it."""
        parts = request.headers.get("x-prompt-prefix", "").split(",")
        names = {each.partition(":")[0] for each in parts}
        if self.settings.crash_part and self.settings.crash_part in names:
            return True
        account = request.headers.get("x-tenant", "")
        identity = [request.path, account, request.body.decode()]
        return identity in self.settings.crash_requests

    async def _crash(self, request_id: str) -> None:
        """End the process, and start it again if the settings say so."""
        await trio.sleep(_CRASH_DELAY_SECONDS)
        _log("crash", request_id)
        if self.settings.crash_restart:
            self._start_again()
        os._exit(1)

    def _start_again(self) -> None:
        """Replace the process by one under another name at the same address."""
        name, _, number = self._arguments.name.partition("-")
        changes: dict[str, typing.Any] = {
            "name": f"{name}-{int(number or 1) + 1}",
            "previous": self._arguments.name,
            "knobs": json.dumps(attrs.asdict(self.settings)),
            "listener": None,
        }
        if self.settings.crash_restart == "unanswered":
            listener = self._listeners[0].socket
            os.set_inheritable(listener.fileno(), True)
            changes["listener"] = listener.fileno()
        arguments = [sys.executable, "-m", "standins.path_engine"]
        for key, value in {**attrs.asdict(self._arguments), **changes}.items():
            if value is not None:
                arguments += [f"--{key}", str(value)]
        os.execv(sys.executable, arguments)

    async def _write_events(
        self, request_id: str, responder: Responder, last: int, events: int
    ) -> None:
        for number in range(last + 1, events + 1):
            await self._wait_for_pipeline(request_id)
            event = self._fill_event(_format_event(request_id, number))
            is_cut = self.settings.cut_after and not last
            if is_cut and number > self.settings.cut_after:
                await responder.write(event[: len(event) // 2])
                raise trio.BrokenResourceError
            if self._draw_fault("cut_event"):
                await responder.write(event[: len(event) // 2])
                raise trio.BrokenResourceError
            if self._draw_fault("reset_answer"):
                await self._reset(responder, event)
            await responder.write(event)
            await trio.sleep(_EVENT_INTERVAL_SECONDS)

    def _fill_event(self, event: bytes) -> bytes:
        """Return an event with the filler that the settings ask for."""
        size = self.settings.event_filler_bytes
        return b"data: " + b"x" * size + b"\n" + event if size else event

    async def _wait_for_pipeline(self, request_id: str) -> None:
        """Stall while a stage is missing; close the connection after the time-out."""
        stalled_seconds = 0.0
        try:
            while stalled_seconds < _STALL_TIMEOUT_SECONDS:
                began_at = time.monotonic()
                missing = await self._find_missing_stage(
                    self._pipelines[request_id], request_id
                )
                if missing is None:
                    return
                self._stalled[request_id] = missing
                await trio.sleep(_EVENT_INTERVAL_SECONDS)
                # Time in which this process was suspended is no stall.
                seconds = time.monotonic() - began_at
                stalled_seconds += min(seconds, _MAX_CHECK_SECONDS)
            raise trio.BrokenResourceError("stalled")
        finally:
            self._stalled.pop(request_id, None)

    def _is_complete(self, stages: list[Stage]) -> bool:
        """Return whether stages run each layer once, in order, starting here."""
        layer = 0
        for _, first, end in stages:
            if first != layer or end <= first:
                return False
            layer = end
        own = f"{self._arguments.host}:{self._arguments.port}"
        return layer == self._arguments.layers and stages[0][0] == own

    async def _find_missing_stage(
        self, stages: list[Stage], request_id: str
    ) -> str | None:
        """Return the address of the first engine that cannot run its stage."""
        for address, first, end in stages:
            try:
                answer = await self._client.request(
                    "GET",
                    _http_client.parse_address(address),
                    f"/part/{first}-{end}",
                    headers={"x-request-id": request_id},
                    timeout_seconds=_STAGE_CHECK_TIMEOUT_SECONDS,
                )
            except _http_client.ClientError:
                return address
            if answer.status != 200:
                return address
        return None

    async def send_heartbeats(self) -> None:
        """Write this server's entry to the store at regular intervals."""
        while True:
            try:
                await self._write_entry()
                await self._remove_previous_entry()
            except _http_client.ClientError as error:
                print(f"store unreachable: {error}", flush=True)
            await trio.sleep(_HEARTBEAT_INTERVAL_SECONDS)

    async def _write_entry(self) -> None:
        arguments = self._arguments
        entry = {
            "service": arguments.service,
            "address": f"{arguments.host}:{arguments.port}",
            "zone": arguments.domain,
            "version": "v1",
            "slots": 8,
            "state": self.settings.state,
            "born": self._started_at_ms,
        }
        if arguments.kind:
            entry |= {"kind": arguments.kind, "layers": self._describe_layers()}
        await self._put_entry(arguments.name, json.dumps(entry).encode())

    async def _remove_previous_entry(self) -> None:
        if self._previous is not None:
            await self._put_entry(self._previous, b"")
            self._previous = None

    async def _put_entry(self, name: str, body: bytes) -> None:
        arguments = self._arguments
        await self._client.request(
            "PUT",
            _http_client.Address(host=arguments.host, port=arguments.store),
            f"/rows/servers/{name}",
            body=body,
        )


def _format_event(request_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def _log(message: str, request_id: str, **values: float) -> None:
    """Write a line that outlasts the process, unlike its counters."""
    line = {"message": message, "request": request_id, "at": time.time(), **values}
    print(json.dumps(line), flush=True)


def _intersect(span: dict[str, int] | None, layers: LayerSpan) -> LayerSpan | None:
    if span is None:
        return None
    first, end = max(span["from"], layers[0]), min(span["to"], layers[1])
    return (first, end) if first < end else None


def _parse_limit(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _parse_stage(text: str) -> Stage:
    address, _, layers = text.partition("=")
    first, _, end = layers.partition("-")
    return address, int(first), int(end)


async def run(arguments: Arguments) -> None:
    """Serve until the process is terminated."""
    await Engine(arguments=arguments).serve()


def main() -> None:
    """Serve until the process is terminated."""
    trio.run(run, cappa.parse(Arguments, completion=False))


if __name__ == "__main__":
    main()
