"""Stand-in for model engines that each hold the whole model, and its configuration."""

import asyncio
import json
import time

from review.common import http, service

MODEL_SERVICE = "dele69a"
STREAM_PREFIX = "/lohu930/"
_LAYERS = 8
_LOAD_SECONDS_PER_LAYER = 0.05
_BEAT_SECONDS = 0.4
_EVENT_SECONDS = 0.02
_CRASH_DELAY_SECONDS = 0.06
_BACK_AFTER_SECONDS = 2.0
_LAPSE_SECONDS = 3.6


def make_configuration(version=7):
    """Return the configuration of the plain service with a model service beside it."""
    found = service.make_configuration(version)
    found["routes"].append(
        {
            **{"name": "r-stream", "host": service.HOST_NAME, "priority": 1},
            **{"prefix": STREAM_PREFIX, "kind": "streaming", "timeoutMs": 20_000},
            **{"latencyGoalMs": 500, "service": MODEL_SERVICE, "maxAttempts": 2},
            **{"anonymous": False, "sticky": True, "resumable": True},
            "gapTargetMs": 200,
        }
    )
    engine = {
        **{"slots": 96, "kvCapacityTokens": 50_000, "kvTokenBytes": 1_180_000},
        **{"linkMbps": 480_000.0, "stride": 2, "step_ms": 0.85, "per_seq_ms": 0.0076},
        **{"models": [{"name": "m", "pace": 1.0, "loadS": 0.4, "warmS": 1.0}]},
        **{"context_per_k": 0.01, "read_per_s": 196_000.0, "pairs_per_m": 0.17},
        **{"chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 6},
        **{"usual": {"prompt": 772, "answer": 40}, "layers": _LAYERS},
        **{"layerMb": 1_000.0, "actBytes": 59_000, "pipeMbps": 11_000.0},
        "kinds": [{"name": "h100", "sizeMb": 12_000.0, "pace": 1.4, "readX": 1.0}],
    }
    found["services"].append(
        {
            **{"name": MODEL_SERVICE, "healthPath": "/health", "maxConns": 1_138},
            "engine": engine,
        }
    )
    return found


class Engine:
    """Serve streams on all layers; crash as an answer on one part begins."""

    def __init__(self, name, zone, rows, record, *, crashing_part, arrivals):
        self.name = name
        self._zone = zone
        self._rows = rows
        self._record = record
        self._crashing_part = crashing_part
        self._arrivals = arrivals
        """Times of requests with that part at all engines."""
        self._boots = 1
        self._port = 0

    async def start(self):
        """Listen at the same address as before, empty, and register."""
        self._born = time.time_ns() // 1_000_000
        self._orders = 0
        self._span = None
        self._loaded_at = 0.0
        self._writers = set()
        self._is_up = True
        self._server = await http.serve(self._handle, "127.0.0.1", self._port)
        self._port = http.get_port(self._server)
        asyncio.get_running_loop().create_task(self._beat(self.name))

    async def _beat(self, name):
        written = None
        while self._is_up and name == self.name:
            entry = {
                **{"service": MODEL_SERVICE, "address": f"127.0.0.1:{self._port}"},
                **{"zone": self._zone, "version": "v1", "slots": 96, "state": "ready"},
                **{"coldLeftMs": 0, "stage": "unified", "models": [], "seqNo": 1},
                **{"born": self._born, "kind": "h100", "layers": self._describe()},
            }
            if entry != written:
                written = entry
                self._rows.put("servers", name, entry)
            await asyncio.sleep(_BEAT_SECONDS)

    def _describe(self):
        if self._span is None or time.monotonic() < self._loaded_at:
            return None
        return {"from": self._span[0], "to": self._span[1], "version": 1}

    async def _handle(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await http.read_head(reader)) is not None:
                request = await http.read_body(reader, head)
                if not await self._answer(request, writer):
                    return
        finally:
            self._writers.discard(writer)

    async def _answer(self, request, writer):
        echo = [("X-Request-Id", request.get("x-request-id", ""))]
        status, body = 421, b""
        if request.get("x-expect-instance", self.name) == self.name:
            if request.target == "/v1/report":
                status, body = 200, json.dumps(self._report()).encode()
            elif request.target == "/v1/order":
                status, body = self._order(json.loads(request.body)), b"{}"
            elif self._describe() is not None:
                return await self._stream(request, writer, echo)
        writer.write(http.write_answer(status, echo, body))
        await writer.drain()
        return True

    def _report(self):
        return {
            **{"stage": "unified", "models": [], "seqNo": self._orders, "pace": 1.0},
            **{"busy": time.monotonic() < self._loaded_at, "born": self._born},
            **{"queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 9, "sessions": 0},
            **{"kind": "h100", "layers": self._describe(), "stalled": []},
        }

    def _order(self, order):
        if order["operation"] != "place":
            return 404
        if order.get("precondition", self._orders) != self._orders:
            return 409
        span = (order["from"], order["to"])
        if span == self._span:
            return 200
        self._orders += 1
        self._span = span
        seconds = _LOAD_SECONDS_PER_LAYER * (span[1] - span[0])
        self._loaded_at = time.monotonic() + seconds
        return 202

    async def _stream(self, request, writer, echo):
        identity = request.get("x-request-id", "")
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in echo]
        lines += [f"X-Server-Seal: {self.name}", "Transfer-Encoding: chunked", "", ""]
        parts = request.get("x-prompt-prefix", "").split(",")
        if self._crashing_part in (each.partition(":")[0] for each in parts):
            self._arrivals.append(time.monotonic())
            self._record.write("crash", request=identity, engine=self.name)
            writer.write("\r\n".join(lines).encode())
            await asyncio.sleep(_CRASH_DELAY_SECONDS)
            self._crash()
            return False
        self._record.write("run", request=identity, engine=self.name)
        writer.write("\r\n".join(lines).encode())
        events = int(request.get("x-token-count").split(",")[1]) // 2
        for number in range(int(request.get("last-event-id") or 0) + 1, events + 1):
            await asyncio.sleep(_EVENT_SECONDS)
            event = f"id: {number}\ndata: {identity} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _crash(self):
        if not self._is_up:
            return
        self._is_up = False
        self._server.close()
        for writer in list(self._writers):
            http.reset(writer)
        loop = asyncio.get_running_loop()
        # An engine that crashes sends nothing: its entry lapses.
        loop.call_later(_LAPSE_SECONDS, self._rows.put, "servers", self.name, None)
        loop.call_later(_BACK_AFTER_SECONDS, lambda: loop.create_task(self._return()))

    async def _return(self):
        self._boots += 1
        self.name = f"{self.name.split('-boot')[0]}-boot{self._boots}"
        await self.start()
