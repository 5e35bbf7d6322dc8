"""HTTP/1.1 server on h11 and trio with limits on its input."""

import collections.abc
import functools
import logging
import re
import sys
import typing

import attrs
import h11
import trio

from jujubepass.transport import _http_responder, _rejections, _socket_io

_LOGGER = logging.getLogger(__name__)

_RECEIVE_BUFFER_BYTES = 65_536
_CLOSE_TIMEOUT_SECONDS = 0.2
_MAX_CONCURRENT_REFUSALS = 64
# The end of the previous chunk, then a size with as many digits as h11 accepts.
_CHUNK_SIZE = re.compile(rb"[\r\n]{0,2}([0-9A-Fa-f]{1,20})[;\r\n]")


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

    def __init__(self, *, handler: Handler, limits: ServerLimits | None = None) -> None:
        self._handler = handler
        self._limits = limits or ServerLimits()
        self._stopping = trio.Event()
        self._draining = False
        self._idle_since: dict[trio.CancelScope, float] = {}
        self._running_refusals = 0
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
            if self.connections >= self.limits.connections:
                await self._refuse_connection(stream)
            else:
                await self._serve_accepted(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            _LOGGER.debug("peer closed the connection")
        except Exception:
            self.failed_connections += 1
            _LOGGER.exception("connection failed")

    async def _serve_accepted(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        try:
            await self._serve_requests(stream)
        finally:
            self.connections -= 1
            deadline = trio.current_time() + _CLOSE_TIMEOUT_SECONDS
            with trio.CancelScope(shield=True, deadline=deadline):
                await self._close(stream)
            await trio.aclose_forcefully(stream)

    async def _refuse_connection(self, stream: trio.SocketStream) -> None:
        self.refused_connections += 1
        self._running_refusals += 1
        try:
            if self._running_refusals <= _MAX_CONCURRENT_REFUSALS:
                with trio.move_on_after(_CLOSE_TIMEOUT_SECONDS):
                    connection = h11.Connection(h11.SERVER)
                    responder = Responder(
                        connection=connection, stream=stream, closing=lambda: True
                    )
                    await _send_too_many_connections(responder, self.limits.connections)
                    await self._close(stream)
        except trio.BrokenResourceError:
            _LOGGER.debug("connection broke while being refused")
        finally:
            self._running_refusals -= 1
            await trio.aclose_forcefully(stream)

    async def _close(self, stream: trio.SocketStream) -> None:
        """Close without a reset, which would discard a response in transit."""
        discarded_bytes = 0
        try:
            await stream.send_eof()
            while data := await stream.receive_some(_RECEIVE_BUFFER_BYTES):
                discarded_bytes += len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            _LOGGER.debug("connection was already closed")
        finally:
            if discarded_bytes:
                _LOGGER.info(
                    "discarded input of a connection being closed",
                    extra={"bytes": discarded_bytes},
                )

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        # The limit in force is checked with each event instead.
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        peer = _socket_io.find_peer(stream)
        while True:
            responder = Responder(
                connection=connection, stream=stream, closing=self._is_closing
            )
            try:
                request = await self._receive(connection, stream, peer, responder)
            except _rejections.RejectedInputError as error:
                await _reject(connection, responder, error)
                return
            if request is None:
                return
            self.running_requests += 1
            try:
                await self._handle(request, responder, connection, stream)
            finally:
                self.running_requests -= 1
                if responder.is_cut_off:
                    _socket_io.reset(stream)
            if connection.our_state is not h11.DONE:
                return
            if connection.their_state is not h11.DONE:
                return
            # A request that has been read already is served before the stop.
            if self._stopping.is_set() and not connection.trailing_data[0]:
                return
            connection.start_next_cycle()

    async def _handle(
        self,
        request: Request,
        responder: Responder,
        connection: h11.Connection,
        stream: trio.SocketStream,
    ) -> None:
        async with trio.open_nursery() as nursery:
            max_bytes = self.limits.header_bytes + self.limits.body_bytes
            scope = nursery.cancel_scope
            nursery.start_soon(_watch_peer, connection, stream, scope, max_bytes)
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
        self,
        connection: h11.Connection,
        stream: trio.SocketStream,
        peer: str,
        responder: Responder,
    ) -> Request | None:
        head = await self._receive_head(connection, stream)
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
        if connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await _socket_io.send(stream, connection.send(continue_response) or b"")
        is_chunked = "transfer-encoding" in headers
        body = await self._receive_body(connection, stream, is_chunked)
        if body is None:
            return None
        return Request(
            method=head.method.decode(),
            path=head.target.decode("latin-1"),
            headers=headers,
            body=body,
            peer=peer,
            fields=fields,
        )

    async def _receive_body(
        self, connection: h11.Connection, stream: trio.SocketStream, is_chunked: bool
    ) -> bytes | None:
        """Return the whole body; None if the connection ended before."""
        body = bytearray()
        at_boundary = is_chunked
        with trio.move_on_after(self.limits.receive_timeout_seconds):
            while True:
                max_bytes = self.limits.body_bytes - len(body) if at_boundary else None
                event = await self._receive_event(connection, stream, max_bytes)
                if isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                if not isinstance(event, h11.Data):
                    return None
                body += event.data
                if len(body) > self.limits.body_bytes:
                    raise _rejections.make_oversized(self.limits.body_bytes)
                at_boundary = event.chunk_end
        raise _rejections.make_slow_sender(self.limits.receive_timeout_seconds)

    async def _receive_head(
        self, connection: h11.Connection, stream: trio.SocketStream
    ) -> h11.Request | None:
        with trio.CancelScope() as idle:
            now = trio.current_time()
            self._idle_since[idle] = now
            idle.deadline = now + self.limits.idle_timeout_seconds
            if self._stopping.is_set():
                idle.cancel()
            try:
                if not connection.trailing_data[0]:
                    await _receive_data(connection, stream)
            except trio.BrokenResourceError:
                return None
            finally:
                del self._idle_since[idle]
        if idle.cancelled_caught:
            # A request may have arrived at the same time.
            if not stream.socket.is_readable():
                return None
            await _receive_data(connection, stream)
        with trio.move_on_after(self.limits.receive_timeout_seconds):
            event = await self._receive_event(connection, stream)
            return event if isinstance(event, h11.Request) else None
        raise _rejections.make_slow_sender(self.limits.receive_timeout_seconds)

    async def _receive_event(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        max_chunk_bytes: int | None = None,
    ) -> object:
        """Return the next event; pass `max_chunk_bytes` if a chunk size comes next."""
        while True:
            if max_chunk_bytes is not None:
                _check_chunk(connection, max_chunk_bytes)
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError as error:
                raise _rejections.RejectedInputError(
                    status=error.error_status_hint,
                    code="malformed_http",
                    detail=f"{error}. Send a valid HTTP/1.1 request.",
                ) from error
            if event is not h11.NEED_DATA:
                return event
            if len(connection.trailing_data[0]) > self.limits.header_bytes:
                raise _rejections.make_long_header(self.limits.header_bytes)
            data = await stream.receive_some(_RECEIVE_BUFFER_BYTES)
            connection.receive_data(bytes(data))


def _check_chunk(connection: h11.Connection, max_bytes: int) -> None:
    """Reject a chunk by its announced size, before waiting for its data."""
    announced = _CHUNK_SIZE.match(connection.trailing_data[0])
    if announced is not None and int(announced[1], 16) > max_bytes:
        raise _rejections.make_oversized_chunk(max_bytes)


async def _receive_data(connection: h11.Connection, stream: trio.SocketStream) -> None:
    data = await stream.receive_some(_RECEIVE_BUFFER_BYTES)
    connection.receive_data(bytes(data))


async def _watch_peer(
    connection: h11.Connection,
    stream: trio.SocketStream,
    scope: trio.CancelScope,
    max_bytes: int,
) -> None:
    """Cancel a request whose caller disconnects; read up to `max_bytes` ahead."""
    received_bytes = 0
    try:
        while data := await stream.receive_some(_RECEIVE_BUFFER_BYTES):
            received_bytes += len(data)
            connection.receive_data(bytes(data))
            if received_bytes > max_bytes:
                # The rest is read after the answer, within the limits then in force.
                return
    except trio.BrokenResourceError:
        _LOGGER.debug("caller reset the connection")
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
        await responder.send_problem(error.status, error.code, error.detail)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        _LOGGER.debug("connection broke before its rejection was sent")


async def _send_too_many_connections(responder: Responder, limit: int) -> None:
    detail = f"This listener has {limit} connections open. Close idle ones, then retry."
    code = "too_many_connections"
    await responder.send_problem(503, code, detail, retry_after_seconds=1)
