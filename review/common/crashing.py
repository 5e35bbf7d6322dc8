"""Stand-in for plain servers that one request crashes."""

import asyncio
import time

from review.common import http, service

CRASHING_BODY = b"crash " * 100
_BACK_AFTER_SECONDS = 2.0
_LAPSE_SECONDS = 3.6


class CrashingServer(service.PlainServer):
    """Crash as it begins to run one request; come back under another id."""

    crash_seconds = 0.02
    """Time from its arrival to the crash, whether or not its connection is closed."""
    crashes = []
    """Times of the arrivals of that request at all servers, with the node."""
    _port = 0
    _boots = 1

    async def start(self):
        """Listen at the same address as before and register."""
        self._writers = set()
        self._server = await http.serve(self.handle, "127.0.0.1", self._port)
        self._port = http.get_port(self._server)
        self.address = f"127.0.0.1:{self._port}"
        self._born = time.time_ns() // 1_000_000
        self.write_entry("ready")

    async def handle(self, reader, writer):
        """Serve the requests of one connection."""
        self._writers.add(writer)
        try:
            await super().handle(reader, writer)
        finally:
            self._writers.discard(writer)

    async def answer(self, head, reader, writer):
        """Run one request, or crash."""
        request = await http.read_body(reader, head)
        is_own = request.get("x-expect-instance", self.name) == self.name
        if is_own and request.body == CRASHING_BODY:
            identity = request.get("x-request-id", "")
            CrashingServer.crashes.append((time.monotonic(), identity))
            self.record.write("crash", request=identity, server=self.name)
            await asyncio.sleep(self.crash_seconds)
            self._crash()
            return False
        # The body has been read already.
        head.fields = [each for each in head.fields if each[0] != "content-length"]
        return await super().answer(head, reader, writer)

    def _crash(self):
        self._server.close()
        for writer in list(self._writers):
            http.reset(writer)
        loop = asyncio.get_running_loop()
        # A server that crashes sends nothing: its entry lapses.
        loop.call_later(_LAPSE_SECONDS, self.store.put, "servers", self.name, None)
        loop.call_later(_BACK_AFTER_SECONDS, lambda: loop.create_task(self._return()))

    async def _return(self):
        self._boots += 1
        self.name = f"{self.name.split('-boot')[0]}-boot{self._boots}"
        await self.start()
        self.record.write("server is back", server=self.name)
