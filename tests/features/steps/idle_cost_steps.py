"""Steps for the cost of what each node repeats on timers, counted in calls."""

import itertools
import sys

import attrs
import behave

from jujubepass import ids
from jujubepass.forwarding import backends, board, members
from jujubepass.quarantine import ends, suspects
from jujubepass.relay import sources
from jujubepass.transport import _http_client
from tests import small_fleet

TICKS = 1_000
DOMAIN = ids.FailureDomainId("a")
ADDRESS = _http_client.Address(host="10.0.0.1", port=8_000)


def make_area(count):
    engines = small_fleet.make_engines({"a": {"l4": count}})
    return board.BackendArea(listed={each.name: each for each in engines})


def make_blackboard(count):
    """Return the blackboard of the last node in the order of its domain."""
    live = [
        members.Member(
            node=ids.NodeId(f"n{number}"),
            version=1,
            failure_domain=DOMAIN,
            renewal_seconds=20.0,
            address=ADDRESS,
            token=f"token-{number}",
        )
        for number in range(count)
    ]
    neighbors = members.order_domain(live, DOMAIN)
    blackboard = board.Blackboard(node=neighbors[-1].node, failure_domain=DOMAIN)
    set_neighbors(blackboard, neighbors)
    return blackboard


def set_neighbors(blackboard, neighbors):
    blackboard.members.neighbors = tuple(neighbors)
    blackboard.members.nodes = frozenset(each.node for each in neighbors)


def break_run(found, area):
    """Record a request that broke on the first server; return that run."""
    server = next(iter(area.listed.values()))
    run = suspects.ServerRun(server=server.name, started_at=server.started_at)
    found.record_break(run, {}, 0.0)
    return run


def search_ended(count):
    area = make_area(count)
    found = ends.ServerEnds(area=area, known=set())
    break_run(found, area)
    return found.list_restarted


def choose_source(count):
    controller = sources.SourceController(blackboard=make_blackboard(count))
    return lambda: controller.is_reader(0.0)


def find_turn(count):
    blackboard = make_blackboard(count)
    return lambda: members.find_turn(blackboard, f"orders/{count}")


TASKS = {
    "the search for ended runs": search_ended,
    "the choice of a source": choose_source,
    "the turn at orders": find_turn,
}


def count_calls(task):
    calls = itertools.count()
    sys.setprofile(lambda frame, event, _: next(calls) if "call" in event else None)
    try:
        for _ in range(TICKS):
            task()
    finally:
        sys.setprofile(None)
    return next(calls)


@behave.when(
    "a hundred seconds of {task} are counted with {few:d} and with {many:d} {others}"
)
def step_count(context, task, few, many, others):
    context.calls = [count_calls(TASKS[task](count)) for count in (few, many)]


@behave.then("the larger fleet takes less than {factor:g} times as many calls")
def step_compare(context, factor):
    few, many = context.calls
    assert many < factor * few, context.calls


@behave.given("a node behind {count:d} others that pass on rows")
def step_node(context, count):
    context.blackboard = make_blackboard(count + 1)
    context.controller = sources.SourceController(blackboard=context.blackboard)


@behave.when("its source gives no rows")
def step_silent(context):
    context.now = 100.0
    context.silent = context.controller.choose(context.now, 0.0)
    context.controller.record_silence(context.silent, context.now, "no answer")


@behave.then("another node is its source until the silence has ended")
def step_other(context):
    controller = context.controller
    until = controller._silences[context.silent.node].until
    for now in (context.now, until - 0.001):
        assert controller.choose(now, 0.0) != context.silent
    assert controller.choose(until, 0.0) == context.silent


@behave.then("after a change of nodes, none of those that left is its source")
def step_left(context):
    blackboard, controller = context.blackboard, context.controller
    while len(blackboard.members.neighbors) > sources._MIN_TREE_NODES:
        source = controller.choose(context.now + 1_000.0, 0.0)
        assert source in blackboard.members.neighbors, source
        left = [each for each in blackboard.members.neighbors if each != source]
        set_neighbors(blackboard, left)


@behave.given("a list of {count:d} servers")
def step_list(context, count):
    context.make = lambda: make_area(count)


@behave.when("a request breaks on a run, before or after a later run of it is listed")
def step_break(context):
    context.found = []
    for is_listed_first in (False, True):
        area = context.make()
        found = ends.ServerEnds(area=area, known=set())
        assert found.list_restarted() == []
        if not is_listed_first:
            run = break_run(found, area)
            assert found.list_restarted() == []
        server = next(iter(area.listed.values()))
        later = attrs.evolve(
            server, started_at=server.started_at + 1, state=backends.BackendState.READY
        )
        area.listed[server.name] = later
        area.revision += 1
        if is_listed_first:
            run = suspects.ServerRun(server=server.name, started_at=server.started_at)
            found.record_break(run, {}, 0.0)
        context.found.append((found.list_restarted(), [run]))


@behave.then("the end of the broken run is found each time")
def step_found(context):
    for found, expected in context.found:
        assert found == expected, context.found
