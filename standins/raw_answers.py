"""Answers written past the HTTP library: unframed, reset or without end."""

import collections.abc
import os
import socket
import struct
import typing

import trio

from jujubepass.transport import _http_server

_FILLER_BYTES = 65_536
_INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
# Closing resets the connection.
_LINGER = struct.pack("ii", 1, 0)
_FILLERS = {
    "head": b"x" * _FILLER_BYTES,
    "interim heads": _INTERIM * (_FILLER_BYTES // len(_INTERIM)),
    "body": b"x" * _FILLER_BYTES,
    "failure": b"x" * _FILLER_BYTES,
    "slow body": b"x" * 1_024,
}
_SLOW_INTERVAL_SECONDS = 0.1

Fields = collections.abc.Iterable[tuple[str, str]]


class UnframedResponder(_http_server.Responder):
    """Write an answer with neither a length nor chunks; closing ends it."""

    def __init__(self, *, responder: _http_server.Responder) -> None:
        super().__init__(
            connection=responder._connection,
            stream=responder._stream,
            closing=responder._closing,
        )

    async def start_fields(self, status: int, fields: Fields) -> None:
        """Send the status line and header fields."""
        self.started = True
        await self.write(_format_head(status, fields))

    async def write(self, data: bytes) -> None:
        """Send part of the body."""
        await self._stream.send_all(data)

    async def finish(self) -> None:
        """End the answer; the server closes the connection."""
        raise trio.BrokenResourceError("end of an unframed answer")

    async def send_fields(self, status: int, fields: Fields, body: bytes) -> None:
        """Send a complete answer."""
        await self.start_fields(status, fields)
        await self.write(body)
        await self.finish()

    def reset(self) -> typing.NoReturn:
        """Reset the connection."""
        self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
        # The server would send the end of the stream before it closes the connection;
        # it goes on with another socket that has ended.
        ended, peer = socket.socketpair()
        peer.close()
        os.dup2(ended.fileno(), self._stream.socket.fileno())
        ended.close()
        raise trio.BrokenResourceError("reset")


async def write_endless(
    responder: _http_server.Responder, form: str, fields: Fields = ()
) -> None:
    """Write bytes that are no answer until the caller closes the connection."""
    raw = UnframedResponder(responder=responder)
    if form == "head":
        await raw.write(b"HTTP/1.1 200 OK\r\nfiller: ")
    elif form != "interim heads":
        await raw.start_fields(500 if form == "failure" else 200, fields)
    while True:
        await raw.write(_FILLERS[form])
        if form == "slow body":
            await trio.sleep(_SLOW_INTERVAL_SECONDS)


def _format_head(status: int, fields: Fields) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join([*lines, "", ""]).encode()
