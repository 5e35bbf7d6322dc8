"""Steps for errors of an engine that is to resume a stream."""

import re
import socket
import time

import behave

from standins import forwarding_system, processes
from tests.features.steps import accepted_requests_steps

ANSWER_SECONDS = 12.0
EVENTS = 20
REQUEST_ID = "n1-resumed"
END = b"0\r\n\r\n"
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\n\n")


@behave.given("engines that cut a stream and answer {form} where it is to be resumed")
def step_engines(context, form):
    for member in accepted_requests_steps.ENGINES:
        processes.change_knobs(
            context.system.ports[member.name],
            cut_after=5,
            resume_errors=1,
            resume_error=form,
        )


@behave.when("a caller requests a stream that is cut")
def step_request(context):
    lines = [
        f"POST {forwarding_system.STREAM_PATH} HTTP/1.1",
        f"host: {forwarding_system.HOST_NAME}",
        f"x-request-id: {REQUEST_ID}",
        "x-key: ana-key-1",
        f"x-deadline-ms: {int(ANSWER_SECONDS * 1_000)}",
        f"x-token-count: 100,{2 * EVENTS}",
        "x-model: m",
        "content-length: 6",
        "",
        "prompt",
    ]
    address = processes.HOST, context.system.nodes["n1"].callers
    with socket.create_connection(address) as connection:
        connection.sendall("\r\n".join(lines).encode())
        context.answer = receive_all(connection)


def receive_all(connection):
    """Return all bytes until the answer ends, breaks off or the time has passed."""
    received = bytearray()
    end = time.monotonic() + ANSWER_SECONDS
    while time.monotonic() < end and not received.endswith(END):
        connection.settimeout(max(0.01, end - time.monotonic()))
        try:
            data = connection.recv(65_536)
        except (TimeoutError, ConnectionResetError):
            break
        if not data:
            break
        received += data
    return bytes(received)


def split_chunks(body):
    """Return the data of a body in chunks, and whether it is complete."""
    data = b""
    while body:
        size, separator, rest = body.partition(b"\r\n")
        if not separator:
            return data, False
        count = int(size, 16)
        if not count:
            return data, True
        data, body = data + rest[:count], rest[count + 2 :]
    return data, False


@behave.then("the stream has its events in order and nothing else")
def step_events(context):
    head, _, body = context.answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), context.answer[:300]
    data, context.is_complete = split_chunks(body)
    context.events = EVENT.findall(data)
    assert EVENT.sub(b"", data) == b"", data
    numbers = [int(number) for number, _, _ in context.events]
    assert numbers == list(range(1, len(numbers) + 1)), numbers
    assert {request for _, request, _ in context.events} == {REQUEST_ID.encode()}


@behave.then("it is complete or breaks off")
def step_complete(context):
    assert context.events, "the stream has not begun"
    assert not context.is_complete or len(context.events) == EVENTS, context.events
