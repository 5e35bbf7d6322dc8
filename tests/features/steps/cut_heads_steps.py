import socket
import struct
import threading
import time

import behave
import trio

from jujubepass.transport import _http_client
from standins import forwarding_system, processes

LINGER = struct.pack("ii", 1, 0)
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
HEADS = (
    b"HTTP/1.1 200 OK\r\nx-server-seal: s\r\ncontent-length: 2\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nx-server-seal: s\r\n\r\n",
)
PARTS = (1, 12, 17, 30, 60)
EVENTS = 20
ENGINES = tuple(each.name for each in forwarding_system.MEMBERS if each.kind)
SERVERS = ("s1", "s2")


def serve_parts(listener, head, end, is_kept):
    """Answer each connection with one byte more of a head, then end it."""
    for size in range(len(head)):
        connection, _ = listener.accept()
        if is_kept:
            connection.recv(65_536)
            connection.sendall(WHOLE)
        connection.recv(65_536)
        connection.sendall(head[:size])
        if end == "reset":
            # What was sent is read first.
            time.sleep(0.005)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        connection.close()


async def exchange(address, size, is_kept, is_streamed):
    client = _http_client.Client()
    if is_kept:
        await client.request("GET", address, "/")
    options = {"once": True, "fresh": not is_kept}
    try:
        if is_streamed:
            async with client.open("GET", address, "/", **options) as answer:
                return await answer.receive_all()
        return await client.request("GET", address, "/", **options)
    except _http_client.InterruptedAnswerError as error:
        return error


@behave.when("a server sends each part of a head and its connection is {end}")
def step_parts(context, end):
    context.found = []
    for head in HEADS:
        for is_kept in (False, True):
            for is_streamed in (False, True):
                context.found += exchange_parts(head, end, is_kept, is_streamed)


def exchange_parts(head, end, is_kept, is_streamed):
    with socket.create_server((processes.HOST, 0)) as listener:
        arguments = (listener, head, end, is_kept)
        serving = threading.Thread(target=serve_parts, args=arguments)
        serving.start()
        port = listener.getsockname()[1]
        address = _http_client.Address(host=processes.HOST, port=port)
        found = [
            trio.run(exchange, address, size, is_kept, is_streamed)
            for size in range(len(head))
        ]
        serving.join()
    return found


@behave.then(
    "each exchange has failed, at once and as a stream, on new and on kept connections"
)
def step_failed(context):
    assert len(context.found) == 4 * sum(map(len, HEADS))
    for found in context.found:
        assert isinstance(found, _http_client.InterruptedAnswerError), found


def change_knobs(context, names, **changes):
    for name in names:
        processes.change_knobs(context.system.ports[name], **changes)


@behave.when(
    "servers stop after some of a head, which is {end}, for a booking and a lookup"
)
def step_plain(context, end):
    system = context.system
    context.plain = []
    for part in PARTS:
        change_knobs(context, SERVERS, cut_head=part, cut_head_reset=end == "reset")
        booking = system.send_request(
            "n1", "POST", forwarding_system.BOOKING_PATH, body=b"visit"
        )
        runs = system.count_runs(system.last_request)
        change_knobs(context, SERVERS, cut_head=0)
        change_knobs(context, SERVERS[:1], cut_head=part)
        lookup = system.send_request("n1", "GET", forwarding_system.LOOKUP_PATH)
        change_knobs(context, SERVERS, cut_head=0)
        context.plain.append((booking.status, runs, lookup.status))
        # Suspicions of the servers end.
        time.sleep(1.0)


@behave.then("the booking has ended with 502 and ran once, and the lookup was answered")
def step_plain_ended(context):
    assert set(context.plain) == {(502, 1, 200)}, context.plain


@behave.when("engines stop after some of a head, which is {end}, for each stream")
def step_streams(context, end):
    send_streams(context, end, is_resumed=False)


@behave.when(
    "engines stop after some of a head, which is {end}, as each stream is resumed"
)
def step_resumed(context, end):
    send_streams(context, end, is_resumed=True)


def send_streams(context, end, *, is_resumed):
    context.streams = []
    for part in PARTS:
        # An engine cuts one head each; `cut_after` makes each stream be resumed.
        knobs = {"cut_head": part, "cut_head_resumed": is_resumed, "cut_head_left": 1}
        knobs |= {"cut_head_reset": end == "reset", "cut_after": 5 * is_resumed}
        change_knobs(context, ENGINES[:2], **knobs)
        context.streams.append(context.system.request_stream("n1", EVENTS))
        change_knobs(context, ENGINES, cut_head=0, cut_after=0)
        time.sleep(0.5)


@behave.then("each stream has each event once and in order")
def step_whole(context):
    expected = list(range(1, EVENTS + 1))
    for answer in context.streams:
        assert answer.status == 200, answer
        assert forwarding_system.list_events(answer) == expected, answer.body


@behave.when("the store stops after some of each head for {seconds:d} seconds")
def step_store(context, seconds):
    for part in PARTS:
        for is_reset in (False, True):
            processes.change_knobs(
                context.system.store_port, cut_head=part, cut_head_reset=is_reset
            )
            time.sleep(seconds / (2 * len(PARTS)))
    context.statuses = []
    for node in context.system.nodes:
        for method, path in (
            ("GET", forwarding_system.OPEN_LOOKUP_PATH),
            ("GET", forwarding_system.LOOKUP_PATH),
        ):
            answer = context.system.send_request(node, method, path)
            context.statuses.append((node, path, answer.status))
    processes.change_knobs(context.system.store_port, cut_head=0)


@behave.then("each node kept its routes and servers, and has not ended")
def step_kept(context):
    for node in context.system.nodes:
        assert not context.system.processes.has_exited(node)
    for node, path, status in context.statuses:
        # Without the store for long, keys may have been revoked unnoticed.
        allowed = {200} if path == forwarding_system.OPEN_LOOKUP_PATH else {200, 503}
        assert status in allowed, context.statuses


@behave.then(
    "each node takes a change of the configuration within 2 seconds of the store's"
    " return"
)
def step_change(context):
    system = context.system
    configuration = forwarding_system.make_configuration(7)
    added = {**configuration["routes"][2], "name": "late", "prefix": "/late/"}
    configuration["routes"].append(added)
    system.configure(configuration)
    changed_at = time.monotonic()
    for node in system.nodes:
        processes.wait_for(
            lambda node=node: system.send_request(node, "GET", "/late/1").status == 200,
            f"{node} serves the new route",
        )
    assert time.monotonic() - changed_at < 2.0
