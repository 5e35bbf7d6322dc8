import collections
import concurrent.futures
import contextlib
import itertools

import attrs
import behave
import trio
import trio.testing

from jujubepass import ids
from jujubepass.capacity import own_use
from jujubepass.forwarding import (
    admission,
    clocks,
    exchange,
    replies,
    sending,
    stream_exchange,
)
from jujubepass.limits import _retry_budget
from standins import forwarding_system, processes
from tests import small_fleet

MIN_RETRY_DELAY_SECONDS = 0.05


class RefusingSender:
    """Send one event of a stream, break it off and refuse every resumption."""

    def __init__(self):
        self.attempts = []
        self.refusal = exchange.AnswerHead(
            kind=exchange.AnswerKind.NOT_RUN, status=503, fields=()
        )

    @contextlib.asynccontextmanager
    async def open(self, request, attempt, address):
        self.attempts.append(trio.current_time())
        await trio.sleep(0.001)
        if len(self.attempts) > 1:
            raise sending.NotRunError(
                detail=f"answered {self.refusal.status}", head=self.refusal
            )
        yield (
            exchange.AnswerHead(kind=exchange.AnswerKind.RAN, status=200, fields=()),
            OneEvent(),
        )


class OneEvent:
    """Yield one event and then break off."""

    def __init__(self):
        self._chunks = [b"id: 1\ndata: x\n\n"]

    async def receive(self):
        if self._chunks:
            return self._chunks.pop()
        raise sending.OutcomeUnknownError("connection broke")


class FullEngines(own_use.NoRecorder):
    """Keep the engines that rejected a request, and the priorities of arrivals."""

    def __init__(self):
        self.engines = []
        self.arrivals = []

    def record_arrival(self, priority):
        self.arrivals.append(priority)

    def record_full(self, engine, now):
        self.engines.append(engine)


class Responder:
    """Accept an answer without a connection."""

    started = False

    async def start_fields(self, status, fields):
        self.started = True

    async def write(self, data):
        assert self.started


class Stalls:
    """Watch streams without checking them."""

    @contextlib.contextmanager
    def watch(self, pipeline, request, timeouts, *, is_repeatable):
        yield small_fleet.make_watched_stream(pipeline, request, timeouts)

    def schedule_probe(self, engine):
        pass


# Guards against repeated attempts a round trip apart, when refusals of a stream that
# had begun were neither limited nor delayed.
@behave.given("an engine that refuses to resume a stream that has begun")
def step_refusing(context):
    context.fleet = small_fleet.make_planned_fleet()
    context.sender = RefusingSender()


@behave.given("it refuses with {status:d} {how}")
def step_refuses_with(context, status, how):
    context.sender.refusal = attrs.evolve(
        context.sender.refusal,
        status=status,
        is_leaving=how == "as it leaves",
        retry_after_seconds=0.01 if how == "for some time" else None,
    )


@behave.given("its service {uses} the shared view")
def step_uses_view(context, uses):
    context.fleet.choice.uses_view = lambda service: uses == "uses"


def make_request(now):
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
    )


@behave.when("a caller waits for the stream for {seconds:d} seconds")
def step_wait_for_stream(context, seconds):
    fleet = context.fleet
    # As in a node, other parts and the choice of engines have the same recorder.
    context.full = fleet.choice.recorder = FullEngines()

    async def serve():
        now = clocks.read_boot_clock()
        fleet.blackboard.configuration.confirmed_at = now + seconds
        request = make_request(now)
        control = admission.Admission(blackboard=fleet.blackboard)
        admitted = control.admit(request, now)
        assert isinstance(admitted, exchange.Admitted), admitted
        unlimited = _retry_budget.RetryBudgetBounds(capacity=1e9)
        guard = small_fleet.make_guard(fleet.blackboard)
        streams = stream_exchange.StreamExchange(
            sender=context.sender,
            admission_control=control,
            choice=fleet.choice,
            claims=small_fleet.make_claims(
                fleet.blackboard, fleet.choice, guard, fleet.limits
            ),
            suspects=fleet.suspects,
            stalls=Stalls(),
            guard=guard,
            budgets=collections.defaultdict(
                lambda: _retry_budget.RetryBudget(bounds=unlimited)
            ),
            count_retry=lambda reason: None,
            observe_first_event=lambda seconds: None,
        )
        reply = replies.Reply(request=request, wire=None, responder=Responder())
        with trio.move_on_after(seconds):
            await streams.serve(request, admitted, reply)

    trio.run(serve, clock=trio.testing.MockClock(autojump_threshold=0.0))


@behave.then("the engine receives no more attempts than an exponential delay allows")
def step_delays(context):
    resumptions = context.sender.attempts[1:]
    assert len(resumptions) >= 2, resumptions
    gaps = [after - before for before, after in itertools.pairwise(resumptions)]
    for number, gap in enumerate(gaps):
        # Delays are drawn from the upper half of their range.
        assert gap >= MIN_RETRY_DELAY_SECONDS * 2**number / 2.0, gaps


@behave.then("the rejection of each attempt after the first is recorded for others")
def step_recorded(context):
    rejections = len(context.sender.attempts) - 1
    # The last attempt may run when the caller leaves.
    assert len(context.full.engines) in (rejections - 1, rejections)
    assert set(context.full.engines) <= context.fleet.plan.placements.keys()


@behave.then("no rejection is recorded for others")
def step_none_recorded(context):
    assert len(context.sender.attempts) >= 2
    assert not context.full.engines, context.full.engines


@behave.then("{count:d} requests are recorded as arrived")
def step_arrived(context, count):
    assert len(context.sender.attempts) >= 2
    assert len(context.full.arrivals) == count, context.full.arrivals


SLACK = 12


# Guards against the same fault, which a single process cannot show.
@behave.given("a system of {count:d} nodes whose engines refuse all requests")
def step_large_system(context, count):
    context.system = forwarding_system.ForwardingSystem(
        first_port=context.first_port, retry_slack=SLACK
    )
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=count)
    for member in forwarding_system.MEMBERS:
        if member.kind:
            processes.change_knobs(context.system.ports[member.name], refuse=1e9)
    context.refused_before = count_refused(context)


def count_refused(context):
    return sum(
        context.system.read_counts(each.name)["refused"]
        for each in forwarding_system.MEMBERS
    )


@behave.when("each node receives 1 request at once")
def step_send_each(context):
    targets = list(context.system.nodes)
    context.sent = len(targets)
    with concurrent.futures.ThreadPoolExecutor(len(targets)) as pool:
        answers = list(pool.map(context.system.request_stream, targets))
    assert all(each.status == 503 for each in answers), answers


@behave.then("the engines receive no more retries than the allowance of all nodes")
def step_retries(context):
    retries = count_refused(context) - context.refused_before - context.sent
    allowed = 0.2 * context.sent + SLACK
    assert retries <= allowed, (retries, allowed)
