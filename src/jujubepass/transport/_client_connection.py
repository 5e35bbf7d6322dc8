"""Connection that carries one request and its answer, and the errors of answers."""

import attrs
import h11
import trio

from jujubepass.transport import _socket_io

# HTTP defines no other versions of this framing, and no higher status codes.
_VERSIONS = (b"1.0", b"1.1")
_MAX_STATUS = 599
# A request up to this size is sent in one write.
_MAX_JOINED_BYTES = 65_536


class ClientError(Exception):
    """Signal a request without a complete answer."""


class NotSentError(ClientError):
    """Signal that no byte of the request left this process."""


class RefusedConnectionError(NotSentError):
    """Signal that nothing listens at the address."""


class InterruptedAnswerError(ClientError):
    """Signal that the request may have reached the server."""


class AnswerTimeoutError(InterruptedAnswerError):
    """Signal that the answer did not arrive in time."""


@attrs.define(kw_only=True)
class Connection:
    """Carry one request and its answer over a connection."""

    stream: trio.SocketStream
    _protocol: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(h11.CLIENT), init=False
    )
    _is_broken: bool = attrs.field(default=False, init=False)
    """Whether a write or read has failed. The socket reports a reset only once: what
    is read afterwards ends as if the server had closed the connection in order."""

    async def send(self, request: tuple[h11.Request, bytes]) -> None:
        """Send a request, as far as the server takes it."""
        head, body = request
        parts = self._protocol.send_with_data_passthrough(head) or []
        parts += self._protocol.send_with_data_passthrough(h11.Data(data=body)) or []
        parts += self._protocol.send_with_data_passthrough(h11.EndOfMessage()) or []
        try:
            if len(body) <= _MAX_JOINED_BYTES:
                await self.stream.send_all(b"".join(parts))
                return
            # Bodies exist once, however many requests wait for their servers.
            for part in parts:
                await self.stream.send_all(part)
        except trio.BrokenResourceError:
            # A server that refuses a request early may close before reading all of it.
            self._is_broken = True

    async def receive(self) -> None:
        """Wait for data of the answer; raises InterruptedAnswerError."""
        try:
            data = await _socket_io.receive(self.stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._is_broken = True
            raise InterruptedAnswerError(f"connection broke: {error}") from error
        if self._is_broken and not data:
            raise InterruptedAnswerError("connection broke before the answer's end")
        self._protocol.receive_data(data)

    def read_event(self) -> object:
        """Return the next event of what has been received."""
        try:
            event = self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise InterruptedAnswerError(f"answer broke off: {error}") from error
        if isinstance(event, (h11.InformationalResponse, h11.Response)):
            self._check_status_line(event)
        return event

    def _check_status_line(
        self, head: h11.InformationalResponse | h11.Response
    ) -> None:
        """Raise InterruptedAnswerError for a status line that HTTP does not define.

        h11 accepts status codes up to 999 and versions of any two digits.
        """
        if head.http_version in _VERSIONS and head.status_code <= _MAX_STATUS:
            return
        self._is_broken = True
        version = head.http_version.decode()
        raise InterruptedAnswerError(
            f"undefined status line: HTTP/{version} {head.status_code}"
        )

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on the connection."""
        return (
            not self._is_broken
            and self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
            # Bytes after a complete answer belong to no request.
            and not self._protocol.trailing_data[0]
        )
