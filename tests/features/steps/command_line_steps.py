import contextlib
import functools
import io
import json
import os
import pathlib
import re
import shlex
import tempfile
import threading

import behave
import cappa
import trio

from jujubepass import cli
from jujubepass.configuration import _configuration_digest
from jujubepass.operators import _report
from jujubepass.transport import _http_server
from standins import processes

KEY = "operators-key"
KEY_VARIABLE = "JUJUBEPASS_OPERATOR_KEY"
KEY_HASH = "a" * 64
ACCOUNTS = f"[account shop]\nkey_hash = {KEY_HASH}\nconcurrency = {{}}\n"
START_TIMEOUT_SECONDS = 10


class FakeNode:
    """Serve fixed responses to operators' requests, in a thread."""

    def __init__(self, *, port):
        self.port = port
        self.answers = {}
        self.bodies = {}
        self.server = _http_server.Server(handler=self.serve)
        self.ready = threading.Event()
        self.thread = threading.Thread(target=trio.run, args=(self.run,))
        self.thread.start()
        assert self.ready.wait(START_TIMEOUT_SECONDS)

    async def run(self):
        self.token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            await nursery.start(self.server.serve, processes.HOST, self.port)
            self.ready.set()

    async def serve(self, request, responder):
        assert request.headers["authorization"] == f"Bearer {KEY}"
        endpoint = f"{request.method} {request.path}"
        self.bodies[endpoint] = request.body
        answer = self.answers[endpoint]
        if answer is None:
            raise trio.BrokenResourceError
        await responder.send_json(*answer)

    def close(self):
        self.token.run_sync_soon(self.server.stop)
        self.thread.join()


def run_command(context, line):
    folder = getattr(context, "folder", None)
    words = []
    for word in shlex.split(line)[1:]:
        if word == "NODE":
            word = f"{processes.HOST}:{context.node.port}"
        elif word.endswith(".ini") and folder:
            word = str(folder / word)
        words.append(word)
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            code = cli.run(words)
        except SystemExit as error:
            code = error.code
    context.code = code
    context.printed = output.getvalue()
    context.shown = context.printed + errors.getvalue()


def set_key(context, key):
    previous = os.environ.get(KEY_VARIABLE)

    def restore():
        os.environ.pop(KEY_VARIABLE, None)
        if previous is not None:
            os.environ[KEY_VARIABLE] = previous

    context.add_cleanup(restore)
    os.environ[KEY_VARIABLE] = key


@behave.given("no operator key")
def step_no_key(context):
    context.key = ""


@behave.given("declarations")
def step_declarations(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    (context.folder / "accounts.ini").write_text(ACCOUNTS.format(16))
    (context.folder / "broken.ini").write_text("[account shop]\nwords alone\n")


@behave.given("a node with configuration {number:d} on nodes at {first:d} and {last:d}")
def step_node(context, number, first, last):
    port = processes.Ports(first=int(os.environ["JUJUBEPASS_TEST_PORT"])).allocate()
    context.node = FakeNode(port=port)
    context.add_cleanup(context.node.close)
    nodes = [
        {"node": "n1", "configuration_number": first},
        {"node": "n2", "configuration_number": last},
    ]
    shop = {"key_hash": KEY_HASH, "concurrency": "8"}
    old = {"requests_per_second": "5"}
    sections = {"account shop": shop, "template old": old}
    digest = _configuration_digest.update_digest(
        _configuration_digest.EMPTY, {}, sections
    )
    context.node.answers = {
        "GET /operator/status": (
            200,
            {"nodes": nodes, "backends": [{"backend": "engine-7"}]},
        ),
        "GET /operator/configuration": (
            200,
            {"number": number, "digest": digest, "sections": sections},
        ),
        "POST /operator/changes": (200, {"number": number}),
    }


@behave.given("it lists a node whose configuration is unknown")
def step_unreported(context):
    unreported = {"node": "n3", "configuration_number": 0, "configuration_digest": ""}
    context.node.answers["GET /operator/status"][1]["nodes"].append(unreported)


@behave.given(
    "it lists a node whose configuration is unknown, which confirmed {number:d}"
)
def step_confirmed(context, number):
    step_unreported(context)
    nodes = context.node.answers["GET /operator/status"][1]["nodes"]
    nodes[-1]["confirmed_number"] = number


@behave.given('its answer to "{endpoint}" is {status:d} "{code}"')
def step_answer(context, endpoint, status, code):
    detail = f"{code}: see the docs"
    context.node.answers[endpoint] = (status, {"code": code, "detail": detail})


@behave.given('it closes the connection on "{endpoint}"')
def step_close_connection(context, endpoint):
    context.node.answers[endpoint] = None


@behave.when('"{line}" runs')
def step_command_runs(context, line):
    set_key(context, getattr(context, "key", KEY))
    run_command(context, line)


@behave.then("it ends with code {code:d}")
def step_code(context, code):
    assert context.code == code, (context.code, context.shown)


@behave.then('it shows "{text}"')
def step_shows(context, text):
    shown = " ".join(context.shown.split())
    assert text in shown, context.shown


@behave.then('it prints JSON with "{key}"')
def step_json(context, key):
    assert key in json.loads(context.printed)


@behave.then("the node received the sections with base {base:d}")
def step_sent(context, base):
    body = json.loads(context.node.bodies["POST /operator/changes"])
    assert body["base"] == base and body["author"] == "ana"
    assert body["change_id"]
    shop = {"key_hash": KEY_HASH, "concurrency": "16"}
    assert body["sections"] == {"account shop": shop}, body


@behave.then("the node received no change")
def step_no_change(context):
    assert "POST /operator/changes" not in context.node.bodies


@functools.cache
def read_help(command):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        try:
            cli.run([command, "--help"])
        except SystemExit as error:
            assert error.code == 0
    return " ".join(output.getvalue().split())


def list_commands():
    return list(cappa.collect(cli.Program).subcommand.names())


@behave.then("each command's help names an example of that command and all exit codes")
def step_help(context):
    for command in list_commands():
        text = read_help(command)
        assert f"Example: jujubepass {command}" in text, text
        for code, meaning in _report.EXIT_CODE_MEANINGS.items():
            assert f"{code.value} {meaning}" in text, text


@behave.then("each example is parsed as a valid command")
def step_examples(context):
    for command in list_commands():
        example = re.search(
            r"Example: jujubepass (.*?) Exit codes:", read_help(command)
        )
        words = shlex.split(example.group(1))
        parsed = cappa.parse(cli.Program, argv=words)
        assert parsed.command is not None, example
