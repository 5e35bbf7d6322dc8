import json
import os
import threading

import behave

from jujubepass.transport import _http_client
from standins import model, processes

MODEL = "stairs-32"
LAYERS = 32
PROMPT = [f"word{number}" for number in range(20)]


def start_processes(context):
    context.processes = processes.Processes()
    context.add_cleanup(context.processes.close)
    context.ports = processes.Ports(first=int(os.environ["JUJUBEPASS_TEST_PORT"]))


@behave.given("two engines with layers 0-16 and 16-32")
def step_engines(context):
    start_processes(context)
    context.engines = []
    for name, layers, kind in [("e1", "0:16", "a100"), ("e2", "16:32", "l4")]:
        port = context.ports.allocate()
        context.engines.append(port)
        spec = f"{name}:{port}:{layers}:{kind}"
        context.processes.start(
            name, "standins.engine", "--engine", spec, port=port, path="/load"
        )


@behave.given("the platform")
def step_platform(context):
    start_processes(context)
    context.platform = context.ports.allocate()
    arguments = ["--port", str(context.platform)]
    context.processes.start(
        "platform", "standins.platform", *arguments, port=context.platform
    )


@behave.given("a service that checks fencing and answers outcomes")
def step_service(context):
    start_processes(context)
    context.service = context.ports.allocate()
    arguments = ["--name", "bookings", "--port", str(context.service)]
    arguments += ["--checks-fencing", "--answers-outcomes"]
    context.processes.start(
        "service", "standins.service", *arguments, port=context.service
    )


@behave.step("the first engine has knob {name:w} at {value}")
def step_engine_knob(context, name, value):
    processes.change_knobs(context.engines[0], **{name: json.loads(value)})


@behave.step("the platform has knob {name:w} at {value}")
def step_platform_knob(context, name, value):
    processes.change_knobs(context.platform, **{name: json.loads(value)})


def describe_request(context, request, epoch, sent, max_tokens):
    first, second = context.engines
    stages = [("e1", first, 0, 16), ("e2", second, 16, 32)]
    return {
        "request": request,
        "epoch": epoch,
        "model": MODEL,
        "prompt": PROMPT,
        "sent": sent,
        "max_tokens": max_tokens,
        "priority": 1,
        "deadline_seconds": 30.0,
        "stages": [
            {
                "engine": name,
                "address": f"{processes.HOST}:{port}",
                "first_layer": start,
                "end_layer": end,
                "kv_from": None,
            }
            for name, port, start, end in stages
        ],
    }


def send_generation(context, request, epoch, sent, max_tokens):
    body = describe_request(context, request, epoch, sent, max_tokens)
    context.request, context.max_tokens, context.sent = request, max_tokens, sent
    context.answer = processes.call("POST", context.engines[0], "/generate", body)
    assert context.answer.status == 200, context.answer
    context.lines = [json.loads(line) for line in context.answer.body.splitlines()]


@behave.when('request "{request}" at epoch {epoch:d} requests {count:d} tokens')
def step_request(context, request, epoch, count):
    try:
        send_generation(context, request, epoch, [], count)
        context.was_interrupted = False
    except _http_client.InterruptedAnswerError:
        context.was_interrupted = True


@behave.when(
    'request "{request}" at epoch {epoch:d} resumes after {start:d} of {end:d} tokens'
)
def step_resume(context, request, epoch, start, end):
    sent = [line["token"] for line in context.lines if "token" in line]
    assert len(sent) == start
    send_generation(context, request, epoch, sent, end)


@behave.then("its tokens equal the model's answer")
def step_equal(context):
    tokens = [line["token"] for line in context.lines if "token" in line]
    expected = model.expected_tokens(MODEL, PROMPT, context.max_tokens, LAYERS)
    assert context.sent + tokens == expected
    positions = [line["position"] for line in context.lines if "token" in line]
    assert positions == list(range(len(context.sent), len(expected)))


@behave.then("each layer ran exactly once for each position")
def step_once(context):
    for port, layers in zip(context.engines, ([0, 16], [16, 32]), strict=True):
        runs = processes.read_counts(port)["runs"][context.request]
        assert runs == [[1, *layers, 0, context.max_tokens]], runs
    for line in context.lines[:-1]:
        assert line["receipts"] == [["e1", 0, 16], ["e2", 16, 32]], line


@behave.then('its stream ends with "{ending}"')
def step_ending(context, ending):
    last = context.lines[-1]
    assert ending in (last.get("end"), last.get("error")), last
    if ending == "stage_failed":
        assert last["engine"] == "e2", last


@behave.then("the engines reused their KV caches")
def step_reused(context):
    for port in context.engines:
        counts = processes.read_counts(port)
        assert counts["kv_reused"] == 1, counts
        assert counts["prefilled_words"] == len(PROMPT), counts


@behave.then('request "{request}" at epoch {epoch:d} is refused as "{reason}"')
def step_refused(context, request, epoch, reason):
    body = describe_request(context, request, epoch, [], 5)
    answer = processes.call("POST", context.engines[0], "/generate", body)
    assert answer.status == (409 if reason == "old_epoch" else 503)
    assert answer.read_json()["error"] == reason
    assert "retry-after" in answer.headers or answer.status == 409


@behave.when("layers are left out, repeated or swapped")
def step_wrong_layers(context):
    start = model.Context(model=MODEL, prompt=PROMPT).start()
    context.right = model.run_layers(start, 0, LAYERS)
    context.wrong = []
    for layer in range(LAYERS):
        before = model.run_layers(start, 0, layer)
        after = model.run_layers(before, layer, layer + 1)
        context.wrong.append(model.run_layers(before, layer + 1, LAYERS))
        repeated = model.run_layers(after, layer, layer + 1)
        context.wrong.append(model.run_layers(repeated, layer + 1, LAYERS))
        if layer + 1 < LAYERS:
            swapped = model.run_layers(before, layer + 1, layer + 2)
            swapped = model.run_layers(swapped, layer, layer + 1)
            context.wrong.append(model.run_layers(swapped, layer + 2, LAYERS))


@behave.then("the token differs")
def step_differs(context):
    assert context.right not in context.wrong
    right = model.read_token(context.right)
    assert right not in [model.read_token(wrong) for wrong in context.wrong]


@behave.when('request "{request}" at epoch 1 loses its second engine while it runs')
def step_lose_engine(context, request):
    requester = threading.Thread(
        target=send_generation, args=(context, request, 1, [], 2_000)
    )
    requester.start()
    first = context.engines[0]
    processes.wait_for(
        lambda: processes.read_counts(first)["tokens"] >= 3, "three tokens"
    )
    context.processes.kill("e2")
    requester.join()


@behave.then("its stream is interrupted after {count:d} tokens")
def step_interrupted(context, count):
    assert context.was_interrupted
    assert processes.read_counts(context.engines[0])["tokens"] == count


@behave.then("a request for the first engine's load report times out")
def step_no_load(context):
    try:
        processes.call("GET", context.engines[0], "/load", timeout_seconds=0.5)
    except _http_client.AnswerTimeoutError:
        return
    raise AssertionError("a frozen engine responded")


@behave.then("its stream has one late, one crossed and one duplicate line")
def step_foreign(context):
    tokens = [line for line in context.lines if "token" in line]
    assert [line["epoch"] for line in tokens].count(1) == 1
    crossed = [line for line in tokens if line["request"] != "r1"]
    assert len(crossed) == 1
    own = [x for x in tokens if x["request"] == "r1" and x["epoch"] == 2]
    assert [x["position"] for x in own] == [0, 0, 1, 2, 3, 4, 5]


def send_order(context, fencing, version):
    wanted = {"model": MODEL, "version": version, "first_layer": 0, "end_layer": 16}
    wanted |= {"role": "generate", "adapters": []}
    body = {"order": f"o{fencing}", "fencing": fencing, "wanted": wanted}
    return processes.call("POST", context.engines[0], "/orders", body)


@behave.when(
    "an order with fencing number {fencing:d} requests "
    'version "{version}" of the first engine'
)
def step_order(context, fencing, version):
    assert send_order(context, fencing, version).status == 200


@behave.then('the first engine loads version "{version}"')
def step_version(context, version):
    def is_actual():
        state = processes.call("GET", context.engines[0], "/state").read_json()
        return state["actual"]["version"] == version

    processes.wait_for(is_actual, "the wanted version")


@behave.then("an order with fencing number {fencing:d} is refused")
def step_order_refused(context, fencing):
    answer = send_order(context, fencing, "9")
    assert answer.status == 409
    assert answer.read_json() == {"error": "old_fencing", "seen": 5}


@behave.when('row "{key}" is written at version {version:d}')
def step_write(context, key, version):
    context.writes = getattr(context, "writes", 0) + 1
    write = {"key": key, "value": {"write": context.writes}}
    body = {"conditions": [{"key": key, "version": version}], "writes": [write]}
    try:
        context.answer = processes.call(
            "POST", context.platform, "/table/transact", body
        )
    except _http_client.InterruptedAnswerError:
        context.answer = None


def read_row(context, key):
    body = {"keys": [key]}
    answer = processes.call("POST", context.platform, "/table/read", body)
    return answer.read_json()["rows"].get(key)


@behave.then('the last transaction conflicts and row "{key}" has its first value')
def step_conflict(context, key):
    row = read_row(context, key)
    assert context.answer.status == 409
    assert context.answer.read_json() == {"conflicts": [{"key": key, **row}]}
    assert row["value"] == {"write": 1}


@behave.then('the response is lost and row "{key}" exists')
def step_effect(context, key):
    assert context.answer is None
    assert read_row(context, key)["value"] == {"write": 1}


@behave.then('the response is lost and row "{key}" does not exist')
def step_no_effect(context, key):
    assert context.answer is None
    assert read_row(context, key) is None


@behave.when('key "{key}" is fenced at {fencing:d}')
def step_fence(context, key, fencing):
    path = f"/outcomes/{key}/fence"
    processes.call("POST", context.service, path, {"fencing": fencing})


@behave.then('the outcome of "{key}" is "{state}"')
def step_outcome(context, key, state):
    answer = processes.call("GET", context.service, f"/outcomes/{key}")
    assert answer.read_json()["state"] == state


def run_call(context, key, fencing):
    headers = {"idempotency-key": key, "fencing-number": str(fencing)}
    headers["call-attempt"] = f"a{fencing}"
    return processes.call("POST", context.service, "/visits", {}, headers=headers)


@behave.then('a call with key "{key}" and fencing number {fencing:d} is refused')
def step_call_refused(context, key, fencing):
    answer = run_call(context, key, fencing)
    assert answer.status == 409
    assert answer.read_json()["error"] == "old_fencing"


@behave.then('a call with key "{key}" and fencing number {fencing:d} runs')
def step_call_runs(context, key, fencing):
    assert run_call(context, key, fencing).status == 200


@behave.then('key "{key}" ran once')
def step_ran_once(context, key):
    counts = processes.read_counts(context.service)
    assert counts["runs"] == {key: 1}
    assert counts["attempts"] == {key: 2}
