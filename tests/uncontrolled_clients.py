"""Clients that keep to no limit, in crowds, and what they cost a process."""

import collections.abc
import contextlib
import os
import random
import socket
import typing

import attrs
import trio

from standins import forwarding_system, processes

LISTENERS = ("callers", "readiness", "metrics", "relay")
PATHS = {
    "callers": forwarding_system.OPEN_LOOKUP_PATH,
    "readiness": "/v1/readiness",
    "metrics": "/metrics",
    "relay": "/v1/rows",
}
# Limits of a body at the listener for callers, as configured, and at the others.
CALLERS_BODY_BYTES = 4_194_304
BODY_BYTES = 1_048_576
PIECE_BYTES = 65_536
HEADER_BYTES = 15_000
CLIENTS = 40
HALF_SENT_CLIENTS = 200
ONE_BYTE_CHUNKS = 300_000
FAR_OVER_BYTES = 16_777_216
PIPELINED_BYTES = 8_388_608
GARBAGE_BYTES = 1_048_576
# Clients that wait for each other in the middle of their bodies hold them at once.
PAUSE_SECONDS = 1.0
CROWD_SECONDS = 8.0
HOLD_SECONDS = 1.0
# Until streams have filled the sockets of their clients.
STREAM_SECONDS = 5.0
EVENT_FILLER_BYTES = 60_000
SAMPLE_INTERVAL_SECONDS = 0.02
# Small, so that unread responses stay in the process instead of the socket.
RECEIVE_BUFFER_BYTES = 4_096
GARBAGE_SEED = 4301

PAUSE = b""
Pieces = collections.abc.Iterator[bytes]


def find_body_limit(listener: str) -> int:
    """Return the documented limit of a body at a listener."""
    return CALLERS_BODY_BYTES if listener == "callers" else BODY_BYTES


def write_head(listener: str, number: int, *fields: str) -> bytes:
    """Return the head of a POST with the usual fields of an ordinary request."""
    path = forwarding_system.STREAM_PATH if listener == "callers" else PATHS[listener]
    lines = [
        f"POST {path} HTTP/1.1",
        f"host: {forwarding_system.HOST_NAME}",
        f"x-request-id: crowd-{listener}-{number}",
        "x-key: ana-key-1",
        "x-token-count: 100,10",
        "x-model: m",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def write_chunks(count: int, size: int = PIECE_BYTES) -> Pieces:
    """Yield chunks of one size."""
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    for _ in range(count):
        yield chunk


def write_large_chunks(listener: str, number: int) -> Pieces:
    """Yield a body close to the limit that pauses before its end."""
    yield write_head(listener, number, "transfer-encoding: chunked")
    yield from write_chunks(find_body_limit(listener) // PIECE_BYTES - 1)
    yield PAUSE
    yield b"0\r\n\r\n"


def write_one_byte_chunks(listener: str, number: int) -> Pieces:
    """Yield a body whose framing is several times its size."""
    yield write_head(listener, number, "transfer-encoding: chunked")
    for _ in range(ONE_BYTE_CHUNKS // 10_000):
        yield b"1\r\nx\r\n" * 10_000
    yield PAUSE
    yield b"0\r\n\r\n"


def write_short(listener: str, number: int) -> Pieces:
    """Yield a body that stops just short of its end."""
    yield write_head(listener, number, "transfer-encoding: chunked")
    yield from write_chunks(find_body_limit(listener) // PIECE_BYTES - 1)


def write_announced(listener: str, number: int) -> Pieces:
    """Yield a body far over the limit, whose length is announced."""
    yield write_head(listener, number, "content-length: 1000000000")
    for _ in range(FAR_OVER_BYTES // PIECE_BYTES):
        yield b"x" * PIECE_BYTES


def write_over(listener: str, number: int) -> Pieces:
    """Yield a body far over the limit."""
    yield write_head(listener, number, "transfer-encoding: chunked")
    yield from write_chunks(FAR_OVER_BYTES // PIECE_BYTES)


def write_pipelined(listener: str, number: int) -> Pieces:
    """Yield requests without the usual fields."""
    host = forwarding_system.HOST_NAME
    request = f"GET {PATHS[listener]} HTTP/1.1\r\nhost: {host}\r\n\r\n".encode()
    piece = request * (PIECE_BYTES // len(request))
    for _ in range(PIPELINED_BYTES // PIECE_BYTES):
        yield piece


def write_half_header(listener: str, number: int) -> Pieces:
    """Yield a header within the limit that does not end."""
    yield b"GET / HTTP/1.1\r\nhost: a\r\nx-filler: "
    yield b"x" * HEADER_BYTES


def write_long_request(listener: str, number: int) -> Pieces:
    """Yield a request whose response is long: a stream, or an answer without end."""
    if listener == "callers" and number % 2:
        head = write_head(listener, number, "content-length: 0")
        yield head.replace(b"x-token-count: 100,10", b"x-token-count: 100,4000")
        return
    host = forwarding_system.HOST_NAME
    yield (
        f"GET {PATHS[listener]} HTTP/1.1\r\nhost: {host}\r\n"
        f"x-request-id: crowd-{number}\r\n\r\n"
    ).encode()


def write_garbage(listener: str, number: int) -> Pieces:
    """Yield bytes that are no HTTP, some of which look like TLS or have no line end."""
    start = (b"", b"\x16\x03\x01\x02\x00\x01", b"\x00" * 64, b"\xff" * 64)[number % 4]
    source = random.Random(GARBAGE_SEED + number)
    yield start + source.randbytes(PIECE_BYTES - len(start))
    for _ in range(GARBAGE_BYTES // PIECE_BYTES - 1):
        yield source.randbytes(PIECE_BYTES)


@attrs.frozen(kw_only=True)
class Kind:
    """Describe what each client of a crowd sends, and how many there are."""

    write: typing.Callable[[str, int], Pieces]
    clients: int = CLIENTS
    hold_seconds: float = HOLD_SECONDS


KINDS = {
    "chunked bodies in large chunks": Kind(write=write_large_chunks),
    "chunked bodies in one-byte chunks": Kind(write=write_one_byte_chunks),
    "chunked bodies that stop short": Kind(write=write_short),
    "announced bodies far over the limit": Kind(write=write_announced),
    "sent bodies far over the limit": Kind(write=write_over),
    "pipelined requests and unread responses": Kind(write=write_pipelined),
    "half-sent headers": Kind(write=write_half_header, clients=HALF_SENT_CLIENTS),
    "slow reading of long streams": Kind(
        write=write_long_request, hold_seconds=STREAM_SECONDS
    ),
    "binary garbage": Kind(write=write_garbage),
}


@attrs.define(kw_only=True)
class Crowd:
    """Send to each listener of a process at once, and read nothing."""

    process_id: int
    ports: dict[str, int]
    most_descriptors: int = 0
    connected: int = 0

    def run(self, kind: Kind) -> None:
        """Send until all have sent, been closed or are held up; then close."""
        trio.run(self._run, kind)

    async def _run(self, kind: Kind) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sample)
            opened: list[trio.SocketStream] = []
            with trio.move_on_after(CROWD_SECONDS):
                async with trio.open_nursery() as clients:
                    for listener, port in self.ports.items():
                        for number in range(kind.clients):
                            pieces = kind.write(listener, number)
                            clients.start_soon(self._send, port, pieces, opened)
            await trio.sleep(kind.hold_seconds)
            nursery.cancel_scope.cancel()
        for stream in opened:
            stream.socket.close()

    async def _send(
        self, port: int, pieces: Pieces, opened: list[trio.SocketStream]
    ) -> None:
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            opened_socket = trio.socket.socket()
            opened_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            await opened_socket.connect((processes.HOST, port))
            stream = trio.SocketStream(opened_socket)
            opened.append(stream)
            self.connected += 1
            for piece in pieces:
                if piece == PAUSE:
                    await trio.sleep(PAUSE_SECONDS)
                else:
                    await stream.send_all(piece)

    async def _sample(self) -> None:
        while True:
            with contextlib.suppress(FileNotFoundError):
                count = len(os.listdir(f"/proc/{self.process_id}/fd"))
                self.most_descriptors = max(self.most_descriptors, count)
            await trio.sleep(SAMPLE_INTERVAL_SECONDS)
