import cProfile
import json
import math
import pstats
import random
import unittest.mock

import attrs
import behave

from jujubepass.forwarding import suspicion
from jujubepass.platform import configuration
from jujubepass.spreading import shared_rooms, spill
from tests import spread_fleet


@behave.given(
    "three domains of unlike engines with {nodes:d} nodes each, by a shared view"
)
def step_fleet(context, nodes):
    context.fleet = spread_fleet.SpreadFleet(nodes=nodes)
    context.gaps, context.peaks = [], {}


def start_all(fleet, domain="a"):
    return [fleet.start(domain, node) for node in fleet.domains[domain].nodes]


@behave.when("all nodes of the first domain choose at once")
def step_at_once(context):
    start_all(context.fleet)


@behave.then("at least {count:d} pipelines are used, each within its places")
def step_used(context, count):
    found = context.fleet.list_rooms("a")
    assert sum(each.load > 0 for each in found) >= count, found
    # Nodes that start more at once than there are places cannot know of each other.
    if len(context.fleet.running) <= sum(each.places for each in found):
        assert all(each.load <= each.places for each in found), found


@behave.then("no used pipeline is predicted to be 1.5 times as slow as one less loaded")
def step_not_slow(context):
    found = context.fleet.list_rooms("a")
    open_ones = [each for each in found if each.free >= 1.0] or found
    fastest = min(each.pace.predict(each.load) for each in open_ones)
    for each in found:
        if each.load and len(context.fleet.running) <= 100:
            assert each.pace.predict(each.load - 1) <= 1.5 * fastest, found


@behave.when("{count:d} requests start one after another in the first domain")
def step_one_by_one(context, count):
    for _ in range(count):
        context.fleet.domains["a"].arrivals = 1.0
        context.fleet.start("a")
        context.fleet.share()


@behave.then("the predicted times of the used pipelines differ by at most a fifth")
def step_alike(context):
    found = [e for e in context.fleet.list_rooms("a") if 0 < e.load < e.places - 1]
    times = [each.pace.predict(each.load) for each in found]
    assert max(times) <= 1.2 * min(times), times


@behave.then("the numbers of their requests differ by at least 1.3 times")
def step_unlike(context):
    counts = [each.load for each in context.fleet.list_rooms("a") if each.load]
    assert max(counts) >= 1.3 * min(counts), counts


def run(context, rates, seconds):
    for _ in range(seconds):
        context.gaps += context.fleet.run(rates, 1.0)
        for name in rates:
            found = context.fleet.list_rooms(name)
            share = sum(e.load for e in found) / sum(e.places for e in found)
            context.peaks[name] = max(context.peaks.get(name, 0.0), share)


@behave.when(
    "{a:d}, {b:d} and {c:d} streams a second arrive in the domains for {seconds:d}"
    " seconds"
)
def step_arrive(context, a, b, c, seconds):
    run(context, {"a": a, "b": b, "c": c}, seconds)


@behave.when(
    "100 streams a second arrive in each domain in turn for 5 seconds, three times"
)
def step_waves(context):
    for number in range(9):
        run(context, {**dict.fromkeys("abc", 10), "abc"[number % 3]: 100}, 5)


@behave.then("streams of the first domain are sent to others and none of theirs to it")
def step_sent(context):
    spilled = context.fleet.spilled
    assert sum(n for (home, _), n in spilled.items() if home == "a") >= 20, spilled
    assert not any(target == "a" for _, target in spilled), spilled


@behave.then("no predicted gap exceeds the goal")
def step_gaps(context):
    assert max(context.gaps) <= spread_fleet.ROUTE.gap_seconds, max(context.gaps)


@behave.then("no domain has more than 1.25 times its places")
def step_peaks(context):
    assert max(context.peaks.values()) <= 1.25, context.peaks


@behave.given("a spill beside domains with {b:d}, {c:d} and {d:d} of 100 places free")
def step_spill(context, b, c, d):
    context.rooms = [
        spill.DomainRoom(domain=name, free=free, places=100.0, waiting=0.0)
        for name, free in (("b", b), ("c", c), ("d", d))
    ]


@behave.when(
    "each of 28 nodes has a request without a place 20 times a second for 4 seconds"
)
def step_short(context):
    spills = [spill.Spill(random_source=random.Random(n)) for n in range(28)]
    context.sent, context.targets = [0] * 4, set()
    for step in range(80):
        for each in spills:
            now = 100.0 + step / 20.0
            each.update(context.rooms, now, is_short=True, requests=60.0, nodes=28)
            target = each.find_target()
            if target is not None:
                each.record(target, now)
                context.sent[step // 20] += 1
                context.targets.add(target)


@behave.then("all is sent to the domain with most room")
def step_most_room(context):
    assert context.targets == {"b"}, context.targets


@behave.then(
    "28 nodes send {mean:d} a second on average, within a tenth, and at most {most:d}"
    " in any"
)
def step_share(context, mean, most):
    # The probability is a half; 60 independent draws would vary by 4.
    assert abs(sum(context.sent) / 4.0 - mean) <= 0.1 * mean, context.sent
    assert max(context.sent) <= most, context.sent


@behave.when("100 requests without a place are sent, and none for 4 seconds")
def step_logged(context):
    one = spill.Spill(random_source=random.Random(1))
    with unittest.mock.patch.object(spill, "_LOGGER") as logger:
        for step in range(101):
            now = 100.0 + 0.1 * step + 4.0 * (step == 100)
            one.update(context.rooms, now, is_short=True, requests=60.0, nodes=1)
            if step < 100:
                one.record(one.find_target(), now)
    context.logged = logger.info.call_args_list


@behave.then("its beginning and end are logged once each")
def step_lines(context):
    begin, end = context.logged
    assert begin.args == ("requests are sent to another failure domain",), begin
    assert end.kwargs["extra"] == {"domain": "b", "requests": 100}, end


@behave.when("all engines of the first domain report that they are 4 times slower")
def step_slow(context):
    for domain in context.fleet.domains.values():
        for name in context.fleet.listed:
            if name.startswith("a-"):
                # Reports are renewed while an engine is slow.
                domain.slow.record_slowdown(name, 4.0, context.fleet.now + 14.0)


@behave.when("a {place} engine of the fastest pipeline is full and all nodes choose")
def step_full(context, place):
    room = min(context.fleet.list_rooms("a"), key=lambda e: e.pace.predict(0.0))
    context.full = room.chain.stages[0 if place == "first" else 3].engine
    context.fleet.domains["a"].full = {context.full}
    context.chosen = start_all(context.fleet)


@behave.then("no node uses it")
def step_not_used(context):
    assert not any(context.full in each.engines for each in context.chosen)


@behave.then("all nodes choose some pipeline even if all engines are full")
def step_all_full(context):
    context.fleet.domains["a"].full = set(context.fleet.listed)
    start_all(context.fleet)


@behave.when("the view is {state} and a node starts 200 requests")
def step_unknown(context, state):
    domain = context.fleet.domains["a"]
    domain.is_known = state != "unknown"
    context.node = spread_fleet.make_node(domain, seed=1, uses_view=state != "unused")
    alone = spread_fleet.make_node(domain, seed=2, uses_view=False)
    alone.choice.shared = None
    context.pairs = []
    for _ in range(200):
        pipelines = [each.start(context.fleet.now) for each in (context.node, alone)]
        context.pairs.append(pipelines)
        if len(context.pairs) % 3 == 0:
            for each, pipeline in zip((context.node, alone), pipelines, strict=True):
                each.end(pipeline)


@behave.then("each has the pipeline that a node without a view chooses")
def step_same(context):
    assert all(one == other for one, other in context.pairs)


@behave.then("the places are unknown")
def step_places_unknown(context):
    places = context.node.choice.find_places(spread_fleet.SERVICE)
    assert places.count_free(context.fleet.now) is None
    assert places.has_place(context.pairs[0][0], context.fleet.now)


class FreePlaces:
    """Take the free places that are told to other nodes."""

    def set_free_places(self, places):
        self.places = places


@behave.then(
    "the free places are those of its pipelines less {used:d}, and others are told"
)
def step_free(context, used):
    node = context.fleet.domains["a"].nodes[0]
    node.choice.recorder = FreePlaces()
    context.places = node.choice.find_places(spread_fleet.SERVICE)
    context.expected = {e.entry: e for e in context.fleet.list_rooms("a")}
    free = context.places.count_free(context.fleet.now)
    assert free == sum(e.places for e in context.expected.values()) - used, free
    assert node.choice.recorder.places == free


@behave.then("the places of a service that was removed are told no more")
def step_removed(context):
    fleet, node = context.fleet, context.fleet.domains["a"].nodes[0]
    blackboard = fleet.domains["a"].blackboard
    gone = attrs.evolve(spread_fleet.SERVICE, name="gone")
    blackboard.plans.plans[gone.name] = fleet.plan
    free = context.places.count_free(fleet.now)
    assert node.choice.find_places(gone).count_free(fleet.now) > 0
    assert node.choice.recorder.places > free
    node.choice.update_shared(fleet.now)
    assert node.choice.recorder.places == free, node.choice.recorder.places


@behave.then("a suspected or silent engine takes the places of its pipeline away")
def step_away(context):
    fleet, (one, other, *_) = context.fleet, context.expected.values()
    free = context.places.count_free(fleet.now)
    domain = fleet.domains["a"]
    reason = suspicion.SuspicionReason.UNREACHABLE
    domain.suspects.suspect(one.chain.stages[2].engine, reason, fleet.now)
    assert context.places.count_free(fleet.now) == free - one.free
    silences = domain.nodes[0].choice.silences
    silences.record(other.chain.stages[1].engine, 1, 0.5, fleet.now)
    assert context.places.count_free(fleet.now) == free - one.free - other.free
    assert context.places.count_free(fleet.now + 1.0) == free


@behave.then("a pipeline whose places are taken has none")
def step_taken(context):
    fleet = context.fleet
    pipeline = fleet.start("a")
    assert context.places.has_place(pipeline, fleet.now + 1.0)
    entry = pipeline.stages[0].engine
    fleet.domains["a"].running[entry] = int(context.expected[entry].places)
    assert not context.places.has_place(pipeline, fleet.now + 1.0)


@behave.then("uses of -1, nan and 385 requests count as unknown")
def step_invalid(context):
    domain = context.fleet.domains["a"]
    shared = domain.nodes[0].choice.shared.rooms
    entry = context.fleet.list_rooms("a")[0].entry
    for count, is_valid in ((384, True), (-1, False), (math.nan, False), (385, False)):
        domain.running = {entry: count}
        domain.nodes[0].view.reported.clear()
        use = shared.find_use(entry, spread_fleet.MODEL, context.fleet.now)
        assert (use is not None) == is_valid, (count, use)


@behave.given("a configuration whose engine has {key} of {value}")
def step_configuration(context, key, value):
    engine = {
        "layers": 80,
        "layerMb": 1750,
        "kvTokenBytes": 1_180_000,
        "slots": 96,
        "step_ms": 1.02,
        "read_per_s": 164_000,
        key: json.loads(value),
    }
    services = [{"name": "drafts", "engine": engine}]
    row = {"version": 1, "routes": [], "services": services}
    read = configuration.read_configuration("current", 1, row)
    context.model = read.services["drafts"].model


@behave.then("the model's {key} is {value}")
def step_read(context, key, value):
    fields = {
        "context_per_k": "context_seconds_per_1k_tokens",
        "stride": "stride",
    }
    read = getattr(context.model, fields[key])
    assert math.isclose(read, float(value)), read


def count_calls(node, now):
    profile = cProfile.Profile()
    node.choice.choose(spread_fleet.SERVICE, now)
    profile.runcall(node.choice.choose, spread_fleet.SERVICE, now + 0.05)
    return pstats.Stats(profile).total_calls


@behave.then(
    "a choice takes at most 1.2 times the function calls of one without a view"
)
def step_calls(context):
    domain = context.fleet.domains["a"]
    alone = spread_fleet.make_node(domain, seed=1, uses_view=False)
    most = 1.2 * count_calls(alone, context.fleet.now)
    for load in (0, 100):
        for name in context.fleet.listed:
            domain.running[name] = load
        found = count_calls(domain.nodes[0], context.fleet.now)
        assert found <= most, (load, found, most)


@behave.then(
    "a choice while layers are lost here and others have no room counts each domain"
    " once, in any order of the list"
)
def step_lost_layers(context):
    fleet = context.fleet
    domain = fleet.domains["a"]
    domain.lines = [attrs.evolve(each, free_places=0.0) for each in domain.lines]
    names = [
        name
        for name, engine in sorted(fleet.listed.items())
        if engine.failure_domain != "a" or engine.held.first > 0
    ]
    random.Random(1).shuffle(names)
    domain.blackboard.backends.listed = {name: fleet.listed[name] for name in names}
    domain.blackboard.backends.revision += 1
    choice, counted = domain.nodes[0].choice, []
    list_rooms = shared_rooms.SharedRooms.list_rooms

    def count(rooms, service, name, now):
        counted.append(name)
        return list_rooms(rooms, service, name, now)

    with unittest.mock.patch.object(shared_rooms.SharedRooms, "list_rooms", count):
        assert choice.choose(spread_fleet.SERVICE, fleet.now) is not None
    assert sorted(counted) == ["a", "b", "c"], counted
