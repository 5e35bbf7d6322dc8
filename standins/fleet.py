"""Stand-in for many engines in one process, cheap enough to load-test nodes."""

import collections
import json
import logging
import typing

import attrs
import cappa
import trio

from jujubepass.transport import _http_server, _rejections

MODEL = "stairs-32"
LAYERS = 32

_LIMITS = _http_server.ServerLimits(
    connections=20_000, body_bytes=4 * 1024 * 1024, idle_timeout_seconds=600.0
)
_NDJSON = {"content-type": "application/x-ndjson", "transfer-encoding": "chunked"}
_NO_SUCH_PATH = _rejections.RejectedInputError(
    status=404, code="not_found", detail="A fleet serves load, cache and generate."
)
_REGIONS = 9
_FAILURE_DOMAINS = 34
_MAX_BATCH = 512

Responder = _http_server.Responder


@attrs.frozen(kw_only=True)
class Member:
    """Describe one engine of the fleet."""

    name: str
    port: int
    first_layer: int
    end_layer: int
    region: str
    failure_domain: str


def list_members(count: int, first_port: int, stages: int = 2) -> list[Member]:
    """Return engines spread round-robin over layers, regions and failure domains."""
    span = LAYERS // stages
    return [
        Member(
            name=f"fleet-{index}",
            port=first_port + index,
            first_layer=index % stages * span,
            end_layer=(index % stages + 1) * span,
            region=f"region-{index % _REGIONS}",
            failure_domain=f"domain-{index % _FAILURE_DOMAINS}",
        )
        for index in range(count)
    ]


def describe_vm(member: Member, host: str = "127.0.0.1") -> dict[str, typing.Any]:
    """Return an engine's row of the platform's VM list."""
    return {
        "name": member.name,
        "role": "engine",
        "address": f"{host}:{member.port}",
        "region": member.region,
        "failure_domain": member.failure_domain,
        "state": "live",
        "properties": {"accelerator": "a100", "checks_fencing": False},
    }


@attrs.define(kw_only=True)
class FleetEngine:
    """Serve one engine that sends tokens at a fixed rate."""

    member: Member
    token_seconds: float
    counts: collections.Counter[str]
    running: int = 0

    async def handle(self, request: _http_server.Request, responder: Responder) -> None:
        """Serve one request."""
        path = request.path.partition("?")[0]
        self.counts[path] += 1
        if path == "/load":
            await responder.send_json(200, self._report_load())
        elif path == "/cache/events":
            await responder.send(200, b'{"events": [], "next": 0}')
        elif path == "/generate":
            await self._generate(json.loads(request.body), responder)
        elif path in ("/cancel", "/kv/release"):
            await responder.send(200, b"{}")
        elif path == "/counts":
            await responder.send_json(200, self.counts)
        else:
            raise _NO_SUCH_PATH

    def _report_load(self) -> dict[str, typing.Any]:
        return {
            "engine": self.member.name,
            "incarnation": f"{self.member.name}-1",
            "model": MODEL,
            "version": "1",
            "first_layer": self.member.first_layer,
            "end_layer": self.member.end_layer,
            "accelerator": "a100",
            "running": self.running,
            "waiting": 0,
            "max_batch": _MAX_BATCH,
            "step_seconds": self.token_seconds,
            "prefill_tokens_per_second": 100_000.0,
            "kv_free_tokens": 1_000_000,
            "leaving": False,
            "as_of_seconds_ago": 0.0,
            "links": {},
        }

    async def _generate(
        self, generation: dict[str, typing.Any], responder: Responder
    ) -> None:
        receipts = [
            [stage["engine"], stage["first_layer"], stage["end_layer"]]
            for stage in generation["stages"]
        ]
        head = json.dumps(
            {"request": generation["request"], "epoch": generation["epoch"]}
        )[:-1]
        tail = json.dumps(receipts)
        await responder.start(200, _NDJSON)
        next_token_at = trio.current_time()
        self.running += 1
        try:
            for position in range(len(generation["sent"]), generation["max_tokens"]):
                next_token_at += self.token_seconds
                await trio.sleep_until(next_token_at)
                line = (
                    f', "position": {position}, "token": "word", "receipts": {tail}}}'
                )
                await responder.write((head + line + "\n").encode())
            await responder.write((head + ', "end": "length"}\n').encode())
            await responder.finish()
        finally:
            self.running -= 1


@cappa.command(name="fleet")
@attrs.define(kw_only=True)
class Arguments:
    """Run many engines in one process."""

    count: typing.Annotated[int, cappa.Arg(long=True)]
    first_port: typing.Annotated[int, cappa.Arg(long=True)]
    stages: typing.Annotated[int, cappa.Arg(long=True)] = 2
    token_seconds: typing.Annotated[float, cappa.Arg(long=True)] = 0.03
    host: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"


async def serve(arguments: Arguments) -> None:
    """Serve all engines until the process is terminated."""
    counts: collections.Counter[str] = collections.Counter()
    members = list_members(arguments.count, arguments.first_port, arguments.stages)
    async with trio.open_nursery() as nursery:
        for member in reversed(members):
            engine = FleetEngine(
                member=member, token_seconds=arguments.token_seconds, counts=counts
            )
            server = _http_server.Server(handler=engine.handle, limits=_LIMITS)
            await nursery.start(server.serve, arguments.host, member.port)


def main() -> None:
    """Serve until the process is terminated."""
    arguments = cappa.parse(Arguments, completion=False)
    logging.basicConfig(level=logging.INFO)
    trio.run(serve, arguments)


if __name__ == "__main__":
    main()
