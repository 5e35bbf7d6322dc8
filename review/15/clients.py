"""Clients that each send a body in chunks of one byte, one chunk after another."""

import asyncio
import contextlib
import sys
import time

_SECONDS = 25.0
_CHUNK_SECONDS = 0.02
_HEAD = b"\r\n".join(
    (
        b"POST /visits/new HTTP/1.1",
        b"host: desk.example",
        b"transfer-encoding: chunked",
        b"",
        b"",
    )
)


async def _send_chunks(port: int, until: float) -> None:
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(_HEAD)
            while time.monotonic() < until:
                writer.write(b"1\r\nx\r\n")
                await writer.drain()
                await asyncio.sleep(_CHUNK_SECONDS)
            writer.close()
        await asyncio.sleep(_CHUNK_SECONDS)


async def _run(port: int, clients: int) -> None:
    until = time.monotonic() + _SECONDS
    async with asyncio.TaskGroup() as tasks:
        for _ in range(clients):
            tasks.create_task(_send_chunks(port, until))


if __name__ == "__main__":
    asyncio.run(_run(int(sys.argv[1]), int(sys.argv[2])))
