"""HTTP/1.1 client on h11 and trio that tells unsent from possibly sent requests."""

import collections
import collections.abc
import contextlib
import re
import typing

import attrs
import h11
import trio

from jujubepass import _decoding
from jujubepass.transport import _client_connection

_MAX_IDLE_CONNECTIONS_PER_ADDRESS = 64
# Maximum body that is read into memory, unless the caller expects a larger one.
_MAX_BODY_BYTES = 1_048_576
_MAX_REQUESTED_BODY_BYTES = 16 * _MAX_BODY_BYTES
# Maximum number of interim responses before an answer.
_MAX_INTERIM_RESPONSES = 16
# Answers are not passed on, which would recurse.
_MAX_JSON_DEPTH = 1_000
# A server that counts in whole seconds may close up to this much early.
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,9})", re.ASCII)
_HOST = re.compile(r"[0-9A-Za-z:_-]{1,63}(\.[0-9A-Za-z_-]{1,63}){0,9}", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
_MAX_PORT = 65_535

Fields = collections.abc.Sequence[tuple[str, str]]
"""Header fields in order; names may repeat."""

HeaderFields = collections.abc.Mapping[str, str] | Fields
"""Header fields to send; a `host` field replaces the default, the address."""


_Connection = _client_connection.Connection
ClientError = _client_connection.ClientError
NotSentError = _client_connection.NotSentError
RefusedConnectionError = _client_connection.RefusedConnectionError
InterruptedAnswerError = _client_connection.InterruptedAnswerError
AnswerTimeoutError = _client_connection.AnswerTimeoutError


@attrs.frozen(kw_only=True)
class Address:
    """Describe a TCP endpoint."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `host:port`; raise ValueError if the text has another form."""
    host, _, port = text.rpartition(":")
    is_valid = _HOST.fullmatch(host) and _PORT.fullmatch(port)
    if not is_valid or int(port) > _MAX_PORT:
        raise ValueError(f"{text[:80]!r} is not host:port, such as 127.0.0.1:8080")
    return Address(host=host, port=int(port))


@attrs.frozen(kw_only=True)
class Answer:
    """Describe one complete answer."""

    status: int
    headers: collections.abc.Mapping[str, str]
    body: bytes

    def read_json(self) -> typing.Any:
        """Parse the body; raise InterruptedAnswerError if it is not JSON."""
        try:
            return _decoding.load_json(self.body, max_depth=_MAX_JSON_DEPTH)
        except ValueError as error:
            raise InterruptedAnswerError(f"answer is not JSON: {error}") from error


class StreamedAnswer:
    """Read one answer as a stream."""

    __slots__ = (
        "_connection",
        "_drained",
        "_ended",
        "fields",
        "headers",
        "is_first",
        "status",
    )

    def __init__(
        self,
        *,
        connection: _Connection,
        head: h11.Response,
        is_first: bool,
    ) -> None:
        self._connection = connection
        self._ended = False
        self._drained = False
        self.is_first = is_first
        """Whether no other request was sent on the connection before."""
        self.status = head.status_code
        self.fields = [(k.decode(), v.decode("latin-1")) for k, v in head.headers]
        self.headers = dict(self.fields)

    async def receive(self) -> bytes:
        """Wait for data and return all that has arrived; return b"" at the end."""
        received = b""
        while not self._ended:
            if self._drained:
                await self._connection.receive()
                self._drained = False
            event = self._connection.read_event()
            if isinstance(event, h11.Data):
                received = received + event.data if received else bytes(event.data)
            elif event is h11.NEED_DATA:
                self._drained = True
                if received:
                    return received
            else:
                self._ended = True
        return received

    async def receive_all(self, max_bytes: int = _MAX_BODY_BYTES) -> Answer:
        """Wait for the complete answer; raise InterruptedAnswerError if too large."""
        body = bytearray()
        while part := await self.receive():
            body += part
            if len(body) > max_bytes:
                raise InterruptedAnswerError(f"answer exceeds {max_bytes} bytes")
        return Answer(status=self.status, headers=self.headers, body=bytes(body))


@attrs.frozen(kw_only=True)
class _PooledConnection:
    """Describe a pooled connection that its server may close at `usable_until`."""

    stream: trio.SocketStream
    usable_until: float


class Client:
    """Send requests over pooled connections."""

    def __init__(self, *, connect_timeout_seconds: float = 1.0) -> None:
        self._connect_timeout_seconds = connect_timeout_seconds
        self._idle: dict[Address, collections.deque[_PooledConnection]] = (
            collections.defaultdict(collections.deque)
        )
        self.opened_connections = 0

    async def request(
        self,
        method: str,
        address: Address,
        path: str,
        *,
        body: bytes = b"",
        headers: HeaderFields | None = None,
        timeout_seconds: float = 5.0,
        fresh: bool = False,
        once: bool = False,
        max_bytes: int = _MAX_REQUESTED_BODY_BYTES,
    ) -> Answer:
        """Send a request and return its complete answer.

        Raises NotSentError, InterruptedAnswerError or AnswerTimeoutError. NotSentError
        is only certain with `once` or `fresh`, which avoids pooled connections.
        """
        sent = False
        try:
            with trio.fail_after(timeout_seconds):
                opened = self.open(
                    method,
                    address,
                    path,
                    body=body,
                    headers=headers,
                    fresh=fresh,
                    once=once,
                )
                async with opened as answer:
                    sent = True
                    return await answer.receive_all(max_bytes)
        except trio.TooSlowError as error:
            where = "the answer's end" if sent else "the answer"
            raise AnswerTimeoutError(f"{address} timed out before {where}") from error

    @contextlib.asynccontextmanager
    async def open(
        self,
        method: str,
        address: Address,
        path: str,
        *,
        body: bytes = b"",
        headers: HeaderFields | None = None,
        fresh: bool = False,
        once: bool = False,
    ) -> collections.abc.AsyncIterator[StreamedAnswer]:
        """Send a request and yield its answer as a stream.

        A request that fails on a pooled connection is sent again, since the server may
        have closed that connection, unless `fresh` or `once` is set.
        """
        data = _build_request(method, address, path, body, headers or {})
        connection, head, is_first = await self._exchange(address, data, fresh, once)
        try:
            yield StreamedAnswer(connection=connection, head=head, is_first=is_first)
        finally:
            # A connection opened for one request is not pooled: servers count idle
            # connections too.
            if fresh:
                connection.stream.socket.close()
            else:
                self._release(address, connection, head)

    async def _exchange(
        self,
        address: Address,
        data: tuple[h11.Request, bytes],
        fresh: bool,
        once: bool,
    ) -> tuple[_Connection, h11.Response, bool]:
        while True:
            idle = None if fresh else self._pop_idle(address)
            pooled = idle is not None
            stream = idle or await self._connect(address)
            connection = _Connection(stream=stream)
            try:
                head = await _send_and_receive_head(connection, data)
                return connection, head, not pooled
            except InterruptedAnswerError:
                await trio.aclose_forcefully(stream)
                if once or not pooled:
                    raise
            except BaseException:
                stream.socket.close()
                raise

    def _pop_idle(self, address: Address) -> trio.SocketStream | None:
        """Remove and return a pooled connection that its server has not closed."""
        idle = self._idle[address]
        now = trio.current_time()
        while idle:
            found = idle.pop()
            stream = found.stream
            if now < found.usable_until and not stream.socket.is_readable():
                return stream
            stream.socket.close()
        return None

    def close_idle(self, address: Address) -> None:
        """Close the pooled connections to an address."""
        for each in self._idle.pop(address, ()):
            each.stream.socket.close()

    async def check_connection(self, address: Address) -> None:
        """Open and close a connection; raises NotSentError."""
        stream = await self._connect(address)
        stream.socket.close()

    async def _connect(self, address: Address) -> trio.SocketStream:
        try:
            with trio.fail_after(self._connect_timeout_seconds):
                stream = await trio.open_tcp_stream(address.host, address.port)
                self.opened_connections += 1
                return stream
        # Other errors are those of names that cannot be looked up.
        except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
            detail = f"cannot connect to {address}: {error}"
            if _is_refused(error):
                raise RefusedConnectionError(detail) from error
            raise NotSentError(detail) from error

    def _release(
        self,
        address: Address,
        connection: _Connection,
        head: h11.Response,
    ) -> None:
        idle = self._idle[address]
        can_pool = len(idle) < _MAX_IDLE_CONNECTIONS_PER_ADDRESS
        if connection.is_reusable() and can_pool:
            until = trio.current_time() + _read_keep_alive_seconds(head)
            idle.append(_PooledConnection(stream=connection.stream, usable_until=until))
        else:
            connection.stream.socket.close()


def _read_keep_alive_seconds(head: h11.Response) -> float:
    """Return the keep-alive timeout of the server; infinity if it names none."""
    for name, value in head.headers:
        found = _KEEP_ALIVE_TIMEOUT.search(value.decode("latin-1"))
        if name == b"keep-alive" and found:
            return int(found.group(1)) - _KEEP_ALIVE_MARGIN_SECONDS
    return float("inf")


def _build_request(
    method: str,
    address: Address,
    path: str,
    body: bytes,
    headers: HeaderFields,
) -> tuple[h11.Request, bytes]:
    given = headers.items() if isinstance(headers, collections.abc.Mapping) else headers
    fields = [("content-length", str(len(body))), *given]
    if not any(name == "host" for name, _ in fields):
        fields.insert(0, ("host", str(address)))
    # Values are received as Latin-1, but h11 encodes text as ASCII.
    encoded = [(name.encode(), value.encode("latin-1")) for name, value in fields]
    return h11.Request(method=method, target=path, headers=encoded), body


async def _send_and_receive_head(
    connection: _Connection, request: tuple[h11.Request, bytes]
) -> h11.Response:
    await connection.send(request)
    interim_responses = 0
    while interim_responses <= _MAX_INTERIM_RESPONSES:
        event = connection.read_event()
        if isinstance(event, h11.Response):
            return event
        if event is h11.NEED_DATA:
            await connection.receive()
        elif isinstance(event, h11.InformationalResponse):
            interim_responses += 1
        else:
            raise InterruptedAnswerError("connection closed before the answer")
    raise InterruptedAnswerError(f"over {_MAX_INTERIM_RESPONSES} interim responses")


def _is_refused(error: BaseException | None) -> bool:
    """Return whether a connection was refused; trio groups the errors by address."""
    if isinstance(error, BaseExceptionGroup):
        return all(map(_is_refused, error.exceptions))
    if error is None or isinstance(error, ConnectionRefusedError):
        return error is not None
    return _is_refused(error.__cause__)
