"""Socket reads and writes that yield to the scheduler at most once, and resets."""

import contextlib
import os
import socket
import struct

import trio

RECEIVE_BYTES = 65_536
# Close with a reset instead of an orderly end.
_LINGER_NONE = struct.pack("ii", 1, 0)


async def receive(stream: trio.SocketStream) -> bytes:
    """Wait until data is ready and read it; return b"" at the end.

    Raises trio.BrokenResourceError.
    """
    # trio's receive_some first tries to read, waits, reads, and then yields again.
    await trio.lowlevel.wait_readable(stream.socket.fileno())
    try:
        return os.read(stream.socket.fileno(), RECEIVE_BYTES)
    except BlockingIOError:
        return bytes(await stream.receive_some(RECEIVE_BYTES))
    except OSError as error:
        raise trio.BrokenResourceError(f"connection broke: {error}") from error


async def send(stream: trio.SocketStream, data: bytes) -> None:
    """Write what the socket accepts at once; wait only to write the rest.

    Raises trio.BrokenResourceError.
    """
    try:
        sent = os.write(stream.socket.fileno(), data) if data else 0
    except BlockingIOError:
        sent = 0
    except OSError as error:
        raise trio.BrokenResourceError(f"connection broke: {error}") from error
    if sent < len(data):
        await stream.send_all(memoryview(data)[sent:])


def find_peer(stream: trio.SocketStream) -> str:
    """Return the peer's address; raises trio.BrokenResourceError."""
    try:
        return str(stream.socket.getpeername()[0])
    except OSError as error:
        raise trio.BrokenResourceError(f"reset before the accept: {error}") from error


def reset(stream: trio.SocketStream) -> None:
    """Close a connection so that its answer does not look complete."""
    with contextlib.suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    stream.socket.close()
