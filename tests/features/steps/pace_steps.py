import collections

import behave

from jujubepass.pace import starts
from tests import pace_fleet

POLICIES = ("pace", "ramp", "flood")
SEEDS = range(5)
SERVERS = 8
RETURNED = "s0"
FAIR_SHARE = 0.8
"""Counts of a second vary by a tenth, so that equal shares differ by a fifth."""


def make_fleet(context, policy, seed):
    servers = [
        pace_fleet.Server(
            name=f"s{number}",
            seconds=context.seconds,
            expected_seconds=context.seconds,
        )
        for number in range(SERVERS)
    ]
    return pace_fleet.Fleet(
        nodes=context.nodes,
        servers=servers,
        policy=policy,
        seed=seed,
        has_view=context.has_view,
    )


def run_return(context, able_after=0.0, **changes):
    """Run the return of a server under each policy, with several seeds."""
    context.runs = collections.defaultdict(list)
    for policy in POLICIES:
        for seed in SEEDS:
            fleet = make_fleet(context, policy, seed)
            fleet.watched = RETURNED
            fleet.stop(RETURNED)
            fleet.run(2.0)
            fleet.restart(RETURNED, **changes)
            if context.view_ends_after is not None:
                fleet.run(context.view_ends_after)
                fleet.has_view = False
                fleet.run(5.0 - context.view_ends_after)
            else:
                fleet.run(5.0 + able_after)
            fleet.returned_at = fleet.find_server(RETURNED).started
            fleet.able_at = fleet.returned_at + able_after
            context.runs[policy].append(fleet)
    for policy in POLICIES:
        print_figures(context, policy)


def print_figures(context, policy):
    runs = context.runs[policy]
    rejected, arrived = sum_first(runs, "returned_at")
    shares = [
        sum(
            each.find_share(RETURNED, each.able_at + begin, each.able_at + begin + 1.0)
            for each in runs
        )
        / len(runs)
        for begin in (1.0, 2.0, 3.0)
    ]
    print(
        f"{policy}: {context.nodes} nodes, answers of {context.seconds} s, "
        f"rejected {rejected} of {arrived} in the first 2 s, "
        f"share after 1, 2, 3 s: {', '.join(f'{each:.2f}' for each in shares)}"
    )


def sum_first(runs, since, seconds=2.0):
    """Return rejections and arrivals in the time after the return."""
    return tuple(
        sum(
            each.count(
                kind, RETURNED, getattr(each, since), getattr(each, since) + seconds
            )
            for each in runs
        )
        for kind in ("rejection", "arrival")
    )


def check_part(rejected, arrived):
    assert arrived, "no request arrived"
    assert rejected < 0.05 * arrived, (rejected, arrived)


@behave.given(
    "a failure domain of a deployment of {nodes:d} nodes with answers of {seconds:g} s"
)
def step_domain(context, nodes, seconds):
    context.nodes = -(-nodes // pace_fleet.DOMAINS[nodes])
    context.seconds = seconds
    context.has_view = True
    context.view_ends_after = None


@behave.given("no view of the other nodes")
def step_no_view(context):
    context.has_view = False


@behave.given("the view is lost half a second after the return")
def step_lost_view(context):
    context.view_ends_after = 0.5


@behave.when(
    "a server returns and warms up in 2 seconds from 0.3 of its places at half speed"
)
def step_cold(context):
    run_return(context, warm_seconds=2.0, cold_part=0.3, cold_slowdown=2.0)


@behave.when("a server returns that always takes 2.5 times as long as expected")
def step_slow(context):
    run_return(context, seconds=2.5 * context.seconds)


@behave.when("a server returns that is slow above 0.85 of its places")
def step_nearly_full(context):
    run_return(context, slow_part=0.85)


@behave.when("a server returns that rejects everything for 1 second")
def step_rejecting(context):
    run_return(context, able_after=1.0, warm_seconds=1.0, rejects_cold=True)


@behave.when(
    "a server runs 4 times for 1.5 seconds and is away for 1 second in between"
)
def step_flap(context):
    context.runs = collections.defaultdict(list)
    for policy in POLICIES:
        for seed in SEEDS:
            fleet = make_fleet(context, policy, seed)
            fleet.stop(RETURNED)
            fleet.run(1.0)
            fleet.returned_at = fleet.now
            for _ in range(4):
                fleet.restart(
                    RETURNED, warm_seconds=2.0, cold_part=0.3, cold_slowdown=2.0
                )
                fleet.run(1.5)
                fleet.stop(RETURNED)
                fleet.run(1.0)
            context.runs[policy].append(fleet)
        runs = context.runs[policy]
        rejected, arrived = sum_first(runs, "returned_at", 10.0)
        print(f"{policy}: rejected {rejected} of {arrived}, cut {count_cuts(runs)}")


def count_cuts(runs):
    return sum(each.count("cut", RETURNED, each.returned_at, each.now) for each in runs)


@behave.when("all servers are replaced in turn and warm up in 2 seconds")
def step_release(context):
    context.releases = collections.defaultdict(list)
    for policy in POLICIES:
        for seed in SEEDS[:2]:
            fleet = make_fleet(context, policy, seed)
            fleet.run(1.0)
            for number in range(SERVERS):
                fleet.stop(f"s{number}")
                fleet.run(1.0)
                fleet.restart(
                    f"s{number}", warm_seconds=2.0, cold_part=0.3, cold_slowdown=2.0
                )
                fleet.run(4.0)
            context.releases[policy].append(fleet)
        rejected, arrived = sum_release(context.releases[policy])
        refused = sum(each.refused for each in context.releases[policy])
        print(f"{policy}: rejected {rejected} of {arrived}, refused {refused}")


def sum_release(fleets):
    return tuple(
        sum(
            fleet.count(kind, each.name, each.started, each.started + 2.0)
            for fleet in fleets
            for each in fleet.servers
        )
        for kind in ("rejection", "arrival")
    )


@behave.then("under 5 in 100 of its arrivals in the first 2 seconds are rejected")
def step_rejections(context):
    check_part(*sum_first(context.runs["pace"], "returned_at"))


@behave.then(
    "under 5 in 100 of its arrivals are rejected in 2 seconds since it can run"
)
def step_rejections_able(context):
    check_part(*sum_first(context.runs["pace"], "able_at"))


@behave.then("under 5 in 100 of its arrivals are rejected in all its runs")
def step_rejections_all(context):
    check_part(*sum_first(context.runs["pace"], "returned_at", 10.0))


@behave.then(
    "under 5 in 100 of the arrivals in each server's first 2 seconds are rejected"
)
def step_rejections_release(context):
    check_part(*sum_release(context.releases["pace"]))


@behave.then("no request is refused")
def step_refused(context):
    refused = [each.refused for each in context.releases["pace"]]
    assert not any(refused), refused


@behave.then("it has its fair share of work 3 seconds after it can run")
def step_share(context):
    runs = context.runs["pace"]
    shares = [
        each.find_share(RETURNED, each.able_at + 3.0, each.able_at + 4.0)
        for each in runs
    ]
    assert sum(shares) / len(shares) >= FAIR_SHARE, shares


@behave.then("all nodes together share one slow start")
def step_shared(context):
    """Check the requests of all nodes against the places of one.

    Nodes see each other's requests half a second late, so that a place may be used by
    two of them, the one that it belongs to and one that it is offered to.
    """
    for each in context.runs["pace"]:
        assert each.granted, "no slow start"
        first = [
            running
            for at, running, _ in each.granted
            if at < each.returned_at + pace_fleet.VIEW_SECONDS
        ]
        assert max(first, default=0) <= starts.START_PLACES, first
        over = [found for found in each.granted if found[1] > 2.0 * found[2]]
        assert not over, over


@behave.then("all nodes together have had at most {most:d} rejections until it can run")
def step_trials(context, most):
    found = [
        each.count("rejection", RETURNED, each.returned_at, each.able_at)
        for each in context.runs["pace"]
    ]
    assert max(found) <= most, found


@behave.then("fewer of its requests are cut than in a flood")
def step_cuts(context):
    cuts = {policy: count_cuts(runs) for policy, runs in context.runs.items()}
    assert cuts["pace"] < cuts["flood"], cuts


@behave.then("each node keeps the state of its last run only")
def step_state(context):
    for fleet in context.runs["pace"]:
        listed = {each.name for each in fleet.servers} - {RETURNED}
        for node, pace in enumerate(fleet.paces):
            assert pace.list_starting() in ([], [RETURNED]), pace.list_starting()
            for wait in (0.0, 11.0):
                pace.remove_left(listed, fleet.read_clock(node) + wait)
            assert not pace.list_starting()
