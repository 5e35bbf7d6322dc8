import socket
import struct
import threading

import behave
import trio

from jujubepass.transport import _http_client
from standins import forwarding_system, processes

LINGER = struct.pack("ii", 1, 0)
# More than the sockets of a loopback connection take.
LONG_BODY = b"b" * 8_000_000
EVENTS = 40
MEMBERS = tuple(each.name for each in forwarding_system.MEMBERS)
BODY = b"x" * 1_000
HEADS = {
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.1": b"HTTP/1.1 200 OK\r\n\r\n",
    "Connection: close": b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3e8\r\n",
    "with a length": b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n",
}
ENDS = {"chunked": b"\r\n0\r\n\r\n"}


def answer_early(listener, form, is_reset):
    """Answer a request before its body was read; reset the connection or read on."""
    connection, _ = listener.accept()
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(1_024)
    data = HEADS[form] + BODY + ENDS.get(form, b"")
    connection.sendall(data[: len(data) // 2] if is_reset else data)
    # The client is still sending.
    threading.Event().wait(0.1)
    if is_reset:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        connection.close()
        return
    left = len(LONG_BODY) - len(received.partition(b"\r\n\r\n")[2])
    while left:
        left -= len(connection.recv(65_536))
    connection.close()


async def read_at_once(client, address):
    answer = await client.request("POST", address, "/", body=LONG_BODY)
    return [answer.body]


async def read_as_stream(client, address):
    found = []
    async with client.open("POST", address, "/", body=LONG_BODY) as answer:
        for _ in range(2):
            try:
                found.append((await answer.receive_all()).body)
            except _http_client.InterruptedAnswerError as error:
                found.append(error)
    return found


def exchange(context, form, is_reset):
    context.found = []
    for read in (read_at_once, read_as_stream):
        with socket.create_server((processes.HOST, 0)) as listener:
            serving = threading.Thread(
                target=answer_early, args=(listener, form, is_reset)
            )
            serving.start()
            port = listener.getsockname()[1]
            address = _http_client.Address(host=processes.HOST, port=port)
            try:
                context.found += trio.run(read, _http_client.Client(), address)
            except _http_client.InterruptedAnswerError as error:
                context.found.append(error)
            serving.join()


@behave.when("a server answers a long request early in the form {form} and resets it")
def step_reset(context, form):
    exchange(context, form, is_reset=True)


@behave.when("a server answers a long request early in the form {form} and reads on")
def step_whole(context, form):
    exchange(context, form, is_reset=False)


@behave.then(
    "reading the answer fails, at once and as a stream, also when it is read again"
)
def step_interrupted(context):
    assert len(context.found) == 3, context.found
    for found in context.found:
        assert isinstance(found, _http_client.InterruptedAnswerError), context.found


@behave.then("the answer is complete, at once and as a stream")
def step_complete(context):
    assert context.found[:2] == [BODY, BODY], context.found


@behave.given("a configuration that takes long requests")
def step_long(context):
    limits = forwarding_system.make_configuration(1)["limits"]
    context.system.configure(
        forwarding_system.make_configuration(
            8, limits={**limits, "maxBodyBytes": 16_000_000}
        )
    )
    processes.wait_for(lambda: send_long_booking(context).status == 200, "long booking")


def send_long_booking(context):
    return context.system.send_request(
        "n1", "POST", forwarding_system.BOOKING_PATH, body=LONG_BODY
    )


@behave.when("each server answers its next long request early and resets it")
def step_early(context):
    for name in MEMBERS:
        processes.change_knobs(context.system.ports[name], early_reset=1)


@behave.then("a long booking has ended with 502 and ran once")
def step_booking(context):
    answer = send_long_booking(context)
    assert answer.status == 502, answer.status
    assert context.system.count_runs(context.system.last_request) == 1


@behave.then("a long stream has each event once and in order, and ran more than once")
def step_stream(context):
    answer = context.system.send_request(
        "n1",
        "POST",
        forwarding_system.STREAM_PATH,
        body=LONG_BODY,
        headers={"x-token-count": f"100,{2 * EVENTS}", "x-model": "m"},
    )
    assert answer.status == 200, answer
    expected = list(range(1, EVENTS + 1))
    assert forwarding_system.list_events(answer) == expected, answer.body
    assert context.system.count_runs(context.system.last_request) > 1
