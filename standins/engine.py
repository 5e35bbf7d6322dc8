"""Stand-in for model engines, one or more in a process."""

import json
import logging
import typing
import urllib.parse

import attrs
import cappa
import trio

from jujubepass.transport import _http_client, _http_server, _rejections
from standins import (
    accelerators,
    engine_state,
    generation,
    knobs,
    orders,
    stages,
)

_LIMITS = _http_server.ServerLimits(connections=5_000, body_bytes=4 * 1024 * 1024)
_NO_SUCH_PATH = _rejections.RejectedInputError(
    status=404, code="not_found", detail="See docs/interfaces.md for the paths."
)
_REFUSAL_STATUS = {"old_epoch": 409}

Responder = _http_server.Responder


class Engine:
    """Serve the HTTP interface of one engine."""

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        runner: stages.StageRunner,
        generator: generation.Generator,
        order_executor: orders.OrderExecutor,
    ) -> None:
        self.state = state
        self._runner = runner
        self._generator = generator
        self._orders = order_executor

    async def handle(self, request: _http_server.Request, responder: Responder) -> None:
        """Serve one request."""
        path, _, query_text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == "/knobs":
            await self._serve_knobs(request, responder)
        elif path == "/counts":
            await responder.send_json(200, self._read_counts(query))
        elif not self.state.knobs.down:
            await self.state.wait_unfrozen()
            try:
                await self._serve(path, query, request, responder)
            except engine_state.WorkRefusedError as error:
                await self._refuse(error.reason, responder)

    async def _serve(
        self,
        path: str,
        query: dict[str, str],
        request: _http_server.Request,
        responder: Responder,
    ) -> None:
        if path == "/generate":
            await self._generator.generate(request.body, responder)
        elif path == "/stage":
            step = stages.Step(**json.loads(request.body))
            result = await self._runner.run(step)
            await responder.send_json(200, attrs.asdict(result))
        elif request.method == "POST":
            await self._serve_post(path, json.loads(request.body), responder)
        else:
            await responder.send_json(200, self._read(path, query))

    async def _serve_post(
        self, path: str, body: dict[str, typing.Any], responder: Responder
    ) -> None:
        status = 200
        answer: dict[str, typing.Any] = {}
        if path == "/cancel":
            self.state.cancel_epochs(body["request"], body["epoch"])
            self._generator.cancel(body["request"], body["epoch"])
        elif path == "/stage/end":
            self._runner.end(body["request"], body["epoch"])
        elif path == "/kv/release":
            self.state.kv.release(body["request"])
        elif path == "/orders":
            status, answer = self._orders.handle_order(body)
        else:
            raise _NO_SUCH_PATH
        await responder.send_json(status, answer)

    def _read(self, path: str, query: dict[str, str]) -> dict[str, typing.Any]:
        if path == "/load":
            return self.state.report_load()
        if path == "/cache/events":
            delay = self.state.knobs.cache_event_delay_seconds
            until = trio.current_time() - delay
            return self.state.prefixes.list_events(int(query.get("after", "0")), until)
        if path == "/state":
            return self._orders.describe_state()
        if path.startswith("/kv/"):
            return self._read_kv(path.removeprefix("/kv/"), query)
        raise _NO_SUCH_PATH

    def _read_kv(self, request: str, query: dict[str, str]) -> dict[str, typing.Any]:
        cache = self.state.kv.get(request)
        first, end = int(query["first_layer"]), int(query["end_layer"])
        if cache is None or not self.state.actual.covers(first, end):
            raise _NO_SUCH_PATH
        return {"engine": self.state.name, "tokens": cache.tokens}

    def _read_counts(self, query: dict[str, str]) -> dict[str, typing.Any]:
        counts = attrs.asdict(self.state.counts)
        counts["steps"] = self.state.batcher.steps
        if query.get("runs") != "0":
            counts["runs"] = self.state.runs
        return counts

    async def _refuse(self, reason: str, responder: Responder) -> None:
        self.state.counts.refused[reason] += 1
        body = json.dumps({"error": reason}).encode()
        status = _REFUSAL_STATUS.get(reason, 503)
        await responder.send(status, body, headers={"retry-after": "1"})

    async def _serve_knobs(
        self, request: _http_server.Request, responder: Responder
    ) -> None:
        was_down, was_leaving = self.state.knobs.down, self.state.knobs.leaving
        await knobs.serve_knobs(self.state.knobs, request, responder)
        if self.state.knobs.down and not was_down:
            self.state.reset()
        if self.state.knobs.leaving != was_leaving:
            is_leaving = self.state.knobs.leaving
            self.state.leaving_since = trio.current_time() if is_leaving else None


@attrs.frozen(kw_only=True)
class EngineSpec:
    """Describe one engine of this process."""

    name: str
    port: int
    first_layer: int
    end_layer: int
    accelerator: str


def parse_spec(text: str) -> EngineSpec:
    """Parse an engine given as NAME:PORT:FIRST:END:ACCELERATOR."""
    name, port, first, end, accelerator = text.split(":")
    return EngineSpec(
        name=name,
        port=int(port),
        first_layer=int(first),
        end_layer=int(end),
        accelerator=accelerator,
    )


@cappa.command(name="engine")
@attrs.define(kw_only=True)
class Arguments:
    """Run engine stand-ins.

    Speeds that are not given are those of the engine's accelerator kind.
    """

    engine: typing.Annotated[list[str], cappa.Arg(long=True)]
    peer: typing.Annotated[list[str], cappa.Arg(long=True)] = attrs.field(factory=list)
    model: typing.Annotated[str, cappa.Arg(long=True)] = "stairs-32"
    version: typing.Annotated[str, cappa.Arg(long=True)] = "1"
    host: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    step_seconds: typing.Annotated[float | None, cappa.Arg(long=True)] = None
    max_batch: typing.Annotated[int | None, cappa.Arg(long=True)] = None
    prefill_tokens_per_second: typing.Annotated[float | None, cappa.Arg(long=True)] = (
        None
    )
    kv_tokens: typing.Annotated[int | None, cappa.Arg(long=True)] = None
    checks_fencing: typing.Annotated[bool, cappa.Arg(long=True)] = False
    weights: typing.Annotated[str | None, cappa.Arg(long=True)] = None


def _make_state(
    spec: EngineSpec, arguments: Arguments, peers: dict[str, str]
) -> engine_state.EngineState:
    kind = accelerators.KINDS[spec.accelerator]
    speeds = attrs.asdict(kind)
    for name in speeds:
        override = getattr(arguments, name)
        if override is not None:
            speeds[name] = override
    settings = engine_state.EngineKnobs(
        **speeds, checks_fencing=arguments.checks_fencing
    )
    actual = engine_state.Deployment(
        model=arguments.model,
        version=arguments.version,
        first_layer=spec.first_layer,
        end_layer=spec.end_layer,
    )
    return engine_state.EngineState(
        name=spec.name,
        accelerator=spec.accelerator,
        actual=actual,
        knobs=settings,
        peers=peers,
    )


async def serve(arguments: Arguments) -> None:
    """Serve all engines of this process until it is terminated."""
    specs = [parse_spec(text) for text in arguments.engine]
    peers = {spec.name: spec.accelerator for spec in specs}
    for text in arguments.peer:
        name, _, accelerator = text.partition(":")
        peers[name] = accelerator
    weights = None
    if arguments.weights:
        weights = _http_client.parse_address(arguments.weights)
    client = _http_client.Client()
    local: dict[str, stages.StageRunner] = {}
    async with trio.open_nursery() as nursery:
        for spec in specs:
            state = _make_state(spec, arguments, peers)
            runner = stages.StageRunner(state=state, client=client)
            local[f"{arguments.host}:{spec.port}"] = runner
            generator = generation.Generator(
                state=state, client=client, local=local, nursery=nursery
            )
            order_executor = orders.OrderExecutor(
                state=state, nursery=nursery, client=client, weights=weights
            )
            engine = Engine(
                state=state,
                runner=runner,
                generator=generator,
                order_executor=order_executor,
            )
            server = _http_server.Server(handler=engine.handle, limits=_LIMITS)
            nursery.start_soon(state.batcher.run_steps)
            nursery.start_soon(state.record_snapshots)
            nursery.start_soon(server.serve, arguments.host, spec.port)


def main() -> None:
    """Serve until the process is terminated."""
    arguments = cappa.parse(Arguments, completion=False)
    logging.basicConfig(level=logging.INFO)
    trio.run(serve, arguments)


if __name__ == "__main__":
    main()
