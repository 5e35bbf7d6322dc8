"""Socket reads and writes that cost one scheduler pass at most."""

import os

import trio

RECEIVE_BYTES = 65_536


async def receive(stream: trio.SocketStream) -> bytes:
    """Wait until data is ready and read it; return b"" at the end.

    Raises trio.BrokenResourceError.
    """
    # A stream's own read tries first, fails, waits and reads; then it yields again.
    await trio.lowlevel.wait_readable(stream.socket.fileno())
    try:
        return os.read(stream.socket.fileno(), RECEIVE_BYTES)
    except BlockingIOError:
        return bytes(await stream.receive_some(RECEIVE_BYTES))
    except OSError as error:
        raise trio.BrokenResourceError(f"connection broke: {error}") from error


async def send(stream: trio.SocketStream, data: bytes) -> None:
    """Write at once what the socket takes; wait only for the rest.

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
