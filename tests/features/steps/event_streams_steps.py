"""Steps for streams of plain services."""

import socket
import threading
import time

import behave

from jujubepass.transport import _http_client
from standins import forwarding_system, processes
from tests.features.steps import platform_steps

# An event takes 20 ms, and a lookup has 0.45 s at each server.
EVENTS = {"single": 60, "resumable": 60, "lookup": 15}
SERVERS = ("s1", "s2")
PATHS = {
    "single": "/summaries/1",
    "resumable": "/reviews/1",
    "lookup": forwarding_system.LOOKUP_PATH,
}
KNOBS = {"is reset": "reset_answer", "ends inside an event": "cut_event"}
READ_TIMEOUT_SECONDS = 10.0


@behave.given("routes to streams of the plain service")
def step_routes(context):
    configuration = forwarding_system.make_configuration(3)
    stream = {
        **configuration["routes"][0],
        "service": forwarding_system.PLAIN_SERVICE,
    }
    for name, resumable in (("summaries", False), ("reviews", True)):
        route = {**stream, "name": name, "prefix": f"/{name}/", "resumable": resumable}
        configuration["routes"].append(route)
    context.system.configure(configuration)
    processes.wait_for(
        lambda: request(context, "single", 1).status == 200, "routes to plain streams"
    )


def request(context, route, events):
    """Return the answer to a request for events; status 0 if it broke off."""
    system = context.system
    method = "GET" if route == "lookup" else "POST"
    fields = {"x-token-count": f"100,{2 * events}"}
    try:
        return system.send_request("n1", method, PATHS[route], headers=fields)
    except _http_client.ClientError as error:
        return _http_client.Answer(status=0, headers={}, body=str(error).encode())


@behave.when("a {route} stream {fault} at its plain server")
def step_fault(context, route, fault):
    system = context.system
    context.events = EVENTS[route]
    previous = system.last_request

    def run():
        context.answer = request(context, route, EVENTS[route])

    thread = threading.Thread(target=run)
    thread.start()
    processes.wait_for(
        lambda: system.last_request != previous and list_running(context),
        "a stream that has begun",
    )
    time.sleep(0.1)
    (server,) = list_running(context)
    if fault in KNOBS:
        processes.change_knobs(system.ports[server], **{KNOBS[fault]: 1})
    else:
        system.processes.suspend(server)
    thread.join()
    if fault not in KNOBS:
        system.processes.resume(server)


def list_running(context):
    """Return the plain servers that run the last request."""
    system = context.system
    counts = {name: system.read_counts(name)["runs"] for name in SERVERS}
    return [name for name, runs in counts.items() if system.last_request in runs]


@behave.then("the plain stream is incomplete, and it ran once")
def step_incomplete(context):
    assert context.answer.status == 0, context.answer
    assert context.system.count_runs(context.system.last_request) == 1


@behave.then("the plain stream has each event once and in order, and it ran twice")
def step_complete(context):
    platform_steps.assert_complete(context.answer, context.events)
    assert context.system.count_runs(context.system.last_request) == 2


@behave.when("a {route} stream of {seconds:d} seconds is requested")
def step_long(context, route, seconds):
    # An event takes 20 ms.
    context.events = 50 * seconds
    context.request_id = f"n1-long-{route}"
    lines = [
        f"POST {PATHS[route]} HTTP/1.1",
        f"host: {forwarding_system.HOST_NAME}",
        f"x-request-id: {context.request_id}",
        "x-key: ana-key-1",
        f"x-token-count: 100,{2 * context.events}",
        "content-length: 0",
        "connection: close",
        "",
        "",
    ]
    context.received = b""
    address = processes.HOST, context.system.nodes["n1"].callers
    began_at = time.monotonic()
    with socket.create_connection(address, READ_TIMEOUT_SECONDS) as connection:
        connection.sendall("\r\n".join(lines).encode())
        while data := connection.recv(65_536):
            if b"id: 1\n" in data:
                context.first_seconds = time.monotonic() - began_at
            context.received += data


@behave.then(
    "its first event arrives within {seconds:g} seconds and it runs once to its end"
)
def step_first(context, seconds):
    assert context.first_seconds < seconds, context.first_seconds
    ids = [
        int(line.removeprefix(b"id: "))
        for line in context.received.splitlines()
        if line.startswith(b"id: ")
    ]
    assert ids == list(range(1, context.events + 1)), ids
    assert context.received.endswith(b"0\r\n\r\n"), context.received[-20:]
    assert context.system.count_runs(context.request_id) == 1
