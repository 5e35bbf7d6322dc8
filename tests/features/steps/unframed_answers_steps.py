import json
import socket
import threading
import time

import behave

from jujubepass.transport import _http_client
from standins import forwarding_system, processes

EVENTS = 60
FAULTS = {"is reset": "reset_answer", "ends inside an event": "cut_event"}
# A body of quotes is twice as long in the JSON of the answer.
LARGE_BODY = b'"' * 60_000
MIN_LARGE_ANSWER_BYTES = 100_000
ENGINES = tuple(each.name for each in forwarding_system.MEMBERS if each.kind)


def set_knobs(context, names, **changes):
    for name in names:
        processes.change_knobs(context.system.ports[name], **changes)


@behave.given("servers whose answers have neither a length nor chunks")
def step_unframed(context):
    names = [each.name for each in forwarding_system.MEMBERS]
    set_knobs(context, names, unframed=True)


def exchange_raw(context, node, head, body=b""):
    """Send a request on a socket; return the answer's head and all that follows it."""
    port = context.system.nodes[node].callers
    with socket.create_connection((processes.HOST, port), timeout=10.0) as connection:
        connection.sendall(head.encode() + body)
        received = b""
        while data := connection.recv(65_536):
            received += data
    start, _, rest = received.partition(b"\r\n\r\n")
    return start.decode().lower(), rest


def make_head(method, path, length, **fields):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"host: {forwarding_system.HOST_NAME}",
        f"content-length: {length}",
        "x-key: ana-key-1",
        "connection: close",
        *(f"{name.replace('_', '-')}: {value}" for name, value in fields.items()),
    ]
    return "\r\n".join([*lines, "", ""])


@behave.then(
    "each node passes on bookings and lookups of 100 and of 100,000 bytes whole"
)
def step_plain(context):
    paths = {
        "POST": forwarding_system.BOOKING_PATH,
        "GET": forwarding_system.LOOKUP_PATH,
    }
    for node in context.system.nodes:
        for method, path in paths.items():
            for body in (b"visit", LARGE_BODY):
                answer = context.system.send_request(node, method, path, body=body)
                assert answer.status == 200, answer
                assert answer.read_json()["body"] == body.decode(), len(answer.body)
                assert context.system.count_runs(context.system.last_request) == 1
                if body == LARGE_BODY:
                    assert len(answer.body) > MIN_LARGE_ANSWER_BYTES


@behave.then("each answer is complete by its length or its chunks")
def step_framed(context):
    for node in context.system.nodes:
        for number, body in enumerate((b"visit", LARGE_BODY)):
            request = f"{node}-framed-{number}"
            head = make_head(
                "POST", forwarding_system.BOOKING_PATH, len(body), x_request_id=request
            )
            assert_framed(*exchange_raw(context, node, head, body))
        head = make_head(
            "POST",
            forwarding_system.STREAM_PATH,
            0,
            x_request_id=f"{node}-framed-stream",
            x_token_count=f"100,{2 * EVENTS}",
            x_model="m",
        )
        assert_framed(*exchange_raw(context, node, head))


def assert_framed(start, rest):
    assert start.startswith("http/1.1 200"), start
    lengths = [line for line in start.split("\r\n") if line.startswith("content-len")]
    if lengths:
        assert len(rest) == int(lengths[0].partition(":")[2]), start
    else:
        assert "transfer-encoding: chunked" in start, start
        assert rest.endswith(b"\r\n0\r\n\r\n"), rest[-20:]


@behave.when("the connections of a booking and of a lookup are reset in their answers")
def step_reset_plain(context):
    system = context.system
    set_knobs(context, ["s1"], reset_answer=1)
    context.lookup = system.send_request("n1", "GET", forwarding_system.LOOKUP_PATH)
    left = processes.call("GET", system.ports["s1"], "/knobs").read_json()
    assert left["reset_answer"] == 0, "the lookup was not reset"
    set_knobs(context, ("s1", "s2"), reset_answer=1)
    context.booking = system.send_request(
        "n2", "POST", forwarding_system.BOOKING_PATH, body=b"visit"
    )


@behave.then("the booking has ended with 502 and ran once")
def step_booking(context):
    assert context.booking.status == 502, context.booking
    assert context.system.count_runs(context.system.last_request) == 1


@behave.then("the lookup was answered by another server")
def step_lookup(context):
    assert context.lookup.status == 200, context.lookup
    assert json.loads(context.lookup.body)["path"] == forwarding_system.LOOKUP_PATH


@behave.when("a stream {fault}")
def step_stream(context, fault):
    system = context.system
    previous = system.last_request
    context.events = EVENTS
    context.answers = []

    def run():
        try:
            context.answers.append(system.request_stream("n1", EVENTS))
        except _http_client.ClientError as error:
            broken = _http_client.Answer(status=0, headers={}, body=str(error).encode())
            context.answers.append(broken)

    context.background = threading.Thread(target=run)
    context.background.start()
    processes.wait_for(
        lambda: system.last_request != previous and list_running(context),
        "a stream that has begun",
    )
    # Some events have been passed on.
    time.sleep(0.2)
    set_knobs(context, list_running(context), **{FAULTS[fault]: 1})
    context.background.join()


def list_running(context):
    """Return the engines that run the last request."""
    system = context.system
    counts = {name: system.read_counts(name)["runs"] for name in ENGINES}
    return [name for name, runs in counts.items() if system.last_request in runs]


@behave.then("the stream ran more than once")
def step_ran_again(context):
    assert context.system.count_runs(context.system.last_request) > 1


@behave.then("its answer is incomplete and it ran once")
def step_incomplete(context):
    assert context.answers[0].status == 0, context.answers[0]
    assert context.system.count_runs(context.system.last_request) == 1
