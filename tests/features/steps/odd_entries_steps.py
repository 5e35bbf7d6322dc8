"""Steps for odd values in what other writers leave to a node."""

import base64
import contextlib
import functools
import json
import math

import behave
import trio

from jujubepass.event_streams import events
from jujubepass.forwarding import (
    backends,
    engines,
    feeds,
    member_rows,
    plan_rows,
)
from jujubepass.platform import backends as entries
from jujubepass.platform import configuration, store, wire
from jujubepass.platform import engines as engine_control
from jujubepass.quarantine import rows as suspect_rows
from jujubepass.relay import codec, permit_links
from jujubepass.storage import _store_messages
from jujubepass.transport import _http_client, _http_server
from standins import forwarding_system, processes
from tests import odd_values

TOKEN, NONCE = "token", "nonce"
ADDRESS = _http_client.Address(host="10.0.0.1", port=8_080)
ENTRY = {
    "service": "drafts",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "state": "ready",
    "slots": 8,
    "born": 1_786_000_000_000,
    "kind": "large",
    "layers": {"from": 0, "to": 8, "version": 1},
}
NODE = {
    "failure_domain": "a",
    "renewal_seconds": 2.0,
    "address": "10.0.0.1:8080",
    "token": "t",
    "since": 1.0,
}
PLAN = {
    "revision": 1,
    "author": "n1",
    # The second engine is outside the chains.
    "placements": {"e1": [0, 8, 0], "e3": [0, 4, -1]},
    "excluded": {"e2": 17},
}
SUSPECT = {"ended": [["e1", 17]], "depth": 1, "trials": 0}
REPORT = {
    "born": 17,
    "layers": {"from": 0, "to": 8},
    "busy": False,
    "seqNo": 3,
    "running": 1,
    "queued": 0,
    "pace": 1.0,
    "stalled": [{"id": "r", "address": "10.0.0.1:8080"}],
}
TABLE = [[["key", 3, {"x": 1}]], 3, 1, 5.0, True, "n1", 0]


class FakeClient:
    """Answer each request with one value."""

    def __init__(self, *, body, status=200):
        self.answer = _http_client.Answer(status=status, headers={}, body=body)

    async def request(self, method, address, path, **others):
        return self.answer


def read_engine_report(value):
    """Read a report; return it after checking that it can be used."""
    client = FakeClient(body=json.dumps(value).encode())
    control = engine_control.HttpEngineControl(client=client)
    backend = entries.read_backend("e1", 1, ENTRY)
    report = trio.run(control.read_report, backend)
    check_span(report.held)
    assert math.isfinite(report.slowdown) and report.slowdown > 0.0, report
    for number in (report.started_at, report.orders_begun, report.running):
        assert 0 <= number <= 2**53, report
    return report


def read_entry(value):
    """Read an entry of a server; return it after checking that it can be used."""
    backend = entries.read_backend("e1", 1, value)
    assert 0 < backend.address.port < 65_536, backend
    assert 0 < backend.slots <= 10**6, backend
    assert 0 <= backend.started_at <= 2**53, backend
    check_span(backend.held)
    f"{backend}".encode()
    return backend


def check_span(span):
    assert isinstance(span, backends.Span) or span is None, span
    assert span is None or 0 <= span.first <= span.end <= 100_000, span


def read_node(value):
    member = member_rows.read_member("n1", 1, value)
    assert 0.0 < member.renewal_seconds < math.inf, member
    assert math.isfinite(member.since), member
    f"{member}".encode()
    return member


def read_plan(value):
    plan = plan_rows.read_plan("plan/drafts", 1, value)
    for placement in plan.placements.values():
        check_span(placement.span)
        assert type(placement.span.first) is int, plan
    return plan


def seal(value):
    return codec.seal(value, TOKEN)


def make_messages():
    """Return sound values of messages between nodes, and what reads them."""
    return {
        "queries for rows": (
            [NONCE, "n1", 1.0, 2.0, {"backends": [3, 1, 5.0]}],
            lambda value: codec.read_query(seal(value), TOKEN),
        ),
        "reports of rows": (
            [NONCE, 7.0, {"backends": TABLE}],
            lambda value: codec.read_report(seal(value), TOKEN, NONCE),
        ),
        "queries for permits": (
            [NONCE, "n1", "e1", 17, "a", 5.0, 1.0, [0.5], 1],
            lambda value: permit_links.read_query(seal(value), TOKEN),
        ),
        "replies with permits": (
            [NONCE, 5.0, 1.0, [0.5, None], 1.0, 2, 1.0, "n1"],
            lambda value: permit_links.read_reply(seal(value), NONCE, TOKEN),
        ),
        "requests for votes": (
            [NONCE, "n1", "e1", 17, "a"],
            lambda value: permit_links.read_vote_request(seal(value), TOKEN),
        ),
    }


def find_reader(what):
    """Return a sound value, what reads it, and the error that it may raise."""
    rows = {
        "backend servers": (ENTRY, read_entry, feeds.UnreadableRowError),
        "configurations": (
            forwarding_system.make_configuration(2),
            lambda value: configuration.read_configuration("config", 1, value),
            feeds.UnreadableRowError,
        ),
        "nodes": (NODE, read_node, member_rows.MemberRowError),
        "plans": (PLAN, read_plan, plan_rows.PlanRowError),
        "suspects": (
            SUSPECT,
            lambda value: suspect_rows.read_suspect("drafts/a", 1, value),
            suspect_rows.SuspectRowError,
        ),
        "reports of engines": (REPORT, read_engine_report, engines.EngineError),
    }
    if what in rows:
        return rows[what]
    value, read = make_messages()[what]
    return value, read, codec.MessageError


@behave.then("each field of {what} may be replaced by any odd value")
def step_readers(context, what):
    sound, read, expected = find_reader(what)
    read(sound)
    for place, value in odd_values.list_variants(sound):
        try:
            read(value)
        except expected:
            continue
        except Exception as error:
            raise AssertionError((place, odd_values.shorten(value))) from error


def list_header_texts():
    """Return the odd texts that a header field may have."""
    return [
        text
        for text in odd_values.ODD_TEXTS
        if all(" " <= each <= "\xff" for each in text)
    ]


@behave.then("each header field of an answer may have any odd text")
def step_headers(context):
    request = wire.HttpWire().read_request(make_request(()), 1.0)
    for text in list_header_texts():
        for status in (200, 421, 503):
            for name in ("retry-after", "server-limit", "at-server", "server-leaving"):
                fields = (("x-request-id", request.request_id), (name, text))
                wire.HttpWire().read_answer(request, status, fields, is_first=False)
        for name in ("keep-alive", "content-length", "store-era", "content-type"):
            check_answer(f"{name}: {text}")
            check_answer(f"{name}: timeout={text}")


def make_request(fields):
    return _http_server.Request(
        method="GET",
        path="/history/1",
        headers={"host": "desk.example", **dict(fields)},
        body=b"",
        peer="",
        fields=[("host", "desk.example"), *fields],
    )


def check_answer(line):
    """Let a client and the store's client read an answer with a header line."""
    length = "" if line.startswith("content-length") else "content-length: 2\r\n"
    data = f"HTTP/1.1 200 OK\r\n{length}{line}\r\n\r\n{{}}".encode("latin-1")

    async def serve(stream):
        await stream.receive_some()
        await stream.send_all(data)
        await stream.aclose()

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host=processes.HOST)
            )
            port = listeners[0].socket.getsockname()[1]
            address = _http_client.Address(host=processes.HOST, port=port)
            client = store.StoreClient(client=_http_client.Client(), address=address)
            # Its own error is what the caller expects of a failed call.
            with contextlib.suppress(_http_client.ClientError), trio.fail_after(2.0):
                await client.call("GET", "/v1/rows-get")
            nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    except Exception as error:
        raise AssertionError(line[:80]) from error


@behave.then("each number in a caller's header fields may be any odd text")
def step_caller_fields(context):
    for text in list_header_texts():
        for name in ("x-deadline-ms", "x-token-count", "x-prompt-prefix"):
            for value in (text, f"1,{text}", f"a:{text},b:1"):
                found = wire.HttpWire().read_request(make_request([(name, value)]), 1.0)
                seconds = found.timeout_seconds
                assert seconds is None or math.isfinite(seconds), (name, value)
                assert 0 <= found.max_answer_tokens <= 2**53, (name, value)


@behave.then("ids of events may be any odd text")
def step_events(context):
    for text in odd_values.ODD_TEXTS:
        for other in (None, "1", *odd_values.ODD_TEXTS):
            events.is_later(text, other)


def make_row(key, version, data):
    value = base64.b64encode(data).decode()
    return {"table": "t", "part": "", "key": key, "ver": version, "value": value}


def make_nested(depth):
    return b"[" * depth + b"]" * depth


@behave.given(
    "a page of rows, one of them nested {less:d} levels deep and one {more:d}"
)
def step_page(context, less, more):
    context.rows = [
        make_row("a", 1, b'{"x": 1}'),
        make_row("b", 2, make_nested(less)),
        make_row("c", 3, make_nested(more)),
        make_row("d", 4, b"not JSON"),
        make_row("e", 5, b'{"x": 2}'),
    ]


def make_store(context, status):
    value = {"rows": context.rows, "ver": 5, "nowMs": 1, "hasMore": False}
    client = FakeClient(body=json.dumps(value).encode(), status=status)
    return store.StoreClient(client=client, address=ADDRESS)


@behave.then("both are read without a value and the others as written")
def step_rows(context):
    feed = store.TableFeed(store=make_store(context, 200), table="t")
    changes = trio.run(feed.read)
    found = {row.key: row.value for row in changes.rows}
    nothing = dict.fromkeys("bcd")
    assert found == {"a": {"x": 1}, "e": {"x": 2}, **nothing}, found


@behave.then("a transaction that meets them learns their versions")
def step_conflict(context):
    table = store.StoreTable(store=make_store(context, 412), name="t")
    command = _store_messages.Transact(
        operation=_store_messages.OperationId("o"), conditions=(), writes=()
    )
    outcome = trio.run(table.transact, command)
    assert isinstance(outcome, _store_messages.TransactionConflicted), outcome
    assert {row.key: row.version for row in outcome.rows} == {
        row["key"]: row["ver"] for row in context.rows
    }


@behave.given("a message of another node with an odd table")
def step_message(context):
    context.messages = [
        codec.seal([NONCE, 7.0, {"backends": TABLE, "plans": odd}], TOKEN)
        for _, odd in odd_values.list_variants(TABLE)
    ]


@behave.then("the other tables of the message are read")
def step_message_read(context):
    for message in context.messages:
        report = codec.read_report(message, TOKEN, NONCE)
        assert report.changes["backends"].version == 3, report


@behave.given("a report with an odd entry among its stalled requests")
def step_stalled(context):
    sound = {"id": "r", "address": "10.0.0.1:8080"}
    context.reports = [
        {**REPORT, "stalled": [odd, sound]}
        for _, odd in odd_values.list_variants(sound)
    ]


@behave.then("the other stalled requests are read")
def step_stalled_read(context):
    for value in context.reports:
        report = read_engine_report(value)
        assert ("r", ADDRESS) in report.stalled, (value, report.stalled)
