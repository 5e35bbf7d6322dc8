import behave
import hypothesis
import hypothesis.strategies as st

from jujubepass.membership import _membership_area, _membership_messages
from jujubepass.nodes import _node_messages
from standins import processes, system
from tests import member_network

State = _membership_area.PeerState
CONVERGENCE_TIMEOUT_SECONDS = 40.0
SHORT_TIMES = {
    "heartbeat_seconds": 0.1,
    "suspect_seconds": 0.5,
    "dead_seconds": 1.0,
    "pause_seconds": 0.4,
    "drain_seconds": 0.2,
}


def wait_for(context, condition, what):
    waited = context.network.run_until(condition, CONVERGENCE_TIMEOUT_SECONDS)
    assert waited is not None, what
    return waited


def all_alive(network):
    return all(network.agree({State.ALIVE}, name) for name in network.dispatchers)


def find_dead(network):
    return [
        (viewer, peer.node)
        for viewer in network.dispatchers
        for peer in network.boards[viewer].membership.peers.values()
        if peer.state is State.DEAD and peer.node in network.dispatchers
    ]


@behave.given("{count:d} nodes that know each other")
def step_nodes(context, count):
    context.network = member_network.Network(nodes=count)
    context.network.start_all()
    wait_for(context, lambda: all_alive(context.network), "all alive")


@behave.given(
    "{count:d} nodes in {regions:d} regions and {domains:d} failure domains"
    " that know each other"
)
def step_domains(context, count, regions, domains):
    context.network = member_network.Network(
        nodes=count, regions=regions, domains=domains, sampled=5
    )
    context.network.start_all(acquainted=True)
    context.network.run(2.0)


@behave.given("9 nodes where the other nodes' VM lists omit node-8")
def step_unlisted(context):
    context.network = member_network.Network(nodes=9)
    for name in context.network.vms:
        listed = [each for each in context.network.vms if each != "node-8"]
        context.network.start(name, listed=None if name == "node-8" else listed)


@behave.given("one heartbeat in 5 is lost")
def step_loss(context):
    context.network.loss = 0.2


@behave.when("member {name} is killed")
def step_kill(context, name):
    if "system" in context:
        context.system.processes.kill(name)
        return
    context.network.kill(name)
    context.gone = [name]


@behave.when("failure domain {domain} is lost with its nodes")
def step_lose_domain(context, domain):
    network = context.network
    context.gone = [n for n, vm in network.vms.items() if vm.failure_domain == domain]
    for name in context.gone:
        network.kill(name)


@behave.then("every other node marks it dead")
@behave.then("every other node marks them dead")
def step_dead(context):
    network = context.network
    wait_for(
        context,
        lambda: all(network.agree({State.DEAD}, name) for name in context.gone),
        f"{context.gone} dead",
    )


@behave.then("the remaining nodes do not mark each other dead")
def step_rest(context):
    dead = find_dead(context.network)
    assert not [pair for pair in dead if pair[0] not in context.gone], dead


@behave.when("member {name} is cut off from every other node")
def step_cut_off(context, name):
    for other in context.network.vms:
        context.network.cut(name, other)
    context.gone = [name]


@behave.when("the cuts end")
def step_heal(context):
    context.network.cuts.clear()


@behave.then("every running node is marked alive by the others")
def step_alive(context):
    wait_for(context, lambda: all_alive(context.network), "all alive")


@behave.when("the link between {first} and {second} is cut for {seconds:g} seconds")
def step_cut(context, first, second, seconds):
    context.network.cut(first, second)
    context.dead = []
    start = context.network.now
    while context.network.now - start < seconds:
        context.network.step()
        context.dead += find_dead(context.network)


@behave.then("no node marked another dead during that time")
def step_none_dead(context):
    assert not context.dead, context.dead[:3]


@behave.when("member {name} is started again")
def step_restart(context, name):
    context.network.kill(name)
    context.network.start(name, incarnation=member_network.SECOND)
    context.restarted = name


@behave.then("every other node knows its second incarnation")
def step_second(context):
    network, name = context.network, context.restarted

    def has_second_incarnation():
        return all(
            network.boards[viewer].membership.is_live(name, member_network.SECOND)
            for viewer in network.dispatchers
            if viewer != name
        )

    wait_for(context, has_second_incarnation, "second incarnation known")


@behave.when("a delayed heartbeat of the first incarnation reaches each node")
def step_late(context):
    heartbeat = _membership_messages.Heartbeat(
        node=context.restarted,
        incarnation=member_network.FIRST,
        state=_node_messages.NodeState.READY,
        configuration_number=0,
        configuration_digest="",
    )
    event = _membership_messages.HeartbeatReceived(heartbeat=heartbeat)
    for name in context.network.dispatchers:
        context.network.post(name, event)
        board = context.network.boards[name]
        assert not board.membership.is_live(context.restarted, member_network.FIRST)


@behave.when("member {name} is paused for {seconds:g} seconds")
def step_pause(context, name, seconds):
    network = context.network
    network.paused.add(name)
    network.run(seconds)
    assert network.agree({State.DEAD}, name), "the pause was not seen"
    network.paused.discard(name)


@behave.then("member {name} marks no other node dead when it resumes")
def step_resumes(context, name):
    context.network.step()
    dead = [viewer for viewer, _ in find_dead(context.network) if viewer == name]
    assert not dead, dead


@behave.then("member {name} is not ready until it receives a message after the pause")
def step_resuming(context, name):
    node = context.network.boards[name].node
    assert node.state is _node_messages.NodeState.RESUMING, node
    wait_for(context, lambda: node.state is _node_messages.NodeState.READY, "ready")
    assert node.pauses == 1, node


@behave.then("each node exchanges heartbeats with at most {count:d} others")
def step_neighbours(context, count):
    for board in context.network.boards.values():
        assert 2 <= len(board.membership.neighbours) <= count, board.membership


@behave.then("heartbeats take at most {limit:d} bytes a second of each node")
def step_bytes(context, limit):
    network = context.network
    network.sent_bytes = 0
    network.run(8.0)
    taken = network.sent_bytes / 8.0 / len(network.vms)
    assert taken <= limit, taken


FAULTS = st.tuples(
    st.sampled_from(("kill", "pause", "wake", "restart", "cut", "heal", "run")),
    st.integers(0, 8),
    st.integers(0, 8),
)


def bring_about(network, fault, first, second):
    name, other = f"node-{first}", f"node-{second}"
    if fault == "kill" and name in network.dispatchers:
        network.kill(name)
    elif fault == "pause":
        network.paused.add(name)
    elif fault == "wake":
        network.paused.discard(name)
    elif fault == "restart" and name not in network.dispatchers:
        network.starts += 1
        network.start(name, incarnation=f"019b{network.starts:016x}")
    elif fault == "cut":
        network.cut(name, other)
    elif fault == "heal":
        network.cuts.clear()
    network.run(1.5)


@behave.then(
    "after any faults of 9 or 20 nodes, running nodes are marked alive by the others"
)
def step_any(context):
    @hypothesis.settings(max_examples=12, deadline=None, derandomize=True)
    @hypothesis.given(
        st.sampled_from((9, 20)), st.lists(FAULTS, max_size=12), st.integers(0, 99)
    )
    def check(count, faults, seed):
        network = member_network.Network(nodes=count, seed=seed, loss=0.05)
        network.starts = 0
        network.start_all(acquainted=True)
        for fault in faults:
            bring_about(network, *fault)
        network.paused.clear()
        network.cuts.clear()
        waited = network.run_until(lambda: all_alive(network), 120.0)
        assert waited is not None, find_dead(network)

    check()


@behave.given("a system of three nodes with short times")
def step_system(context):
    context.system = system.System(
        first_port=context.first_port, settings={"timing": SHORT_TIMES}
    )
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=3)


def wait_for_state(context, viewer, name, state):
    def shows():
        rows = context.system.read_status(viewer)["nodes"]
        return [row for row in rows if row["node"] == name and row["state"] == state]

    processes.wait_for(shows, f"{viewer} showing {name} as {state}")


@behave.then("members node-1 and node-2 show {name} as dead")
def step_shown_dead(context, name):
    for viewer in ("node-1", "node-2"):
        wait_for_state(context, viewer, name, "dead")


@behave.when("member {name} is suspended until {viewer} shows it as dead")
def step_suspend(context, name, viewer):
    context.system.processes.suspend(name)
    wait_for_state(context, viewer, name, "dead")


@behave.when("member {name} is resumed")
def step_resume(context, name):
    context.system.processes.resume(name)


@behave.then("member {name} counts one pause and becomes ready again")
def step_counts(context, name):
    port = context.system.nodes[name].operators
    metrics = processes.call("GET", port, "/metrics").body.decode()
    assert "jujubepass_pauses_total 1.0" in metrics, metrics[-2000:]
    processes.wait_for(lambda: processes.returns_ok(port, "/readyz"), "ready again")


@behave.then("member {viewer} shows {name} as alive")
def step_shown_alive(context, viewer, name):
    wait_for_state(context, viewer, name, "alive")
