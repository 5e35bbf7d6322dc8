import threading
import time

import behave

from standins import processes

EVENTS = 150
# The platform's bound on leaving engines (drainMs).
DRAIN_SECONDS = 2.0
PAIR = ("e2", "e3")
PLANNING = ("planner", "planning", "ordering", "probing", "suspicion")


def read_layers(context, name):
    report = processes.call("GET", context.system.ports[name], "/v1/report")
    return report.read_json()["layers"]


def list_planning(context):
    """Return what the nodes logged of plans, orders and suspicions."""
    return [
        (node, line["message"], line.get("backend"), line.get("reason"))
        for node in context.system.nodes
        for line in context.system.read_log(node)
        if line["name"].rpartition(".")[2] in PLANNING
    ]


@behave.given("a spare engine that holds layers of its failure domain's path")
def step_spare(context):
    try:
        processes.wait_for(
            lambda: all(read_layers(context, name) for name in PAIR), "a loaded spare"
        )
    except processes.TrialError as error:
        raise processes.TrialError(f"{error}: {list_planning(context)}") from error


@behave.given("engines that refuse to move requests")
def step_refuse(context):
    for name in ("e1", *PAIR):
        processes.change_knobs(context.system.ports[name], refuse_move=1.0)


def ask_in_background(context):
    context.answers, context.events = [], EVENTS
    context.background = threading.Thread(
        target=lambda: context.answers.append(context.system.ask_stream("n1", EVENTS))
    )
    context.background.start()
    time.sleep(0.4)


def list_passing(context):
    request = context.system.last_request
    return [
        name for name in PAIR if request in context.system.read_counts(name)["passed"]
    ]


@behave.when("the engine that has a spare is killed in the middle of a stream")
def step_kill(context):
    ask_in_background(context)
    (used,) = list_passing(context)
    context.system.processes.kill(used)


@behave.when(
    "the engine that has a spare says during a stream that it stops, and stops"
)
def step_drain(context):
    ask_in_background(context)
    (used,) = list_passing(context)
    processes.change_knobs(context.system.ports[used], state="draining")
    processes.wait_for(
        lambda: context.system.read_counts("e1")["moves"], "a move", DRAIN_SECONDS
    )
    context.system.processes.kill(used)


@behave.then("it ran once, and one order moved it")
def step_ran_once(context):
    assert context.system.count_runs(context.system.last_request) == 1
    assert context.system.read_counts("e1")["moves"] == 1
