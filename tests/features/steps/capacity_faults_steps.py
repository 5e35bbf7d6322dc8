import unittest.mock

import attrs
import behave

from jujubepass import ids
from jujubepass.capacity import shared_view
from tests import capacity_network

TOLERANCE = 1e-6


def find_nodes(context):
    return context.network.list_domain()


@behave.when("the first collector is killed")
def step_kill_first(context):
    kill(context, find_nodes(context)[:1])


@behave.when("both collectors are killed")
def step_kill_both(context):
    kill(context, find_nodes(context)[:2])


@behave.when("a node that is no collector is killed")
def step_kill_other(context):
    kill(context, find_nodes(context)[-1:])


def kill(context, nodes):
    context.network.run(context.network.random.uniform(0.0, 0.25))
    context.killed = len(nodes)
    context.killed_names = {each.name for each in nodes}
    for node in nodes:
        context.network.kill(node.name)


@behave.then("no node of the domain is without a view for the next {seconds:d} seconds")
def step_always_known(context, seconds):
    network = context.network
    for _ in range(20 * seconds):
        network.run(0.05)
        for node in find_nodes(context):
            assert node.view.is_known(network.now), (node.name, network.now)


def assert_exact(context):
    network = context.network
    for node in find_nodes(context):
        for engine in network.list_engines():
            use = node.view.find_use(engine, network.now)
            assert use is not None, node.name
            expected = network.count_use(engine)[0]
            assert abs(use.running - expected) < TOLERANCE, (use, expected)


@behave.then(
    "for {bursts:d} bursts each node knows the use of all engines within {seconds:g}"
    " seconds of its reports"
)
def step_bursts_exact(context, bursts, seconds):
    network = context.network
    for _ in range(bursts):
        for node in find_nodes(context):
            node.start(network.draw_engines())
        network.run(seconds)
        assert_exact(context)


@behave.then("the counts are those of the nodes that are left")
def step_exact(context):
    assert_exact(context)


@behave.then("within {seconds:g} seconds no node uses a view of theirs")
def step_unused_views(context, seconds):
    network = context.network
    # The last view was on its way.
    network.run(seconds + max(capacity_network.HOP_SECONDS))
    for node in find_nodes(context):
        found = node.view.find_collector(network.now)
        assert found not in context.killed_names, (node.name, found)


@behave.then("within {seconds:g} seconds each node has a view of {count:d} nodes")
def step_covered(context, seconds, count):
    network = context.network
    network.run(seconds)
    for node in find_nodes(context):
        found = node.view.count_covered(network.now)
        assert found == count, (node.name, found)


@behave.when("a node's link to the first collector is cut")
def step_cut(context):
    nodes = find_nodes(context)
    context.node = nodes[-1]
    context.network.cut(context.node.name, nodes[0].name)


@behave.then("that node knows the use of all engines from {seconds:g} seconds on")
def step_knows(context, seconds):
    network = context.network
    network.run(seconds)
    for _ in range(3):
        wrong = network.find_wrong(context.node, network.list_engines())
        assert not wrong, wrong
        network.run(0.5)


@behave.then("{seconds:d} seconds later a third node gets its reports too")
def step_third(context, seconds):
    network = context.network
    network.run(seconds)
    third = find_nodes(context)[2]
    assert context.node.name in third.capacity.collector.list_receivers(network.now)


@behave.when("a node is cut off from all others")
def step_cut_off(context):
    context.node = find_nodes(context)[-1]
    for node in find_nodes(context)[:-1]:
        context.network.cut(context.node.name, node.name)


@behave.then("within {seconds:g} seconds that node has no view")
def step_no_view(context, seconds):
    network = context.network
    network.run(seconds)
    for engine in network.list_engines():
        assert context.node.view.find_use(engine, network.now) is None


@behave.when("its links are mended")
def step_mend(context):
    context.network.cuts.clear()


# Guards against decisions by counts from before a suspension of the VM.
@behave.when("a node that is no collector is suspended for {seconds:d} seconds")
def step_suspend(context, seconds):
    network = context.network
    context.node = find_nodes(context)[-1]
    network.freeze(context.node.name, seconds)
    # The moment before the first datagram is read.
    network.run(seconds - TOLERANCE)


@behave.then("it has no view when it wakes up")
def step_no_view_at_wake(context):
    for engine in context.network.list_engines():
        assert context.node.view.find_use(engine, context.network.now) is None


@behave.then("half a second later each node knows the use of all engines")
def step_knows_after(context):
    context.network.run(0.5)
    assert_all_know(context)


def assert_all_know(context):
    network = context.network
    for node in find_nodes(context):
        wrong = network.find_wrong(node, network.list_engines())
        assert not wrong, (node.name, next(iter(wrong.items())))


@behave.when(
    "the first collector is suspended for {seconds:d} seconds while all requests end"
)
def step_suspend_collector(context, seconds):
    network = context.network
    network.freeze(find_nodes(context)[0].name, seconds)
    network.run(1.0)
    for node in find_nodes(context):
        while node.running:
            node.end()
    network.run(seconds - 1.0)


@behave.then(
    "for {seconds:d} seconds after it wakes up no node takes an engine for busy"
)
def step_unused(context, seconds):
    network = context.network
    for _ in range(20 * seconds):
        network.run(0.05)
        for node in find_nodes(context):
            for engine in network.list_engines():
                use = node.view.find_use(engine, network.now)
                assert use is None or use.running == 0, (node.name, use)


@behave.when("a node that is no collector is restarted")
def step_restart(context):
    network = context.network
    name = find_nodes(context)[-1].name
    network.restart_node(name)
    context.node = network.nodes[name]
    context.node.start(network.draw_engines())


@behave.then("within {seconds:g} seconds each node knows the use of all engines")
def step_all_know(context, seconds):
    context.network.run(seconds)
    assert_all_know(context)


@behave.when("each of them has {count:d} requests on one engine, which restarts")
def step_restart_engine(context, count):
    network = context.network
    context.engine = network.list_engines()[0]
    for node in find_nodes(context):
        for _ in range(count):
            node.start(frozenset({context.engine}))
    network.run(1.0)
    listed = network.backends.listed
    engine = listed[context.engine]
    listed[context.engine] = attrs.evolve(engine, started_at=engine.started_at + 9_000)
    network.backends.revision += 1


@behave.then("within {seconds:g} seconds each node knows that nothing runs on it")
def step_nothing(context, seconds):
    assert_runs(context, seconds, 0)


@behave.when(
    "each of them starts {count:d} request on it and those of the earlier run end"
)
def step_start_on_new(context, count):
    for node in find_nodes(context):
        earlier = len(node.running)
        for _ in range(count):
            node.start(frozenset({context.engine}))
        for _ in range(earlier):
            node.end()


@behave.then(
    "within {seconds:g} seconds each node knows that {count:d} request of each node"
    " runs on it"
)
def step_runs(context, seconds, count):
    assert_runs(context, seconds, count * len(find_nodes(context)))


def assert_runs(context, seconds, count):
    network = context.network
    network.run(seconds)
    for node in find_nodes(context):
        use = node.view.find_use(context.engine, network.now)
        assert use is not None and use.running == count, (node.name, use)


@behave.when("a node reports {count:d} requests on an engine")
def step_absurd(context, count):
    context.node = find_nodes(context)[-1]
    context.engine = context.network.list_engines()[0]
    context.expected = {
        node.name: context.network.count_use(context.engine)[0]
        - sum(context.engine in engines for engines, _ in context.node.running)
        for node in find_nodes(context)
    }
    for _ in range(count):
        context.node.capacity.recorder.record_start((context.engine,))


@behave.then("within {seconds:g} seconds each other node knows the rest of that use")
def step_rest(context, seconds):
    network = context.network
    network.run(seconds)
    for node in find_nodes(context)[:-1]:
        use = node.view.find_use(context.engine, network.now)
        assert use.running == context.expected[node.name], (node.name, use)


@behave.then("the collectors have counted absurd values")
def step_counted(context):
    for node in find_nodes(context)[:2]:
        assert node.capacity.index.absurd_counts > 0


@behave.when(
    "each of them reports {count:d} requests on an engine with {slots:d} slots"
)
def step_absurd_sum(context, count, slots):
    context.engine = context.network.list_engines()[0]
    for node in find_nodes(context):
        for _ in range(count):
            node.start(frozenset({context.engine}))
    context.network.run(0.5)


@behave.then("no node claims to know the use of that engine")
def step_unknown_sum(context):
    network = context.network
    for node in find_nodes(context):
        assert node.view.find_use(context.engine, network.now) is None
        assert node.view.is_known(network.now)


@behave.when(
    "{count:d} engines come and go one after another, each with a request of the last"
    " node"
)
def step_come_and_go(context, count):
    network = context.network
    context.node = find_nodes(context)[-1]
    listed = network.backends.listed
    pattern = next(iter(listed.values()))
    for number in range(count):
        name = ids.BackendServerId(f"guest-{number}")
        listed[name] = attrs.evolve(pattern, name=name)
        network.backends.revision += 1
        context.node.start(frozenset({name}))
        context.node.view.find_use(name, network.now)
        context.node.end()
        del listed[name]
        network.backends.revision += 1
    network.run(1.0)


@behave.then("that node keeps at most twice as many digests as engines are listed")
def step_digests(context):
    kept = len(context.node.capacity.index._digests)
    assert kept <= 2 * len(context.network.backends.listed) + 1, kept


@behave.when("both collectors are killed and {seconds:g} seconds pass")
def step_kill_and_wait(context, seconds):
    kill(context, find_nodes(context)[:2])
    context.network.run(seconds)


@behave.then("a node finds the uses of {count:d} engines by one choice of a view")
def step_one_choice(context, count):
    network, node = context.network, find_nodes(context)[-1]
    choose, chosen = shared_view.SharedView._choose, []

    def count_choice(view, now):
        chosen.append(now)
        return choose(view, now)

    with unittest.mock.patch.object(shared_view.SharedView, "_choose", count_choice):
        for number in range(count):
            engine = network.list_engines()[number % len(network.list_engines())]
            assert node.view.find_use(engine, network.now) is not None
    assert 0.6 < node.view.find_age(network.now) < 1.0
    assert len(chosen) <= 1, chosen
