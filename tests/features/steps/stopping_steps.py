import contextlib
import socket
import threading
import time

import attrs
import behave

from jujubepass.transport import _http_client
from standins import forwarding_system, processes

SERVERS = ("s1", "s2")
TIMEOUT_SECONDS = 12.0
INTERVAL_SECONDS = 0.15
# As long as new connections are accepted.
ACCEPTING_SECONDS = 3.4
# Arrivals until then may be cut by the platform's rules.
LATE_SECONDS = 3.0
MAX_REFUSAL_SECONDS = 1.0
LONG_EVENTS = 400
SHORT_EVENTS = 20


@attrs.define(kw_only=True)
class Sent:
    """Describe one request; status 0 if its connection ended without an answer."""

    request: str
    after: float
    """Seconds from the signal until it was sent."""
    status: int = 0
    seconds: float = 0.0
    is_whole: bool = False
    is_refused_connection: bool = False


@behave.given("bookings that take {seconds:g} seconds, of which {known} has been seen")
def step_bookings(context, seconds, known):
    system = context.system
    routes = forwarding_system.make_routes()
    for route in routes:
        route["timeoutMs"] = max(route["timeoutMs"], int(TIMEOUT_SECONDS * 1_000))
    system.configure(forwarding_system.make_configuration(6, routes=routes))
    # The configuration is in force, as each node tells the version with its requests.
    time.sleep(2.0)
    for name in SERVERS:
        processes.change_knobs(system.ports[name], work_seconds=seconds)
    if known == "one":
        sent = send(context, "booking", "known", 0.0)
        assert sent.status == 200, sent


@behave.given("servers that take {limit} requests a second")
def step_limit(context, limit):
    for name in SERVERS:
        processes.change_knobs(context.system.ports[name], limit=limit)
    for number in range(2):
        send(context, "booking", f"limited-{number}", 0.0)


def send(context, kind, request, after, **headers):
    """Send a request on a connection of its own."""
    sent = Sent(request=request, after=after)
    began_at = time.monotonic()
    fields = {
        "host": forwarding_system.HOST_NAME,
        "x-request-id": request,
        "x-key": "ana-key-1",
        "x-deadline-ms": str(int(TIMEOUT_SECONDS * 1_000)),
        **headers,
    }
    path = forwarding_system.BOOKING_PATH
    if kind == "stream":
        path = forwarding_system.STREAM_PATH
        fields["x-model"] = "m"
    port = context.system.nodes["n1"].callers
    try:
        answer = processes.call("POST", port, path, b"visit", headers=fields)
        sent.status, sent.is_whole = answer.status, True
        if kind == "stream" and answer.status == 200:
            events = int(headers["x-token-count"].partition(",")[2]) // 2
            first = int(headers.get("last-event-id", 0)) + 1
            expected = list(range(first, events + 1))
            sent.is_whole = forwarding_system.list_events(answer) == expected
    except _http_client.NotSentError:
        sent.is_refused_connection = True
    except _http_client.ClientError:
        sent.status = 0
    sent.seconds = time.monotonic() - began_at
    return sent


def send_while_stopping(context, kind, make_headers):
    """Stop a node, and send requests until it takes no more connections."""
    context.sent = []
    threads = []
    context.stops = getattr(context, "stops", 0) + 1
    context.system.processes.terminate("n1")
    signaled_at = time.monotonic()
    number = 0
    while (after := time.monotonic() - signaled_at) < ACCEPTING_SECONDS:
        arguments = (context, kind, f"n1-{kind}-{context.stops}-{number}", after)
        headers = make_headers(number)
        threads.append(
            threading.Thread(
                target=lambda arguments=arguments, headers=headers: context.sent.append(
                    send(*arguments, **headers)
                )
            )
        )
        threads[-1].start()
        number += 1
        time.sleep(INTERVAL_SECONDS)
    for thread in threads:
        thread.join()
    context.sent = [each for each in context.sent if not each.is_refused_connection]


@behave.when("bookings arrive at a stopping node until it takes no more")
def step_bookings_arrive(context):
    send_while_stopping(context, "booking", lambda number: {})


@behave.when("{count:d} bookings are sent on one connection to a stopping node")
def step_pipelined(context, count):
    context.system.processes.terminate("n1")
    time.sleep(0.5)
    port = context.system.nodes["n1"].callers
    context.sent = [Sent(request=f"n1-piped-{i}", after=0.5) for i in range(count)]
    with socket.create_connection((processes.HOST, port), timeout=10.0) as opened:
        for each in context.sent:
            head = (
                f"POST {forwarding_system.BOOKING_PATH} HTTP/1.1\r\n"
                f"host: {forwarding_system.HOST_NAME}\r\ncontent-length: 5\r\n"
                f"x-key: ana-key-1\r\nx-request-id: {each.request}\r\n"
                f"x-deadline-ms: {int(TIMEOUT_SECONDS * 1_000)}\r\n\r\nvisit"
            )
            opened.sendall(head.encode())
        received = b""
        with contextlib.suppress(ConnectionError):
            while data := opened.recv(65_536):
                received += data
    context.statuses = [
        int(part.split()[0]) for part in received.split(b"HTTP/1.1 ")[1:]
    ]
    for each, status in zip(context.sent, context.statuses, strict=False):
        each.status, each.is_whole = status, True


def count_runs(context, request):
    return context.system.count_runs(request)


@behave.then("each of them is answered whole, and each that is refused has not run")
def step_answered(context):
    assert context.sent
    for each in context.sent:
        runs = count_runs(context, each.request)
        if each.status == 0 and not runs:
            # It crossed the close of its connection and was not passed on.
            continue
        assert each.is_whole, (each, runs)
        assert each.status in (200, 502, 503), each
        if each.status == 503:
            assert not runs, (each, runs)
            assert each.seconds < MAX_REFUSAL_SECONDS, each


@behave.then(
    "each that arrived later than 3 seconds after the signal was answered or refused"
)
def step_late(context):
    for each in context.sent:
        if each.after > LATE_SECONDS:
            assert each.status != 502, each


@behave.then("the first one was served and the last one refused")
def step_first_last(context):
    assert context.statuses[0] == 200, context.statuses
    last = context.sent[-1]
    assert last.status in (0, 503), context.statuses
    assert not count_runs(context, last.request), context.statuses


@behave.when("streams arrive at a stopping node until it takes no more")
def step_streams_arrive(context):
    def make_headers(number):
        events = LONG_EVENTS if number % 2 else SHORT_EVENTS
        return {"x-token-count": f"100,{2 * events}"}

    send_while_stopping(context, "stream", make_headers)


@behave.then(
    "each stream that arrived later than 3 seconds after the signal was answered whole"
    " or has not run"
)
def step_streams(context):
    assert any(each.status == 200 for each in context.sent), context.sent
    for each in context.sent:
        runs = count_runs(context, each.request)
        if each.after > LATE_SECONDS or each.status == 503:
            assert (each.status == 200 and each.is_whole) or not runs, (each, runs)


@behave.then("a stream that is resumed there and cannot end has not run")
def step_resumed(context):
    context.system.start_node("n1", "a")
    processes.wait_for(lambda: context.system.is_ready("n1"), "n1 ready")

    def make_headers(number):
        return {"x-token-count": f"100,{4 * LONG_EVENTS}", "last-event-id": "3"}

    send_while_stopping(context, "stream", make_headers)
    late = [each for each in context.sent if each.after > LATE_SECONDS]
    assert late
    for each in late:
        assert not count_runs(context, each.request), each
