import pathlib
import socket
import struct

import attrs
import behave
import h11
import hypothesis
import hypothesis.strategies as st
import trio

from jujubepass import _ini
from jujubepass.forwarding import settings
from jujubepass.intake import blocks, bounds, chunks, ledger
from jujubepass.transport import _http_server, _intake_gate
from standins import processes

ROOT = pathlib.Path(__file__).resolve().parents[3]
MEGABYTE = 1_000_000
HOST = processes.HOST
LINGER = struct.pack("ii", 1, 0)
MAX_BODY_BYTES = 1_000


@behave.given("a ledger with a bound of {megabytes:d} MB")
def step_ledger(context, megabytes):
    context.ledger = ledger.Ledger(bound_bytes=megabytes * MEGABYTE)
    context.cancelled = []
    context.stalled = []
    context.other = None


def open_body(context, size, now, address="1.1.1.1"):
    holding = context.ledger.open(address, "callers", now)
    holding.enter(ledger.Phase.RECEIVING, now)
    holding.cancel = lambda: context.cancelled.append(holding)
    context.ledger.set_held(holding, size)
    return holding


@behave.when("connections come, hold bytes and go in any order")
def step_any_order(context):
    context.mismatches = []

    @hypothesis.given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 1 << 22))))
    def run(steps):
        """Apply the steps to one ledger; record where its sums are wrong."""
        sums = ledger.Ledger(bound_bytes=1)
        opened = {}
        for number, size in steps:
            if number not in opened:
                address = f"address-{number % 2}"
                opened[number] = sums.open(address, "callers", 0.0)
            elif size % 3 == 0:
                sums.close(opened.pop(number))
            else:
                sums.set_held(opened[number], size, size // 2)
            held = sum(each.held_bytes for each in opened.values())
            by_address = sum(sums.held_by_address.values())
            if (sums.held_bytes, by_address, sums.connections) != (
                held,
                held,
                len(opened),
            ):
                context.mismatches.append(steps)
        for each in opened.values():
            sums.close(each)
        if sums.held_bytes or sums.held_by_address or sums.connections:
            context.mismatches.append(steps)

    run()


@behave.then("the ledger's sums equal those of the open connections after each step")
@behave.then("the sums are zero once all have gone")
def step_sums(context):
    assert not context.mismatches, context.mismatches[0]


@behave.when("{count:d} bodies of 1 MB stall for 1 second while one of 4 MB goes on")
def step_stall(context, count):
    context.stalled = [open_body(context, MEGABYTE, 0.0) for _ in range(count)]
    context.other = open_body(context, 4 * MEGABYTE, 0.0)
    context.other.record_received(65_536, 0.9)
    context.now = 1.0


@behave.when("{count:d} bodies of 1 MB receive single bytes while one of 4 MB goes on")
def step_trickle(context, count):
    step_stall(context, count)
    for tenth in range(10):
        for each in context.stalled:
            each.record_received(1, tenth / 10)


@behave.when("{count:d} bodies of 1 MB wait for memory for 2 seconds")
def step_wait(context, count):
    context.stalled = [open_body(context, MEGABYTE, 0.0) for _ in range(count)]
    for each in context.stalled:
        each.is_waiting = True
    context.now = 2.0


@behave.when(
    "{few:d} bodies of 1 MB from one address and {many:d} from another stall for 1"
    " second"
)
def step_addresses(context, few, many):
    for _ in range(few):
        open_body(context, MEGABYTE, 0.0, "few")
    for _ in range(many):
        open_body(context, MEGABYTE, 0.0, "many")
    context.now = 1.0


@behave.when("connections are shed")
def step_shed(context):
    context.ledger.shed_stalled(context.now)


@behave.when("connections are shed, also waiting ones")
def step_shed_waiting(context):
    context.ledger.shed_stalled(context.now, includes_waiting=True)


@behave.then("{count:d} of the stalled bodies are shed, and not the other one")
def step_shed_count(context, count):
    assert len(context.cancelled) == count, len(context.cancelled)
    assert context.other not in context.cancelled


@behave.then("{count:d} connections are shed, all of the address that holds most")
def step_shed_address(context, count):
    found = [each.address for each in context.cancelled]
    assert found == ["many"] * count, found


@behave.then("these bounds are derived")
def step_bounds(context):
    for row in context.table:
        found = bounds.derive(int(row["megabytes"]), int(row["descriptors"]))
        assert found == bounds.Bounds(
            held_bytes=int(row["held"]) * MEGABYTE,
            callers=int(row["callers"]),
            relay=int(row["relay"]),
            monitor=int(row["monitor"]),
        ), found


def start_chunked_request():
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=1 << 30)
    head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    connection.receive_data(head)
    assert isinstance(connection.next_event(), h11.Request)
    return connection


def read_with_library(data):
    """Return the body and what follows it, or None if the library rejects it."""
    connection = start_chunked_request()
    connection.receive_data(data)
    body = b""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return None
        if isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return body, connection.trailing_data[0]
        elif event is h11.NEED_DATA:
            return body, "incomplete"


def read_with_decoder(parts):
    decoder = chunks.ChunkDecoder(max_bytes=MAX_BODY_BYTES)
    buffer = bytearray()
    try:
        for part in parts:
            buffer += part
            while not decoder.has_last and decoder.feed(buffer):
                pass
    except (chunks.MalformedChunkError, chunks.OversizedChunkError):
        return None
    end = chunks.find_end(buffer) if decoder.has_last else None
    if end is None:
        return decoder.body.join(), "incomplete"
    # The library reads the last chunk and its trailers.
    connection = start_chunked_request()
    connection.receive_data(bytes(buffer[:end]))
    try:
        assert isinstance(connection.next_event(), h11.EndOfMessage)
    except h11.RemoteProtocolError:
        return None
    return decoder.body.join(), bytes(buffer[end:])


def write_chunked(pieces, extension, trailer):
    data = b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in pieces)
    return data + b"0\r\n" + trailer + b"\r\nGET / HTTP/1.1"


@behave.then(
    "any chunked body in any parts, whole or damaged, is read as by the HTTP library"
)
def step_any_chunks(context):
    pieces = st.lists(st.binary(min_size=1, max_size=40), max_size=20)
    sound = st.builds(
        write_chunked,
        pieces,
        st.sampled_from([b"", b";a=b", b" "]),
        st.sampled_from([b"", b"x: y\r\n"]),
    )
    damage = st.tuples(st.integers(0, 200), st.sampled_from([b"", b"\r\n", b"x", b"0"]))

    @hypothesis.given(sound, st.none() | damage, st.integers(1, 50))
    def run(data, damaged, size):
        """Compare both readers on one input."""
        if damaged is not None:
            position, text = damaged
            data = data[:position] + text + data[position + 1 :]
        parts = [data[i : i + size] for i in range(0, len(data), size)]
        expected, found = read_with_library(data), read_with_decoder(parts)
        if found is None:
            # Sizes over the limit are refused before their data has come.
            is_cut = expected is not None and expected[1] == "incomplete"
            assert expected is None or is_cut, (data, expected)
        else:
            assert found == expected, (data, found, expected)

    run()


@behave.when("{count:d} chunks of one byte are decoded")
def step_one_byte(context, count):
    decoder = chunks.ChunkDecoder(max_bytes=count)
    buffer = bytearray(b"1\r\nx\r\n" * count + b"0\r\n\r\n")
    context.sizes = [0]
    while decoder.feed(buffer):
        context.sizes.append(len(decoder.body))
    context.sizes.append(len(decoder.body))
    context.body = decoder.body


@behave.then(
    "each part took at most {most:d} of them, and the body is one object of {count:d}"
    " bytes"
)
def step_parts(context, most, count):
    steps = zip(context.sizes, context.sizes[1:], strict=False)
    assert max(after - before for before, after in steps) <= most
    assert isinstance(context.body, blocks.Blocks)
    assert context.body.join() == b"x" * count


class Listener:
    """Run a listener whose handler waits for an event, and what a client does."""

    def __init__(self, bound_bytes=bounds.UNBOUNDED_BYTES):
        self.ledger = ledger.Ledger(bound_bytes=bound_bytes)
        self.released = trio.Event()
        self.ran = []
        self.ended_at = None

    async def handle(self, request, responder):
        """Record a request; answer it once the handler may go on."""
        self.ran.append(request.path)
        self.responder = responder
        try:
            await self.released.wait()
        except trio.Cancelled:
            self.ended_at = trio.current_time()
            raise
        await responder.send(200, request.path.encode())

    async def serve(self, client):
        """Serve until the client has done its part."""
        gate = _intake_gate.Gate(ledger=self.ledger)
        limits = _http_server.ServerLimits(receive_timeout_seconds=5.0)
        server = _http_server.Server(
            handler=self.handle, gate=gate, limits=limits, name="callers"
        )
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, HOST, 0)
            await client(port)
            nursery.cancel_scope.cancel()


@behave.given("a listener whose handler waits")
def step_listener(context):
    context.listener = Listener()


@behave.given("a listener with a bound of 1 MB")
def step_bounded_listener(context):
    context.listener = Listener(bound_bytes=MEGABYTE)


@behave.when("a client sends a request, then {more:d} more bytes, and {closes}")
def step_close(context, more, closes):
    listener = context.listener

    async def run(port):
        """Close while the request runs; wait for the end of its handler."""
        stream = await trio.open_tcp_stream(HOST, port)
        await stream.send_all(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n")
        while not listener.ran:
            await trio.sleep(0.01)
        await stream.send_all(b"x" * more)
        if closes == "resets":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        stream.socket.close()
        context.closed_at = trio.current_time()
        with trio.move_on_after(2.0):
            while listener.ended_at is None:
                await trio.sleep(0.01)

    trio.run(listener.serve, run)


@behave.then("its request is cancelled within {seconds:g} seconds")
def step_cancelled(context, seconds):
    assert context.listener.ended_at is not None
    assert context.listener.ended_at - context.closed_at < seconds


@behave.when("a client pipelines {count:d} requests with bodies")
def step_pipeline(context, count):
    listener = context.listener
    body = b"x" * 1_000

    async def run(port):
        """Send all requests; read the answers once the handler goes on."""
        stream = await trio.open_tcp_stream(HOST, port)
        data = b"".join(
            b"POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n%s"
            % (n, body)
            for n in range(count)
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.send_all, data)
            await trio.sleep(0.5)
            context.held = listener.ledger.held_bytes
            context.pending = len(listener.responder._source.pending)
            listener.released.set()
            received = b""
            with trio.move_on_after(10.0):
                while received.count(b"HTTP/1.1 200") < count:
                    received += await stream.receive_some(65_536)
            context.received = received
        await stream.aclose()

    context.expected = [f"/{number}" for number in range(count)]
    trio.run(listener.serve, run)


@behave.then(
    "the listener has read at most {most:d} bytes of them while the first one runs"
)
def step_read_ahead(context, most):
    assert context.pending <= most, context.pending
    assert context.held <= most + ledger.CONNECTION_BYTES + 1_000, context.held


@behave.then("all of them are answered in order once the handler goes on")
def step_in_order(context):
    assert context.listener.ran == context.expected
    bodies = [
        part.partition(b"\r\n\r\n")[2]
        for part in context.received.split(b"HTTP/1.1 200")[1:]
    ]
    assert bodies == [each.encode() for each in context.expected], bodies


@behave.when(
    "a client stalls after {size:d} bytes and another one sends {other:d} bytes"
)
def step_shortage(context, size, other):
    listener = context.listener
    listener.released.set()
    context.answers = {}

    async def send(port, path, count):
        """Send a body of 900000 bytes, or a part of it; record the answer."""
        stream = await trio.open_tcp_stream(HOST, port)
        head = f"POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {size + 1}\r\n\r\n"
        await stream.send_all(head.encode() + b"x" * count)
        context.answers[path] = bytes(await stream.receive_some(65_536))
        await stream.aclose()

    async def run(port):
        """Let the second client come while the first one stalls."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, port, "/stalled", size)
            await trio.sleep(0.7)
            await send(port, "/sound", other + 1)
        with trio.move_on_after(2.0):
            while listener.ledger.connections:
                await trio.sleep(0.01)

    trio.run(listener.serve, run)


@behave.then("the first one gets 503 with Retry-After, and the other one 200")
def step_answers(context):
    refused, served = (context.answers[path] for path in ("/stalled", "/sound"))
    assert refused.startswith(b"HTTP/1.1 503"), refused
    assert b"retry-after: 1" in refused.lower(), refused
    assert served.startswith(b"HTTP/1.1 200"), served


@behave.then("only the second request has run, and the ledger is empty")
def step_ran(context):
    assert context.listener.ran == ["/sound"], context.listener.ran
    assert context.listener.ledger.held_bytes == 0
    assert not context.listener.ledger.held_by_address


@behave.then("docs/forwarding-settings.md names each setting of the section limits")
def step_page(context):
    page = (ROOT / "docs" / "forwarding-settings.md").read_text()
    section = page.partition("## [limits]")[2].partition("## ")[0]
    for field in attrs.fields(settings.Limits):
        rule = _ini.get_rule(field)
        line = (
            f"| `{field.name}` | {field.default} | {_ini.describe_allowed(field)} |"
            f" {rule.meaning}, in {rule.unit} |"
        )
        assert line in section.splitlines(), line
