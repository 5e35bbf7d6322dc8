"""Steps for parts of prompts that crash engines, without a network or processes."""

import collections
import contextlib
import logging
import unittest.mock

import behave
import trio
import trio.testing

from jujubepass import ids
from jujubepass.forwarding import (
    admission,
    clocks,
    exchange,
    replies,
    sending,
    stream_exchange,
)
from jujubepass.limits import _retry_budget
from jujubepass.platform import wire
from jujubepass.transport import _http_server
from tests import quarantine_fleet, small_fleet


def read_parts(field):
    fields = (("x-prompt-prefix", field),) if field is not None else ()
    request = _http_server.Request(
        method="POST",
        path="/drafts/1",
        headers=dict(fields),
        fields=fields,
        body=b"",
        peer="",
    )
    return wire.HttpWire().read_request(request, 1.0).prompt_parts


@behave.then("these header fields give these parts")
def step_parts(context):
    for row in context.table:
        assert read_parts(row["field"]) == tuple(row["parts"].split()), row


@behave.then("a request without the field has no parts")
def step_no_parts(context):
    assert read_parts(None) == ()


@behave.then("no more than 64 parts of a longer prompt are read")
def step_many_parts(context):
    field = ",".join(f"p{number}:10" for number in range(1_000))
    assert read_parts(field) == tuple(f"p{number}" for number in range(64))


class Responder:
    """Accept an answer without a connection."""

    started = False

    async def start_fields(self, status, fields):
        self.started = True

    async def write(self, data):
        assert self.started

    async def send_problem(self, status, code, detail, **others):
        self.problem = status, code, others


class Stalls:
    """Watch streams without checking them."""

    @contextlib.contextmanager
    def watch(self, pipeline, request, timeouts, *, is_repeatable):
        yield small_fleet.make_watched_stream(pipeline, request, timeouts)

    def schedule_probe(self, engine):
        pass


class BreakingAnswer:
    """Deliver some events with growing ids, then break."""

    headers = {"transfer-encoding": "chunked"}

    def __init__(self, *, first, count):
        self.left = list(range(first, first + count))

    async def receive(self):
        if not self.left:
            raise sending.OutcomeUnknownError("connection broke")
        return f"id: {self.left.pop(0)}\ndata: x\n\n".encode()


class BreakingSender:
    """Run requests on engines that end after some events."""

    def __init__(self, *, events):
        self.events = events
        self.runs = []

    @contextlib.asynccontextmanager
    async def open(self, request, attempt, address):
        self.runs.append(attempt.backend)
        first = 1 + self.events * (len(self.runs) - 1)
        head = exchange.AnswerHead(kind=exchange.AnswerKind.RAN, status=200, fields=())
        yield head, BreakingAnswer(first=first, count=self.events)


def make_request(now, parts=()):
    return exchange.CallerRequest(
        request_id=ids.RequestId("r"),
        host=small_fleet.ROUTE.host,
        method="POST",
        target="/drafts/new",
        key="ana-key",
        arrived_at=now,
        timeout_seconds=20.0,
        resume_after=None,
        max_answer_tokens=10,
        fields=(),
        body=b"",
        prompt_parts=tuple(map(ids.PromptPartId, parts)),
    )


def make_streams(fleet, sender, **others):
    unlimited = _retry_budget.RetryBudgetBounds(capacity=1e9)
    return stream_exchange.StreamExchange(
        sender=sender,
        admission_control=admission.Admission(blackboard=fleet.blackboard),
        choice=fleet.choice,
        suspects=fleet.suspects,
        stalls=Stalls(),
        budgets=collections.defaultdict(
            lambda: _retry_budget.RetryBudget(bounds=unlimited)
        ),
        count_retry=lambda reason: None,
        observe_first_event=lambda seconds: None,
        **others,
    )


async def serve(fleet, streams, parts):
    """Serve one request with these parts; return its reply."""
    now = clocks.read_boot_clock()
    fleet.blackboard.configuration.confirmed_at = now + 30.0
    request = make_request(now, parts)
    admitted = streams.admission_control.admit(request, now)
    assert isinstance(admitted, exchange.Admitted), admitted
    reply = replies.Reply(request=request, wire=wire.HttpWire(), responder=Responder())
    await streams.serve(request, admitted, reply)
    return reply


def run(function):
    """Run an async function on a simulated clock that starts at the fleet's time."""
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    with unittest.mock.patch.object(clocks, "read_boot_clock", trio.current_time):
        return trio.run(function, clock=clock)


# Guards against log lines that do not tell a part that crashes engines from repeats of
# one request.
@behave.given("a stream whose engine ends after 1 event in each run")
def step_breaking(context):
    context.fleet = small_fleet.make_planned_fleet()
    context.sender = BreakingSender(events=1)


@behave.when("its request is served")
def step_serve(context):
    context.lines = []
    handler = logging.Handler()
    handler.emit = context.lines.append
    logger = logging.getLogger("jujubepass.forwarding.stream_exchange")
    logger.addHandler(handler)
    level, logger.level = logger.level, logging.INFO
    streams = make_streams(context.fleet, context.sender)
    try:
        run(lambda: serve(context.fleet, streams, ("a", "b")))
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)


@behave.then("each broken attempt is logged with its parts and 1 event")
def step_logged(context):
    ended = [each for each in context.lines if each.msg == "attempt ended"]
    assert len(ended) == len(context.sender.runs) >= 2, ended
    for number, line in enumerate(ended, 1):
        assert line.outcome == "broken", line.__dict__
        assert line.prompt_parts == "a,b", line.__dict__
        assert (line.run_events, line.events) == (1, number), line.__dict__


@behave.given("{count:d} simulated nodes")
def step_nodes(context, count):
    context.fleet = quarantine_fleet.Fleet(count=count)


def simulate(context, play):
    """Run a function of the fleet, which has started, on a simulated clock."""
    fleet = context.fleet

    async def main():
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            context.began = trio.current_time()
            await play(fleet, nursery)
            context.ended = trio.current_time()
            nursery.cancel_scope.cancel()

    quarantine_fleet.run_simulation(main)


def send_sound(fleet, nursery, seconds, rate=15.0, nodes=None):
    draw = quarantine_fleet.draw_sound
    nursery.start_soon(fleet.send, rate, seconds, draw, nodes)


# Guards against requests with one part in their prompts that crashed engine after
# engine, as nothing linked a crash to what the requests share.
@behave.when(
    "sound requests and {rate:g} a second with a bad part come at any of them for"
    " {seconds:g} seconds"
)
def step_bad_part(context, rate, seconds):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, seconds + 3.0)
        await trio.sleep(3.0)
        await fleet.send(rate, seconds, quarantine_fleet.make_bad())

    simulate(context, play)


@behave.then(
    "3 seconds after the fifth end no more than 3 requests with the bad part reach"
    " engines"
)
def step_bound(context):
    late = context.fleet.list_late("bad")
    assert len(late) <= quarantine_fleet.ALLOWED_REQUESTS_AFTER, (
        len(late),
        len(context.fleet.ends),
    )


# The rule allows half; undisturbed sound requests all begin here.
MIN_BEGUN_SHARE = 0.5


@behave.then("6 seconds after it sound requests begin as elsewhere")
def step_sound_after(context):
    start = context.fleet.find_deadline("bad") + quarantine_fleet.CONTACT_SECONDS
    share = context.fleet.share_begun(start, context.ended)
    assert share >= MIN_BEGUN_SHARE, share


@behave.when("a single request with a bad part comes")
def step_single(context):
    async def play(fleet, nursery):
        node = fleet.nodes[0]
        request = fleet._make_request(quarantine_fleet.make_bad()(fleet.random_source))
        reply = replies.Reply(
            request=request, wire=wire.HttpWire(), responder=Responder()
        )
        await fleet._serve(node, request, reply)
        context.reply = reply

    simulate(context, play)


@behave.then("it has ended no more than 2 engines")
def step_two_engines(context):
    assert 1 <= len(context.fleet.ends) <= 2, context.fleet.ends
    assert context.reply.reason == "outcome_unknown", context.reply
