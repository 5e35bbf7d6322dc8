import functools
import pathlib
import socket
import struct
import tempfile

import behave
import hypothesis
import hypothesis.strategies as st
import returns.result
import trio

from jujubepass import (
    _declaration_files,
    _http_client,
    _http_server,
    _peer_codec,
    _peers,
    _share_codec,
    _share_messages,
    ids,
    settings,
)
from jujubepass.generated.peer import ttypes
from standins import processes, system

HOST = processes.HOST
KEY = b"a-peer-key-of-all-nodes"
GOOD_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
FLOOD_BYTES = 64 * 1024 * 1024
PIECE_BYTES = 65_536
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
            while part := await stream.receive_some(PIECE_BYTES):
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


PIECES = st.sampled_from(
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
    request = st.lists(PIECES | st.binary(max_size=20), max_size=12).map(b"".join)

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
    connections = []

    async def wait(request, responder):
        connections.append(responder._connection)
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
                for _ in range(FLOOD_BYTES // PIECE_BYTES):
                    await stream.send_all(b"x" * PIECE_BYTES)
        except trio.BrokenResourceError:
            context.cut = True
        context.buffered = len(connections[0].trailing_data[0])
        context.good = await send_to_server(context.first_port, GOOD_REQUEST)
        await stream.aclose()
        nursery.cancel_scope.cancel()


@behave.then("the listener has buffered no more than its bounds and serves on")
def step_bounded(context):
    bound = LIMITS.header_bytes + LIMITS.body_bytes + 2 * PIECE_BYTES
    assert context.buffered <= bound, context.buffered
    assert context.good.startswith(b"HTTP/1.1 200"), context.good


def list_messages():
    demand = _share_messages.Demand(
        account=ids.AccountId("shop"),
        wanted_rate=3.5,
        held_rate=1.0,
        wanted_running=3,
        held_running=1,
    )
    grant = _share_messages.Grant(account=ids.AccountId("shop"), rate=2.0, running=4)
    address = _http_client.Address(host=HOST, port=1)
    node = ids.NodeId("node-1")
    demands = _share_messages.SendDemands(address=address, node=node, demands=(demand,))
    grants = _share_messages.SendGrants(address=address, node=node, grants=(grant,))
    heartbeat = ttypes.Heartbeat(
        node="node-1",
        incarnation="i",
        state="ready",
        configuration_number=3,
        configuration_digest="d",
    )
    messages = [_share_codec.build_demands(demands), _share_codec.build_grants(grants)]
    messages.append(ttypes.Message(heartbeat=heartbeat))
    return [_peer_codec.encode_struct(message) for message in messages]


def damage(data, places):
    damaged = bytearray(data)
    for place, value in places:
        damaged[place % len(damaged)] = value
    return bytes(damaged)


@behave.then(
    "any bytes, and any damage to a valid message, are an event or a codec error"
)
def step_any_message(context):
    places = st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=4)
    damaged = st.builds(damage, st.sampled_from(list_messages()), places)

    @hypothesis.settings(max_examples=2_000, deadline=None)
    @hypothesis.given(damaged | st.binary(max_size=200))
    def check(data):
        try:
            _peer_codec.decode_event(data)
        except _peer_codec.PeerCodecError:
            return

    check()


def frame(data):
    return struct.pack(">I", len(data)) + data


@behave.given("a peer listener")
def step_listener(context):
    context.fails_at = None


@behave.given('a peer listener whose handler fails at the message "{text}"')
def step_failing(context, text):
    context.fails_at = text.encode()


def make_listener(context, heard):
    def handle(data):
        if data == context.fails_at:
            raise KeyError("no such peer")
        if data == b"garbage":
            raise _peer_codec.PeerCodecError("malformed")
        heard.append(data)

    return _peers.PeerListener(key=KEY, handler=handle)


async def run_peers(context, act):
    context.heard = []
    context.listener = make_listener(context, context.heard)
    async with trio.open_nursery() as nursery:
        serve = functools.partial(context.listener.serve, HOST, context.first_port)
        await nursery.start(serve)
        with trio.fail_after(20.0):
            await act(context, nursery)
        nursery.cancel_scope.cancel()


async def read_frame(stream):
    (length,) = struct.unpack(">I", await stream.receive_some(4))
    data = b""
    while len(data) < length:
        data += await stream.receive_some(length - len(data))
    return data


async def attack(context, make_reply):
    """Answer a challenge; return whether the listener cut the connection."""
    stream = await trio.open_tcp_stream(HOST, context.first_port)
    async with stream:
        challenge = await read_frame(stream)
        context.challenge = _peer_codec.decode_struct(ttypes.Challenge(), challenge)
        try:
            await stream.send_all(make_reply(context.challenge.nonce))
            return not await stream.receive_some(1)
        except trio.BrokenResourceError:
            return True


def prove(key, nonce):
    mac = _peers._sign(key, nonce, "node-9")
    proof = ttypes.Proof(node="node-9", mac=mac)
    return frame(_peer_codec.encode_struct(proof)) + frame(b"stolen")


@behave.when(
    "peers send garbage, a wrong key, a large frame, a replayed proof and nothing"
)
def step_attacks(context):
    trio.run(run_peers, context, run_attacks)


async def run_attacks(context, nursery):
    stale = prove(KEY, b"n" * 32)
    replies = {
        "garbage": lambda nonce: frame(b"\xff" * 40),
        "not a frame": lambda nonce: b"GET / HTTP/1.1\r\n\r\n",
        "wrong key": lambda nonce: prove(b"guessed-key-of-nodes", nonce),
        "large frame": lambda nonce: struct.pack(">I", 2_000_000) + b"x" * 100,
        "replayed proof": lambda nonce: stale,
        "nothing": lambda nonce: b"",
    }
    context.cut = {}
    for name, reply in replies.items():
        context.cut[name] = await attack(context, reply)
    sender = _peers.PeerSender(node=ids.NodeId("node-2"), key=KEY, nursery=nursery)
    sender.send(_http_client.Address(host=HOST, port=context.first_port), b"hello")
    while not context.heard:
        await trio.sleep(0.01)
    context.left = context.listener.connections


@behave.then("each of them is cut off and no message came through")
def step_cut(context):
    assert all(context.cut.values()), context.cut
    assert b"stolen" not in context.heard, context.heard
    assert context.left == 1, context.left


@behave.then("a peer with the key is heard")
def step_heard(context):
    assert context.heard == [b"hello"], context.heard


@behave.when('a peer with the key sends "bad", garbage and then "good"')
def step_sends(context):
    trio.run(run_peers, context, send_three)


async def send_three(context, nursery):
    stream = await trio.open_tcp_stream(HOST, context.first_port)
    async with stream:
        data = await read_frame(stream)
        challenge = _peer_codec.decode_struct(ttypes.Challenge(), data)
        proof = prove(KEY, challenge.nonce).removesuffix(frame(b"stolen"))
        await stream.send_all(
            proof + frame(b"bad") + frame(b"garbage") + frame(b"good")
        )
        while not context.heard:
            await trio.sleep(0.01)


@behave.then('"good" is heard over the same connection and 2 messages were rejected')
def step_good(context):
    assert context.heard == [b"good"], context.heard
    assert context.listener.rejected_messages == 2


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
    answers = [trial.ask("node-1", "why", max_tokens=2)]
    answers.append(trial.ask("node-1", "why", key=WRONG_KEYS[0]))
    answers.append(trial.book("node-2", "visit-1", {"day": 1}))
    answers.append(trial.look_up("node-2"))
    for key in (system.OPERATOR_KEY, WRONG_KEYS[1]):
        answers += ask_operators(context, key)
    with socket.create_connection((HOST, trial.nodes["node-1"].peers), 5.0) as peer:
        peer.sendall(frame(system.PEER_KEY.encode()))
        while peer.recv(PIECE_BYTES):
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
