import time
import unittest.mock

import attrs
import behave
import trio
import trio.testing

from jujubepass import ids
from jujubepass.forwarding import (
    announcing,
    backends,
    board,
    clocks,
    feeds,
    members,
    plan_rows,
)
from jujubepass.platform import eras
from standins import forwarding_system, processes
from tests import relay_store, small_fleet

LOST_ENGINES = ("e3", "f2")


@behave.given("a store whose answers are of era 3")
def step_tracker(context):
    context.tracker = eras.EraTracker()
    assert context.tracker.observe("3") == 3


@behave.then("an answer of era {era:d} is rejected and counted")
def step_rejected(context, era):
    before = context.tracker.invalid
    try:
        context.tracker.observe(str(era))
    except eras.OutdatedEraError:
        assert context.tracker.invalid == before + 1
        return
    raise AssertionError(era)


@behave.then('answers of eras "", "x" and "-1" and without one count as era 3')
def step_invalid(context):
    before = context.tracker.invalid
    for text in ("", "x", "-1", None):
        assert context.tracker.observe(text) == 3, text
    assert context.tracker.invalid == before + 4


@behave.when("an answer of era 4 arrives")
def step_new_era(context):
    assert context.tracker.observe("4") == 4
    assert context.tracker.changes == 1


@behave.given("a store whose answers have no era")
def step_no_era(context):
    context.tracker = eras.EraTracker()


@behave.then("the era is 0 and nothing is counted")
def step_no_era_counted(context):
    assert [context.tracker.observe(None) for _ in range(2)] == [0, 0]
    assert context.tracker.count() == {"changed": 0, "invalid": 0}


@behave.given("a plan in force that replaced another one")
def step_two_plans(context):
    context.fleet = fleet = small_fleet.make_planned_fleet()
    context.era = 1
    apply_plans(context, fleet.plan)
    context.before = fleet.plan
    fleet.list_engines([], gone=["este-l4-3"])
    assert fleet.wait(2.0)
    context.newest = fleet.plan
    assert context.newest.revision > context.before.revision


def apply_plans(context, plan):
    """Let the controller read all rows of plans in the current era."""
    key = plan_rows.make_key(small_fleet.SERVICE)
    changes = feeds.Changes(
        items={} if plan is None else {key: plan},
        version=1,
        confirmed_at=context.fleet.now,
        era=context.era,
        is_complete=True,
    )
    context.fleet.planner.update_era(changes)
    if plan is not None:
        context.fleet.planner.install_plan(plan)


@behave.when("the store returns with the plan before")
def step_older_plan(context):
    context.era += 1
    context.stored = attrs.evolve(context.before, version=1)
    apply_plans(context, context.stored)


@behave.when("the store returns without a plan")
def step_no_plan(context):
    context.era += 1
    context.newest = context.fleet.plan
    apply_plans(context, None)


@behave.then("the newer plan stays in force")
def step_stays(context):
    found = context.fleet.plan
    assert found.placements == context.newest.placements
    assert found.revision == context.newest.revision


def write_again(context):
    fleet = context.fleet
    fleet.now += 0.1
    fleet.blackboard.backends.confirmed_at = fleet.now
    (command,) = fleet.planner.check(fleet.now)
    assert command.plan.placements == context.newest.placements
    assert command.plan.revision > context.newest.revision
    written = attrs.evolve(command.plan, version=command.plan.version + 2)
    fleet.planner.install_plan(written)
    assert not fleet.planner.check(fleet.now + 0.1)
    return command.plan


@behave.then("its author writes it again at once, on condition of the row in the store")
def step_written_again(context):
    assert write_again(context).version == context.stored.version


@behave.then("its author writes it again at once, on condition that there is no row")
def step_written_new(context):
    assert write_again(context).version == 0


@behave.when(
    "the store returns and another node has written a newer plan with a lower version"
)
def step_newer_plan(context):
    context.era += 1
    context.stored = attrs.evolve(
        context.newest,
        version=context.newest.version - 1,
        revision=context.newest.revision + 1,
        author=ids.NodeId("another"),
    )
    apply_plans(context, context.stored)


@behave.then("that plan is in force")
def step_in_force(context):
    assert context.fleet.plan == context.stored


@behave.when("one engine is listed as draining, another is removed and a third is back")
def step_leave(context):
    fleet = context.fleet
    context.copy = dict(fleet.blackboard.backends.listed)
    context.left, context.gone, context.back = list(context.copy)[:3]
    draining = backends.BackendState.DRAINING
    fleet.list_engines([attrs.evolve(context.copy[context.left], state=draining)])
    fleet.list_engines([], gone=[context.gone])
    fleet.list_engines([], gone=[context.back])
    fleet.list_engines([context.copy[context.back]])
    assert context.gone not in fleet.blackboard.backends.listed


def list_copy(context, started_at=None):
    items = context.copy
    if started_at is not None:
        items = {
            name: attrs.evolve(items[name], started_at=started_at)
            for name in (context.left, context.gone)
        }
    changes = feeds.Changes(
        items=items,
        version=2,
        confirmed_at=context.fleet.now,
        era=1,
        is_complete=started_at is None,
    )
    context.fleet.list.apply(changes, context.fleet.now)


@behave.when("the store returns with an older copy of the list")
def step_old_list(context):
    list_copy(context)


@behave.then("the first is still draining, the second is not listed and the third is")
def step_not_back(context):
    listed = context.fleet.blackboard.backends.listed
    assert listed[context.left].state is backends.BackendState.DRAINING
    assert context.gone not in listed
    assert context.back in listed


@behave.when("a new run of each is listed")
def step_new_runs(context):
    list_copy(context, started_at=2)


@behave.then("both are ready")
def step_both_ready(context):
    listed = context.fleet.blackboard.backends.listed
    for name in (context.left, context.gone):
        assert listed[name].state is backends.BackendState.READY


def read_members(context, era, now):
    items = {
        name: members.Member(
            node=name,
            version=1,
            failure_domain=ids.FailureDomainId("a"),
            renewal_seconds=20.0,
        )
        for name in (ids.NodeId(f"n{number}") for number in range(9))
    }
    changes = feeds.Changes(
        items=items, version=1, confirmed_at=now, era=era, is_complete=True
    )
    context.controller.apply(changes, now)


@behave.given("9 nodes that know each other and share the retry slack")
def step_members(context):
    context.blackboard = board.Blackboard(
        node=ids.NodeId("n0"), failure_domain=ids.FailureDomainId("a")
    )
    context.controller = members.MemberController(blackboard=context.blackboard)
    context.controller.record_renewal(sent_at=0.0, committed_at=0.0, seconds=20.0)
    read_members(context, 1, 30.0)
    assert members.find_share(context.blackboard, 30.0) > 0.5 / 9


@behave.when("a node reads rows of a new era")
def step_new_era_rows(context):
    read_members(context, 2, 31.0)
    context.controller.record_lost_renewal()


@behave.then("it takes no part of the retry slack until it has renewed its row")
def step_no_share(context):
    assert members.find_share(context.blackboard, 31.0) == 0.0


@behave.then("it takes a newcomer's part then")
def step_newcomer(context):
    context.controller.record_renewal(sent_at=31.5, committed_at=31.6, seconds=20.0)
    share = members.find_share(context.blackboard, 32.0)
    assert 0.0 < share < 0.2 / 9, share


class FailingFeed:
    """Fail each read of nodes' rows and count them."""

    reads = 0

    async def read(self):
        self.reads += 1
        raise feeds.FeedError("connection refused")


@behave.given("a node whose reads of nodes' rows fail")
def step_failing_feed(context):
    context.feed = FailingFeed()


@behave.when("rows of another table are of a new era for {seconds:d} seconds")
def step_other_era(context, seconds):
    area = board.Blackboard(
        node=ids.NodeId("n0"), failure_domain=ids.FailureDomainId("a")
    )

    async def pass_at_once(_era):
        await trio.lowlevel.checkpoint()

    async def run():
        announcer = announcing.Announcer(
            blackboard=area,
            controller=members.MemberController(blackboard=area),
            table=relay_store.MemberTable(store=relay_store.Store(), node=ReadyNode()),
            feed=context.feed,
            wait_for_era=pass_at_once,
        )
        with trio.move_on_after(seconds):
            await announcer.run()

    with unittest.mock.patch.object(clocks, "read_boot_clock", trio.current_time):
        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))


class ReadyNode:
    """Stand for a node that the simulated store serves."""

    name = "n0"

    async def wait_while_frozen(self):
        pass


@behave.then("it has read the rows of nodes at most {count:d} times")
def step_few_reads(context, count):
    assert 0 < context.feed.reads <= count, context.feed.reads


def refuses_key(context, node):
    answer = context.system.send_request(
        node, "GET", forwarding_system.LOOKUP_PATH, key="ben-key-1"
    )
    return answer.status == 401


@behave.when("a key is removed and an engine is lost after the store's copy was taken")
def step_after_copy(context):
    system = context.system
    processes.call("POST", system.store_port, "/copy")
    tenants = [{"name": "ana", "apiKeys": ["ana-key-1"], "priority": 1}]
    context.newest = forwarding_system.make_configuration(3, tenants=tenants)
    system.configure(context.newest)
    system.processes.kill(LOST_ENGINES[0])
    for node in system.nodes:
        processes.wait_for(lambda node=node: refuses_key(context, node), node, 5.0)
    # The store gives these versions out again, slowly.
    for number in range(300):
        system.write_row("other", "row", number)
    processes.wait_for(
        lambda: system.request_stream("n1").status == 200, "streams again"
    )


@behave.when("the store returns from the copy and its writers write again")
def step_returns(context):
    system = context.system
    processes.call("POST", system.store_port, "/restore")
    context.refused = []
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
        context.refused += [refuses_key(context, node) for node in system.nodes]
        if time.monotonic() > until - 2.0:
            system.configure(context.newest)
        time.sleep(0.1)


@behave.then("the key is refused all the time")
def step_refused_always(context):
    assert all(context.refused), context.refused


@behave.when("another engine is lost")
def step_lose_another(context):
    context.system.processes.kill(LOST_ENGINES[1])
