import random

import behave
import trio

from jujubepass import ids
from jujubepass.forwarding import admission, board, forwarder, measures
from jujubepass.platform import wire
from jujubepass.transport import _http_server
from tests import small_fleet

REQUEST = _http_server.Request(
    method="POST",
    path="/drafts/1",
    headers={"host": "desk.example", "x-key": "ana-key", "x-deadline-ms": "20000"},
    body=b"",
    peer="10.0.0.9",
)


class Responder:
    """Keep the refusals that are sent."""

    def __init__(self):
        self.started = False
        self.problems = []

    async def send_problem(self, status, code, detail, **options):
        self.problems.append((status, options["retry_after_seconds"]))


class Streams:
    """Count the requests that are served."""

    def __init__(self):
        self.served = 0

    async def serve(self, request, admitted, reply):
        self.served += 1


async def refresh(timeout_seconds):
    return None


@behave.given("a node that has no configuration yet")
def step_starting(context):
    context.board = board.Blackboard(
        node=ids.NodeId("n1"), failure_domain=ids.FailureDomainId("centro")
    )
    context.streams = Streams()
    context.forwarder = forwarder.Forwarder(
        blackboard=context.board,
        wire=wire.HttpWire(),
        admission_control=admission.Admission(
            blackboard=context.board, random_source=random.Random(1)
        ),
        services=None,
        streams=context.streams,
        guard=small_fleet.make_guard(context.board),
        measures=measures.Measures(),
        refresh_configuration=refresh,
    )


def configure(context):
    area = context.board.configuration
    area.declarations = small_fleet.make_declarations()
    area.confirmed_at = forwarder.clocks.read_boot_clock()


def send(context, count, seconds=None):
    responders = [Responder() for _ in range(count)]

    async def run():
        async with trio.open_nursery() as nursery:
            for each in responders:
                nursery.start_soon(context.forwarder, REQUEST, each)
            if seconds is not None:
                await trio.sleep(seconds)
                configure(context)

    trio.run(run)
    return responders


@behave.when("20 requests arrive, and the configuration 0.2 seconds later")
def step_configured(context):
    context.responders = send(context, 20, 0.2)


@behave.when("20 requests arrive, and no configuration comes")
def step_unconfigured(context):
    context.responders = send(context, 20)


@behave.when("a caller leaves 0.1 seconds before the configuration comes")
def step_leaves(context):
    async def run():
        with trio.move_on_after(0.1):
            await context.forwarder(REQUEST, Responder())
        await trio.sleep(0.1)
        configure(context)
        await trio.sleep(0.1)

    trio.run(run)


@behave.then("all of them are served")
def step_served(context):
    assert context.streams.served == 20, context.streams.served
    assert not any(each.problems for each in context.responders)


@behave.then(
    "all of them are refused with 503 and different retry times of 0.5 to 1.5 seconds"
)
def step_refused(context):
    assert context.streams.served == 0
    problems = [each.problems[0] for each in context.responders]
    assert {status for status, _ in problems} == {503}, problems
    times = [seconds for _, seconds in problems]
    assert len(set(times)) == len(times), times
    assert all(0.5 <= seconds <= 1.5 for seconds in times), times


@behave.then("nothing is served")
def step_nothing(context):
    assert context.streams.served == 0
