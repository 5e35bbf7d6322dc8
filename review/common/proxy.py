"""Proxy before a server: its open connections can go silent while new ones work."""

import asyncio

from review.common import http

_READ_BYTES = 65_536


class Proxy:
    """Pass on bytes between a client and a server in both directions."""

    def __init__(self, target):
        self._target = target
        self._silent = set()
        self._open = set()
        self._never = asyncio.Event()
        self.server = None

    async def start(self):
        """Listen; return the address."""
        self.server = await http.serve(self._handle, "127.0.0.1")
        return f"127.0.0.1:{http.get_port(self.server)}"

    def silence(self):
        """Let the open connections go silent for good; return their number."""
        self._silent |= self._open
        return len(self._open)

    async def _handle(self, reader, writer):
        connection = object()
        self._open.add(connection)
        there, back = await asyncio.open_connection(*self._target)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pass_on(connection, reader, back))
                tasks.create_task(self._pass_on(connection, there, writer))
        except* (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open.discard(connection)
            self._silent.discard(connection)
            await http.close(back)

    async def _pass_on(self, connection, reader, writer):
        while data := await reader.read(_READ_BYTES):
            if connection in self._silent:
                # Nothing arrives any more in either direction, not even an end.
                await self._never.wait()
            writer.write(data)
            await writer.drain()
        if connection not in self._silent:
            writer.close()
