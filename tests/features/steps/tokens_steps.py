import concurrent.futures
import random
import re

import behave

from standins import caller, faults, model, processes, system

MAX_TOKENS = 40
STREAMS = 5
FAULT_AT_TOKEN = 8


def draw_prompts(seed, count=STREAMS):
    source = random.Random(seed)
    return [
        " ".join(f"word{source.randrange(10_000)}" for _ in range(40))
        for _ in range(count)
    ]


def expect_tokens(stream):
    words = stream.prompt.split()
    return model.expected_tokens(system.MODEL, words, MAX_TOKENS, system.LAYERS)


def read_counts(context, name):
    port = context.system.nodes["node-1"].operators
    text = processes.call("GET", port, "/metrics").body.decode()
    pattern = rf'jujubepass_{name}_total{{reason="(\w+)"}} ([\d.]+)'
    return {reason: float(count) for reason, count in re.findall(pattern, text)}


def stream_and_inject(context, prompts, inject_fault):
    struck = []

    def inject_once(count, route):
        if count >= FAULT_AT_TOKEN and not struck:
            struck.append(inject_fault(route))

    streams = caller.stream_answers(
        context.system.nodes["node-1"].callers,
        prompts,
        max_tokens=MAX_TOKENS,
        on_token=inject_once,
    )
    assert struck, "the answers ended before the fault"
    return streams, struck[0]


@behave.given("a system with three engines for each half of the layers")
def step_system(context):
    context.system = faults.start_system(context.first_port)
    context.add_cleanup(context.system.processes.close)


@behave.when("{name} hits a stage while answers stream, with seeds 1 to {last:d}")
def step_inject(context, name, last):
    fault = faults.Fault(name)
    system_faults = faults.FaultInjector(system=context.system)
    context.streams = []
    for seed in range(1, last + 1):
        stage = seed % 2
        streams, struck = stream_and_inject(
            context,
            draw_prompts(seed),
            lambda route, stage=stage: system_faults.inject(fault, route, stage),
        )
        context.streams += streams
        if seed < last:
            system_faults.recover(struck)


@behave.then("each answer equals the model's output token for token")
def step_compare(context):
    for stream in context.streams:
        assert stream.tokens == expect_tokens(stream), stream
        assert stream.finish_reason in ("stop", "length"), stream


@behave.then("the node counted retries of {names}")
def step_retries(context, names):
    counts = read_counts(context, "retries")
    assert sum(counts[name.strip()] for name in names.split(",")) > 0, counts


@behave.given("engines that repeat, misroute and delay lines")
def step_foreign(context):
    for port in context.system.engines.values():
        processes.change_knobs(
            port, duplicate_tokens=0.3, cross_streams=0.3, late_tokens=0.3
        )


@behave.when("{count:d} answers stream")
def step_stream(context, count):
    port = context.system.nodes["node-1"].callers
    prompts = draw_prompts(7, count)
    context.streams = caller.stream_answers(port, prompts, max_tokens=MAX_TOKENS)


@behave.then("the node counted drops of {first:w} and {second:w}")
def step_drops(context, first, second):
    counts = read_counts(context, "drops")
    assert counts[first] > 0 and counts[second] > 0, counts


@behave.when("every engine of the second half is killed while an answer streams")
def step_kill_half(context):
    names = [spec.name for spec in faults.ENGINES if spec.first_layer]

    def kill_half(route):
        for name in names:
            context.system.processes.kill(name)

    prompts = draw_prompts(3, 1)
    context.streams, _ = stream_and_inject(context, prompts, kill_half)


@behave.then(
    "the answer ends with an error, a prefix of the correct tokens and a time to retry"
)
def step_ended(context):
    (stream,) = context.streams
    assert stream.finish_reason is None, stream
    assert stream.error["code"] in ("no_route", "circuit_open"), stream
    assert stream.error["retry_after_seconds"] >= 1, stream
    expected = expect_tokens(stream)
    assert 0 < len(stream.tokens) < len(expected), stream
    assert stream.tokens == expected[: len(stream.tokens)], stream


@behave.when(
    "the second half's engines are killed while a complete answer is generated"
)
def step_kill_and_wait(context):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pending = pool.submit(
            context.system.send_model_request, "node-1", "why", max_tokens=1_000
        )
        processes.wait_for(
            lambda: any(
                processes.read_counts(port)["tokens"]
                for port in context.system.engines.values()
            ),
            "a first token",
        )
        for spec in faults.ENGINES:
            if spec.first_layer:
                context.system.processes.kill(spec.name)
        context.answer = pending.result()


@behave.when("prompts are sent until the node finds that no route is left")
def step_ask_again(context):
    def send_model_request():
        context.answer = context.system.send_model_request(
            "node-1", "why", max_tokens=64
        )
        return context.answer.read_json()["run"] != "incomplete"

    processes.wait_for(send_model_request, "a refusal without an attempt")


@behave.then('its refusal states that it was run "{run}"')
def step_run(context, run):
    assert context.answer.status >= 500, context.answer
    assert context.answer.read_json()["run"] == run, context.answer


@behave.then("a new prompt is refused with Retry-After")
def step_refused(context):
    answer = context.system.send_model_request(
        "node-1", "is anybody there", max_tokens=4
    )
    assert answer.status == 503, answer
    assert int(answer.headers["retry-after"]) >= 1, answer


@behave.given('engines "{first}" and "{second}" that are full')
def step_full(context, first, second):
    for name in (first, second):
        processes.change_knobs(context.system.engines[name], full=True)
