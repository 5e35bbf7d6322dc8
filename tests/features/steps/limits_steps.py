import itertools
import math
import random
import time

import behave
import hypothesis
import hypothesis.strategies as st

from bench import shares
from jujubepass import declarations, ids, reasons
from jujubepass.answers import _answer_messages
from jujubepass.calls import _call_control, _call_journal, _call_messages
from jujubepass.limits import _limit_messages, _limits, _share_home, _share_messages
from jujubepass.membership import _rendezvous
from jujubepass.nodes import _dispatch
from jujubepass.storage import _store_messages
from standins import processes, system
from tests import call_system


@behave.when("one of {nodes:d} nodes receives three times the limit, then another one")
def step_skew(context, nodes):
    context.row = shares.measure_skew(nodes, shared=True)


@behave.then("each admits over {part:f} of the limit while it is loaded")
def step_each(context, part):
    assert context.row["first_node_of_limit"] > part, context.row
    assert context.row["second_node_of_limit"] > part, context.row


@behave.then("admissions in any second stay within {part:f} of the limit")
def step_max_admissions(context, part):
    assert context.row["most_in_1_s_of_limit"] <= part, context.row


@behave.when("one of {nodes:d} nodes is killed while all receive more than the limit")
def step_kill(context, nodes):
    context.row = shares.measure_kill(nodes)


@behave.then("the others admit the whole limit again")
def step_regained(context):
    assert context.row["after_of_limit"] > 0.97, context.row


@behave.when(
    "{nodes:d} nodes are partitioned in two while all receive more than the limit"
)
def step_partition(context, nodes):
    context.row = shares.measure_partition(nodes)


@behave.then("the limit holds while an unreachable node still counts")
def step_held(context):
    assert context.row["first_15_s_of_limit"] <= 1.05, context.row


@behave.then("it is exceeded at most twofold after that")
def step_twofold(context):
    assert context.row["later_of_limit"] <= 2.05, context.row


@behave.then("it holds again after the partition has healed")
def step_healed(context):
    assert context.row["after_heal_of_limit"] <= 1.05, context.row


@behave.then(
    "any division by demand distributes the total and covers small demands first"
)
def step_divide(context):
    @hypothesis.given(
        st.lists(st.floats(0.0, 1e4), min_size=1, max_size=30), st.floats(0.0, 1e4)
    )
    def check(wanted, total):
        by_node = {ids.NodeId(str(i)): value for i, value in enumerate(wanted)}
        divided = _share_home.divide_by_demand(by_node, total)
        assert math.isclose(sum(divided.values()), total, abs_tol=1e-6)
        even_share = total / len(wanted)
        for node, share in divided.items():
            assert share >= min(by_node[node], even_share) - 1e-6

    check()


@behave.given("a home node that has just taken over an account")
def step_home(context):
    homes = _rendezvous.HomeMap()
    first, second = (ids.NodeId(name) for name in ("node-1", "node-2"))
    homes.set_nodes((first, second), 0.0, keep_seconds=12.0)
    homes.set_nodes((first, second), 20.0, keep_seconds=12.0)
    account = next(
        ids.AccountId(f"a{i}")
        for i in itertools.count()
        if homes.find_home(ids.AccountId(f"a{i}")) == second
    )
    homes.set_nodes((first,), 21.0, keep_seconds=12.0)
    context.homes = homes
    context.home = _share_home.ShareHome(grant_lifetime_seconds=12.0, homes=homes)
    context.account = shares.declare(account, 90.0)


@behave.when("two nodes request shares and one of them holds most of the limit")
def step_request_shares(context):
    for node, held in (("node-1", 80.0), ("node-3", 0.0)):
        demand = _share_messages.Demand(
            account=context.account.name,
            wanted_rate=500.0,
            held_rate=held,
            wanted_running=1,
            held_running=1,
        )
        context.home.record_demands(ids.NodeId(node), [demand], 22.0)
    declared = {context.account.name: context.account}
    context.early = context.home.compute_grants(declared, 9, 22.0)
    context.homes.set_nodes((ids.NodeId("node-1"),), 40.0, keep_seconds=12.0)


@behave.then("the grants are the held share and the other's base share")
def step_grants(context):
    rates = {node: grants[0].rate for node, grants in context.early.items()}
    assert rates == {"node-1": 80.0, "node-3": 10.0}, rates
    assert not context.homes.has_moved(context.account.name)


def post_lookup(cluster, request):
    event = _call_messages.LookupArrived(
        request=ids.RequestId(request),
        account=ids.AccountId("shop"),
        service=ids.ServiceId("s"),
        path="/",
        deadline=1e9,
    )
    commands = cluster.nodes[0].dispatcher.dispatch(event, cluster.now)
    return [c for c in commands if isinstance(c, _answer_messages.Refuse)]


@behave.given(
    "a single node with an account of 2 requests per second and concurrency 3"
)
def step_alone(context):
    account = declarations.Account(
        name=ids.AccountId("shop"),
        template=ids.TemplateId("t"),
        key_hash="k",
        requests_per_second=2.0,
        burst=3.0,
        concurrency=3,
    )
    context.cluster = shares.Cluster(nodes=1, accounts=[account])


@behave.then("a request after the stated wait is admitted and an earlier one is not")
def step_true_wait(context):
    cluster = context.cluster
    for request in ("a", "b", "c"):
        assert not post_lookup(cluster, request)
        ended = _limit_messages.RequestEnded(request=ids.RequestId(request))
        cluster.nodes[0].dispatcher.dispatch(ended, cluster.now)
    (refusal,) = post_lookup(cluster, "d")
    assert refusal.reason is reasons.RefusalReason.ACCOUNT_RATE
    retry_after_seconds = refusal.retry_after_seconds
    cluster.now += 0.9 * retry_after_seconds
    assert post_lookup(cluster, "e")
    cluster.now += 0.11 * retry_after_seconds
    assert not post_lookup(cluster, "f")


@behave.then("a fourth concurrent request is refused until one has ended")
def step_concurrency(context):
    cluster = context.cluster
    cluster.now += 10.0
    assert not post_lookup(cluster, "g")
    assert not post_lookup(cluster, "h")
    cluster.now += 10.0
    (refusal,) = post_lookup(cluster, "i")
    assert refusal.reason is reasons.RefusalReason.ACCOUNT_CONCURRENCY
    assert refusal.retry_after_seconds > 0.0
    ended = _limit_messages.RequestEnded(request=ids.RequestId("g"))
    cluster.nodes[0].dispatcher.dispatch(ended, cluster.now)
    assert not post_lookup(cluster, "j")


@behave.when("the account queries a call's outcome {count:d} times at once")
def step_query(context, count):
    blackboard = context.cluster.nodes[0].blackboard
    calls = _call_control.make_controllers(
        blackboard=blackboard,
        counters=call_system.Counts(),
        timing=_call_journal.CallTiming(),
        random=random.Random(1),
    )
    limits = _limits.LimitController(blackboard=blackboard)
    dispatcher = _dispatch.Dispatcher(controllers=[limits, *calls])
    context.commands = []
    for number in range(count):
        event = _call_messages.CallAsked(
            request=ids.RequestId(f"q{number}"),
            account=ids.AccountId("shop"),
            key=ids.IdempotencyKey("k"),
        )
        context.commands += dispatcher.dispatch(event, context.cluster.now)
        ended = _limit_messages.RequestEnded(request=event.request)
        context.commands += dispatcher.dispatch(ended, context.cluster.now)


@behave.then(
    '{count:d} queries read the call\'s row and the other is refused as "{code}"'
)
def step_query_refused(context, count, code):
    kinds = [type(command) for command in context.commands]
    assert kinds.count(_store_messages.ReadRows) == count, context.commands
    (refusal,) = [
        each for each in context.commands if isinstance(each, _answer_messages.Refuse)
    ]
    assert refusal.reason is reasons.RefusalReason(code), refusal
    assert refusal.retry_after_seconds > 0.0, refusal


@behave.given("three nodes with an account of 12 lookups a second")
def step_nodes(context):
    context.system = system.System(first_port=context.first_port)
    context.add_cleanup(context.system.processes.close)
    context.system.start_platform()
    context.system.start_services()
    context.system.start_nodes(3)
    sections = system.declare_basics()
    limits = {"requests_per_second": 12, "burst": 6, "concurrency": 64}
    sections["template shop"] = limits
    sections[f"account {system.ACCOUNT}"]["template"] = "shop"
    context.system.wait_for_number(context.system.apply(sections))


@behave.when('all lookups go to "{node}" until it admits over {rate:d} a second')
def step_flood(context, node, rate):
    context.retry_after = []

    def admits():
        started = time.monotonic()
        answered = 0
        while time.monotonic() < started + 2.0:
            answer = context.system.send_lookup(node)
            answered += answer.status == 200
            if answer.status == 429:
                context.retry_after.append(answer.headers.get("retry-after"))
                assert answer.read_json()["code"] == "account_rate", answer
        return answered / 2.0 > rate

    processes.wait_for(admits, "over a third of the limit", timeout_seconds=60.0)


@behave.then('"{node}" has counted refusals for "{reason}" with a Retry-After')
def step_counted(context, node, reason):
    port = context.system.nodes[node].operators
    exposed = processes.call("GET", port, "/metrics").body.decode()
    sample = f'jujubepass_refusals_total{{reason="{reason}"}} '
    (line,) = [row for row in exposed.splitlines() if row.startswith(sample)]
    assert float(line.removeprefix(sample)) > 0, line
    assert context.retry_after
    assert all(int(value) >= 1 for value in context.retry_after), context.retry_after
