"""Writer of one HTTP/1.1 response."""

import collections.abc
import json

import h11
import trio

from jujubepass.transport import _socket_io

_JSON = "application/json"
_VERSIONS_WITHOUT_CHUNKS = (b"1.0", b"0.9")


class Responder:
    """Write one response."""

    __slots__ = ("_closing", "_connection", "_stream", "omits_body", "started")

    def __init__(
        self,
        *,
        connection: h11.Connection,
        stream: trio.SocketStream,
        closing: collections.abc.Callable[[], bool],
    ) -> None:
        self._closing = closing
        self._connection = connection
        self._stream = stream
        self.omits_body = False
        self.started = False

    @property
    def is_cut_off(self) -> bool:
        """Return whether an unfinished answer would end with its connection."""
        is_old = self._connection.their_http_version in _VERSIONS_WITHOUT_CHUNKS
        return is_old and self._connection.our_state in (h11.SEND_BODY, h11.ERROR)

    async def start(
        self, status: int, headers: collections.abc.Mapping[str, str]
    ) -> None:
        """Send the status line and headers."""
        self.started = True
        event = self._make_head(status, list(headers.items()))
        await _socket_io.send(self._stream, self._connection.send(event) or b"")

    def _make_head(self, status: int, fields: list[tuple[str, str]]) -> h11.Response:
        if self._closing():
            fields = [*fields, ("connection", "close")]
        # Values are received as Latin-1, but h11 encodes text as ASCII.
        encoded = [(name.encode(), value.encode("latin-1")) for name, value in fields]
        return h11.Response(status_code=status, headers=encoded)

    async def write(self, data: bytes) -> None:
        """Send part of the body."""
        await _socket_io.send(
            self._stream, self._connection.send(h11.Data(data=data)) or b""
        )

    async def finish(self) -> None:
        """End the body."""
        await _socket_io.send(
            self._stream, self._connection.send(h11.EndOfMessage()) or b""
        )

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
        await _socket_io.send(self._stream, b"".join(parts))

    async def start_fields(
        self, status: int, fields: collections.abc.Iterable[tuple[str, str]]
    ) -> None:
        """Send the status line and header fields, whose names may repeat."""
        self.started = True
        event = self._make_head(status, list(fields))
        await _socket_io.send(self._stream, self._connection.send(event) or b"")

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
        await _socket_io.send(self._stream, b"".join(parts))

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
