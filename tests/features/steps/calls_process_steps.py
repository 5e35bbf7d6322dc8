import concurrent.futures
import json
import time

import behave

from jujubepass.transport import _http_client
from standins import processes, system

KINDS = (
    system.ServiceSpec(name="bookings-1", service="bookings"),
    system.ServiceSpec(name="parts-1", service="parts", checks_fencing=False),
    system.ServiceSpec(name="postings-1", service="postings", answers_outcomes=False),
    system.ServiceSpec(
        name="visits-1", service="visits", checks_fencing=False, answers_outcomes=False
    ),
)
QUERYABLE_SERVICES = ("bookings", "parts")
SETTINGS = {
    "timing": {
        "heartbeat_seconds": 0.1,
        "suspect_seconds": 0.3,
        "dead_seconds": 0.8,
        "lease_seconds": 1.5,
        "lease_margin_seconds": 0.5,
        "vm_poll_seconds": 0.3,
    },
    "platform": {"table_timeout_seconds": 0.5},
}
REQUEST_TIMEOUT_SECONDS = 4.0
KEYS_PER_SERVICE = 2


@behave.given("a running system with three nodes and four kinds of services")
def step_start(context):
    context.system = system.System(first_port=context.first_port, settings=SETTINGS)
    context.add_cleanup(context.system.processes.close)
    context.system.start_platform()
    context.system.start_services(KINDS)
    context.system.start_nodes(3)
    sections = {f"service {spec.service}": {} for spec in KINDS}
    sections |= {
        f"account {system.ACCOUNT}": system.declare_account(
            system.CALLER_KEY, requests_per_second=10_000, burst=10_000, concurrency=500
        )
    }
    context.system.wait_for_number(context.system.apply(sections))
    context.outcomes = {}
    context.pool = concurrent.futures.ThreadPoolExecutor(24)
    context.add_cleanup(context.pool.shutdown)


def send_call(context, node, service, key):
    """Send one booking and record its outcome."""
    try:
        answer = context.system.send_call(
            node,
            key,
            {"key": key},
            service=service,
            timeout_seconds=REQUEST_TIMEOUT_SECONDS,
        )
    except _http_client.ClientError:
        outcome = "gone"
    else:
        if answer.status == 200:
            outcome = "done"
        else:
            run = answer.read_json().get("run")
            outcome = {"no": "not run", "unknown": "unknown"}[run]
    context.outcomes.setdefault((service, key), []).append(outcome)
    return outcome


def book_all(context, round_name, *nodes):
    """Start a booking with each key of a round at each of the nodes."""
    return [
        context.pool.submit(
            send_call,
            context,
            node,
            spec.service,
            f"{round_name}-{spec.service}-{index}",
        )
        for spec in KINDS
        for index in range(KEYS_PER_SERVICE)
        for node in nodes
    ]


def finish(futures):
    return [future.result(timeout=30.0) for future in futures]


def change_services(context, **knobs):
    for port in context.system.services.values():
        processes.change_knobs(port, **knobs)


def count_attempts(context):
    counts = map(processes.read_counts, context.system.services.values())
    return sum(sum(each["attempts"].values()) for each in counts)


def wait_for_attempts(context, expected_more, start):
    processes.wait_for(
        lambda: count_attempts(context) >= start + expected_more,
        "attempts at the services",
    )


def kill_between_run_and_answer(context):
    change_services(context, hang_after_run=True)
    start = count_attempts(context)
    first = book_all(context, "killed", "node-1")
    wait_for_attempts(context, len(first), start)
    context.system.processes.kill("node-1")
    change_services(context, hang_after_run=False)
    finish(first)
    finish(book_all(context, "killed", "node-2"))
    context.system.start_node("node-1")


def pause_between_write_and_send(context):
    processes.change_knobs(context.system.platform, table_delay_seconds=0.3)
    start = count_attempts(context)
    first = book_all(context, "paused", "node-2")
    time.sleep(0.15)
    context.system.processes.suspend("node-2")
    assert count_attempts(context) == start
    time.sleep(float(SETTINGS["timing"]["lease_seconds"]))
    processes.change_knobs(context.system.platform, table_delay_seconds=0.0)
    second = book_all(context, "paused", "node-3")
    finish(second)
    context.system.processes.resume("node-2")
    finish(first)


def pause_while_sent(context):
    change_services(context, delay_seconds=2.5)
    start = count_attempts(context)
    first = book_all(context, "sent", "node-3")
    wait_for_attempts(context, len(first), start)
    context.system.processes.suspend("node-3")
    second = book_all(context, "sent", "node-1")
    finish(second)
    context.system.processes.resume("node-3")
    change_services(context, delay_seconds=0.0)
    finish(first)


def lose_table_answers(context):
    processes.change_knobs(context.system.platform, lose_answers=4)
    finish(book_all(context, "table-after", "node-1", "node-2"))
    processes.change_knobs(context.system.platform, lose_before_effect=4)
    finish(book_all(context, "table-before", "node-3"))
    processes.change_knobs(
        context.system.platform, lose_answers=0, lose_before_effect=0
    )


def stop_the_table(context):
    for knob in ("table_down", "table_hang"):
        processes.change_knobs(context.system.platform, **{knob: True})
        outcomes = finish(book_all(context, knob, "node-1"))
        assert set(outcomes) == {"not run"}, outcomes
        processes.change_knobs(context.system.platform, **{knob: False})
        time.sleep(1.0)


def lose_service_answers(context):
    change_services(context, lose_answers=KEYS_PER_SERVICE)
    finish(book_all(context, "lost", "node-1", "node-2", "node-3"))
    change_services(context, lose_answers=0)


@behave.when("bookings go through crashes, pauses, outages and concurrent nodes")
def step_faults(context):
    kill_between_run_and_answer(context)
    pause_between_write_and_send(context)
    pause_while_sent(context)
    lose_table_answers(context)
    stop_the_table(context)
    lose_service_answers(context)
    context.last_outcomes = {
        (service, key): send_call(context, "node-1", service, key)
        for service, key in list(context.outcomes)
        if service in QUERYABLE_SERVICES
    }
    context.runs = {
        spec.service: processes.read_counts(context.system.services[spec.name])["runs"]
        for spec in KINDS
    }


def count_runs(context, service, key):
    return context.runs[service].get(f"{system.ACCOUNT}:{key}", 0)


@behave.then("the services ran no booking twice and no refused booking")
def step_at_most_once(context):
    for (service, key), outcomes in context.outcomes.items():
        count = count_runs(context, service, key)
        assert count <= 1, (service, key, outcomes, count)
        if set(outcomes) == {"not run"}:
            assert count == 0, (service, key, outcomes)


@behave.then("every booking answered as done was run")
def step_done(context):
    for (service, key), outcomes in context.outcomes.items():
        if "done" in outcomes:
            assert count_runs(context, service, key) == 1, (service, key, outcomes)
    for (service, key), outcome in context.last_outcomes.items():
        resolved = outcome == "done" or service != "bookings"
        assert resolved, (service, key, outcome)


@behave.then("every node returns a stored answer")
def step_answer_at_any_node(context):
    headers = {"authorization": f"Bearer {system.CALLER_KEY}"}
    for ports in context.system.nodes.values():
        answer = processes.call(
            "GET", ports.callers, "/v1/calls/lost-bookings-0", headers=headers
        )
        state = json.loads(answer.body)
        assert state["state"] == "done", state
