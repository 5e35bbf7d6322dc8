"""Writer of one HTTP/1.1 response."""

import collections.abc
import json

import h11
import trio

from jujubepass.transport import _http_input, _socket_io

_JSON = "application/json"
_VERSIONS_WITHOUT_CHUNKS = (b"1.0", b"0.9")


class Responder:
    """Write one response."""

    __slots__ = (
        "_closing",
        "_connection",
        "_source",
        "_stream",
        "is_broken",
        "omits_body",
        "started",
    )

    def __init__(
        self,
        *,
        connection: h11.Connection,
        stream: trio.SocketStream,
        closing: collections.abc.Callable[[], bool],
        source: _http_input.Input | None = None,
    ) -> None:
        self._source = source
        self._closing = closing
        self._connection = connection
        self._stream = stream
        self.is_broken = False
        """Whether a write has failed. What the caller had sent before may still be
        read, but no answer to it reaches the caller."""
        self.omits_body = False
        self.started = False

    @property
    def is_cut_off(self) -> bool:
        """Return whether an unfinished answer would end with its connection."""
        is_old = self._connection.their_http_version in _VERSIONS_WITHOUT_CHUNKS
        return is_old and self._connection.our_state in (h11.SEND_BODY, h11.ERROR)

    async def _send(self, data: bytes) -> None:
        """Send data, and account for what the caller has not read yet."""
        try:
            rest = _socket_io.send_now(self._stream, data)
            if not rest:
                return
            if self._source is None:
                await self._stream.send_all(rest)
                return
            with self._source.hold_write(len(data)):
                await self._stream.send_all(rest)
        except trio.BrokenResourceError:
            self.is_broken = True
            raise

    def has_input(self) -> bool:
        """Return whether the caller has sent something that was not read."""
        return self._stream.socket.is_readable()

    async def send_continue(self) -> None:
        """Ask for the body if the caller waits for that."""
        if self._connection.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._connection.send(event) or b"")

    async def start(
        self, status: int, headers: collections.abc.Mapping[str, str]
    ) -> None:
        """Send the status line and headers."""
        self.started = True
        event = self._make_head(status, list(headers.items()))
        await self._send(self._connection.send(event) or b"")

    def _make_head(self, status: int, fields: list[tuple[str, str]]) -> h11.Response:
        if self._closing():
            fields = [*fields, ("connection", "close")]
        # Values are received as Latin-1, but h11 encodes text as ASCII.
        encoded = [(name.encode(), value.encode("latin-1")) for name, value in fields]
        return h11.Response(status_code=status, headers=encoded)

    async def write(self, data: bytes) -> None:
        """Send part of the body."""
        await self._send(self._connection.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        """End the body."""
        await self._send(self._connection.send(h11.EndOfMessage()) or b"")

    async def send(
        self,
        status: int,
        body: bytes,
        *,
        content_type: str = _JSON,
        headers: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        """Send a complete response in one write."""
        self.started = True
        fields = [("content-type", content_type), ("content-length", str(len(body)))]
        fields += list((headers or {}).items())
        event = self._make_head(status, fields)
        parts = [self._connection.send(event) or b""]
        if not self.omits_body:
            parts.append(self._connection.send(h11.Data(data=body)) or b"")
        parts.append(self._connection.send(h11.EndOfMessage()) or b"")
        await self._send(b"".join(parts))

    async def start_fields(
        self, status: int, fields: collections.abc.Iterable[tuple[str, str]]
    ) -> None:
        """Send the status line and header fields, whose names may repeat."""
        self.started = True
        event = self._make_head(status, list(fields))
        await self._send(self._connection.send(event) or b"")

    async def send_fields(
        self,
        status: int,
        fields: collections.abc.Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a complete response with the given header fields in one write."""
        self.started = True
        length = ("content-length", str(len(body)))
        others = [field for field in fields if field[0] != "content-length"]
        parts = [
            self._connection.send(self._make_head(status, [*others, length])) or b""
        ]
        if not self.omits_body:
            parts.append(self._connection.send(h11.Data(data=body)) or b"")
        parts.append(self._connection.send(h11.EndOfMessage()) or b"")
        await self._send(b"".join(parts))

    async def send_json(self, status: int, value: object) -> None:
        """Send a complete JSON response."""
        await self.send(status, json.dumps(value).encode())

    async def send_problem(
        self,
        status: int,
        code: str,
        detail: str,
        *,
        retry_after_seconds: float | None = None,
        extra: collections.abc.Mapping[str, object] | None = None,
        fields: collections.abc.Iterable[tuple[str, str]] = (),
    ) -> None:
        """Send an application/problem+json response with a stable code."""
        problem = {
            "type": f"urn:jujubepass:problem:{code}",
            "title": code.replace("_", " "),
            "status": status,
            "code": code,
            "detail": detail,
            **(extra or {}),
        }
        headers = dict(fields)
        if retry_after_seconds is not None:
            headers["retry-after"] = f"{retry_after_seconds:g}"
        await self.send(
            status,
            json.dumps(problem).encode(),
            content_type="application/problem+json",
            headers=headers,
        )
