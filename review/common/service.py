"""Stand-in for the servers of a plain service, and the configuration of a day."""

import asyncio
import random
import time

from review.common import http

HOST_NAME = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
SERVICE = "xano55b"
BOOKING_PREFIX = "/puxa403/"
LOOKUP_PREFIX = "/cufi504/"


def make_configuration(version=7, timeout_ms=2_500):
    """Return a configuration with one plain service, bookings and lookups."""
    common = {
        **{"host": HOST_NAME, "timeoutMs": timeout_ms, "latencyGoalMs": 150},
        **{"priority": 2, "service": SERVICE, "anonymous": False, "sticky": False},
    }
    return {
        "version": version,
        "routes": [
            {
                **{**common, "name": "r-booking", "prefix": BOOKING_PREFIX},
                **{"kind": "non_idempotent", "maxAttempts": 2},
            },
            {
                **{**common, "name": "r-lookup", "prefix": LOOKUP_PREFIX},
                **{"kind": "idempotent", "maxAttempts": 2},
            },
        ],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 110}],
        "limits": {
            **{"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304},
            **{"headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


class PlainServer:
    """Answer each request after some work with a sealed body."""

    def __init__(self, name, zone, store, record):
        self.name = name
        self.zone = zone
        self.store = store
        self.record = record
        self.arrivals = {}
        """Requests that began to run, by id, with the times."""
        self.answers = {}
        """Whole bodies of the answers that were begun, by id."""
        self._born = time.time_ns() // 1_000_000
        self._server = None

    async def start(self):
        """Listen and register."""
        self._server = await http.serve(self.handle, "127.0.0.1")
        self.address = f"127.0.0.1:{http.get_port(self._server)}"
        self.write_entry("ready")

    def write_entry(self, state):
        """Write this server's entry into the store."""
        entry = {
            **{"service": SERVICE, "address": self.address, "zone": self.zone},
            **{"version": "v1", "slots": 6, "state": state, "coldLeftMs": 0},
            **{"seqNo": 1, "born": self._born},
        }
        self.store.put("servers", self.name, entry)

    async def handle(self, reader, writer):
        """Serve the requests of one connection."""
        while (head := await http.read_head(reader)) is not None:
            if not await self.answer(head, reader, writer):
                return

    async def answer(self, head, reader, writer):
        """Run one request; return whether the connection goes on."""
        request = await http.read_body(reader, head)
        identity = request.get("x-request-id", "")
        echo = [("X-Request-Id", identity)]
        if request.get("x-expect-instance", self.name) != self.name:
            writer.write(http.write_answer(421, echo))
            return True
        self.record_run(identity)
        await asyncio.sleep(min(0.22, random.lognormvariate(-3.5, 0.5)))
        writer.write(http.write_answer(200, self.seal(echo), self.make_body(identity)))
        await writer.drain()
        return True

    def record_run(self, identity):
        """Record that a request began to run."""
        self.arrivals.setdefault(identity, []).append(time.monotonic())
        self.record.write("run", request=identity, server=self.name)

    def seal(self, fields):
        """Return the fields of an answer with the server's proof."""
        return [*fields, ("X-Server-Seal", f"{self.name}.5a2")]

    def make_body(self, identity):
        """Return the whole body of the answer to a request."""
        body = f"{self.name} {identity} ".encode()
        body += b"row " * 200
        self.answers[identity] = body
        return body
