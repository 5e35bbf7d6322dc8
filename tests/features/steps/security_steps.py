import pathlib
import socket
import struct
import tempfile

import behave
import hypothesis
import hypothesis.strategies as st
import returns.result
import trio

from jujubepass import settings
from jujubepass.configuration import _declaration_files
from jujubepass.transport import _http_server
from standins import processes, system

HOST = processes.HOST
GOOD_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
FLOOD_BYTES = 64 * 1024 * 1024
PART_BYTES = 65_536
LIMITS = _http_server.ServerLimits(
    header_bytes=1_024,
    body_bytes=2_048,
    connections=8,
    receive_timeout_seconds=0.05,
    idle_timeout_seconds=0.05,
)
WRONG_KEYS = ("wrong-caller-key", "wrong-operator-key")


async def answer_request(request, responder):
    await responder.send(200, request.body)


async def send_to_server(port, data):
    stream = await trio.open_tcp_stream(HOST, port)
    received = b""
    async with stream:
        try:
            await stream.send_all(data)
            while part := await stream.receive_some(PART_BYTES):
                received += part
        except trio.BrokenResourceError:
            return received
    return received


async def serve_bytes(port, data):
    server = _http_server.Server(handler=answer_request, limits=LIMITS)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, HOST, port)
        with trio.fail_after(10.0):
            received = await send_to_server(port, data)
            good = await send_to_server(port, GOOD_REQUEST)
            while server.connections or server.running_requests:
                await trio.sleep(0.005)
        nursery.cancel_scope.cancel()
    assert not received or received.startswith(b"HTTP/1.1 "), received
    assert good.startswith(b"HTTP/1.1 200"), good


PARTS = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /v1/completions HTTP/1.1\r\n",
        b"HEAD / HTTP/1.0\r\n",
        b"host: a\r\n",
        b"content-length: 5\r\n",
        b"content-length: -1\r\n",
        b"transfer-encoding: chunked\r\n",
        b"expect: 100-continue\r\n",
        b"upgrade: h2c\r\nconnection: upgrade\r\n",
        b"\r\n",
        b"5\r\nhello\r\n0\r\n\r\n",
        b"ffffffffff\r\n",
        b"x" * 3_000,
    ]
)


@behave.then(
    "any bytes get an HTTP answer or a close, and a good request after them is served"
)
def step_any_bytes(context):
    request = st.lists(PARTS | st.binary(max_size=20), max_size=12).map(b"".join)

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(request)
    @hypothesis.example(b"HEAD / HTTP/1.1\r\nhost: a\r\n\r\n")
    @hypothesis.example(b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n")
    def check(data):
        trio.run(serve_bytes, context.first_port, data)

    check()


@behave.given("an HTTP listener whose handler waits")
def step_waiting(context):
    context.handled = 0


@behave.when("a caller sends 64 MB while it waits")
def step_flood(context):
    trio.run(flood_server, context)


async def flood_server(context):
    released = trio.Event()
    responders = []

    async def wait(request, responder):
        responders.append(responder)
        if request.path == "/wait":
            await released.wait()
        await responder.send(200, b"{}")

    server = _http_server.Server(handler=wait, limits=LIMITS)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, HOST, context.first_port)
        stream = await trio.open_tcp_stream(HOST, context.first_port)
        await stream.send_all(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        try:
            with trio.move_on_after(5.0):
                for _ in range(FLOOD_BYTES // PART_BYTES):
                    await stream.send_all(b"x" * PART_BYTES)
        except trio.BrokenResourceError:
            context.cut = True
        # What the parser holds, and what the listener holds for it.
        context.buffered = len(responders[0]._connection.trailing_data[0]) + len(
            responders[0]._source.pending
        )
        context.good = await send_to_server(context.first_port, GOOD_REQUEST)
        await stream.aclose()
        nursery.cancel_scope.cancel()


@behave.then("the listener has buffered no more than its limits and still serves")
def step_bounded(context):
    bound = LIMITS.header_bytes + LIMITS.body_bytes + 2 * PART_BYTES
    assert context.buffered <= bound, context.buffered
    assert context.good.startswith(b"HTTP/1.1 200"), context.good


LINES = st.sampled_from(
    [
        "[node]",
        "[listen]",
        "[security]",
        "name = a",
        "callers = x:99999",
        "= 3",
        "[template t]",
        "[account a]",
        "key_hash = 0",
        "burst = {n}",
        "template = t",
        "[model m]",
        "layers = 1e9",
        "burst = inf",
        "[",
        " x",
        "=",
        "requests_per_second = nan",
    ]
)
TEXTS = st.text(max_size=200) | st.lists(LINES, max_size=15).map("\n".join)


@behave.then(
    "any text and any damage to valid settings is read or refused with problems"
)
def step_any_settings(context):
    ports = system.NodePorts(callers=1, operators=2, peers=3)
    trial = system.System(first_port=context.first_port)
    valid = trial.write_settings("node-1", "a", ports)
    trial.processes.close()
    assert isinstance(settings.parse_settings("f", valid), returns.result.Success)
    cuts = st.builds(
        lambda start, size, text: valid[:start] + text + valid[start + size :],
        st.integers(0, len(valid)),
        st.integers(0, 20),
        st.text(max_size=5),
    )

    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(TEXTS | cuts)
    @hypothesis.example(valid.replace("\n[security]\n", "\n "))
    @hypothesis.example(valid.replace("\n[security]\npeer", ""))
    @hypothesis.example(valid.replace("\n[security]\n", ""))
    @hypothesis.example(valid.replace("\n[security]\npeer_key = ", ""))
    @hypothesis.example(valid.replace("\n\n[security]\npeer_key = ", ""))
    @hypothesis.example(valid.replace("\n\n[security]\npeer_key = ", "\n "))
    def check(text):
        read = settings.parse_settings("node.ini", text)
        if isinstance(read, returns.result.Failure):
            assert read.failure().problems
            assert system.PEER_KEY not in str(read.failure())

    check()


@behave.then("any text as declarations is read or refused with problems")
def step_any_declarations(context):
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "declared.ini"

        @hypothesis.settings(max_examples=300, deadline=None)
        @hypothesis.given(TEXTS)
        def check(text):
            file.write_bytes(text.encode())
            read = _declaration_files.check_declarations([file])
            if isinstance(read, returns.result.Failure):
                assert read.failure()

        check()


@behave.given("a system whose nodes log everything")
def step_logging(context):
    context.system = system.System(
        first_port=context.first_port, settings={"log": {"level": "debug"}}
    )
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=2)


def ask_operators(context, key):
    headers = {"authorization": f"Bearer {key}"} if key else {}
    port = context.system.nodes["node-1"].operators
    return [
        processes.call("GET", port, "/operator/status", headers=headers),
        processes.call("POST", port, "/operator/changes", {}, headers=headers),
    ]


@behave.then("operators without the key, with a wrong one or with its hash get 401")
def step_operators(context):
    for key in ("", WRONG_KEYS[1], system.hash_key(system.OPERATOR_KEY)):
        answers = ask_operators(context, key)
        assert [answer.status for answer in answers] == [401, 401], answers


@behave.when("callers, operators and peers come with right and wrong keys")
def step_keys(context):
    trial = context.system
    answers = [trial.send_model_request("node-1", "why", max_tokens=2)]
    answers.append(trial.send_model_request("node-1", "why", key=WRONG_KEYS[0]))
    answers.append(trial.send_call("node-2", "visit-1", {"day": 1}))
    answers.append(trial.send_lookup("node-2"))
    for key in (system.OPERATOR_KEY, WRONG_KEYS[1]):
        answers += ask_operators(context, key)
    with socket.create_connection((HOST, trial.nodes["node-1"].peers), 5.0) as peer:
        key = system.PEER_KEY.encode()
        peer.sendall(struct.pack(">I", len(key)) + key)
        while peer.recv(PART_BYTES):
            pass
    for node in trial.nodes.values():
        answers.append(processes.call("GET", node.operators, "/metrics"))
    context.texts = [repr(answer.headers) + repr(answer.body) for answer in answers]


@behave.then("no key and no key's hash is in any log, status, metric or answer")
def step_no_secret(context):
    trial = context.system
    texts = list(context.texts)
    for name in trial.nodes:
        texts.append((trial.processes.folder / f"{name}.log").read_text())
        assert texts[-1], name
    keys = [system.PEER_KEY, system.OPERATOR_KEY, system.CALLER_KEY, *WRONG_KEYS]
    for secret in keys + [system.hash_key(key) for key in keys]:
        found = [text for text in texts if secret in text]
        assert not found, (secret, found[0][:500])
