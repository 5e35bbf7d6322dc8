"""Steps for parts of prompts that crash engines, without a network or processes."""

import collections
import contextlib
import json
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
from jujubepass.quarantine import rows, suspects
from jujubepass.transport import _http_server
from tests import small_fleet


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


@behave.then("all 900 parts but the last of a longer prompt are read")
def step_many_parts(context):
    field = ",".join(f"p{number}:10" for number in range(900))
    assert read_parts(field) == tuple(f"p{number}" for number in range(899))


class Responder:
    """Accept an answer without a connection."""

    started = False

    async def start_fields(self, status, fields):
        self.started = True

    async def write(self, data):
        assert self.started

    async def finish(self):
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
    """Deliver some events with growing ids, then break or end."""

    headers = {"transfer-encoding": "chunked"}

    def __init__(self, *, first, count, breaks):
        self.left = list(range(first, first + count))
        self.breaks = breaks

    async def receive(self):
        if not self.left and self.breaks:
            raise sending.OutcomeUnknownError("connection broke")
        if not self.left:
            return b""
        return f"id: {self.left.pop(0)}\ndata: x\n\n".encode()


class BreakingSender:
    """Run requests on engines, the first of which end after some events."""

    def __init__(self, *, events, breaks):
        self.events = events
        self.breaks = breaks
        self.runs = []

    @contextlib.asynccontextmanager
    async def open(self, request, attempt, address):
        self.runs.append(attempt.backend)
        first = 1 + self.events * (len(self.runs) - 1)
        head = exchange.AnswerHead(kind=exchange.AnswerKind.RAN, status=200, fields=())
        breaks = len(self.runs) <= self.breaks
        yield head, BreakingAnswer(first=first, count=self.events, breaks=breaks)


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
    own_guard = small_fleet.make_guard(fleet.blackboard)
    return stream_exchange.StreamExchange(
        sender=sender,
        admission_control=admission.Admission(blackboard=fleet.blackboard),
        choice=fleet.choice,
        claims=small_fleet.make_claims(
            fleet.blackboard, fleet.choice, own_guard, fleet.limits
        ),
        suspects=fleet.suspects,
        stalls=Stalls(),
        guard=own_guard,
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


@behave.given("a stream whose engine ends after 1 event in each of {count:d} runs")
def step_breaking(context, count):
    context.fleet = small_fleet.make_planned_fleet()
    context.sender = BreakingSender(events=1, breaks=count)


@behave.when("its request is served")
def step_serve(context):
    context.lines = []
    handler = logging.Handler()
    handler.emit = context.lines.append
    logger = logging.getLogger("jujubepass.forwarding")
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
    assert len(ended) == context.sender.breaks == len(context.sender.runs) - 1, ended
    for number, line in enumerate(ended, 1):
        assert line.outcome == "broken", line.__dict__
        assert line.prompt_parts == "a,b", line.__dict__
        assert (line.run_events, line.events) == (1, number), line.__dict__


@behave.given("8 ends under each of two parts, and 9 of them under a third one")
def step_two_bad(context):
    common = (*range(6), 8, 9, 10)
    context.records = [
        make_record(part, numbers)
        for part, numbers in (("a", range(8)), ("b", range(8, 16)), ("c", common))
    ]


@behave.given(
    "10 ends under a part, and half of them under each of two that have 2 other ends"
)
def step_other_ends(context):
    context.records = [
        make_record("a", range(10)),
        make_record("b", (*range(5), 10, 11)),
        make_record("c", (*range(5, 10), 12, 13)),
    ]


def make_record(part, numbers):
    key = suspects.PartKey(service="drafts", part=part)
    ended = {suspects.ServerRun(server=f"e{n}", started_at=1): 1.0 for n in numbers}
    return suspects.Record(
        row=suspects.make_absent_row(key),
        ended=ended,
        depth=1,
        changed_at=1.0,
        trials_seen_at=1.0,
    )


@behave.then("only the first part is in quarantine")
def step_blamed_alone(context):
    found = suspects.find_culprits(context.records)
    assert {key.part for key in found} == {"a"}, found


@behave.then("the first two are in quarantine")
def step_blamed(context):
    found = suspects.find_culprits(context.records)
    assert {key.part for key in found} == {"a", "b"}, found


def make_suspected():
    key = suspects.PartKey(service="drafts", part="a/b")
    ended = {suspects.ServerRun(server=f"e{n}", started_at=n) for n in range(5)}
    return suspects.Suspect(
        key=key, version=7, ended=frozenset(ended), depth=3, trials=2
    )


@behave.then("a suspected part is read as written")
def step_rows(context):
    row = make_suspected()
    write = suspects.SuspectWrite(key=row.key, version=7, row=row)
    command = rows.write_suspects("o", [write])
    assert [(c.key, c.version) for c in command.conditions] == [("drafts/a/b", 7)]
    value = json.loads(json.dumps(command.writes[0].value))
    assert rows.read_suspect("drafts/a/b", 7, value) == row


@behave.then("rows that hold no valid part are rejected")
def step_bad_rows(context):
    sound = {"ended": [["e1", 1]], "depth": 1, "trials": 0}
    bad = [("drafts", sound), ("drafts/", sound)]
    for name in sound:
        rest = {key: value for key, value in sound.items() if key != name}
        bad += [("drafts/a", rest), ("drafts/a", {**sound, name: "x"})]
    bad += [("drafts/a", 3), ("drafts/a", None), ("drafts/a", [])]
    bad += [("drafts/a", {**sound, "ended": [["e1"]]})]
    for key, value in bad:
        try:
            found = rows.read_suspect(key, 1, value)
        except rows.SuspectRowError:
            continue
        raise AssertionError((key, value, found))
