import random

import behave
import hypothesis

from jujubepass.configuration import _configuration_messages, _configuration_rows
from tests import configuration_fleet, configuration_history, configuration_store

EXAMPLES = 150
NAIVE_SEEDS = 60
FLEET_NODES = 700
REGIONS, DOMAINS = 9, 34
QUICK = hypothesis.settings(
    max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
)
POLICIES = {
    "installs entries regardless of number": {
        "installer": configuration_store.NaiveInstaller
    },
    "treats writes without answer as failed": {
        "proposals": configuration_store.NaiveProposals
    },
    "writes without a condition": {"checks_conditions": False},
}


def make_section(index, concurrency=8):
    return {"key_hash": f"{index:064x}", "concurrency": str(concurrency)}


def accept(fleet, index, node=None, seconds=1.0):
    node = node or fleet.nodes[0]
    change = f"change-{index}"
    section = make_section(index % 50, 1 + index)
    fleet.propose(node, change, {f"account a{index % 50}": section})
    fleet.run(seconds)
    verdict = fleet.verdicts[change]
    assert isinstance(verdict, _configuration_messages.ChangeAccepted), verdict
    return verdict


def find_newest(fleet):
    return max(fleet.store.log)


def check_newest(fleet):
    numbers = [node.area.number for node in fleet.nodes]
    assert set(numbers) == {find_newest(fleet)}, numbers
    assert len({node.area.digest for node in fleet.nodes}) == 1


@behave.given("the product's policy")
def step_policy(context):
    context.policy = {}


@behave.given("a policy that {policy}")
def step_naive(context, policy):
    context.policy = POLICIES[policy]


@QUICK
@hypothesis.given(configuration_history.HISTORIES)
def check_histories(history):
    configuration_history.run(history)


@behave.when("any history of changes, faults, restarts and races runs")
def step_histories(context):
    context.breaches = []
    if not context.policy:
        check_histories()
        return
    for seed in range(NAIVE_SEEDS):
        history = configuration_history.draw_history(random.Random(seed))
        try:
            configuration_history.run(history, **context.policy)
        except AssertionError as error:
            context.breaches.append(str(error))


@behave.then("no check fails")
def step_sound(context):
    assert not context.breaches


@behave.then("a check fails with: {breach}")
def step_breach(context, breach):
    found = [each for each in context.breaches if breach in each.lower()]
    assert found, context.breaches[:5]


@behave.given("a fleet of {count:d} nodes")
def step_fleet(context, count):
    context.fleet = configuration_fleet.Fleet(count=count)
    context.fleet.run(3.0)


@behave.given(
    "a fleet of {count:d} nodes with {neighbours:d} heartbeat neighbours each"
)
def step_large_fleet(context, count, neighbours):
    context.fleet = configuration_fleet.Fleet(count=count, neighbours=neighbours // 2)
    context.fleet.run(3.0)


@behave.when("a change is accepted while the {which} {paused:d} nodes are paused")
def step_nodes_paused(context, which, paused):
    fleet = context.fleet
    others = fleet.nodes[1:]
    context.paused = others[:paused] if which == "next" else others[-paused:]
    for node in context.paused:
        node.paused = True
    accept(fleet, 0, seconds=0.5)


@behave.then(
    "the proposing node has confirmations of all nodes but {others} within"
    " {seconds:d} seconds"
)
def step_confirmed(context, others, seconds):
    fleet = context.fleet
    fleet.run(float(seconds))
    proposer = fleet.nodes[0]
    paused = {node.name for node in context.paused if node.paused}
    expected = {node.name for node in fleet.nodes[1:]} - paused
    confirmed = proposer.area.confirmed
    assert confirmed == dict.fromkeys(expected, find_newest(fleet)), confirmed


@behave.then(
    "the proposing node has no confirmation of a paused node after {seconds:d} seconds"
)
def step_not_confirmed(context, seconds):
    context.fleet.run(float(seconds))
    confirmed = context.fleet.nodes[0].area.confirmed
    assert not confirmed.keys() & {node.name for node in context.paused}, confirmed


@behave.when("the paused nodes are resumed")
def step_go_on(context):
    for node in context.paused:
        context.fleet.resume(node)


@behave.when("two operators propose changes on the same base at two nodes")
def step_race(context):
    fleet = context.fleet
    fleet.propose(fleet.nodes[0], "first", {"account a": make_section(1)})
    fleet.propose(fleet.nodes[1], "second", {"account b": make_section(2)})
    fleet.run(3.0)


@behave.then(
    "one is accepted, and the other's refusal names its number, author and sections"
)
def step_one_winner(context):
    verdicts = [context.fleet.verdicts[change] for change in ("first", "second")]
    refused = [
        each
        for each in verdicts
        if isinstance(each, _configuration_messages.ChangeRefused)
    ]
    assert len(refused) == 1, verdicts
    (moved,) = refused[0].moved
    winner = next(each for each in verdicts if each is not refused[0])
    title = "account a" if winner.change == "first" else "account b"
    assert refused[0].code == "base_moved" and moved.number == 1, refused
    assert moved.author == f"operator of {winner.change}", moved
    assert moved.sections == (title,), moved


@behave.then("the accepted change is in force on every node")
def step_accepted_everywhere(context):
    check_newest(context.fleet)


@behave.when("a change's write takes effect without an answer")
def step_lost_answer(context):
    fleet = context.fleet
    fleet.store.lost_answers = 1
    fleet.propose(fleet.nodes[0], "lost", {"account a": make_section(1)})
    fleet.run(configuration_fleet.TABLE_TIMEOUT_SECONDS + 2.0)


@behave.then("it is accepted once, also when proposed again at each node")
def step_settled(context):
    fleet = context.fleet
    assert fleet.verdicts["lost"].number == 1
    for node in fleet.nodes:
        fleet.propose(node, "lost", None)
        fleet.run(1.0)
        assert fleet.verdicts["lost"].number == 1
    assert fleet.store.log == {1: "lost"}


@behave.when("another change is proposed with the same id")
def step_reused(context):
    fleet = context.fleet
    event = _configuration_messages.ChangeProposed(
        change="lost", base=1, author="b", sections={"account z": make_section(9)}
    )
    fleet.verdicts.clear()
    fleet.nodes[1].handle(event)
    fleet.run(1.0)


@behave.then('that change is refused as "{code}"')
def step_refused(context, code):
    assert context.fleet.verdicts["lost"].code == code, context.fleet.verdicts


@behave.when("{count:d} changes are accepted and the first is proposed again")
def step_asked_again(context, count):
    fleet = context.fleet
    for index in range(count):
        accept(fleet, index)
    fleet.verdicts.clear()
    fleet.propose(fleet.nodes[0], "change-0", None)
    fleet.run(1.0)


@behave.then('the repeated change is refused as "{code}"')
def step_forgotten(context, code):
    assert context.fleet.verdicts["change-0"].code == code


@behave.when("a change is accepted while {missing} fails")
def step_missing(context, missing):
    fleet = context.fleet
    fleet.propose(fleet.nodes[0], "c", {"account a": make_section(1)})
    if missing == "the push":
        fleet.lost_messages = len(fleet.nodes)
    elif missing == "every message":
        for node in fleet.nodes:
            node.muted = True
    while "c" not in fleet.verdicts:
        fleet.run(configuration_fleet.STEP_SECONDS)
    fleet.store.down = missing == "the store after the push"
    context.accepted_at = fleet.now


@behave.then("it is in force on every node within {seconds:g} seconds")
def step_within(context, seconds):
    fleet = context.fleet
    fleet.run(seconds - (fleet.now - context.accepted_at))
    check_newest(fleet)


@behave.when("a node is cut off during {count:d} changes and reconnects")
def step_cut(context, count):
    fleet = context.fleet
    fleet.nodes[-1].cut = True
    for index in range(count):
        accept(fleet, index)
    assert fleet.nodes[-1].area.number == 0
    fleet.nodes[-1].cut = False
    fleet.run(5.0)


@behave.then("every node has the newest configuration")
def step_newest(context):
    check_newest(context.fleet)


@behave.when("{count:d} changes are accepted, the store goes down and a node restarts")
def step_join_in_outage(context, count):
    fleet = context.fleet
    for index in range(count):
        accept(fleet, index)
    fleet.store.down = True
    fleet.nodes[-1].start()


@behave.then("it is not ready before it has the newest number")
def step_ready_with_newest(context):
    fleet = context.fleet
    node = fleet.nodes[-1]
    for _ in range(200):
        fleet.run(configuration_fleet.STEP_SECONDS)
        assert not node.area.caught_up or node.area.number == find_newest(fleet)
    assert node.area.caught_up
    check_newest(fleet)


@behave.when("a change is accepted and a node restarts without any connection")
def step_restart_alone(context):
    fleet = context.fleet
    accept(fleet, 1)
    fleet.nodes[-1].start()
    fleet.nodes[-1].cut = True


@behave.then("it does not become ready")
def step_not_ready(context):
    context.fleet.run(30.0)
    assert not context.fleet.nodes[-1].area.caught_up


@behave.when("it is no longer cut off")
def step_not_cut(context):
    context.fleet.nodes[-1].cut = False
    context.fleet.run(5.0)


@behave.when("a change is accepted and every node restarts while the store is down")
def step_all_restart(context):
    fleet = context.fleet
    accept(fleet, 1)
    fleet.store.down = True
    for node in fleet.nodes:
        node.start()


@behave.then("no node becomes ready until the store is available")
def step_none_ready(context):
    fleet = context.fleet
    fleet.run(30.0)
    assert not any(node.area.caught_up for node in fleet.nodes)
    fleet.store.down = False
    fleet.run(5.0)
    assert all(node.area.caught_up for node in fleet.nodes)
    check_newest(fleet)


@behave.when("{count:d} changes are accepted one after the other")
def step_many(context, count):
    for index in range(count):
        accept(context.fleet, index)
    context.fleet.run(2.0)


@behave.then("the store holds at most {count:d} rows of changes and one snapshot")
def step_few_rows(context, count):
    store = context.fleet.store
    rows, _ = store.table.scan(_configuration_rows.CHANGE_PREFIX, "", 1_000)
    assert 0 < len(rows) <= count, len(rows)
    assert len(store.objects) == 1, list(store.objects)


@behave.then("a node that restarts has the newest configuration")
def step_restarted(context):
    fleet = context.fleet
    for node in fleet.nodes:
        node.cut = True
    fleet.nodes[-1].cut = False
    fleet.nodes[-1].start()
    fleet.run(5.0)
    assert fleet.nodes[-1].area.caught_up
    check_newest(fleet)


@behave.when(
    "a change of {count:d} sections is proposed while the object store fails,"
    " then again"
)
def step_large(context, count):
    fleet = context.fleet
    sections = {f"account a{index}": make_section(index) for index in range(count)}
    fleet.store.objects_down = True
    fleet.propose(fleet.nodes[0], "large", sections)
    fleet.run(3.0)
    context.first = fleet.verdicts.pop("large")
    context.rows_after_first = dict(fleet.store.log)
    fleet.store.objects_down = False
    fleet.propose(fleet.nodes[0], "large", sections)
    fleet.run(5.0)


@behave.then("the first is refused and the second is in force on every node")
def step_large_verdicts(context):
    assert context.first.status == 503 and not context.rows_after_first
    check_newest(context.fleet)
    assert len(context.fleet.nodes[-1].area.declared.accounts) == 2_000
