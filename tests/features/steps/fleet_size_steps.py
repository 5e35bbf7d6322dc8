import collections
import concurrent.futures
import contextlib
import itertools
import random

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
from standins import forwarding_system, processes
from tests import router_fleet, small_fleet

# One failure domain of the larger deployments.
LARGE_DOMAIN = {"h100": 1, "a100s": 2, "l4": 20, "t4": 9}
MIN_RETRY_DELAY_SECONDS = 0.05
RATE = 140
# Seconds in which all requests are served, and seconds in which all fail.
SITUATIONS = {
    "no time": (0, 0),
    "a calm time": (40, 0),
    "a burst of failures": (40, 5),
}


# Guards against retries beyond the bound of all nodes, when each node's share did not
# depend on their number.
@behave.given("{count:d} nodes that share a retry allowance")
def step_fleet(context, count):
    context.routers = router_fleet.RouterFleet(count=count)
    context.routers.run(router_fleet.START_SECONDS)


@behave.when(
    "{rate:d} requests a second are served for {calm:d} seconds"
    " and then all fail for {failing:d} seconds"
)
def step_fail(context, rate, calm, failing):
    context.routers.run(calm, requests_per_second=rate, fails=False)
    context.routers.run(failing, requests_per_second=rate, fails=True)
    assert sum(context.routers.retries) > 0


def join_as_many(routers):
    for _ in range(len(routers.nodes)):
        routers.add_node()


def leave_half(routers):
    for node in routers.nodes[::2]:
        node.is_running = False


def resume_all(routers):
    for node in routers.nodes:
        node.is_running = True


def restart_half(routers):
    for node in routers.nodes[::2]:
        routers.restart_node(node)


def stop_reads_of_half(routers):
    for node in routers.nodes[::2]:
        node.can_read = False


def stop_writes_of_half(routers):
    for node in routers.nodes[::2]:
        node.can_write = False


def restart_without_store(routers):
    for node in list(routers.nodes):
        routers.restart_node(node)
    for node in routers.nodes:
        node.can_read = node.can_write = False


CHANGES = {
    "nothing changes": lambda routers: None,
    "as many nodes join": join_as_many,
    "half of the nodes leave": leave_half,
    "all nodes run again": resume_all,
    "half of the nodes restart": restart_half,
    "half of the nodes cannot read the store": stop_reads_of_half,
    "half of the nodes cannot write the store": stop_writes_of_half,
    "all nodes restart without the store": restart_without_store,
}


@behave.when("all requests fail for {seconds:d} seconds")
def step_all_fail(context, seconds):
    context.routers.run(seconds, requests_per_second=RATE, fails=True)


@behave.when("all requests are served for {seconds:d} seconds")
def step_all_served(context, seconds):
    context.routers.run(seconds, requests_per_second=RATE)


@behave.when("after {before}, {change}")
def step_change(context, before, change):
    calm_seconds, failing_seconds = SITUATIONS[before]
    context.routers.run(calm_seconds, requests_per_second=RATE)
    context.routers.run(failing_seconds, requests_per_second=RATE, fails=True)
    CHANGES[change](context.routers)


@behave.then("some window has at least {share:g} of the allowance of all nodes")
def step_uses_allowance(context, share):
    used = context.routers.find_most_used()
    assert used >= share, used


@behave.then("no window has more retries than the allowance of all nodes")
def step_within_allowance(context):
    excess, start = context.routers.find_excess()
    assert excess <= 0.0, f"{excess:.0f} retries over, in the window from {start:.1f} s"


# Guards against one overloaded chain in a failure domain, when each node estimated the
# load of engines from its own requests and a fixed number of nodes.
@behave.given("{count:d} nodes in one failure domain with three chains of engines")
def step_domain(context, count):
    fleet = small_fleet.Fleet()
    engines = small_fleet.make_engines({"centro": LARGE_DOMAIN})
    fleet.list_engines(engines)
    assert fleet.wait(4.0)
    fleet.load_planned()
    chains = {each.chain for each in fleet.plan.placements.values()}
    assert len(chains) == 3, chains
    context.engines = list(fleet.blackboard.backends.listed.values())
    context.domain = [
        small_fleet.copy_fleet(fleet, node=f"n{number}", nodes=count)
        for number in range(count)
    ]


@behave.when("{count:d} requests run at once")
def step_run_at_once(context, count):
    random_source = random.Random(7)
    context.used = collections.Counter()
    for _ in range(count):
        fleet = random_source.choice(context.domain)
        pipeline = small_fleet.choose(fleet)
        fleet.choice.record_start(pipeline)
        fleet.choice.record_prefilled(pipeline)
        context.used.update(pipeline.engines)


@behave.then("no engine has more requests than fit in its cache memory")
def step_memory(context):
    model = small_fleet.MODEL
    request_tokens = model.prompt_tokens + model.answer_tokens / 2.0
    for engine in context.engines:
        if engine.held is None:
            continue
        memory = small_fleet.KINDS[engine.accelerator].memory_megabytes
        free = memory - len(engine.held) * model.layer_megabytes
        token_megabytes = model.token_kilobytes / 1_000.0
        per_request = request_tokens * token_megabytes * len(engine.held) / model.layers
        used = context.used[engine.name]
        assert used * per_request <= free, (engine.name, used, free / per_request)


class RefusingSender:
    """Send one event of a stream, break it off and refuse every resumption."""

    def __init__(self):
        self.attempts = []

    @contextlib.asynccontextmanager
    async def open(self, request, attempt, address):
        self.attempts.append(trio.current_time())
        await trio.sleep(0.001)
        if len(self.attempts) > 1:
            raise sending.NotRunError(
                detail="answered 503",
                head=exchange.AnswerHead(
                    kind=exchange.AnswerKind.NOT_RUN, status=503, fields=()
                ),
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


@behave.when("a caller waits for the stream for {seconds:d} seconds")
def step_wait_for_stream(context, seconds):
    fleet = context.fleet

    async def serve():
        now = clocks.read_boot_clock()
        fleet.blackboard.configuration.confirmed_at = now + seconds
        request = exchange.CallerRequest(
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
        control = admission.Admission(blackboard=fleet.blackboard)
        admitted = control.admit(request, now)
        assert isinstance(admitted, exchange.Admitted), admitted
        unlimited = _retry_budget.RetryBudgetBounds(capacity=1e9)
        streams = stream_exchange.StreamExchange(
            sender=context.sender,
            admission_control=control,
            choice=fleet.choice,
            suspects=fleet.suspects,
            stalls=Stalls(),
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
