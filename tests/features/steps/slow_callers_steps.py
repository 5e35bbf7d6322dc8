import contextlib

import behave
import trio

from jujubepass.forwarding import (
    clocks,
    engines,
    exchange,
    probing,
    replies,
    stall_watch,
)
from jujubepass.platform import wire
from tests.features.steps import quarantine_steps

EVENTS = 20
EVENT_SECONDS = 0.05
PAUSED_EVENT = 5


class Responder(quarantine_steps.Responder):
    """Collect an answer; the caller stops reading in the middle of one event."""

    def __init__(self, *, seconds):
        self.seconds = seconds
        self.received = b""
        self.has_ended = False

    async def write(self, data):
        middle = len(data) // 2
        self.received += data[:middle]
        if f"id: {PAUSED_EVENT}\n".encode() in data:
            await trio.sleep(self.seconds)
        self.received += data[middle:]

    async def finish(self):
        self.has_ended = True


class Answer:
    """Deliver events at a steady pace."""

    headers = {"transfer-encoding": "chunked"}

    def __init__(self, *, first):
        self.left = list(range(first, EVENTS + 1))

    async def receive(self):
        await trio.sleep(EVENT_SECONDS)
        return format_event(self.left.pop(0)) if self.left else b""


class Sender:
    """Run each request on its first engine."""

    def __init__(self):
        self.runs = 0

    @contextlib.asynccontextmanager
    async def open(self, request, attempt, address):
        self.runs += 1
        head = exchange.AnswerHead(kind=exchange.AnswerKind.RAN, status=200, fields=())
        yield head, Answer(first=1 + int(attempt.resume_after or 0))


class Control:
    """Report for engines that run well."""

    async def read_report(self, engine):
        await trio.sleep(0.001)
        return engines.EngineReport(
            started_at=engine.started_at,
            held=engine.held,
            is_busy=False,
            orders_begun=0,
            running=1,
            queued=0,
        )


def format_event(number):
    return f"id: {number}\ndata: x\n\n".encode()


async def read_slowly(fleet, sender, responder):
    prober = probing.Prober(
        blackboard=fleet.blackboard,
        suspects=fleet.suspects,
        control=Control(),
        slowdowns=fleet.slowdowns,
        signals=fleet.signals,
    )
    streams = quarantine_steps.make_streams(fleet, sender)
    streams.stalls = stall_watch.StallWatch(
        blackboard=fleet.blackboard, suspects=fleet.suspects, prober=prober, mover=None
    )
    now = clocks.read_boot_clock()
    fleet.blackboard.configuration.confirmed_at = now + 30.0
    request = quarantine_steps.make_request(now)
    admitted = streams.admission_control.admit(request, now)
    reply = replies.Reply(request=request, wire=wire.HttpWire(), responder=responder)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(streams.stalls.run)
        await streams.serve(request, admitted, reply)
        nursery.cancel_scope.cancel()


@behave.when("a caller stops reading for {seconds:d} seconds inside an event")
def step_stop_reading(context, seconds):
    context.sender, context.responder = Sender(), Responder(seconds=seconds)
    quarantine_steps.run(
        lambda: read_slowly(context.fleet, context.sender, context.responder)
    )


@behave.then("it receives each event once, whole and in order, from one run")
def step_whole(context):
    received = context.responder.received
    assert received == b"".join(map(format_event, range(1, EVENTS + 1))), received
    assert context.responder.has_ended
    assert context.sender.runs == 1, context.sender.runs
