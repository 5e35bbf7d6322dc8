import contextlib
import threading
import time

import behave

from jujubepass.transport import _http_client
from standins import forwarding_system, processes

SILENCE_SECONDS = 1.0
RUN_SECONDS = 0.3
SERVERS = ("s1", "s2")
ENGINES = tuple(each.name for each in forwarding_system.MEMBERS if each.kind)
EVENTS = 100
CONFIGURATION_TIMEOUT_SECONDS = 2.0


def configure(context, version, *, adds_route=False):
    configuration = forwarding_system.make_configuration(version)
    for route in configuration["routes"][1:]:
        route["timeoutMs"] = context.timeout_milliseconds
    if adds_route:
        route = {**configuration["routes"][2], "name": "late", "prefix": "/late/"}
        configuration["routes"].append(route)
    context.system.configure(configuration)
    processes.wait_for(
        lambda: any(
            line.get("version") == version
            for line in context.system.read_log("n1")
            if line["message"] == "configuration in force"
        ),
        f"configuration {version} in force",
        CONFIGURATION_TIMEOUT_SECONDS,
    )


@behave.given("routes to the plain service with a time limit of {seconds:d} seconds")
def step_time_limit(context, seconds):
    context.timeout_milliseconds = 1_000 * seconds
    configure(context, 3)


@contextlib.contextmanager
def send_in_background(context, send):
    """Send a request in the background and wait for its answer after the block."""

    def run():
        with contextlib.suppress(_http_client.ClientError):
            context.answers.append(send())

    context.answers = []
    context.background = threading.Thread(target=run)
    previous = context.system.last_request
    context.background.start()
    processes.wait_for(lambda: context.system.last_request != previous, "a request")
    yield
    context.background.join()
    assert context.answers, "the answer broke off"


def silence(context, names, *, adds_route=False):
    until = time.monotonic() + SILENCE_SECONDS
    for name in names:
        context.system.processes.suspend(name)
    if adds_route:
        configure(context, 5, adds_route=True)
    time.sleep(max(0.0, until - time.monotonic()))
    for name in names:
        context.system.processes.resume(name)


def send_booking(context):
    return context.system.send_request(
        "n1", "POST", forwarding_system.BOOKING_PATH, body=b"visit"
    )


def send_lookup(context):
    return context.system.send_request("n1", "GET", forwarding_system.LOOKUP_PATH)


def wait_for_servers(context):
    """Wait until servers whose entries lapsed in a silence are listed again."""
    processes.wait_for(lambda: send_lookup(context).status == 200, "listed servers")


def silence_before(context, *, adds_route):
    wait_for_servers(context)
    with contextlib.ExitStack() as stack:
        silent = threading.Thread(
            target=lambda: silence(context, SERVERS, adds_route=adds_route)
        )
        silent.start()
        time.sleep(0.1)
        stack.enter_context(send_in_background(context, lambda: send_booking(context)))
        silent.join()


def silence_during(context, *, adds_route):
    wait_for_servers(context)
    for name in SERVERS:
        processes.change_knobs(context.system.ports[name], work_seconds=RUN_SECONDS)
    with send_in_background(context, lambda: send_booking(context)):
        processes.wait_for(
            lambda: context.system.count_runs(context.system.last_request), "a run"
        )
        silence(context, SERVERS, adds_route=adds_route)


SILENCES = {"before": silence_before, "during": silence_during}


@behave.when("the servers are silent for a second {when} the run of a booking")
def step_silent(context, when):
    SILENCES[when](context, adds_route=False)


@behave.when(
    "the servers are silent {when} the run of a booking, while the operator adds "
    "a route"
)
def step_silent_change(context, when):
    SILENCES[when](context, adds_route=True)


@behave.then("the booking is answered with 200 by its only run")
def step_booking(context):
    answer = context.answers[0]
    assert answer.status == 200, answer
    assert answer.read_json()["run"] == 1, answer
    assert context.system.count_runs(context.system.last_request) == 1


@behave.when("{names} silent for a second during a lookup")
def step_lookup(context, names):
    silent = [name for name in SERVERS if name in names]
    for name in SERVERS:
        processes.change_knobs(context.system.ports[name], work_seconds=RUN_SECONDS)
    with send_in_background(context, lambda: send_lookup(context)):
        time.sleep(0.1)
        silence(context, silent)


@behave.then("each server is used again within {seconds:d} seconds")
def step_used(context, seconds):
    system = context.system
    for node, name in (("n1", "s1"), ("n2", "s2")):

        def has_run(node=node, name=name):
            system.send_request(node, "GET", forwarding_system.LOOKUP_PATH)
            return system.last_request in system.read_counts(name)["runs"]

        processes.wait_for(has_run, f"{name} used", seconds)


def list_running(context):
    """Return the engines that run the last request."""
    system = context.system
    counts = {name: system.read_counts(name)["runs"] for name in ENGINES}
    return [name for name, runs in counts.items() if system.last_request in runs]


@behave.when("the first engine of a stream is silent while the operator adds a route")
def step_stream(context):
    context.timeout_milliseconds = 5_000
    context.events = EVENTS
    send = send_in_background(
        context, lambda: context.system.request_stream("n1", EVENTS)
    )
    with send:
        first = processes.wait_for(lambda: list_running(context), "a run")
        silence(context, first, adds_route=True)
