"""Stand-in for the users' engines on paths, and for their plain services."""

import collections
import json
import time
import typing

import attrs
import cappa
import trio

from jujubepass.transport import _http_client, _http_server
from standins import knobs

_HEARTBEAT_SECONDS = 0.2
_EVENT_SECONDS = 0.02
_STALL_SECONDS = 1.0
_PART_SECONDS = 0.2

Responder = _http_server.Responder
Layers = tuple[int, int]
Part = tuple[str, int, int]


@attrs.define(kw_only=True)
class EngineKnobs:
    """Set an engine's faults; counted (1, 2, ...) or random shares."""

    state: str = "ready"
    layer_seconds: float = 0.02
    work_seconds: float = 0.01
    refuse: float = 0
    refuse_move: float = 0
    lose_answer: float = 0
    cut_event: float = 0
    fail: float = 0
    spoil: float = 0
    pretend_other: bool = False


@cappa.command(name="path-engine")
@attrs.define(kw_only=True)
class Arguments:
    """Run a stand-in of an engine, or of a plain service without a kind."""

    name: typing.Annotated[str, cappa.Arg(long=True)]
    service: typing.Annotated[str, cappa.Arg(long=True)]
    port: typing.Annotated[int, cappa.Arg(long=True)]
    store: typing.Annotated[int, cappa.Arg(long=True)]
    domain: typing.Annotated[str, cappa.Arg(long=True)] = "a"
    layers: typing.Annotated[int, cappa.Arg(long=True)] = 8
    host: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    kind: typing.Annotated[str | None, cappa.Arg(long=True)] = None


class Engine:
    """Serve requests, reports and orders."""

    def __init__(self, *, arguments: Arguments) -> None:
        self.settings = EngineKnobs()
        self._arguments = arguments
        self._client = _http_client.Client(connect_timeout_seconds=_PART_SECONDS)
        self._born = time.time_ns() // 1_000_000
        self._held: Layers | None = None
        self._kept: Layers | None = None
        self._passing: set[tuple[str, str]] = set()
        self._loading_until = 0.0
        self._orders = 0
        self._most_layers = 0
        self._runs: collections.Counter[str] = collections.Counter()
        self._bad_paths = 0
        self._stalled: dict[str, str] = {}
        self._paths: dict[str, list[Part]] = {}
        self._moves = 0
        self.server = _http_server.Server(handler=self.handle)

    async def handle(self, request: _http_server.Request, responder: Responder) -> None:
        """Serve one request."""
        if request.path == "/knobs":
            await knobs.serve_knobs(self.settings, request, responder)
        elif request.path == "/counts":
            counts = {
                "runs": dict(self._runs),
                "bad_paths": self._bad_paths,
                "most_layers": self._most_layers,
                "orders": self._orders,
                "moves": self._moves,
                "passed": sorted({request for request, _ in self._passing}),
                "connections": self.server.connections,
            }
            await responder.send_json(200, counts)
        elif request.path == "/v1/report":
            await responder.send_json(200, self._report())
        elif request.path == "/v1/order":
            await self._order(json.loads(request.body), responder)
        elif request.path.startswith("/part/"):
            part = request.path.removeprefix("/part/")
            passes = self._lets_pass(part, request.headers["x-request-id"])
            await responder.send_json(200 if passes else 503, {})
        else:
            await self._serve(request, responder)

    def _report(self) -> dict[str, typing.Any]:
        return {
            "kind": self._arguments.kind or "",
            "layers": self._describe_layers(),
            "busy": time.monotonic() < self._loading_until,
            "seqNo": self._orders,
            "born": self._born,
            "queued": 0,
            "running": 0,
            "stalled": [
                {"id": request, "address": address}
                for request, address in self._stalled.items()
            ],
        }

    def _describe_layers(self) -> dict[str, int] | None:
        held = self._held
        if time.monotonic() < self._loading_until:
            # What was held before and stays serves on while the rest loads.
            held = self._kept
        if held is None:
            return None
        return {"from": held[0], "to": held[1], "version": 1}

    def _holds(self, first: int, end: int) -> bool:
        held = self._describe_layers()
        return held is not None and held["from"] <= first and end <= held["to"]

    def _lets_pass(self, part: str, request_id: str) -> bool:
        """Tell whether a part is here; one that is given up waits for what it runs."""
        first, end = map(int, part.split("-"))
        if self._holds(first, end):
            self._passing.add((request_id, part))
        return (request_id, part) in self._passing

    async def _order(self, order: dict[str, typing.Any], responder: Responder) -> None:
        if order["operation"] == "repath":
            await self._move(order, responder)
            return
        if order.get("precondition", self._orders) != self._orders:
            await responder.send_json(409, {})
            return
        layers = (order["from"], order["to"])
        if layers == self._held:
            await responder.send_json(200, {})
            return
        self._orders += 1
        self._kept = _intersect(self._describe_layers(), layers)
        self._held = layers
        self._most_layers = max(self._most_layers, layers[1] - layers[0])
        seconds = self.settings.layer_seconds * (layers[1] - layers[0])
        self._loading_until = time.monotonic() + seconds
        await responder.send_json(202, {})

    async def _move(self, order: dict[str, typing.Any], responder: Responder) -> None:
        """Let a running request go on over another path from here."""
        request_id = order["id"]
        parts = [_read_part(text) for text in order["path"].split(",")]
        before = self._paths.get(request_id)
        if before is None:
            await responder.send_json(404, {})
            return
        if self._should("refuse_move"):
            await responder.send_json(409, {})
            return
        if not self._is_whole(parts) or parts[0] != before[0]:
            self._bad_paths += 1
        missing = await self._find_missing(parts, request_id)
        if missing is not None:
            await responder.send_json(409, {"address": missing})
            return
        self._moves += 1
        self._paths[request_id] = parts
        await responder.send_json(200, {})

    def _should(self, knob: str) -> bool:
        happens, left = knobs.should_happen(getattr(self.settings, knob), 1.0)
        setattr(self.settings, knob, left)
        return happens

    async def _serve(self, request: _http_server.Request, responder: Responder) -> None:
        request_id = request.headers["x-request-id"]
        own = self._arguments.name
        expected = request.headers.get("x-expect-instance", own)
        echo = [("x-request-id", request_id)]
        if expected != own or self.settings.pretend_other:
            await responder.send_fields(421, echo, b"")
            return
        if self._should("refuse"):
            refusal = [*echo, ("x-not-executed", "1")]
            await responder.send_fields(503, refusal, b"")
            return
        path = request.headers.get("x-hop-count")
        if path is not None:
            await self._stream(request, responder, path, echo)
            return
        self._runs[request_id] += 1
        await trio.sleep(self.settings.work_seconds)
        if self._should("lose_answer"):
            raise trio.BrokenResourceError
        status = 500 if self._should("fail") else 200
        sealed = [*echo, ("x-server-seal", own)]
        if self._should("spoil"):
            sealed = echo
        value = {
            "run": self._runs[request_id],
            "account": request.headers.get("x-tenant"),
            "key_seen": "x-key" in request.headers,
            "method": request.method,
            "path": request.path,
            "body": request.body.decode(),
        }
        await responder.send_fields(status, sealed, json.dumps(value).encode())

    async def _stream(
        self,
        request: _http_server.Request,
        responder: Responder,
        path: str,
        echo: list[tuple[str, str]],
    ) -> None:
        request_id = request.headers["x-request-id"]
        parts = [_read_part(text) for text in path.split(",")]
        if not self._is_whole(parts):
            self._bad_paths += 1
        missing = await self._find_missing(parts, request_id)
        if missing is not None:
            refusal = [*echo, ("x-not-executed", "1"), ("at-server", missing)]
            await responder.send_fields(503, refusal, b"")
            return
        self._runs[request_id] += 1
        sealed = [*echo, ("x-server-seal", self._arguments.name)]
        sealed.append(("content-type", "text/event-stream"))
        await responder.start_fields(200, sealed)
        tokens = int(request.headers["x-token-count"].partition(",")[2])
        last = int(request.headers.get("last-event-id", 0))
        self._paths[request_id] = parts
        try:
            await self._write_events(request_id, responder, last, tokens // 2)
        finally:
            del self._paths[request_id]
        await responder.finish()

    async def _write_events(
        self, request_id: str, responder: Responder, last: int, events: int
    ) -> None:
        for number in range(last + 1, events + 1):
            await self._wait_for_path(request_id)
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            if self._should("cut_event"):
                await responder.write(event[: len(event) // 2])
                raise trio.BrokenResourceError
            await responder.write(event)
            await trio.sleep(_EVENT_SECONDS)

    async def _wait_for_path(self, request_id: str) -> None:
        """Stall while a part is missing; break off after so long."""
        try:
            with trio.fail_after(_STALL_SECONDS):
                while missing := await self._find_missing(
                    self._paths[request_id], request_id
                ):
                    self._stalled[request_id] = missing
                    await trio.sleep(_EVENT_SECONDS)
        except trio.TooSlowError as error:
            raise trio.BrokenResourceError from error
        finally:
            self._stalled.pop(request_id, None)

    def _is_whole(self, parts: list[Part]) -> bool:
        """Tell whether parts run every layer once and in order, beginning here."""
        layer = 0
        for _, first, end in parts:
            if first != layer or end <= first:
                return False
            layer = end
        own = f"{self._arguments.host}:{self._arguments.port}"
        return layer == self._arguments.layers and parts[0][0] == own

    async def _find_missing(self, parts: list[Part], request_id: str) -> str | None:
        """Return the address of an engine that is not there with its part."""
        for address, first, end in parts:
            try:
                answer = await self._client.request(
                    "GET",
                    _http_client.parse_address(address),
                    f"/part/{first}-{end}",
                    headers={"x-request-id": request_id},
                    timeout_seconds=_PART_SECONDS,
                )
            except _http_client.ClientError:
                return address
            if answer.status != 200:
                return address
        return None

    async def beat(self) -> None:
        """List this engine again and again."""
        while True:
            try:
                await self._list()
            except _http_client.ClientError as error:
                print(f"store away: {error}", flush=True)
            await trio.sleep(_HEARTBEAT_SECONDS)

    async def _list(self) -> None:
        arguments = self._arguments
        entry = {
            "service": arguments.service,
            "address": f"{arguments.host}:{arguments.port}",
            "zone": arguments.domain,
            "version": "v1",
            "slots": 8,
            "state": self.settings.state,
            "born": self._born,
        }
        if arguments.kind:
            entry |= {"kind": arguments.kind, "layers": self._describe_layers()}
        await self._client.request(
            "PUT",
            _http_client.Address(host=arguments.host, port=arguments.store),
            f"/rows/servers/{arguments.name}",
            body=json.dumps(entry).encode(),
        )


def _intersect(held: dict[str, int] | None, layers: Layers) -> Layers | None:
    if held is None:
        return None
    first, end = max(held["from"], layers[0]), min(held["to"], layers[1])
    return (first, end) if first < end else None


def _read_part(text: str) -> Part:
    address, _, layers = text.partition("=")
    first, _, end = layers.partition("-")
    return address, int(first), int(end)


async def run(arguments: Arguments) -> None:
    """Serve until the process is ended."""
    engine = Engine(arguments=arguments)
    async with trio.open_nursery() as nursery:
        await nursery.start(engine.server.serve, arguments.host, arguments.port)
        nursery.start_soon(engine.beat)


def main() -> None:
    """Serve until the process is ended."""
    trio.run(run, cappa.parse(Arguments, completion=False))


if __name__ == "__main__":
    main()
