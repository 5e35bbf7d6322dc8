import behave

from tests import capacity_network

START_SECONDS = 3.0
REMOVED = "key-gone"


def start_network(context, count, **settings):
    context.network = capacity_network.Network(count=count, **settings)
    context.network.run(START_SECONDS)
    context.unknown = 0
    return context.network


# Guards against decisions on what one node runs itself times the number of nodes.
@behave.given("{count:d} nodes that share what they run")
def step_nodes(context, count):
    start_network(context, count)
    assert all(
        each.view.is_known(context.network.now)
        for each in context.network.list_domain()
    )


@behave.given(
    "{count:d} nodes that share what they run and lose {loss:d} in 100 datagrams"
)
def step_lossy_nodes(context, count, loss):
    start_network(context, count, loss=loss / 100.0)


def change_load(network):
    """Start and end requests at each node of the first domain."""
    for node in network.list_domain():
        for _ in range(network.random.randint(0, 3)):
            prefilled = network.random.random() < 0.7
            node.start(network.draw_engines(), prefilled=prefilled)
        for _ in range(network.random.randint(0, min(3, len(node.running)))):
            node.end()


@behave.then(
    "for {bursts:d} bursts each node knows the use of all engines within {seconds:g}"
    " seconds"
)
def step_bursts(context, bursts, seconds):
    network = context.network
    engines = network.list_engines()
    for _ in range(bursts):
        change_load(network)
        network.run(seconds)
        for node in network.list_domain():
            wrong = network.find_wrong(node, engines)
            assert not wrong, (node.name, len(wrong), next(iter(wrong.items())))
        # Bursts come at any time between reports.
        count_unknown(context, network.random.uniform(0.0, 1.0))


def count_unknown(context, seconds):
    network = context.network
    end = network.now + seconds
    while network.now < end:
        network.run(min(0.05, end - network.now))
        context.unknown += sum(
            not each.view.is_known(network.now) for each in network.list_domain()
        )


@behave.then("no view was unknown")
def step_none_unknown(context):
    assert context.unknown == 0, context.unknown


@behave.when("each of them runs {count:d} requests")
def step_run(context, count):
    network = context.network
    for node in network.list_domain():
        for _ in range(count):
            node.start(network.draw_engines())
    network.run(1.0)


@behave.when("a node starts {started:d} requests and ends {ended:d}")
def step_start_here(context, started, ended):
    context.node = context.network.list_domain()[-1]
    for _ in range(started):
        context.node.start(context.network.draw_engines())
    for _ in range(ended):
        context.node.end()


@behave.then("that node knows the use of all engines at once")
def step_knows_at_once(context):
    network = context.network
    wrong = network.find_wrong(context.node, network.list_engines())
    assert not wrong, wrong


@behave.when("nothing runs for {seconds:d} seconds")
def step_calm(context, seconds):
    network = context.network
    context.seconds = seconds
    network.datagrams.clear()
    count_unknown(context, seconds)


@behave.then("each node but the collectors sends each of them 1 report a second")
def step_calm_rate(context):
    for node in context.network.list_domain()[2:]:
        sent = context.network.datagrams[node.name]
        assert abs(sent - 2 * context.seconds) <= 2, (node.name, sent)


@behave.then("each node but the collectors sends at most {rate:d} datagrams a second")
def step_busy_rate(context, rate):
    network = context.network
    network.datagrams.clear()
    network.run(5.0)
    for node in network.list_domain()[2:]:
        # One more per collector may fall into the time.
        assert network.datagrams[node.name] <= 5 * rate + 2, network.datagrams


@behave.then("no datagram exceeds {size:d} bytes")
def step_sizes(context, size):
    assert 0 < context.network.largest <= size, context.network.largest


@behave.when("each of them has {count:d} requests whose prompt is being read")
def step_read_prompts(context, count):
    network = context.network
    context.engines = frozenset(network.list_engines()[:3])
    for node in network.list_domain():
        for _ in range(count):
            node.start(context.engines, prefilled=False)
    network.run(0.5)


@behave.then("each node knows that {count:d} requests of each node are being read")
def step_know_reading(context, count):
    network = context.network
    nodes = network.list_domain()
    for node in nodes:
        for engine in context.engines:
            use = node.view.find_use(engine, network.now)
            assert use.prefilling == use.running == count * len(nodes), use


@behave.when("an engine rejects a request of a node that is no collector")
def step_reject(context):
    network = context.network
    context.engine = network.list_engines()[0]
    node = network.list_domain()[-1]
    node.capacity.recorder.record_full(context.engine, network.now)
    network.poll_now(node)


@behave.then("within {seconds:g} seconds the nodes of the domain know that it is full")
def step_full(context, seconds):
    context.network.run(seconds)
    assert_full(context, True)


@behave.then("after {seconds:g} seconds no node takes it for full")
def step_not_full(context, seconds):
    context.network.run(seconds)
    assert_full(context, False)


def assert_full(context, expected):
    network = context.network
    for node in network.list_domain():
        assert node.view.is_full(context.engine, network.now) is expected, node.name


@behave.when("an engine rejects {count:d} requests of a node within a second")
def step_storm(context, count):
    network = context.network
    context.node = network.list_domain()[-1]
    context.node.capacity.outbox.sent.clear()
    for _ in range(count):
        engine = network.list_engines()[0]
        context.node.capacity.recorder.record_full(engine, network.now)
        network.poll_now(context.node)
        network.run(1.0 / count)


@behave.then(
    "that node sends at most {count:d} reports of rejections to each collector"
)
def step_storm_rate(context, count):
    assert 0 < context.node.capacity.outbox.sent["full"] <= 2 * count


@behave.when(
    "{first:d} requests of priority {one:d} and {second:d} of priority {other:d} arrive"
    " and wait at each node"
)
def step_wait(context, first, one, second, other):
    network = context.network
    context.waiting = [one] * first + [other] * second
    for node in network.list_domain():
        for priority in context.waiting:
            node.capacity.recorder.record_arrival(priority)
            node.capacity.recorder.record_waiting(priority, 1)
    network.run(0.5)


@behave.then(
    "each node knows of {nodes:d} nodes with {first:d} requests of priority {one:d} and"
    " {second:d} of priority {other:d}"
)
def step_know_waiting(context, nodes, first, one, second, other):
    network = context.network
    expected = [0.0] * 10
    expected[one], expected[other] = first, second
    for node in network.list_domain():
        demand = node.view.find_demand(network.now)
        assert demand.nodes == nodes, demand
        assert list(demand.waiting) == expected, demand
        assert list(demand.arrivals_per_second) == expected, demand


@behave.when("these requests start and their streams end")
def step_end_streams(context):
    network = context.network
    for node in network.list_domain():
        for priority in context.waiting:
            node.capacity.recorder.record_waiting(priority, -1)
            node.start(network.draw_engines())
            node.end()
    network.run(0.5)


@behave.then("each node knows that {count:d} streams end a second and none waits")
def step_know_ends(context, count):
    network = context.network
    for node in network.list_domain():
        demand = node.view.find_demand(network.now)
        assert demand.ends_per_second == count, demand
        assert not any(demand.waiting), demand


@behave.when(
    "the collectors of domain {number:d} know of {places:g} free places and {count:d}"
    " requests wait there"
)
def step_places(context, number, places, count):
    context.number, context.places, context.count = number, places, count
    nodes = context.network.list_domain(number)
    for node in nodes[:2]:
        node.capacity.recorder.set_free_places(places)
    nodes[0].capacity.recorder.record_waiting(2, count)


@behave.then("each node of domain 0 knows that room within {seconds:g} seconds")
def step_know_places(context, seconds):
    network = context.network
    network.run(seconds)
    for node in network.list_domain():
        (line,) = node.view.list_domains(network.now)
        assert line.domain == f"d{context.number}", line
        assert line.free_places == context.places, line
        assert line.waiting[2] == context.count, line
        assert 0.0 <= line.age_seconds <= seconds, line


@behave.when("{count:d} nodes of domain 1 run requests on engines of domain 0")
def step_spill(context, count):
    network = context.network
    for node in network.list_domain(1)[-count:]:
        node.start(network.draw_engines(0))


@behave.then(
    "each node of domain 0 knows the use of all engines within {seconds:g} seconds"
)
def step_know_spill(context, seconds):
    network = context.network
    network.run(seconds)
    engines = network.list_engines()
    assert any(network.count_use(each) != (0, 0) for each in engines)
    for node in network.list_domain():
        assert not network.find_wrong(node, engines), node.name


@behave.then("no node of domain 1 claims to know the use of an engine of domain 0")
def step_not_known_elsewhere(context):
    network = context.network
    for node in network.list_domain(1):
        for engine in network.list_engines(0):
            assert node.view.find_use(engine, network.now) is None


# Guards against changed decisions in deployments that declare nothing to decide by.
@behave.given("{count:d} nodes with one priority and like pipelines")
def step_nodes_in_calm(context, count):
    start_network(context, count, priorities=(1,))


@behave.then("no node sends a datagram, and the use of engines is unknown")
def step_silent(context):
    network = context.network
    network.run(1.0)
    network.datagrams.clear()
    network.run(2.0)
    assert not network.datagrams, network.datagrams
    for node in network.list_domain():
        for engine in network.list_engines():
            assert node.view.find_use(engine, network.now) is None
        assert node.view.find_demand(network.now) is None


@behave.when("accounts get the priorities {one:d} and {other:d}")
def step_priorities(context, one, other):
    declare(context.network, (one, other))


@behave.when("all accounts get priority {priority:d}")
def step_one_priority(context, priority):
    declare(context.network, (priority,))


def declare(network, priorities):
    declared = capacity_network.make_declarations(priorities)
    for node in network.nodes.values():
        node.blackboard.configuration.declarations = declared
    network.run(START_SECONDS)
