"""Engines of a simulated fleet, and how its nodes reach them."""

import contextlib
import types

import trio

from jujubepass import ids
from jujubepass.forwarding import backends, engines, exchange, pipelines, sending
from jujubepass.transport import _http_client
from tests import small_fleet

EVENT_SECONDS = 0.1
EVENTS = 20
WORK_SECONDS = 0.045
SLOTS = 6


class Engine:
    """Crash under some parts, and come back with a new start."""

    def __init__(self, *, number, service=small_fleet.SERVICE):
        self.service = service
        self.name = ids.BackendServerId(f"e{number}")
        self.address = _http_client.Address(host="10.0.0.1", port=8_000 + number)
        self.started_at = 1
        self.is_up = True

    def describe(self):
        return backends.Backend(
            name=self.name,
            service=self.service,
            address=self.address,
            failure_domain=ids.FailureDomainId("centro"),
            state=backends.BackendState.READY,
            started_at=self.started_at,
            held=backends.Span(first=0, end=small_fleet.MODEL.layers),
            slots=SLOTS,
        )


class Answer:
    """Deliver the events of one run while its engine lives."""

    headers = {"transfer-encoding": "chunked"}

    def __init__(self, *, fleet, engine, first):
        self.fleet, self.engine = fleet, engine
        self.started_at = engine.started_at
        self.resets = fleet.resets
        self.left = list(range(first, EVENTS + 1))

    async def receive(self):
        await trio.sleep(EVENT_SECONDS)
        is_same = self.engine.is_up and self.engine.started_at == self.started_at
        if not is_same or self.resets != self.fleet.resets:
            raise sending.OutcomeUnknownError("connection broke")
        if not self.left:
            return b""
        return f"id: {self.left.pop(0)}\ndata: x\n\n".encode()


class PlainAnswer:
    """Deliver the answer of a plain service while its server lives."""

    def __init__(self, *, fleet, engine, crashes):
        self.fleet, self.engine = fleet, engine
        self.crashes = crashes
        self.started_at = engine.started_at
        self.resets = fleet.resets
        self.left = [b"answer"]

    async def receive(self):
        if not self.left:
            return b""
        await trio.sleep(WORK_SECONDS)
        # A request that crashes its server has no answer before.
        while self.crashes and self.is_same():
            await trio.sleep(WORK_SECONDS)
        if not self.is_same() or self.resets != self.fleet.resets:
            raise sending.OutcomeUnknownError("connection broke")
        return self.left.pop()

    def is_same(self):
        return self.engine.is_up and self.engine.started_at == self.started_at


class Sender:
    """Send a node's attempts to the simulated engines."""

    def __init__(self, *, fleet, node):
        self.fleet, self.node = fleet, node

    @contextlib.asynccontextmanager
    async def open(self, request, attempt, address):
        engine = self.fleet.engines[attempt.backend]
        if self.node.is_cut_off:
            await trio.sleep(0.5)
            raise sending.NotRunError(detail="connecting timed out")
        if not engine.is_up:
            raise sending.NotRunError(detail="connection refused", has_ended=True)
        self.fleet.record_arrival(request, engine, self.node)
        if self.fleet.is_full:
            head = exchange.AnswerHead(
                kind=exchange.AnswerKind.NOT_RUN, status=503, fields=()
            )
            raise sending.NotRunError(detail="full", head=head)
        head = exchange.AnswerHead(kind=exchange.AnswerKind.RAN, status=200, fields=())
        if attempt.pipeline is None:
            crashes = self.fleet.find_cause(request) is not None
            yield head, PlainAnswer(fleet=self.fleet, engine=engine, crashes=crashes)
            return
        first = 1 + int(attempt.resume_after or 0)
        yield head, Answer(fleet=self.fleet, engine=engine, first=first)


class Control:
    """Report for engines that are up."""

    def __init__(self, *, fleet, node):
        self.fleet, self.node = fleet, node

    async def read_report(self, engine):
        await trio.sleep(0.001)
        found = self.fleet.engines[engine.name]
        if self.node.is_cut_off:
            await trio.sleep(1.0)
        if not found.is_up:
            raise engines.EngineEndedError("connection refused")
        return engines.EngineReport(
            started_at=found.started_at,
            held=None,
            is_busy=False,
            orders_begun=0,
            running=0,
            queued=0,
        )

    async def check_listening(self, server):
        await self.read_report(server)


class Choice:
    """Choose any engine that is not avoided, as a pipeline of its own."""

    def __init__(self, *, node, random_source):
        self.node, self.blackboard = node, node.blackboard
        self.random_source = random_source

    def choose(
        self,
        service,
        now,
        avoided=frozenset(),
        entries=None,
        *,
        closed=frozenset(),
        paced=frozenset(),
    ):
        found = [
            each
            for each in self.blackboard.backends.listed.values()
            if each.service == service.name
            and each.name not in avoided
            and (entries is None or each.name in entries)
            and each.name not in closed
            and not self.node.suspects.is_suspected(each.name, now)
        ]
        if not found:
            return None
        engine = self.random_source.choice(found)
        stage = pipelines.Stage(
            engine=engine.name, address=engine.address, span=engine.held
        )
        return pipelines.Pipeline(stages=(stage,), step_seconds=0.01)

    def filter_listed(self, entries):
        listed = self.blackboard.backends.listed
        return {
            name
            for name, started_at in entries.items()
            if name in listed and listed[name].started_at == started_at
        }

    def find_end_of_silence(self, service, now):
        return None

    # Nodes of these fleets share no view.
    running = types.MappingProxyType({})

    def record_arrival(self, service, priority):
        pass

    def record_start(self, pipeline):
        pass

    def record_spill(self, pipeline, now):
        pass

    def record_full(self, engine, now):
        pass

    def record_prefilled(self, pipeline):
        pass

    def record_end(self, pipeline, *, was_prefilled):
        pass


class Stalls:
    """Watch streams without checking them, and probe engines."""

    def __init__(self, *, node):
        self.node = node

    @contextlib.contextmanager
    def watch(self, pipeline, request, timeouts, *, is_repeatable):
        yield small_fleet.make_watched_stream(pipeline, request, timeouts)

    def schedule_probe(self, engine):
        if self.node.prober.may_probe(engine):
            self.node.nursery.start_soon(self.node.prober.probe, engine)
