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
_RESET_DELAY_SECONDS = 0.1

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
        await self.write(_format_head(fields, status=status))

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
        reset_connection(self._stream)


def reset_connection(stream: trio.SocketStream) -> typing.NoReturn:
    """Reset a connection that a server will close."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
    # The server would send the end of the stream before it closes the connection; it
    # goes on with another socket that has ended.
    ended, peer = socket.socketpair()
    peer.close()
    os.dup2(ended.fileno(), stream.socket.fileno())
    ended.close()
    raise trio.BrokenResourceError("reset")


async def cut_head(
    stream: trio.SocketStream, fields: Fields, size: int, *, is_reset: bool
) -> typing.NoReturn:
    """Write some bytes of a head, then close or reset the connection."""
    await stream.send_all(_format_head(fields)[:size])
    if is_reset:
        await trio.sleep(_RESET_DELAY_SECONDS)
        reset_connection(stream)
    raise trio.BrokenResourceError("stopped in the middle of a head")


async def write_status_line(
    stream: trio.SocketStream, line: str, fields: Fields, body: bytes
) -> typing.NoReturn:
    """Answer with any status line, and close the connection."""
    length = ("content-length", str(len(body)))
    await stream.send_all(_format_head([*fields, length], line=line) + body)
    raise trio.BrokenResourceError("end of an answer with any status line")


async def write_and_reset(
    stream: trio.SocketStream, fields: Fields, body: bytes
) -> typing.NoReturn:
    """Answer without a length before the request was read, then reset."""
    await stream.send_all(_format_head(fields) + body)
    # What has arrived before the reset stays readable at the other end.
    await trio.sleep(_RESET_DELAY_SECONDS)
    reset_connection(stream)


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


_ERROR_EVENT = b"event: error\ndata: engine failed\n\n"
_ERROR_TEXT = b"engine failed\n\n"


async def write_error(
    responder: _http_server.Responder,
    form: str,
    fields: list[tuple[str, str]],
    event: bytes,
) -> None:
    """Answer with an error in some form; `event` is the one that would come next."""
    raw = UnframedResponder(responder=responder)
    head = _format_head([("content-length", str(len(_ERROR_TEXT)))], status=500)
    bodies = {
        "an event without an id": _ERROR_EVENT,
        "an event after the next one": event + _ERROR_EVENT,
        "a head in its events": head + _ERROR_TEXT,
        "a head after the next event": event + head + _ERROR_TEXT,
        "a text in place of events": _ERROR_TEXT,
        "a text without an end": _ERROR_TEXT.strip(),
        "no further event": b"",
    }
    texts = {"a text with status 200": _ERROR_TEXT, "nothing with status 200": b""}
    if form in bodies:
        events_type = ("content-type", "text/event-stream")
        await responder.start_fields(200, [*fields, events_type])
        await responder.write(bodies[form])
        await responder.finish()
    elif form in texts:
        text_type = ("content-type", "text/plain")
        await responder.send_fields(200, [*fields, text_type], texts[form])
    elif form.startswith("status "):
        await responder.send_fields(int(form.split()[1]), fields, _ERROR_TEXT)
    elif form == "a status and no body":
        await responder.send_fields(500, fields, b"")
    elif form == "a body without end":
        await write_endless(responder, "failure", fields)
    else:
        await raw.write(_ERROR_TEXT)
        raise trio.BrokenResourceError("ended by an error")


def _format_head(fields: Fields, *, status: int = 200, line: str = "") -> bytes:
    line = line or f"HTTP/1.1 {status} X"
    lines = [line, *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join([*lines, "", ""]).encode()
