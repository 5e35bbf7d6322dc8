import functools
import struct

import behave
import hypothesis
import hypothesis.strategies as st
import trio

from jujubepass import ids
from jujubepass.generated.peer import ttypes
from jujubepass.limits import _share_codec, _share_messages
from jujubepass.transport import _http_client, _peer_codec, _peers
from standins import processes

HOST = processes.HOST
KEY = b"a-peer-key-of-all-nodes"


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


def make_listener(context, received):
    def handle(data):
        if data == context.fails_at:
            raise KeyError("no such peer")
        if data == b"garbage":
            raise _peer_codec.PeerCodecError("malformed")
        received.append(data)

    return _peers.PeerListener(key=KEY, handler=handle)


async def run_peers(context, act):
    context.received = []
    context.listener = make_listener(context, context.received)
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


def make_proof(key, nonce):
    mac = _peers._sign(key, nonce, "node-9")
    proof = ttypes.Proof(node="node-9", mac=mac)
    return frame(_peer_codec.encode_struct(proof)) + frame(b"stolen")


@behave.when(
    "peers send garbage, a wrong key, a large frame, a replayed proof and nothing"
)
def step_attacks(context):
    trio.run(run_peers, context, run_attacks)


async def run_attacks(context, nursery):
    old_proof = make_proof(KEY, b"n" * 32)
    replies = {
        "garbage": lambda nonce: frame(b"\xff" * 40),
        "not a frame": lambda nonce: b"GET / HTTP/1.1\r\n\r\n",
        "wrong key": lambda nonce: make_proof(b"guessed-key-of-nodes", nonce),
        "large frame": lambda nonce: struct.pack(">I", 2_000_000) + b"x" * 100,
        "replayed proof": lambda nonce: old_proof,
        "nothing": lambda nonce: b"",
    }
    context.was_cut = {}
    for name, reply in replies.items():
        context.was_cut[name] = await attack(context, reply)
    sender = _peers.PeerSender(node=ids.NodeId("node-2"), key=KEY, nursery=nursery)
    sender.send(_http_client.Address(host=HOST, port=context.first_port), b"hello")
    while not context.received:
        await trio.sleep(0.01)
    context.open_connections = context.listener.connections


@behave.then("each of them is cut off and no message was received")
def step_cut(context):
    assert all(context.was_cut.values()), context.was_cut
    assert b"stolen" not in context.received, context.received
    assert context.open_connections == 1, context.open_connections


@behave.then("the message of a peer with the key is received")
def step_received(context):
    assert context.received == [b"hello"], context.received


@behave.when('a peer with the key sends "bad", garbage and then "good"')
def step_sends(context):
    trio.run(run_peers, context, send_three)


async def send_three(context, nursery):
    stream = await trio.open_tcp_stream(HOST, context.first_port)
    async with stream:
        data = await read_frame(stream)
        challenge = _peer_codec.decode_struct(ttypes.Challenge(), data)
        proof = make_proof(KEY, challenge.nonce).removesuffix(frame(b"stolen"))
        await stream.send_all(
            proof + frame(b"bad") + frame(b"garbage") + frame(b"good")
        )
        while not context.received:
            await trio.sleep(0.01)


@behave.then('"good" is received over the same connection and 2 messages were rejected')
def step_good(context):
    assert context.received == [b"good"], context.received
    assert context.listener.rejected_messages == 2
