"""Steps for refusals that come once more on a kept connection."""

import concurrent.futures
import json

import behave

from standins import forwarding_system, processes

REQUESTS = {
    "lookup": ("GET", forwarding_system.LOOKUP_PATH, b"", {}),
    "booking": ("POST", forwarding_system.BOOKING_PATH, b"visit", {}),
    "stream": (
        "POST",
        forwarding_system.STREAM_PATH,
        b"prompt",
        {"x-token-count": "100,10", "x-model": "m"},
    ),
}
CONNECTIONS = 6
ATTEMPTS = 8


@behave.given("servers that refuse a request and write the refusal once more {form}")
def step_servers(context, form):
    for member in forwarding_system.MEMBERS:
        port = context.system.ports[member.name]
        processes.change_knobs(port, late_refusal=form, work_seconds=0.2)


def refuse(context, count):
    for member in forwarding_system.MEMBERS:
        processes.change_knobs(context.system.ports[member.name], refuse=count)


def send(context, kind):
    method, path, body, headers = REQUESTS[kind]
    return context.system.send_request("n1", method, path, body=body, headers=headers)


@behave.when(
    "a caller sends a {kind} after another one was refused on the same connections"
)
def step_send(context, kind):
    # Leaves idle connections to each server.
    with concurrent.futures.ThreadPoolExecutor(CONNECTIONS) as pool:
        for answer in pool.map(lambda _: send(context, kind), range(CONNECTIONS)):
            assert answer.status == 200, answer
    refuse(context, 1)
    send(context, kind)
    refuse(context, 0)
    context.answers = []
    for _ in range(ATTEMPTS):
        answer = send(context, kind)
        runs = context.system.count_runs(context.system.last_request)
        context.answers.append((answer, runs))


@behave.then("it is answered with 200, or told that its outcome is unknown")
def step_answers(context):
    for answer, runs in context.answers:
        assert answer.status in (200, 502) or not runs, (answer, runs)


@behave.then("a {kind} that may not be repeated ran once at most")
def step_runs(context, kind):
    for answer, runs in context.answers:
        assert runs <= 1 or kind != "booking", (answer, runs)


@behave.when("a caller sends a stream that all first engines refuse once")
def step_refused_once(context):
    refuse(context, 1)
    context.answer = send(context, "stream")
    context.runs = context.system.count_runs(context.system.last_request)


@behave.then("no engine wrote a refusal once more to a request that it ran")
def step_no_late(context):
    assert context.answer.status == 200, (context.answer, context.runs)
    assert context.runs == 1, json.dumps(context.runs)
