"""Socket reads and writes that yield to the scheduler at most once, and resets."""

import contextlib
import logging
import os
import select
import socket
import struct

import trio

_LOGGER = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536
_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Half of the time within which a client that has closed must be noticed.
_CLOSE_POLL_SECONDS = 0.25
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


def read_now(stream: trio.SocketStream, count: int) -> bytes | None:
    """Read what has arrived; return b"" at the end and None if nothing is ready.

    Raises trio.BrokenResourceError.
    """
    try:
        return os.read(stream.socket.fileno(), count)
    except BlockingIOError:
        return None
    except OSError as error:
        raise trio.BrokenResourceError(f"connection broke: {error}") from error


async def wait_for_close(stream: trio.SocketStream) -> None:
    """Return once the peer has closed, also behind bytes that were not read."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLRDHUP)
    while not any(events & _CLOSED_EVENTS for _, events in poll.poll(0)):
        await trio.sleep(_CLOSE_POLL_SECONDS)


async def send(stream: trio.SocketStream, data: bytes) -> None:
    """Write what the socket accepts at once; wait only to write the rest.

    Raises trio.BrokenResourceError.
    """
    rest = send_now(stream, data)
    if rest:
        await stream.send_all(rest)


def send_now(stream: trio.SocketStream, data: bytes) -> memoryview:
    """Write what the socket accepts at once and return the rest.

    Raises trio.BrokenResourceError.
    """
    try:
        sent = os.write(stream.socket.fileno(), data) if data else 0
    except BlockingIOError:
        sent = 0
    except OSError as error:
        raise trio.BrokenResourceError(f"connection broke: {error}") from error
    return memoryview(data)[sent:]


async def close_in_order(stream: trio.SocketStream) -> None:
    """Close without a reset, which would discard a response in transit."""
    discarded_bytes = 0
    try:
        await stream.send_eof()
        while data := await stream.receive_some(RECEIVE_BYTES):
            discarded_bytes += len(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        _LOGGER.debug("connection was already closed")
    finally:
        if discarded_bytes:
            _LOGGER.info(
                "discarded input of a connection being closed",
                extra={"bytes": discarded_bytes},
            )


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
