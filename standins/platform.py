"""Stand-in for the platform: table, object store, weight store and VM list."""

import collections.abc
import copy
import hashlib
import json
import logging
import random
import typing
import urllib.parse

import attrs
import cappa
import trio

from jujubepass.transport import _http_server, _rejections
from standins import knobs, rates, table

_MAX_WAIT_SECONDS = 1.0
_MAX_OBJECT_BYTES = 64 * 1024 * 1024
_LIMITS = _http_server.ServerLimits(body_bytes=_MAX_OBJECT_BYTES, connections=5_000)
_MAX_VM_SNAPSHOTS = 1_000
_NO_SUCH_PATH = _rejections.RejectedInputError(
    status=404, code="not_found", detail="See docs/interfaces.md for the paths."
)

Responder = _http_server.Responder
Rows = dict[str, typing.Any]


@attrs.define(kw_only=True)
class PlatformKnobs:
    """Configure the platform's faults and rates."""

    table_down: bool = False
    table_hang: bool = False
    table_delay_seconds: float = 0.0
    lose_answers: float = 0
    lose_before_effect: float = 0
    seed: int = 1
    objects_down: bool = False
    weights_bytes: int = 2_000_000_000
    weights_bytes_per_second: float = 1_000_000_000.0
    vms_down: bool = False
    vm_list_lag_seconds: float = 0.0
    transactions_per_second: float = 500.0
    reads_per_second: float = 2_000.0


class Platform:
    """Serve the platform's HTTP interfaces."""

    def __init__(self, *, settings: PlatformKnobs) -> None:
        self.settings = settings
        self.table = table.Table()
        self._objects: dict[str, bytes] = {}
        self._vms: dict[str, Rows] = {}
        self._vm_snapshots: list[tuple[float, dict[str, Rows]]] = []
        self._random = random.Random(settings.seed)
        self._transaction_rate = rates.RateLimit(max_wait_seconds=_MAX_WAIT_SECONDS)
        self._read_rate = rates.RateLimit(max_wait_seconds=_MAX_WAIT_SECONDS)
        self._weight_rate = rates.RateLimit(max_wait_seconds=0.0)
        self._counts = dict.fromkeys(
            (
                *("transactions", "conflicts", "writes", "reads", "scans", "refused"),
                *("vm_lists", "vm_lists_unchanged"),
            ),
            0,
        )

    async def handle(self, request: _http_server.Request, responder: Responder) -> None:
        """Serve one request."""
        path, _, query = request.path.partition("?")
        area = path.split("/")[1]
        if area == "knobs":
            seed = self.settings.seed
            await knobs.serve_knobs(self.settings, request, responder)
            if self.settings.seed != seed:
                self._random.seed(self.settings.seed)
        elif area == "counts":
            await responder.send_json(200, self._counts)
        elif area == "table":
            await self._serve_table(path, query, request.body, responder)
        elif area == "objects":
            await self._serve_objects(path, request, responder)
        elif area == "weights":
            await self._serve_weights(responder)
        elif area == "vms":
            await self._serve_vms(path, request, responder)
        else:
            raise _NO_SUCH_PATH

    async def _serve_table(
        self, path: str, query: str, body: bytes, responder: Responder
    ) -> None:
        if self.settings.table_hang:
            await trio.sleep_forever()
        await trio.sleep(self.settings.table_delay_seconds)
        if self.settings.table_down:
            await self._refuse(responder)
        elif path == "/table/transact":
            await self._transact(json.loads(body), responder)
        elif path == "/table/read":
            await self._read(json.loads(body)["keys"], responder)
        elif path == "/table/scan":
            await self._scan(urllib.parse.parse_qs(query), responder)
        else:
            raise _NO_SUCH_PATH

    async def _transact(self, transaction: Rows, responder: Responder) -> None:
        conditions = transaction.get("conditions", [])
        writes = transaction.get("writes", [])
        table.check_sizes(conditions, writes)
        per_second = self.settings.transactions_per_second
        if not await self._transaction_rate.acquire(per_second):
            await self._refuse(responder)
            return
        if self._draw_fault("lose_before_effect"):
            return
        conflicts, versions = self.table.transact(conditions, writes)
        self._counts["transactions"] += 1
        self._counts["conflicts" if conflicts else "writes"] += 1
        if self._draw_fault("lose_answers"):
            return
        if conflicts:
            await responder.send_json(409, {"conflicts": conflicts})
        else:
            await responder.send_json(200, {"versions": versions})

    async def _read(self, keys: list[str], responder: Responder) -> None:
        table.check_sizes(keys, [])
        if not await self._read_rate.acquire(self.settings.reads_per_second):
            await self._refuse(responder)
            return
        self._counts["reads"] += 1
        await responder.send_json(200, {"rows": self.table.read(keys)})

    async def _scan(self, query: dict[str, list[str]], responder: Responder) -> None:
        if not await self._read_rate.acquire(self.settings.reads_per_second):
            await self._refuse(responder)
            return
        self._counts["scans"] += 1
        rows, more = self.table.scan(
            query.get("prefix", [""])[0],
            query.get("after", [""])[0],
            int(query.get("limit", ["100"])[0]),
        )
        await responder.send_json(200, {"rows": rows, "more": more})

    def _draw_fault(self, knob: str) -> bool:
        knob_value = getattr(self.settings, knob)
        happens, knob_value = knobs.draw_fault(knob_value, self._random.random())
        setattr(self.settings, knob, knob_value)
        return happens

    async def _refuse(self, responder: Responder) -> None:
        self._counts["refused"] += 1
        await responder.send_json(503, {"error": "unavailable"})

    async def _serve_objects(
        self, path: str, request: _http_server.Request, responder: Responder
    ) -> None:
        name = path.removeprefix("/objects/")
        if self.settings.objects_down:
            await self._refuse(responder)
        elif request.method == "PUT":
            self._objects[name] = request.body
            await responder.send(200, b"{}")
        elif request.method == "DELETE":
            self._objects.pop(name, None)
            await responder.send(200, b"{}")
        elif name in self._objects:
            octets = "application/octet-stream"
            await responder.send(200, self._objects[name], content_type=octets)
        else:
            raise _NO_SUCH_PATH

    async def _serve_weights(self, responder: Responder) -> None:
        size = self.settings.weights_bytes
        per_second = self.settings.weights_bytes_per_second
        if await self._weight_rate.acquire(per_second, size):
            await responder.send_json(200, {"bytes": size})
            return
        body = json.dumps({"error": "rate_limited"}).encode()
        await responder.send(429, body, headers={"retry-after": "1"})

    async def _serve_vms(
        self, path: str, request: _http_server.Request, responder: Responder
    ) -> None:
        name = path.removeprefix("/vms").strip("/")
        if request.method == "GET":
            await self._send_vms(request, responder)
            return
        if request.method == "PUT" and not name:
            self._vms |= {vm["name"]: vm for vm in json.loads(request.body)["vms"]}
        elif request.method == "PUT":
            self._vms[name] = {**json.loads(request.body), "name": name}
        else:
            self._vms.pop(name, None)
        snapshot = (trio.current_time(), copy.deepcopy(self._vms))
        self._vm_snapshots = [*self._vm_snapshots[-_MAX_VM_SNAPSHOTS:], snapshot]
        await responder.send(200, b"{}")

    async def _send_vms(
        self, request: _http_server.Request, responder: Responder
    ) -> None:
        if self.settings.vms_down:
            await self._refuse(responder)
            return
        lag = self.settings.vm_list_lag_seconds
        as_of = trio.current_time() - lag
        listed: collections.abc.Iterable[Rows] = ()
        for changed_at, vms in self._vm_snapshots:
            if changed_at <= as_of:
                listed = vms.values()
        answer = json.dumps({"vms": list(listed), "as_of_seconds_ago": lag}).encode()
        etag = f'"{hashlib.sha256(answer).hexdigest()[:16]}"'
        headers = {"etag": etag, "age": f"{lag:g}"}
        if request.headers.get("if-none-match") == etag:
            self._counts["vm_lists_unchanged"] += 1
            await responder.start(304, headers)
            await responder.finish()
        else:
            self._counts["vm_lists"] += 1
            await responder.send(200, answer, headers=headers)


@cappa.command(name="platform")
@attrs.define(kw_only=True)
class Arguments:
    """Run a stand-in for the platform."""

    port: typing.Annotated[int, cappa.Arg(long=True)]
    host: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"


def main() -> None:
    """Serve until the process is terminated."""
    arguments = cappa.parse(Arguments, completion=False)
    logging.basicConfig(level=logging.INFO)
    platform = Platform(settings=PlatformKnobs())
    server = _http_server.Server(handler=platform.handle, limits=_LIMITS)
    trio.run(server.serve, arguments.host, arguments.port)


if __name__ == "__main__":
    main()
