import collections
import random
import unittest.mock

import attrs
import behave
import trio
import trio.testing

from jujubepass import ids
from jujubepass.forwarding import (
    board,
    clocks,
    engines,
    members,
    ordering,
    probing,
)
from tests import profiles, small_fleet

# One failure domain of the larger deployments.
LARGE_DOMAIN = {"h100": 1, "a100s": 2, "l4": 20, "t4": 9}


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


class ReportingEngine:
    """Report a slowdown and count the reports."""

    def __init__(self, *, slowdown=3.0):
        self.reports = 0
        self.slowdown = slowdown

    async def read_report(self, engine):
        self.reports += 1
        return engines.EngineReport(
            started_at=1,
            held=None,
            is_busy=False,
            orders_begun=0,
            running=0,
            queued=0,
            slowdown=self.slowdown,
            stalled=(),
        )


# Guards against probes, reads and orders whose sum grows with the number of nodes, when
# each node kept the same intervals whatever their number.
@behave.given("an engine that {count:d} nodes of its failure domain know to be slow")
def step_slow_engine(context, count):
    make_probers(context, count, ReportingEngine())


def make_probers(context, count, engine):
    context.engine = engine
    context.probers = []
    for _ in range(count):
        fleet = small_fleet.Fleet()
        fleet.list_engines(small_fleet.make_engines()[:1])
        name = next(iter(fleet.blackboard.backends.listed))
        domain = fleet.blackboard.failure_domain
        fleet.blackboard.members.sizes = collections.Counter({domain: count})
        prober = probing.Prober(
            blackboard=fleet.blackboard,
            suspects=fleet.suspects,
            control=context.engine,
            slowdowns=fleet.slowdowns,
            signals=fleet.signals,
        )
        context.probers.append((prober, name))


@behave.given(
    "an engine that {count:d} nodes of its failure domain find late and that reports no"
    " fault"
)
def step_late_engine(context, count):
    make_probers(context, count, ReportingEngine(slowdown=1.0))


@behave.when("each of them asks for a probe ten times a second for {seconds:d} seconds")
def step_probe_first(context, seconds):
    async def probe_all():
        async with trio.open_nursery() as nursery:
            for prober, name in context.probers:
                nursery.start_soon(probe_repeatedly, prober, name)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    async def probe_repeatedly(prober, name):
        while True:
            if prober.may_probe(name):
                await prober.probe(name)
            await trio.sleep(0.1)

    with unittest.mock.patch.object(clocks, "read_boot_clock", trio.current_time):
        trio.run(probe_all, clock=trio.testing.MockClock(autojump_threshold=0.0))


@behave.then("it receives at most {count:d} probes from each node")
def step_probes_each(context, count):
    nodes = len(context.probers)
    assert nodes <= context.engine.reports <= count * nodes, context.engine.reports


@behave.when("they probe it for {seconds:d} seconds")
def step_probe(context, seconds):
    context.seconds = seconds

    async def probe_all():
        async with trio.open_nursery() as nursery:
            for prober, name in context.probers:
                nursery.start_soon(prober.run)
                nursery.start_soon(schedule_repeatedly, prober, name)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    async def schedule_repeatedly(prober, name):
        while True:
            prober.schedule_slowdown_probes((name,))
            await trio.sleep(0.1)

    with unittest.mock.patch.object(clocks, "read_boot_clock", trio.current_time):
        trio.run(probe_all, clock=trio.testing.MockClock(autojump_threshold=0.0))


@behave.then("it receives at most {rate:g} probes a second after each node's first one")
def step_probe_rate(context, rate):
    first = len(context.probers)
    assert context.engine.reports >= first
    assert context.engine.reports - first <= rate * context.seconds


@behave.given("{count:d} nodes that know each other by their rows")
def step_rows(context, count):
    names = frozenset(ids.NodeId(f"n{number}") for number in range(count))
    context.boards = []
    for name in sorted(names):
        area = board.Blackboard(node=name, failure_domain=ids.FailureDomainId("a"))
        area.members.nodes = names
        context.boards.append(area)


@behave.when("each determines its turn for {count:d} tasks")
def step_turns(context, count):
    context.turns = [
        [members.find_turn(each, f"task/{number}") for each in context.boards]
        for number in range(count)
    ]


@behave.then("the acting nodes at most double with each turn")
def step_doubling(context):
    for turns in context.turns:
        for turn in range(max(turns) + 1):
            acting = sum(each <= turn for each in turns)
            assert acting == min(len(turns), 2**turn), (turn, turns)


@behave.then("with half of the nodes lost some node acts within {turns:d} turns")
def step_lost_half(context, turns):
    for number, found in enumerate(context.turns):
        left = random.Random(number).sample(found, (len(found) + 1) // 2)
        assert min(left) <= turns, sorted(left)[:5]


# Guards against choices of a pipeline that take a node's processor in large
# deployments, when each compared all pairs of engines of all failure domains.
@behave.given("{domains:d} failure domains with chains for {engines:d} engines in all")
def step_many_engines(context, domains, engines):
    context.fleet = small_fleet.Fleet()
    context.fleet.blackboard.failure_domain = ids.FailureDomainId("d0")
    listed = small_fleet.make_engines(
        {f"d{number}": LARGE_DOMAIN for number in range(domains)}
    )
    assert len(listed) == engines
    context.fleet.list_engines(listed)
    assert context.fleet.wait(4.0)
    context.fleet.load_planned()
    context.engines = engines


@behave.when("a pipeline is chosen while engines are idle, and while all are loaded")
def step_choose(context):
    fleet = context.fleet

    def choose():
        assert small_fleet.choose(fleet) is not None

    context.idle_calls = profiles.count_function_calls(choose)
    for name in fleet.blackboard.backends.listed:
        fleet.choice._running[name] = 80
    context.loaded_calls = profiles.count_function_calls(choose)


@behave.then(
    "idle engines take at most {idle:d} function calls and loaded ones {loaded:d}"
    " for each"
)
def step_calls(context, idle, loaded):
    assert context.idle_calls <= idle, context.idle_calls
    assert context.loaded_calls <= loaded * context.engines, context.loaded_calls


@behave.when("20 engines differ from a plan of another node for {seconds:d} seconds")
def step_differ(context, seconds):
    fleet = context.fleet
    plan = attrs.evolve(fleet.plan, author=ids.NodeId("another"))
    fleet.blackboard.plans.plans[plan.service] = plan
    for name in list(plan.placements)[:20]:
        listed = fleet.blackboard.backends.listed
        listed[name] = attrs.evolve(listed[name], held=None)
    context.sender = ordering.OrderSender(
        blackboard=fleet.blackboard, control=None, silences=fleet.silences
    )
    context.differed_from = fleet.now
    context.turns = 0
    check_orders(context, seconds)


@behave.when("they differ for {seconds:d} seconds")
def step_differ_longer(context, seconds):
    check_orders(context, seconds)


def check_orders(context, seconds):
    fleet = context.fleet
    with unittest.mock.patch.object(members, "find_turn", return_value=0) as find_turn:
        for tick in range(10 * seconds):
            list(
                context.sender._find_due(fleet.plan, context.differed_from + tick / 10)
            )
    context.turns = find_turn.call_count


@behave.then("the node's turn was never determined")
def step_no_turn(context):
    assert context.turns == 0, context.turns


@behave.then("the node's turn was determined")
def step_turn(context):
    assert context.turns > 0


@behave.given("five failure domains of which one has no engines")
def step_empty_domain(context):
    context.fleet = small_fleet.Fleet()
    context.fleet.blackboard.failure_domain = ids.FailureDomainId("d4")
    context.fleet.list_engines(
        small_fleet.make_engines({f"d{number}": LARGE_DOMAIN for number in range(4)})
    )
    assert context.fleet.wait(4.0)
    context.fleet.load_planned()


def find_domains(fleet):
    listed = fleet.blackboard.backends.listed
    pipeline = small_fleet.choose(fleet)
    assert pipeline is not None
    return {listed[name].failure_domain for name in pipeline.engines}


@behave.then("a node of that one chooses a pipeline within a single other domain")
def step_single_domain(context):
    (context.used_domain,) = find_domains(context.fleet)


@behave.when("the engines of that other domain are lost")
def step_lose_domain(context):
    listed = context.fleet.blackboard.backends.listed
    for name, engine in list(listed.items()):
        if engine.failure_domain == context.used_domain:
            del listed[name]


@behave.then("it chooses a pipeline within a third domain")
def step_third_domain(context):
    (domain,) = find_domains(context.fleet)
    assert domain not in (context.used_domain, "d4"), domain
