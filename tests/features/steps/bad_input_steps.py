import json
import socket
import time

import behave

from standins import processes, system

CONNECTIONS = 20
RECEIVE_SECONDS = 5.0
VALID_PROMPT = {"model": system.MODEL, "prompt": "why", "max_tokens": 2}


@behave.given(
    "a node limited to 20 connections, 4096 bytes and half a second per request"
)
def step_system(context):
    listen = {
        "connections": CONNECTIONS,
        "body_bytes": 4096,
        "receive_timeout_seconds": 0.5,
    }
    context.system = system.System(
        first_port=context.first_port, settings={"listen": listen}
    )
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=1)
    context.booked = 0
    processes.wait_for(
        lambda: (
            context.system.send_model_request("node-1", "why", max_tokens=1).status
            == 200
        ),
        "a first answer",
    )


def book_valid(context, key):
    answer = context.system.send_call("node-1", key, {"day": "2030-05-02"})
    assert answer.status == 200, answer
    context.booked += 1


@behave.when('a booking with the key "{key}" has been answered')
def step_booked(context, key):
    book_valid(context, key)


def write_request(method, path, body=b"", *, key=system.CALLER_KEY, **headers):
    fields = {"host": "node", "connection": "close", "content-length": len(body)}
    if key:
        fields["authorization"] = f"Bearer {key}"
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return head.encode("latin-1") + b"\r\n" + body


def write_prompt(path="/v1/completions", key=system.CALLER_KEY, headers=None, **fields):
    body = json.dumps(VALID_PROMPT | fields).encode()
    return write_request("POST", path, body, key=key, **(headers or {}))


def write_raw_prompt(body):
    return write_request("POST", "/v1/completions", body)


def write_booking(path="/services/bookings/visits", **headers):
    return write_request("POST", path, b'{"day": 1}', **headers)


def write_lookup(path):
    return write_request("GET", f"/services/records/{path}")


def write_chunked(*chunks):
    """Build a chunked prompt of chunks, each with its announced size and sent data."""
    head = write_request("POST", "/v1/completions", transfer_encoding="chunked")
    head = head.replace(b"content-length: 0\r\n", b"")
    return head + b"".join(b"%x\r\n%s" % (size, data) for size, data in chunks)


INCOMPLETE_PROMPT = write_prompt()[:-5]
REQUESTS = {
    "a prompt without an account key": write_prompt(key=""),
    "a prompt with an unknown account key": write_prompt(key="guess"),
    "a prompt that is not JSON": write_raw_prompt(b"{'model'"),
    "a prompt nested 100000 deep": write_raw_prompt(b"[" * 4_000),
    "a prompt with half a surrogate pair": write_prompt(prompt="\ud800 why"),
    "a prompt for -1 tokens": write_prompt(max_tokens=-1),
    "a prompt of 5000 bytes": write_prompt(prompt="x" * 5_000),
    "a prompt to an unknown model": write_prompt(model="other"),
    'a prompt that must answer in "soon"': write_prompt(
        headers={"request_timeout": "soon"}
    ),
    'a prompt that must answer in "nan"': write_prompt(
        headers={"request_timeout": "nan"}
    ),
    "a prompt to an unknown path": write_prompt("/v2/completions"),
    "a prompt in an unknown method": write_request("PATCH", "/v1/completions"),
    "a tunnel": write_request("CONNECT", "example:443"),
    "bytes that are not HTTP": b"\x16\x03\x01\x00\r\n\r\n",
    "a prompt whose chunk is 2^63 bytes": write_chunked((2**63, b"{")),
    "a prompt whose later chunk is too long": write_chunked(
        (9, b'{"model":\r\n'), (4_090, b'"')
    ),
    "a booking without an idempotency key": write_booking(),
    "a booking whose key is 10000 long": write_booking(idempotency_key="k" * 10_000),
    "a booking whose key has a tab": write_booking(idempotency_key="a\tb"),
    'another booking with the key "visit-1"': write_booking(idempotency_key="visit-1"),
    "a booking at an unknown service": write_booking(
        "/services/other/visits", idempotency_key="visit-2"
    ),
    'a lookup of "outcomes/visit-1"': write_lookup("outcomes/visit-1"),
    'a lookup of "%6futcomes/visit-1"': write_lookup("%6futcomes/visit-1"),
    'a lookup of "a/../outcomes/visit-1"': write_lookup("a/../outcomes/visit-1"),
    'a lookup of "a//b"': write_lookup("a//b"),
    "a prompt that stops half-way": INCOMPLETE_PROMPT,
    "headers that stop half-way": INCOMPLETE_PROMPT[:40],
}


def exchange(port, data):
    """Send bytes and return the status and the problem's code."""
    with socket.create_connection((processes.HOST, port), RECEIVE_SECONDS) as sent:
        sent.sendall(data)
        return read_problem(sent)


def read_problem(connection):
    received = b""
    while part := connection.recv(65_536):
        received += part
    head, _, body = received.partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    assert b"application/problem+json" in head, received
    problem = json.loads(body)
    assert problem["detail"] and problem["status"] == status, problem
    has_retry_after = b"retry-after:" in head.lower()
    return status, problem["code"], has_retry_after


def exchange_over_limit(port):
    opened = []
    try:
        for _ in range(CONNECTIONS + 1):
            opened.append(
                socket.create_connection((processes.HOST, port), RECEIVE_SECONDS)
            )
            time.sleep(0.01)
        return read_problem(opened[-1])
    finally:
        for connection in opened:
            connection.close()


@behave.then("each of these gets its problem, and a good request after it is answered")
def step_problems(context):
    port = context.system.nodes["node-1"].callers
    wrong = []
    context.codes = {row["code"] for row in context.table}
    context.retry_codes = set()
    for row in context.table:
        try:
            if row["request"] in REQUESTS:
                *got, has_retry_after = exchange(port, REQUESTS[row["request"]])
            else:
                *got, has_retry_after = exchange_over_limit(port)
            if has_retry_after:
                context.retry_codes.add(row["code"])
        except (OSError, AssertionError) as error:
            got = repr(error)
        if got != [int(row["status"]), row["code"]]:
            wrong.append((row["request"], got))
        processes.wait_for(
            lambda: processes.returns_ok(port, "/healthz"), "a free connection"
        )
        assert (
            context.system.send_model_request("node-1", "why", max_tokens=2).status
            == 200
        )
    book_valid(context, "visit-3")
    assert not wrong, wrong


@behave.then("only a refusal for too many connections has a Retry-After header")
def step_retry_after(context):
    assert context.retry_codes == {"too_many_connections"}, context.retry_codes


@behave.then("refusals for bad input were counted by reason")
def step_counted(context):
    port = context.system.nodes["node-1"].operators
    exposed = processes.call("GET", port, "/metrics").body.decode()
    listener = {"unknown_path", "malformed_http", "method_not_allowed", "slow_sender"}
    listener |= {"body_too_large", "too_many_connections"}
    for code in context.codes - listener:
        sample = f'jujubepass_refusals_total{{reason="{code}"}} '
        (line,) = [row for row in exposed.splitlines() if row.startswith(sample)]
        assert float(line.removeprefix(sample)) >= 1.0, line
    assert "jujubepass_refused_connections_total 1.0" in exposed, exposed


@behave.then("the service ran 1 booking for each good one")
def step_ran(context):
    counts = processes.read_counts(context.system.services["bookings-1"])
    ran = counts["runs"]
    total = sum(ran.values()) if isinstance(ran, dict) else len(ran)
    assert total == context.booked, counts
