import threading

import behave

from standins import processes

EVENTS = 150
# Time within which requests must leave a draining engine (drainMs of the platform).
DRAIN_TIMEOUT_SECONDS = 2.0
SPARE_PAIR = ("e2", "e3")
PLANNING_LOGGERS = ("planner", "planning", "ordering", "probing", "suspicion")


def read_layers(context, name):
    report = processes.call("GET", context.system.ports[name], "/v1/report")
    return report.read_json()["layers"]


def list_planning_log(context):
    """Return the nodes' log lines on plans, orders and suspicions."""
    return [
        (node, line["message"], line.get("backend"), line.get("reason"))
        for node in context.system.nodes
        for line in context.system.read_log(node)
        if line["name"].rpartition(".")[2] in PLANNING_LOGGERS
    ]


def has_stream_on_spare_pair(context):
    context.system.request_stream("n1")
    return list_engines_in_use(context)


@behave.given("a spare engine that holds layers of its failure domain's pipeline")
def step_spare(context):
    try:
        processes.wait_for(
            lambda: all(read_layers(context, name) for name in SPARE_PAIR),
            "a loaded spare",
        )
        # The node's list of engines is older than their reports.
        processes.wait_for(
            lambda: has_stream_on_spare_pair(context), "a pipeline of loaded engines"
        )
    except processes.TrialError as error:
        raise processes.TrialError(f"{error}: {list_planning_log(context)}") from error


@behave.given("engines that refuse to move requests")
def step_refuse(context):
    for name in ("e1", *SPARE_PAIR):
        processes.change_knobs(context.system.ports[name], refuse_move=1.0)


def start_stream(context):
    """Start a stream in the background and wait until an engine runs it."""
    previous = context.system.last_request
    context.answers, context.events = [], EVENTS
    context.background = threading.Thread(
        target=lambda: context.answers.append(
            context.system.request_stream("n1", EVENTS)
        )
    )
    context.background.start()
    processes.wait_for(
        lambda: (
            context.system.last_request != previous
            and context.system.count_runs(context.system.last_request)
        ),
        "a stream that has begun",
    )


def list_engines_in_use(context):
    request = context.system.last_request
    return [
        name
        for name in SPARE_PAIR
        if request in context.system.read_counts(name)["passed"]
    ]


def find_engine_in_use(context):
    used = list_engines_in_use(context)
    request = context.system.last_request
    lines = [
        line
        for line in context.system.read_log("n1")
        if line.get("request") == request or line["name"].endswith("suspicion")
    ]
    passed = {
        each: request in context.system.read_counts(each)["passed"]
        for each in ("e1", "e2", "e3", "f1", "f2")
    }
    layers = {each: read_layers(context, each) for each in passed}
    assert len(used) == 1, (passed, layers, lines, list_planning_log(context))
    return used[0]


@behave.when("the engine that has a spare is killed during a stream")
def step_kill(context):
    start_stream(context)
    used = find_engine_in_use(context)
    context.system.processes.kill(used)


@behave.when("the engine that has a spare reports draining during a stream and stops")
def step_drain(context):
    start_stream(context)
    used = find_engine_in_use(context)
    processes.change_knobs(context.system.ports[used], state="draining")
    processes.wait_for(
        lambda: context.system.read_counts("e1")["moves"],
        "a move",
        DRAIN_TIMEOUT_SECONDS,
    )
    context.system.processes.kill(used)


@behave.then("the request ran once and was moved by one order")
def step_ran_once(context):
    assert context.system.count_runs(context.system.last_request) == 1
    assert context.system.read_counts("e1")["moves"] == 1
