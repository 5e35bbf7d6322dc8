import threading
import time

import behave

from jujubepass.transport import _http_client
from standins import model, processes, system
from tests import traffic

LONG_TOKENS = 120
# Long enough that no prompt is refused for its deadline.
LONG_TIMEOUT_SECONDS = 300.0
SHUTDOWN_SECONDS = 20.0
COMMAND_TIMEOUT_SECONDS = 2.0


def start_system(context, nodes, **timing):
    settings = {
        "heartbeat_seconds": 0.1,
        "suspect_seconds": 0.5,
        "dead_seconds": 1.0,
        "shutdown_seconds": SHUTDOWN_SECONDS,
        "stall_seconds": 10.0,
        **timing,
    }
    context.drain_seconds = timing["drain_seconds"]
    context.system = system.System(
        first_port=context.first_port, settings={"timing": settings}
    )
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=nodes)


@behave.given("a system of three nodes that drain for a second")
def step_system(context):
    start_system(context, 3, drain_seconds=1.0)


@behave.given("a system of three nodes that drain for a second, with traffic")
def step_traffic(context):
    start_system(context, 3, drain_seconds=1.0)
    context.traffic = traffic.Traffic(trial=context.system)
    context.add_cleanup(context.traffic.stop)
    context.traffic.wait_for_more()


@behave.given("a system of two nodes that drain for 20 seconds")
def step_slow_drain(context):
    start_system(context, 2, drain_seconds=20.0)


@behave.given("a system of one node that gives running requests a second")
def step_short(context):
    start_system(context, 1, drain_seconds=0.0, shutdown_seconds=1.0)


class LongPrompt(threading.Thread):
    """Send a node a prompt with a long answer."""

    def __init__(self, *, trial, node, max_tokens=LONG_TOKENS):
        super().__init__(daemon=True)
        self.trial, self.node, self.max_tokens = trial, node, max_tokens
        self.prompt = f"a long account for {node}"
        self.outcome = None

    def run(self):
        try:
            answer = self.trial.send_model_request(
                self.node,
                self.prompt,
                max_tokens=self.max_tokens,
                timeout_seconds=LONG_TIMEOUT_SECONDS,
            )
        except _http_client.ClientError as error:
            self.outcome = repr(error)
            return
        expected = model.expected_tokens(
            system.MODEL, self.prompt.split(), self.max_tokens, system.LAYERS
        )
        text = answer.body.decode()
        if answer.status == 200:
            text = answer.read_json()["choices"][0]["text"]
        self.outcome = "whole" if text.split() == list(expected) else text


@behave.given("a long stream runs at each node")
def step_long(context):
    context.long = [
        LongPrompt(trial=context.system, node=node) for node in context.system.nodes
    ]
    for thread in context.long:
        thread.start()


@behave.when("each node in turn is stopped and started again")
def step_replace(context):
    context.stops = []
    for node in context.system.nodes:
        started = time.monotonic()
        code = context.system.processes.stop(node, timeout_seconds=40.0)
        context.stops.append((code, time.monotonic() - started))
        context.system.start_node(node)
        processes.wait_for(
            lambda node=node: node in context.traffic.balancer.ready, "node ready"
        )
    context.traffic.wait_for_more()


@behave.then("each exited with 0 within the time that the settings allow")
def step_exited(context):
    print("stops", [(code, round(duration, 2)) for code, duration in context.stops])
    allowed = context.drain_seconds + SHUTDOWN_SECONDS + COMMAND_TIMEOUT_SECONDS
    for code, duration in context.stops:
        assert code == 0, context.stops
        assert duration < allowed + 1.0, context.stops


@behave.then("each long stream was complete")
def step_whole(context):
    for thread in context.long:
        thread.join(30.0)
        assert thread.outcome == "whole", thread.outcome


@behave.then("no request failed")
def step_none(context):
    faults = context.traffic.stop()
    print("answered", context.traffic.answered)
    assert not faults, faults[:5]


@behave.when("the node {node} is told to stop")
def step_stop(context, node):
    context.stop_sent_at = time.monotonic()
    context.system.processes.terminate(node)


@behave.when("the node {node} is told to stop again")
def step_again(context, node):
    context.system.processes.terminate(node)


@behave.then("the node {node} answers /readyz with 503 and closes connections")
def step_drains(context, node):
    ports = context.system.nodes[node]
    for port in (ports.callers, ports.operators):
        processes.wait_for(
            lambda port=port: processes.call("GET", port, "/readyz").status == 503,
            "not ready",
        )
    headers = {
        "authorization": f"Bearer {system.CALLER_KEY}",
        "connection": "keep-alive",
    }
    path = "/services/records/lifts/1"
    answer = processes.call("GET", ports.callers, path, headers=headers)
    assert answer.status == 200, answer
    assert answer.headers["connection"] == "close", answer
    assert (
        context.system.send_model_request(node, "still there", max_tokens=4).status
        == 200
    )


@behave.then("the node {viewer} shows {node} as leaving")
def step_leaving(context, viewer, node):
    processes.wait_for(
        lambda: any(
            row["node"] == node and row["state"] == "leaving"
            for row in context.system.read_status(viewer)["nodes"]
        ),
        "shown as leaving",
    )


@behave.then("the node {node} exits with 0 before its drain would have ended")
def step_sooner(context, node):
    code = context.system.processes.wait(node, context.drain_seconds)
    assert code == 0, code


@behave.when("the node is told to stop during a prompt of {tokens:d} tokens")
def step_stuck(context, tokens):
    context.long = [LongPrompt(trial=context.system, node="node-1", max_tokens=tokens)]
    context.long[0].start()
    processes.wait_for(
        lambda: any(
            processes.read_counts(port)["runs"]
            for port in context.system.engines.values()
        ),
        "prompt running",
    )
    context.system.processes.terminate("node-1")


@behave.then("the node node-1 exits with 0 and the prompt was cut")
def step_cut(context):
    assert context.system.processes.wait("node-1", 10.0) == 0
    context.long[0].join(30.0)
    assert context.long[0].outcome != "whole", context.long[0].outcome


@behave.when("the node {node} is killed under traffic")
def step_kill(context, node):
    context.killed = node
    context.system.processes.kill(node)


@behave.then("only requests at {node} failed, and traffic goes on")
def step_goes_on(context, node):
    context.traffic.wait_for_more(20)
    elsewhere = [fault for fault in context.traffic.faults if fault[1] != node]
    assert not elsewhere, elsewhere[:3]


@behave.then("the others count {count:d} live nodes")
def step_count(context, count):
    for node, ports in context.system.nodes.items():
        if node == context.killed:
            continue
        processes.wait_for(
            lambda port=ports.operators: (
                f"jujubepass_live_nodes {count}.0"
                in processes.call("GET", port, "/metrics").body.decode()
            ),
            "live nodes",
        )


@behave.when("the table service is down")
def step_store_down(context):
    processes.change_knobs(context.system.platform, table_down=True)
    time.sleep(3.0)


@behave.when("the list of VMs is down too")
def step_list_down(context):
    processes.change_knobs(context.system.platform, vms_down=True)
    time.sleep(5.0)


@behave.then("prompts and lookups are answered at each node")
def step_served(context):
    for node in context.system.nodes:
        answer = context.system.send_model_request(
            node, "during the outage", max_tokens=4
        )
        assert answer.status == 200, answer
        assert context.system.send_lookup(node).status == 200


@behave.then("a booking is refused as not run")
def step_refused(context):
    for node in context.system.nodes:
        answer = context.system.send_call(node, f"visit-{node}", {"day": "2030-01-01"})
        assert answer.status == 503, answer
        assert answer.read_json()["run"] == "no", answer
    counts = processes.read_counts(context.system.services["bookings-1"])
    assert not counts["runs"], counts
