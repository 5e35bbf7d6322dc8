"""HTTP/1.1 server on h11 and trio with limits on its input."""

import collections.abc
import functools
import logging
import sys
import typing

import attrs
import h11
import trio

from jujubepass.intake import ledger
from jujubepass.transport import (
    _http_input,
    _http_responder,
    _intake_gate,
    _rejections,
    _socket_io,
)

_LOGGER = logging.getLogger(__name__)

_CLOSE_TIMEOUT_SECONDS = 0.2
_MAX_CONCURRENT_REFUSALS = 64
# Connections beyond the limit, while those that were shed for them are closed.
_MAX_SHED_CONNECTIONS = 16
# Connections that wait for a place, half a second each. Within that time clients that
# have closed are noticed.
_MAX_WAITING_CONNECTIONS = 16
_PLACE_POLLS = 10
_PLACE_POLL_INTERVAL_SECONDS = 0.05

Responder = _http_responder.Responder


@attrs.frozen(kw_only=True)
class ServerLimits:
    """Configure the limits of one listener."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    connections: int = 2_000
    receive_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 75.0


@attrs.frozen(kw_only=True)
class Request:
    """Describe one received request."""

    method: str
    path: str
    headers: collections.abc.Mapping[str, str]
    body: bytes
    peer: str
    fields: tuple[tuple[str, str], ...] = ()


class Handler(typing.Protocol):
    """Serve one request by writing to its responder."""

    async def __call__(self, request: Request, responder: Responder) -> None:
        """Serve the request."""


class Server:
    """Serve one listener until it is stopped."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits | None = None,
        gate: _intake_gate.Gate | None = None,
        name: str = "",
    ) -> None:
        self._handler = handler
        self._name = name
        self._makes_places = gate is not None
        self._gate = gate or _intake_gate.Gate(ledger=ledger.Ledger())
        self._limits = limits or ServerLimits()
        self._stopping = trio.Event()
        self._draining = False
        self._idle_since: dict[trio.CancelScope, float] = {}
        self._running_refusals = 0
        self._waiting = 0
        self.connections = 0
        self.refused_connections = 0
        self.failed_connections = 0
        """Connections that an unexpected error has ended."""
        self.running_requests = 0

    @property
    def limits(self) -> ServerLimits:
        """Return the limits in force."""
        return self._limits

    @limits.setter
    def limits(self, limits: ServerLimits) -> None:
        """Apply changed limits; idle connections keep a later deadline."""
        if limits == self._limits:
            return
        self._limits = limits
        for scope, since in self._idle_since.items():
            scope.deadline = max(scope.deadline, since + limits.idle_timeout_seconds)

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until `stop`, then finish running requests."""
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
        bound_port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                serve = functools.partial(
                    trio.serve_listeners,
                    self._serve_connection,
                    listeners,
                    handler_nursery=connections,
                )
                accepting.start_soon(serve)
                task_status.started(bound_port)
                await self._stopping.wait()
                accepting.cancel_scope.cancel()

    def drain(self) -> None:
        """Keep accepting, but close each connection after its next response."""
        self._draining = True

    def _is_closing(self) -> bool:
        return self._draining or self._stopping.is_set()

    def stop(self) -> None:
        """Stop accepting; idle connections close, running requests finish."""
        self._stopping.set()
        for scope in list(self._idle_since):
            scope.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection; its errors must not end the listener or the node."""
        try:
            if self._has_place() or await self._wait_for_place():
                await self._serve_accepted(stream)
            else:
                await self._refuse_connection(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            _LOGGER.debug("peer closed the connection")
        except Exception:
            self.failed_connections += 1
            _LOGGER.exception("connection failed")

    def _has_place(self) -> bool:
        """Return whether one more connection may be served."""
        if self.connections < self.limits.connections:
            return True
        # Those that are shed end at once.
        max_connections = self.limits.connections + _MAX_SHED_CONNECTIONS
        if not self._makes_places or self.connections >= max_connections:
            return False
        return self._gate.ledger.make_place(self._name, trio.current_time())

    async def _wait_for_place(self) -> bool:
        """Wait until connections whose clients have closed are noticed."""
        if not self._makes_places or self._waiting >= _MAX_WAITING_CONNECTIONS:
            return False
        self._waiting += 1
        try:
            for _ in range(_PLACE_POLLS):
                await trio.sleep(_PLACE_POLL_INTERVAL_SECONDS)
                if self._has_place():
                    return True
            return False
        finally:
            self._waiting -= 1

    async def _serve_accepted(self, stream: trio.SocketStream) -> None:
        peer = _socket_io.find_peer(stream)
        self.connections += 1
        holding = self._gate.ledger.open(peer, self._name, trio.current_time())
        try:
            await self._serve_requests(stream, holding)
        finally:
            self.connections -= 1
            self._gate.ledger.close(holding)
            if not holding.is_shed or holding.phase is ledger.Phase.RECEIVING:
                deadline = trio.current_time() + _CLOSE_TIMEOUT_SECONDS
                with trio.CancelScope(shield=True, deadline=deadline):
                    await _socket_io.close_in_order(stream)
            await trio.aclose_forcefully(stream)

    async def _refuse_connection(self, stream: trio.SocketStream) -> None:
        self.refused_connections += 1
        self._running_refusals += 1
        limit = self.limits.connections
        try:
            if self._running_refusals <= min(_MAX_CONCURRENT_REFUSALS, limit):
                with trio.move_on_after(_CLOSE_TIMEOUT_SECONDS):
                    connection = h11.Connection(h11.SERVER)
                    responder = Responder(
                        connection=connection, stream=stream, closing=lambda: True
                    )
                    await _send_too_many_connections(responder, limit)
                    await _socket_io.close_in_order(stream)
        except trio.BrokenResourceError:
            _LOGGER.debug("connection broke while being refused")
        finally:
            self._running_refusals -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_requests(
        self, stream: trio.SocketStream, holding: ledger.Holding
    ) -> None:
        # The limit in force is checked with each event instead.
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        source = _http_input.Input(
            connection=connection, stream=stream, gate=self._gate, holding=holding
        )
        while True:
            responder = Responder(
                connection=connection,
                stream=stream,
                closing=self._is_closing,
                source=source,
            )
            try:
                request = await self._receive_unless_shed(source, responder)
            except _rejections.RejectedInputError as error:
                await _reject(connection, responder, error)
                return
            if request is None:
                return
            self.running_requests += 1
            try:
                await self._handle(request, responder, connection, source)
            finally:
                self.running_requests -= 1
                if responder.is_cut_off or holding.is_shed:
                    _socket_io.reset(stream)
            if holding.is_shed or responder.is_broken:
                return
            if (connection.our_state, connection.their_state) != (h11.DONE, h11.DONE):
                return
            # A request that has been read already is served before the stop.
            if self._stopping.is_set() and not source.pending:
                return
            connection.start_next_cycle()
            del request
            source.enter(ledger.Phase.IDLE)

    async def _receive_unless_shed(
        self, source: _http_input.Input, responder: Responder
    ) -> Request | None:
        """Receive the next request; raises RejectedInputError, also if it is shed."""
        holding = source.holding
        with trio.CancelScope() as scope:
            holding.cancel = scope.cancel
            try:
                request = await self._receive(source, responder)
                holding.is_shed = False
                if request is not None:
                    source.enter(ledger.Phase.RUNNING, len(request.body))
                return request
            finally:
                source.end_turn()
        if holding.phase is ledger.Phase.RECEIVING:
            raise _rejections.make_short_of_memory()
        return None

    async def _handle(
        self,
        request: Request,
        responder: Responder,
        connection: h11.Connection,
        source: _http_input.Input,
    ) -> None:
        async with trio.open_nursery() as nursery:
            source.holding.cancel = nursery.cancel_scope.cancel
            nursery.start_soon(_watch_peer, source, nursery.cancel_scope)
            try:
                await self._handler(request, responder)
            except _rejections.RejectedInputError as error:
                await _reject(connection, responder, error)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                _LOGGER.info(
                    "connection broke before the end of the answer",
                    extra={"peer": request.peer, "detail": str(error)},
                )
            except h11.LocalProtocolError as error:
                _LOGGER.warning("response ended early: %s", error)
            except Exception:
                _LOGGER.exception("handler failed: %s %s", request.method, request.path)
                await _reject(connection, responder, _rejections.INTERNAL_ERROR)
            nursery.cancel_scope.cancel()

    async def _receive(
        self, source: _http_input.Input, responder: Responder
    ) -> Request | None:
        """Receive the next request; None at the end of the connection."""
        head = await self._receive_head(source, responder)
        if head is None:
            return None
        # A rejection of the rest of the request is an answer to HEAD, too.
        responder.omits_body = head.method == b"HEAD"
        if head.method == b"CONNECT":
            raise _rejections.UNSUPPORTED_TUNNEL
        fields = tuple((k.decode(), v.decode("latin-1")) for k, v in head.headers)
        headers = dict(fields)
        if "content-length" in headers and "transfer-encoding" in headers:
            raise _rejections.CONFLICTING_LENGTHS
        if int(headers.get("content-length", "0")) > self.limits.body_bytes:
            raise _rejections.make_oversized(self.limits.body_bytes)
        await responder.send_continue()
        body = await self._receive_body(source, head)
        if body is None:
            return None
        return Request(
            method=head.method.decode(),
            path=head.target.decode("latin-1"),
            headers=headers,
            body=body,
            peer=source.holding.address,
            fields=fields,
        )

    async def _receive_body(
        self, source: _http_input.Input, head: h11.Request
    ) -> bytes | None:
        """Return the whole body; None if the connection ended before."""
        limits = self.limits
        with trio.move_on_after(limits.receive_timeout_seconds):
            return await source.receive_body(head, limits.header_bytes)
        raise self._make_late(source)

    def _make_late(self, source: _http_input.Input) -> _rejections.RejectedInputError:
        """Return the rejection of a request that did not arrive in time."""
        if source.was_short:
            self._gate.ledger.record_shed("memory_wait", trio.current_time())
            return _rejections.make_short_of_memory()
        return _rejections.make_slow_sender(self.limits.receive_timeout_seconds)

    async def _receive_head(
        self, source: _http_input.Input, responder: Responder
    ) -> h11.Request | None:
        with trio.CancelScope() as idle:
            now = trio.current_time()
            self._idle_since[idle] = now
            idle.deadline = now + self.limits.idle_timeout_seconds
            if self._stopping.is_set():
                idle.cancel()
            try:
                await source.receive_first(self.limits.body_bytes)
            except trio.BrokenResourceError:
                return None
            finally:
                del self._idle_since[idle]
        if idle.cancelled_caught:
            # A request may have arrived at the same time.
            if not responder.has_input():
                return None
            await source.receive_first(self.limits.body_bytes)
        with trio.move_on_after(self.limits.receive_timeout_seconds):
            event = await source.receive_head(self.limits.header_bytes)
            return event if isinstance(event, h11.Request) else None
        raise self._make_late(source)


async def _watch_peer(source: _http_input.Input, scope: trio.CancelScope) -> None:
    """Cancel a request whose caller disconnects."""
    await source.wait_for_close()
    scope.cancel()


async def _reject(
    connection: h11.Connection,
    responder: Responder,
    error: _rejections.RejectedInputError,
) -> None:
    can_answer = connection.our_state in (h11.IDLE, h11.SEND_RESPONSE)
    if not can_answer or responder.started:
        return
    try:
        await responder.send_problem(
            error.status,
            error.code,
            error.detail,
            retry_after_seconds=error.retry_after_seconds,
        )
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        _LOGGER.debug("connection broke before its rejection was sent")


async def _send_too_many_connections(responder: Responder, limit: int) -> None:
    detail = f"This listener has {limit} connections open. Close idle ones, then retry."
    code = "too_many_connections"
    await responder.send_problem(503, code, detail, retry_after_seconds=1)
