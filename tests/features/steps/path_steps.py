import json
import pathlib
import subprocess

import behave

from standins import demo, model, system

ROOT = pathlib.Path(__file__).resolve().parents[3]
COMMAND_TIMEOUT_SECONDS = 20.0

PROMPT = "my stairlift stops halfway with a red light"
MAX_TOKENS = 12
BOOKING = {"day": "2030-05-02"}


def read_text(answer):
    return answer.read_json()["choices"][0]["text"]


@behave.given("a system of three nodes")
def step_system(context):
    context.system = system.System(first_port=context.first_port)
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=3)


@behave.when("a prompt is sent to each node")
def step_prompt(context):
    context.answers = [
        context.system.send_model_request(node, PROMPT, max_tokens=MAX_TOKENS)
        for node in context.system.nodes
    ]


@behave.then("each answer equals the model's expected tokens")
def step_compare(context):
    words = PROMPT.split()
    expected = model.expected_tokens(system.MODEL, words, MAX_TOKENS, system.LAYERS)
    for answer in context.answers:
        assert read_text(answer).split() == list(expected), answer


@behave.when(
    'a booking is sent to "{first}" and repeated to "{second}" with the same key'
)
def step_book(context, first, second):
    context.answers = [
        context.system.send_call(node, "visit-1", BOOKING) for node in (first, second)
    ]


@behave.then("both answers are equal and the service executed the booking once")
def step_once(context):
    first, second = context.answers
    assert first.status == second.status == 200, context.answers
    assert first.body == second.body, context.answers
    assert json.loads(first.body)["run"] == 1, first


@behave.when('a lookup is sent to "{node}"')
def step_look_up(context, node):
    context.answer = context.system.send_lookup(node)


@behave.then('it is answered by "{backend}"')
def step_backend(context, backend):
    assert context.answer.status == 200, context.answer
    assert context.answer.headers["x-jujubepass-backend"] == backend, context.answer


@behave.when("each node is stopped")
def step_stop(context):
    context.codes = [
        context.system.processes.stop(node) for node in context.system.nodes
    ]


@behave.then("each exits with 0")
def step_codes(context):
    assert context.codes == [0, 0, 0], context.codes


@behave.when('the command that the demo prints for "{node}" runs')
def step_demo_command(context, node):
    command = demo.make_status_command(context.system.nodes[node].operators)
    context.ended = subprocess.run(
        command,
        shell=True,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_SECONDS,
        check=False,
    )


@behave.then('it ends with {code:d} and names "{node}"')
def step_ended(context, code, node):
    ended = context.ended
    assert ended.returncode == code, (ended.returncode, ended.stderr)
    assert node in ended.stdout, ended.stdout
