import json
import pathlib

import behave

from jujubepass import cli, traces
from jujubepass.answers import _recovery
from jujubepass.routing import _naive, _routes
from standins import caller, faults, processes, system
from tests import small_traces

TRACES = pathlib.Path(__file__).resolve().parents[2] / "traces"


def make_router(source):
    return (
        _routes.PredictedTimePolicy(random_source=source),
        _recovery.ResumePolicy(min_stall_seconds=0.5),
    )


def make_naive(source):
    return _naive.NaiveRoutePolicy(), _naive.RestartPolicy(stall_seconds=0.5)


def run(name, make_policies):
    trace = small_traces.read_trace(TRACES / f"{name}.json")
    return small_traces.summarize(small_traces.run_trace(trace, make_policies))


@behave.when('trace "{name}" runs through the router and through the naive policy')
def step_run(context, name):
    context.name = name
    context.router = run(name, make_router)
    context.naive = run(name, make_naive)


@behave.then("every answer of both is complete and correct")
def step_whole(context):
    for found in (context.router, context.naive):
        assert found["asked"] == found["whole"] > 0, found


def check_bounds(context, field, maximum, minimum):
    assert context.router[field] <= maximum, context.router
    assert context.naive[field] >= minimum, context.naive


@behave.then(
    "the router's longest gap is at most {maximum:d} ms,"
    " the naive one at least {minimum:d} ms"
)
def step_gap(context, maximum, minimum):
    check_bounds(context, "longest_gap_ms", maximum, minimum)


@behave.then(
    "the router's longest first token is at most {maximum:d} ms,"
    " the naive one at least {minimum:d} ms"
)
def step_first(context, maximum, minimum):
    check_bounds(context, "longest_first_token_ms", maximum, minimum)


@behave.then(
    "the router generates at most {maximum:g} tokens per delivered token,"
    " the naive policy at least {minimum:g}"
)
def step_share(context, maximum, minimum):
    check_bounds(context, "generated_share", maximum, minimum)


@behave.then("both reproduce the same outcomes")
def step_again(context):
    assert run(context.name, make_router) == context.router
    assert run(context.name, make_naive) == context.naive


def read_recorded(name):
    return traces.read_trace((TRACES / f"{name}.jsonl").read_text())


@behave.when('the recorded trace "{name}" is replayed')
def step_replay(context, name):
    context.replay = traces.replay_trace(read_recorded(name))


@behave.when('the recorded trace "{name}" is replayed with the naive policy')
def step_replay_naive(context, name):
    context.replay = traces.replay_trace(read_recorded(name), naive=True)


@behave.then("every command equals the recorded one, and each kind occurs")
def step_same(context):
    assert not context.replay.differences, context.replay.differences[0]
    kinds = {"StartAttempt", "DeliverTokens", "CancelAttempt", "ProbeEngine"}
    assert kinds <= set(context.replay.commands), context.replay


@behave.then("some commands differ")
def step_otherwise(context):
    assert context.replay.differences


@behave.given("a recording node with an engine killed while answers streamed")
def step_record(context):
    context.system = faults.start_system(
        context.first_port, settings={"trace": {"record": "memory"}}
    )
    context.add_cleanup(context.system.processes.close)
    struck = []

    def kill(count, route):
        if count >= 8 and not struck:
            struck.append(route)
            context.system.processes.kill(route[1])

    streams = caller.stream_answers(
        context.system.nodes["node-1"].callers,
        [f"prompt number {number}" for number in range(4)],
        max_tokens=24,
        on_token=kill,
    )
    assert struck and all(s.finish_reason for s in streams), streams


@behave.when("its trace is fetched and replayed on the command line")
def step_fetch(context):
    headers = {"authorization": f"Bearer {system.OPERATOR_KEY}"}
    port = context.system.nodes["node-1"].operators
    answer = processes.call("GET", port, "/operator/trace", headers=headers)
    assert answer.status == 200, answer
    file = context.system.processes.folder / "trace.jsonl"
    file.write_bytes(answer.body)
    context.code = cli.run(["replay", str(file)])
    context.trace = answer.body


@behave.then("the command exits with 0 and the trace has more than one attempt")
def step_replayed(context):
    assert context.code == 0, context.trace.decode()[:2_000]
    epochs = [
        command["epoch"]
        for line in context.trace.splitlines()[1:]
        for command in json.loads(line)["commands"]
        if command["type"] == "StartAttempt"
    ]
    assert max(epochs) > 1, epochs
