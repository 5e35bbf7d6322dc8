"""Steps for the decisions of the queue for places."""

import math
import random

import attrs
import behave

from jujubepass.platform import configuration
from jujubepass.shortage import entries, queue
from tests import shortage_domain

DEMAND_SECONDS = 10.0
BURST_AT = 3.0
# Mean length of the simulated streams.
STREAM_SECONDS = 2.0


@behave.given("{nodes:d} nodes that see {places:d} places one interval late")
def step_domain(context, nodes, places):
    context.nodes, context.places = nodes, places
    context.capacity = places / STREAM_SECONDS


def run(context, *loads, seconds=DEMAND_SECONDS, **fields):
    """Run loads, given as (part of the capacity, priority, account and more)."""
    context.domain = shortage_domain.Domain(
        nodes=context.nodes,
        places=context.places,
        loads=tuple(
            shortage_domain.Load(
                rate=part * context.capacity, priority=priority, **each
            )
            for part, priority, each in loads
        ),
        **fields,
    ).run(seconds)


@behave.when("three priorities ask for twice the places for 10 seconds")
def step_twice(context):
    run(context, *((2 / 3, level, {"account": f"a{level}"}) for level in range(3)))


@behave.when("three priorities ask for nine tenths of the places")
def step_below(context):
    run(context, *((0.3, level, {}) for level in range(3)))


@behave.then(
    "at least {percent:d} in 100 of each priority start in time for their goal"
)
def step_in_time(context, percent):
    for level, waits in context.domain.waits.items():
        goal = shortage_domain.make_entry(0.0, level).goal_seconds
        latest = goal - shortage_domain.FIRST_EVENT_SECONDS
        arrived = context.domain.counts[level, "a"]["arrived"]
        in_time = sum(each <= latest for each in waits)
        assert in_time >= percent / 100.0 * arrived, (level, in_time, arrived)


@behave.when(
    "priority 2 asks for three times the places besides half of them for the others"
)
def step_least_urgent(context):
    steady = [(0.25, level, {}) for level in (0, 1)]
    burst = 3.0, 2, {"began_at": BURST_AT, "account": "b"}
    run(context, *steady, burst, counted_from=BURST_AT)


@behave.when("priority 0 asks for twice the places besides half of them for the others")
def step_most_urgent(context):
    steady = [(0.25, level, {"account": "b"}) for level in (1, 2)]
    burst = 2.0, 0, {"began_at": BURST_AT}
    run(context, *steady, burst, counted_from=BURST_AT)


@behave.when("one account asks for 17 times as much as each of three others")
def step_skewed(context):
    small = [(0.1, 1, {"account": f"small{each}"}) for each in range(3)]
    run(context, (1.7, 1, {"account": "large"}), *small)


@behave.when("callers of one of two accounts come back at once after each refusal")
def step_ignoring(context):
    run(
        context,
        (1.0, 1, {"account": "honours"}),
        (1.0, 1, {"account": "ignores", "ignores_times": True}),
    )


@behave.when("half of the places are lost under full load")
def step_lost(context):
    loads = [(0.6, level, {}) for level in (0, 1)]
    context.lost_at = 5.0
    losses = ((context.lost_at, context.places / 2),)
    run(context, *loads, losses=losses)


@behave.then("at most a tenth more requests run than there are places")
def step_over(context):
    most = context.domain.most_running
    assert most <= 1.1 * context.places, most / context.places


@behave.then("less than a tenth of the places are idle while requests wait")
def step_idle(context):
    idle = [max(0.0, each) for each in context.domain.idle]
    mean = sum(idle) / len(idle) / context.domain.places
    assert mean < 0.1, mean


def list_fractions(domain):
    levels = {level for level, _ in domain.counts}
    names = {name for _, name in domain.counts}
    found = {level: domain.find_fraction(priority=level) for level in levels}
    return found | {name: domain.find_fraction(account=name) for name in names}


@behave.then("priority 0 is served at or above the fraction of the others")
def step_urgent_share(context):
    found = list_fractions(context.domain)
    assert found[0] >= max(found[1], found[2]), found


@behave.then(
    "no priority and no account is served below a quarter of the fraction of all"
)
def step_quarter(context):
    found = list_fractions(context.domain)
    assert min(found.values()) >= context.domain.find_fraction() / 4.0, found


@behave.then("at least {percent:d} in 100 requests of priority {level:d} are served")
def step_served(context, percent, level):
    found = context.domain.find_fraction(priority=level)
    assert found >= percent / 100.0, list_fractions(context.domain)


@behave.then("each small account is served at or above the fraction of the large one")
def step_small(context):
    found = list_fractions(context.domain)
    small = min(value for key, value in found.items() if str(key).startswith("small"))
    assert small >= found["large"], found


@behave.then("the account that honours the times is served at least half as often")
def step_honours(context):
    found = list_fractions(context.domain)
    assert found["honours"] >= found["ignores"] / 2.0, found


@behave.then("few requests start until the running ones fit the places")
def step_fit(context):
    # Streams last up to 3 s; half of them end within 1 s.
    started = sum(
        context.lost_at + 0.5 < at <= context.lost_at + 1.0
        for at in context.domain.started
    )
    assert started <= 0.1 * context.places, started


def make_known(waiting, *, free=0.0, version=1.0, priority=1):
    demand = attrs.evolve(
        shortage_domain.NO_DEMAND,
        waiting=tuple(waiting * (level == priority) for level in range(10)),
        arrivals_per_second=(0.0, 50.0, *(0.0,) * 8),
        ends_per_second=50.0,
        nodes=9,
    )
    return queue.Known(demand=demand, free=free, total=100.0, version=version)


def make_queue(waiting):
    found = queue.Queue(random_source=random.Random(1))
    found.update(make_known(waiting), 100.0)
    return found


@behave.given(
    "a node whose places are full and {count:d} requests that wait in the domain"
)
def step_full(context, count):
    context.queue = make_queue(count)


@behave.given("a node with {count:d} waiting requests of priority 1")
def step_waiting(context, count):
    # Enough streams end that none of them is hopeless.
    context.queue = make_queue(0.0)
    context.queue.state.ends = 2_000.0
    for number in range(count):
        entry = shortage_domain.make_entry(100.0, 1, deadline=120.0 + number)
        context.queue.enter(entry, 100.0)
    assert len(context.queue.waiting) == count, len(context.queue.waiting)


@behave.when("a request of priority {level:d} arrives with 20 seconds left")
def step_arrives(context, level):
    context.entry = shortage_domain.make_entry(100.0, level)
    context.changed = context.queue.enter(context.entry, 100.0)


@behave.then("it is refused at once, to come back between 0.5 and 6.7 seconds later")
def step_refused(context):
    entry = context.entry
    assert entry.state is entries.State.REFUSED, entry
    assert 0.5 <= entry.retry_after_seconds <= 6.7, entry
    assert not context.queue.waiting


@behave.then("the next ones are told to come back later than it")
def step_spread(context):
    times = []
    for _ in range(100):
        step_arrives(context, 1)
        if context.entry.state is not entries.State.REFUSED:
            context.queue.leave(context.entry)
            continue
        times.append(context.entry.retry_after_seconds)
    first, last = sum(times[:10]) / 10, sum(times[-10:]) / 10
    assert last > first and max(times) <= 20.0 / 3.0, times
    assert len(set(times)) == len(times), times


@behave.when("a caller resumes a stream")
def step_resume(context):
    context.entry = shortage_domain.make_entry(100.0, 1, is_resumed=True)
    context.queue.enter(context.entry, 100.0)


@behave.then("it starts at once")
def step_starts(context):
    assert context.entry.state is entries.State.STARTED, context.entry


@behave.then("the last of the waiting ones is refused and {count:d} wait")
def step_evicted(context, count):
    (refused,) = context.changed
    assert refused.state is entries.State.REFUSED and refused.priority == 1
    assert refused.deadline >= max(
        each.deadline for each in context.queue.waiting if each.priority == 1
    )
    assert len(context.queue.waiting) == count, len(context.queue.waiting)


@behave.then(
    "the order is by priority, lateness, service of the account by weight, deadline"
)
def step_order(context):
    found = make_queue(0.0)
    found.state.ends = 2_000.0
    for account in ("served", "served", "heavy", "heavy"):
        weight = 10.0 if account == "heavy" else 1.0
        entry = shortage_domain.make_entry(99.0, 1, account, weight=weight)
        found.fairness.record_arrival(entry, 99.0)
        found.fairness.record_start(entry, 99.0)
    make = shortage_domain.make_entry
    expected = [
        make(99.0, 0),
        make(99.9, 1),
        make(99.9, 1, deadline=121.0),
        make(99.9, 1, "heavy", weight=10.0),
        make(99.9, 1, "served"),
        make(99.0, 1),
    ]
    # Starvation is tested apart.
    found.waiting = expected[::-1]
    ranked = sorted(found.waiting, key=lambda each: found._rank(each, 100.0))
    assert ranked == expected, ranked


@behave.when("the view becomes unknown")
def step_unknown(context):
    context.queue.update(None, 100.1)
    context.changed = context.queue.decide(100.1)


@behave.then("all of them start")
def step_all_start(context):
    assert len(context.changed) == 3, context.changed
    assert all(each.state is entries.State.STARTED for each in context.changed)


@behave.then('priorities -3, 12, "x" and 2 count as 0, 9, 9 and 2')
def step_priorities(context):
    found = [entries.clamp_priority(each) for each in (-3, 12, "x", 2, math.inf)]
    assert found == [0, 9, 9, 2, 9], found


@behave.then('weights 0, -1, "x", nan and 2.5 count as 1, 1, 1, 1 and 2.5')
def step_weights(context):
    found = [entries.clamp_weight(each) for each in (0, -1, "x", math.nan, 2.5)]
    assert found == [1.0, 1.0, 1.0, 1.0, 2.5], found


@behave.then("a tenant's weight is decoded, and 1 where it is missing or invalid")
def step_tenants(context):
    tenants = [
        {"name": "a", "apiKeys": ["ka"], "weight": 3},
        {"name": "b", "apiKeys": ["kb"]},
        {"name": "c", "apiKeys": ["kc"], "weight": -2},
    ]
    value = {"version": 1, "routes": [], "services": [], "tenants": tenants}
    found = configuration.read_configuration("k", 1, value).accounts
    weights = [found[key].weight for key in ("ka", "kb", "kc")]
    assert weights == [3.0, 1.0, 1.0], weights
