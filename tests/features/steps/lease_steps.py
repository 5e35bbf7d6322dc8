import behave

from jujubepass.membership import _membership_area
from jujubepass.nodes import _node_messages
from jujubepass.orders import _order_messages
from standins import processes, system
from tests import lease_network

State = _membership_area.PeerState
SHORT_LEASES = {
    "heartbeat_seconds": 0.1,
    "suspect_seconds": 0.5,
    "dead_seconds": 1.0,
    "pause_seconds": 0.4,
    "lease_seconds": 2.0,
    "lease_margin_seconds": 0.5,
    "drain_seconds": 0.1,
}


@behave.given("3 nodes, a table and an engine that {checks} fencing numbers")
def step_nodes(context, checks):
    context.network = lease_network.Network(seed=1, checks=checks == "checks")


@behave.when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.network.run(seconds)
    context.holder = context.network.find_holder()


def get_engine(network):
    (engine,) = network.engines.values()
    return engine


def expect_holder(context, fencing, min_seconds, max_seconds, by_other_node):
    network = context.network
    names = set(network.dispatchers)
    names = names - {context.holder} if by_other_node else {context.holder}
    elapsed_seconds = network.run_until(
        lambda: network.find_holder() in names, max_seconds
    )
    assert elapsed_seconds is not None, network.read_lease()
    assert elapsed_seconds >= min_seconds, elapsed_seconds
    assert network.read_lease().fencing == fencing, network.read_lease()
    print(f"lease acquired after {elapsed_seconds:.1f} s")


@behave.then("one node holds the lease with fencing number {fencing:d}")
def step_one_holder(context, fencing):
    assert context.network.find_holder(), context.network.read_lease()
    assert context.network.read_lease().fencing == fencing
    assert not context.network.overlaps


@behave.then("one node holds the lease within {seconds:d} seconds")
def step_holder_within(context, seconds):
    network = context.network
    assert network.run_until(network.find_holder, seconds) is not None


@behave.then("the engine accepted one order and has the wanted deployment")
def step_ordered(context):
    engine = get_engine(context.network)
    assert engine.accepted == [1], engine.accepted
    assert engine.wanted == lease_network.WANTED


@behave.when("the holder crashes")
def step_crash(context):
    del context.network.dispatchers[context.holder]
    context.network.set_believed_state(context.holder, State.DEAD)


@behave.when("the holder receives a request to shut down")
def step_shut_down(context):
    context.network.post(context.holder, _node_messages.StopRequested())
    context.network.set_believed_state(context.holder, State.LEAVING)


@behave.when("the holder is paused for {seconds:d} seconds and its peers find it dead")
def step_pause_long(context, seconds):
    context.network.paused.add(context.holder)
    context.network.set_believed_state(context.holder, State.DEAD)


@behave.when("the paused node resumes and its peers find it alive")
def step_wake(context):
    context.network.run(20.0)
    context.network.paused.discard(context.holder)
    context.network.set_believed_state(context.holder, State.ALIVE)
    context.network.step()


@behave.then("it holds no lease when it resumes")
def step_nothing(context):
    assert not context.network.blackboards[context.holder].leases.held


@behave.then("at most one node could use the lease at any time")
def step_never_two(context):
    context.network.run(40.0)
    assert not context.network.overlaps, context.network.overlaps[:3]


@behave.when("the holder is paused for {seconds:d} seconds")
def step_pause_short(context, seconds):
    context.network.paused.add(context.holder)
    context.network.run(seconds)
    context.network.paused.discard(context.holder)
    context.network.step()
    assert not context.network.blackboards[context.holder].leases.held


@behave.then(
    "another node holds the lease with fencing number {fencing:d}"
    " after {min_seconds:d} to {max_seconds:d} seconds"
)
def step_another(context, fencing, min_seconds, max_seconds):
    expect_holder(context, fencing, min_seconds, max_seconds, by_other_node=True)


@behave.then(
    "the same node holds the lease with fencing number {fencing:d}"
    " within {max_seconds:d} seconds"
)
def step_same(context, fencing, max_seconds):
    expect_holder(context, fencing, 0, max_seconds, by_other_node=False)


@behave.when("the table is down for {seconds:d} seconds")
def step_down(context, seconds):
    context.network.table_down = True
    context.network.run(seconds)


@behave.when("the table is up again")
def step_up(context):
    context.network.table_down = False


@behave.then("no node holds the lease")
def step_no_holder(context):
    assert context.network.find_holder() is None


@behave.when("a renewal is stored and its answer is lost")
def step_lose_answer(context):
    network = context.network
    version = network.read_lease().version
    network.fault_rate = 1.0
    network.random.random = lambda: 0.75
    network._draw_delay = lambda: 0.05
    network.run_until(lambda: network.read_lease().version != version, 10.0)
    network.fault_rate = 0.0
    network.run(20.0)


@behave.when("an old order for another version reaches the engine")
def step_old_order_in_model(context):
    network = context.network
    order = _order_messages.SendOrder(
        engine=next(iter(network.engines)),
        address=lease_network.ADDRESS,
        fencing=0,
        until=0.0,
        wanted=lease_network.OLD,
    )
    get_engine(network).handle_order(order)
    assert get_engine(network).wanted == lease_network.OLD


@behave.then("the engine has the wanted deployment again within {seconds:d} seconds")
def step_restored(context, seconds):
    engine = get_engine(context.network)
    elapsed_seconds = context.network.run_until(
        lambda: engine.wanted == lease_network.WANTED, seconds
    )
    assert elapsed_seconds is not None


@behave.then(
    "in {runs:d} runs with faults and an engine that {checks}, no two nodes could use"
    " the lease at once and the wanted deployment is restored"
)
def step_faults(context, runs, checks):
    for seed in range(runs):
        network = lease_network.Network(
            seed=seed, checks="checks" in checks, fault_rate=0.2
        )
        engine = get_engine(network)
        for _ in range(8):
            name = network.random.choice(list(network.dispatchers))
            network.paused ^= {name}
            if name in network.paused:
                network.set_believed_state(name, State.DEAD)
            else:
                network.set_believed_state(name, State.ALIVE)
            if network.random.random() < 0.3:
                engine.wanted = lease_network.OLD
            network.run(network.random.uniform(0.5, 20.0))
        assert not network.overlaps, (seed, network.overlaps[:3])
        network.paused.clear()
        for name in network.dispatchers:
            network.set_believed_state(name, State.ALIVE)
        network.fault_rate = 0.0
        network.run(30.0)
        elapsed_seconds = network.run_until(
            lambda engine=engine: engine.wanted == lease_network.WANTED, 30.0
        )
        assert elapsed_seconds is not None, seed
        assert not network.overlaps, (seed, network.overlaps[:3])


@behave.given(
    "a system of three nodes with short leases and engines that ignore numbers"
)
def step_system(context):
    context.system = system.System(
        first_port=context.first_port, settings={"timing": SHORT_LEASES}
    )
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=3)


@behave.when('version "{version}" of the model is declared')
def step_declare(context, version):
    section = {"layers": system.LAYERS, "version": version}
    context.system.apply({f"model {system.MODEL}": section}, base=1)


def read_states(context):
    return {
        name: processes.call("GET", port, "/state").read_json()
        for name, port in context.system.engines.items()
    }


def count_sent(context, node):
    port = context.system.nodes[node].operators
    for line in processes.call("GET", port, "/metrics").body.decode().splitlines():
        if line.startswith("jujubepass_orders_sent_total "):
            return float(line.split()[1])
    raise AssertionError("metric of sent orders not found")


@behave.then('every engine is moved to version "{version}" by {whose} node\'s orders')
def step_rolled(context, version, whose):
    processes.wait_for(
        lambda: all(
            state["actual"]["version"] == state["wanted"]["version"] == version
            for state in read_states(context).values()
        ),
        f"every engine at version {version}",
        60.0,
    )
    suspended = getattr(context, "suspended", None)
    running = [node for node in context.system.nodes if node != suspended]
    ordering_nodes = [node for node in running if count_sent(context, node)]
    assert len(ordering_nodes) == 1, ordering_nodes
    context.ordering_node = ordering_nodes[0]


@behave.when("the ordering node is suspended past its lease")
def step_suspend(context):
    context.suspended = context.ordering_node
    context.system.processes.suspend(context.suspended)


@behave.when('an old order for version "{version}" reaches an engine')
def step_old_order(context, version):
    name, port = next(iter(context.system.engines.items()))
    wanted = read_states(context)[name]["wanted"] | {"version": version}
    order = {"order": "late", "fencing": 0, "wanted": wanted}
    assert processes.call("POST", port, "/orders", order).status == 200
    processes.wait_for(
        lambda: read_states(context)[name]["wanted"]["version"] == version, "late order"
    )


@behave.then("the ordering node holds no lease when it resumes")
def step_resumes(context):
    context.system.processes.resume(context.suspended)
    port = context.system.nodes[context.suspended].operators
    metrics = processes.call("GET", port, "/metrics").body.decode()
    assert "jujubepass_leases_lost_total 1.0" in metrics, metrics[-1500:]
    assert count_sent(context, context.suspended) == len(system.ENGINES)
