import pathlib
import re
import threading
import time

import behave

from standins import forwarding_system, processes

ROOT = pathlib.Path(__file__).resolve().parents[3]
ADDED_ROUTE_PATH = "/late/1"
# Time limits that the users require.
MAX_CONFIGURATION_SECONDS = 2.0
MAX_RESTART_SECONDS = 3.0
MAX_SHUTDOWN_SECONDS = 8.0
MAX_REPAIR_SECONDS = 10.0


@behave.given("a system on the platform")
def step_system(context):
    context.system = forwarding_system.ForwardingSystem(first_port=context.first_port)
    context.add_cleanup(context.system.processes.close)
    context.system.start_all()


def assert_complete(answer, events):
    expected = list(range(1, events + 1))
    assert answer.status == 200, answer
    assert forwarding_system.list_events(answer) == expected, answer.body


@behave.then("each node streams an answer with each event once and in order")
def step_stream(context):
    for node in context.system.nodes:
        assert_complete(context.system.request_stream(node, events=20), 20)
        assert context.system.count_runs(context.system.last_request) == 1


@behave.then(
    "each node runs a booking once and answers a lookup, for the key's account"
)
def step_plain(context):
    for node in context.system.nodes:
        answer = context.system.send_request(
            node, "POST", forwarding_system.BOOKING_PATH, body=b"visit", key="ben-key-1"
        )
        found = answer.read_json()
        assert answer.status == 200, answer
        assert found["account"] == "ben", found
        assert not found["key_seen"], found
        assert found["body"] == "visit", found
        assert context.system.count_runs(context.system.last_request) == 1
        answer = context.system.send_request(
            node, "GET", forwarding_system.LOOKUP_PATH + "?a=b"
        )
        assert answer.read_json()["path"] == "/history/7?a=b", answer


@behave.then("no engine received a pipeline that omits or repeats a layer")
def step_paths(context):
    for member in forwarding_system.MEMBERS:
        assert context.system.read_counts(member.name)["bad_paths"] == 0, member


@behave.then("no engine was ordered to load more layers than fit in its memory")
def step_layers(context):
    max_layers = {"large": 9, "small": 6}
    for member in forwarding_system.MEMBERS:
        if member.kind:
            counts = context.system.read_counts(member.name)
            assert counts["most_layers"] <= max_layers[member.kind], (member, counts)


@behave.then("an unknown host, path and key are refused with 404, 404 and 401")
def step_unknown(context):
    send_request = context.system.send_request
    context.refusals = []
    for expected, path, options in (
        (404, forwarding_system.LOOKUP_PATH, {"host": "other.example"}),
        (404, "/nowhere/1", {}),
        (401, forwarding_system.LOOKUP_PATH, {"key": "not-a-key"}),
    ):
        answer = send_request("n1", "GET", path, **options)
        assert answer.status == expected, answer
        context.refusals.append((context.system.last_request, answer))


@behave.then("a body over the limit is refused with 413")
def step_oversized(context):
    answer = context.system.send_request(
        "n1", "POST", forwarding_system.BOOKING_PATH, body=b"x" * 70_000
    )
    assert answer.status == 413, answer


@behave.then("a request with two lengths is refused with 400")
def step_two_lengths(context):
    answer = context.system.send_request(
        "n1",
        "POST",
        forwarding_system.BOOKING_PATH,
        body=b"",
        headers={"transfer-encoding": "chunked"},
    )
    assert answer.status == 400, answer


@behave.then("each refusal has the request's id")
def step_refusal_ids(context):
    for request, answer in context.refusals:
        assert answer.headers["x-request-id"] == request, answer


@behave.when("the operator adds a route and removes a key")
def step_change(context):
    configuration = forwarding_system.make_configuration(5)
    added_route = {**configuration["routes"][2], "name": "late", "prefix": "/late/"}
    configuration["routes"].append(added_route)
    configuration["tenants"].pop()
    context.system.configure(configuration)
    context.changed_at = time.monotonic()


def has_change_in_force(context, node):
    served = context.system.send_request(node, "GET", ADDED_ROUTE_PATH).status
    revoked = context.system.send_request(
        node, "GET", ADDED_ROUTE_PATH, key="ben-key-1"
    ).status
    return (served, revoked) == (200, 401)


@behave.then("each node serves the route and refuses the key within 2 seconds")
def step_in_force(context):
    for node in context.system.nodes:
        processes.wait_for(lambda node=node: has_change_in_force(context, node), node)
    assert time.monotonic() - context.changed_at < MAX_CONFIGURATION_SECONDS


@behave.when("the operator writes an older version and one that cannot be decoded")
def step_old_version(context):
    context.system.configure(forwarding_system.make_configuration(3))
    time.sleep(0.5)
    context.system.configure({"version": 9, "routes": "none"})
    time.sleep(0.5)


@behave.then("each node keeps the newest version in force")
def step_newest_version(context):
    for node in context.system.nodes:
        assert has_change_in_force(context, node), node


def start_stream(context, node, events):
    context.answers = []
    context.background = threading.Thread(
        target=lambda: context.answers.append(
            context.system.request_stream(node, events)
        )
    )
    context.events = events
    context.background.start()
    time.sleep(0.4)


@behave.when("an engine of the pipeline is killed during a stream")
def step_kill_engine(context):
    start_stream(context, "n1", 60)
    context.system.processes.kill("e2")


@behave.when("the first engine closes the connection inside an event")
def step_cut_event(context):
    for name in ("e1", "e2", "e3"):
        processes.change_knobs(context.system.ports[name], cut_event=0.05)
    start_stream(context, "n1", 60)


@behave.then("the answer has each event once and in order")
def step_complete(context):
    context.background.join()
    assert_complete(context.answers[0], context.events)


@behave.then("streams are served in each failure domain within 10 seconds")
def step_served(context):
    for node in context.system.nodes:
        processes.wait_for(
            lambda node=node: context.system.request_stream(node).status == 200,
            f"{node} streams",
            MAX_REPAIR_SECONDS,
        )


@behave.when("an engine is killed and started again")
def step_restart_engine(context):
    context.system.processes.kill("e2")
    context.system.start_member(forwarding_system.MEMBERS[1])


def list_starting_engines(context):
    """Return the engines at which the last stream of node n1 was started."""
    names = [each.name for each in forwarding_system.MEMBERS if each.domain == "a"]
    counts = {name: context.system.read_counts(name)["runs"] for name in names}
    return {
        name for name, runs in counts.items() if context.system.last_request in runs
    }


@behave.then("streams begin in its failure domain again")
def step_local_stream(context):
    def has_local_stream():
        context.system.request_stream("n1")
        return list_starting_engines(context)

    processes.wait_for(has_local_stream, "a pipeline in domain a", MAX_REPAIR_SECONDS)


def change_service_knobs(context, **changes):
    for name in ("s1", "s2"):
        processes.change_knobs(context.system.ports[name], **changes)


def book(context, node="n1"):
    return context.system.send_request(
        node, "POST", forwarding_system.BOOKING_PATH, body=b"visit"
    )


@behave.when("a booking's answer is lost")
def step_lost(context):
    change_service_knobs(context, lose_answer=1)
    context.answer = book(context)
    change_service_knobs(context, lose_answer=0)


@behave.then("the answer has status 502 and the booking ran once")
def step_unknown_outcome(context):
    assert context.answer.status == 502, context.answer
    assert context.system.count_runs(context.system.last_request) == 1


@behave.when("a booking is refused by one backend server")
def step_refused(context):
    processes.change_knobs(context.system.ports["s1"], refuse=1)
    context.answer = book(context)


@behave.then("the booking ran at most once, and not at all if it was refused")
def step_at_most_once(context):
    runs = context.system.count_runs(context.system.last_request)
    assert runs == (1 if context.answer.status == 200 else 0), context.answer
    if context.answer.status == 503:
        assert float(context.answer.headers["retry-after"]) > 0.0, context.answer


@behave.when("a backend server's address belongs to another one")
def step_wrong_backend(context):
    processes.change_knobs(context.system.ports["s1"], pretend_other=True)
    context.answer = book(context)


@behave.then("a booking is served by the other backend server or refused as not run")
def step_wrong_backend_served(context):
    step_at_most_once(context)
    assert context.answer.status in (200, 503), context.answer


@behave.when("{count:d} bookings are made")
def step_bookings(context, count):
    for _ in range(count):
        assert book(context).status == 200


@behave.then("the service has fewer than {max_connections:d} connections")
def step_connections(context, max_connections):
    for name in ("s1", "s2"):
        assert context.system.read_counts(name)["connections"] < max_connections, name


@behave.when("a lookup's answer is lost, fails or is unverified")
def step_lookup(context):
    context.lookups = []
    for fault in ("lose_answer", "fail", "spoil"):
        processes.change_knobs(context.system.ports["s1"], **{fault: 1})
        answer = context.system.send_request("n1", "GET", forwarding_system.LOOKUP_PATH)
        context.lookups.append((fault, answer))
        processes.change_knobs(context.system.ports["s1"], **{fault: 0})


@behave.then("each lookup was answered with 200")
def step_lookups(context):
    for fault, answer in context.lookups:
        assert answer.status == 200, (fault, answer)


@behave.when("a node receives SIGTERM during a stream of one second")
def step_stop(context):
    start_stream(context, "n1", 40)
    context.system.processes.terminate("n1")
    context.stopped_at = time.monotonic()


@behave.then("the node exits with 0 within its shutdown time")
def step_exits(context):
    assert context.system.processes.wait("n1", MAX_SHUTDOWN_SECONDS) == 0
    assert time.monotonic() - context.stopped_at < MAX_SHUTDOWN_SECONDS


@behave.when("a node receives SIGTERM and then a stream longer than its shutdown time")
def step_stop_long(context):
    context.system.processes.terminate("n2")
    time.sleep(0.3)
    assert not context.system.is_ready("n2")
    context.answer = context.system.request_stream("n2", events=5_000)


@behave.then("the stream is refused as not run, with a retry time below one second")
def step_refused_stream(context):
    assert context.answer.status == 503, context.answer
    assert float(context.answer.headers["retry-after"]) < 1.0, context.answer
    assert context.system.count_runs(context.system.last_request) == 0


@behave.when("a node is killed and started again")
def step_kill_node(context):
    context.system.processes.kill("n1")
    context.system.start_node("n1", "a")
    context.started_at = time.monotonic()


@behave.then("the node is ready again and serves within 3 seconds")
def step_restarted(context):
    processes.wait_for(
        lambda: context.system.is_ready("n1"), "n1 ready", MAX_RESTART_SECONDS
    )
    assert_complete(context.system.request_stream("n1"), 5)


@behave.then(
    "the node's log has the request, the backend server and the cause of the outcome"
)
def step_log(context):
    lines = context.system.read_log("n1")
    request_lines = [
        line for line in lines if line.get("request") == context.system.last_request
    ]
    attempt, ended = request_lines
    assert attempt["backend"] in ("s1", "s2"), attempt
    assert "broke off" in attempt["detail"], attempt
    assert (ended["status"], ended["reason"]) == (502, "outcome_unknown"), ended
    assert {"route", "service", "account", "version", "version_age"} <= ended.keys()


@behave.then("the node's metrics count the refusal")
def step_metrics(context):
    port = context.system.nodes["n1"].metrics
    page = processes.call("GET", port, "/metrics").body.decode()
    assert re.search(r'jujubepass_refusals_total\{reason="outcome_unknown"\} 1', page)
    assert "jujubepass_first_event_seconds_bucket" in page, page
