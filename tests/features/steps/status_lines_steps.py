"""Steps for answers whose status line HTTP does not define."""

import socket
import threading

import behave
import trio

from jujubepass.transport import _http_client
from standins import forwarding_system, processes
from tests.features.steps import platform_steps

LINES = (
    *(f"HTTP/1.1 {status:03}" for status in (*range(100), *range(600, 1_000))),
    *(f"HTTP/{version} 200" for version in ("0.9", "1.2", "1.9", "2.0", "3.0", "9.9")),
    *("HTTP/1.1 20", "HTTP/1.1 2000", "HTTP/1.1 -20", "HTTP/1.1 2e2", "HTTP/1.1 OK"),
    *("HTTP/1.1", "HTTP/2 200", "HTTP 200", "http/1.1 200", "ICY 200", "200 OK"),
)
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
FRAMINGS = {
    "a length": b"content-length: 2\r\n\r\nok",
    "chunks": b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "the connection": b"connection: close\r\n\r\nok",
}
STATUSES = tuple(range(200, 600))
EVENTS = 20
ENGINES = tuple(each.name for each in forwarding_system.MEMBERS if each.kind)
SERVERS = ("s1", "s2")


def serve(listener, heads, has_first):
    """Answer each connection with one of the heads, after a whole answer if so set."""
    for head in heads:
        connection, _ = listener.accept()
        with connection:
            if has_first:
                connection.recv(65_536)
                connection.sendall(WHOLE)
            connection.recv(65_536)
            connection.sendall(head)


async def exchange_each(address, count, has_first):
    """Send requests; return their statuses, those that failed as None."""
    found = []
    for _ in range(count):
        client = _http_client.Client()
        if has_first:
            await client.request("GET", address, "/")
        try:
            answer = await client.request("GET", address, "/", once=True)
            found.append(answer.status)
        except _http_client.InterruptedAnswerError:
            found.append(None)
        assert has_first is False or client.opened_connections == 1
        found[-1] = found[-1], sum(map(len, client._idle.values()))
    return found


def exchange(heads, *, has_first=False):
    with socket.create_server((processes.HOST, 0), backlog=64) as listener:
        serving = threading.Thread(target=serve, args=(listener, heads, has_first))
        serving.start()
        port = listener.getsockname()[1]
        address = _http_client.Address(host=processes.HOST, port=port)
        found = trio.run(exchange_each, address, len(heads), has_first)
        serving.join()
    return found


@behave.when("a server answers with each undefined status line in each framing")
def step_undefined(context):
    context.found = []
    for fields in FRAMINGS.values():
        heads = [f"{line} X\r\n".encode() + fields for line in LINES]
        for has_first in (False, True):
            found = exchange(heads, has_first=has_first)
            context.found += zip(LINES, found, strict=True)


@behave.then(
    "each exchange has failed, on new and on kept connections, and none is kept"
)
def step_failed(context):
    assert len(context.found) == 2 * len(FRAMINGS) * len(LINES)
    passed = [(line, each) for line, each in context.found if each != (None, 0)]
    assert not passed, passed


@behave.when(
    "a server answers with each defined status from {least:d} to {most:d}"
    " in HTTP/1.0 and 1.1"
)
def step_defined(context, least, most):
    context.expected = list(range(least, most + 1)) * 2
    heads = [
        f"HTTP/{version} {status}\r\ncontent-length: 0\r\n\r\n".encode()
        for version in ("1.0", "1.1")
        for status in range(least, most + 1)
    ]
    context.found = [status for status, _ in exchange(heads)]


@behave.then("each exchange has its status")
def step_statuses(context):
    assert context.found == context.expected


def set_line(context, names, line, count=1):
    for name in names:
        port = context.system.ports[name]
        processes.change_knobs(port, status_line=line, status_lines=count)


@behave.when('servers answer a booking and a lookup with "{line}"')
def step_plain(context, line):
    system = context.system
    set_line(context, SERVERS, line)
    context.booking = system.send_request(
        "n1", "POST", forwarding_system.BOOKING_PATH, body=b"visit"
    )
    context.booking_runs = system.count_runs(system.last_request)
    set_line(context, SERVERS, line, count=0)
    processes.wait_for(lambda: is_used(context), "s1 used again")
    set_line(context, ["s1"], line)
    context.lookup = system.send_request("n1", "GET", forwarding_system.LOOKUP_PATH)
    left = processes.call("GET", system.ports["s1"], "/knobs").read_json()
    assert left["status_lines"] == 0, left


def is_used(context):
    context.system.send_request("n1", "GET", forwarding_system.LOOKUP_PATH)
    return context.system.last_request in context.system.read_counts("s1")["runs"]


@behave.then("the booking with that status line has ended with 502 and ran once")
def step_booking(context):
    assert context.booking.status == 502, context.booking
    assert context.booking_runs == 1


@behave.then("the lookup with that status line was answered by another server")
def step_lookup(context):
    assert context.lookup.status == 200, context.lookup
    assert context.system.count_runs(context.system.last_request) == 2


@behave.when('engines answer each next stream with "{line}"')
def step_engines(context, line):
    context.streams = []
    for node in context.system.nodes:
        set_line(context, ENGINES, line)
        answer = context.system.request_stream(node, EVENTS)
        runs = context.system.count_runs(context.system.last_request)
        context.streams.append((answer, runs))
        set_line(context, ENGINES, line, count=0)


@behave.then("each stream with that status line is whole and ran more than once")
def step_streams(context):
    for answer, runs in context.streams:
        platform_steps.assert_complete(answer, EVENTS)
        assert runs > 1, runs
