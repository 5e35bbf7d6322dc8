import os
import socket

import behave
import trio

from jujubepass.intake import bounds, ledger
from jujubepass.transport import _http_server, _intake_gate, _rejections
from standins import processes

HOST = processes.HOST
# Longer than a client may leave a response unread.
LATER_SECONDS = 10.0
MEGABYTE = 1_000_000


class Listener:
    """Run a listener of callers and what a client does."""

    def __init__(self, handle, bound_bytes=bounds.UNBOUNDED_BYTES, limits=None):
        self.ledger = ledger.Ledger(bound_bytes=bound_bytes)
        self.gate = _intake_gate.Gate(ledger=self.ledger)
        self.server = _http_server.Server(
            handler=handle, gate=self.gate, limits=limits, name="callers"
        )

    async def serve(self, client):
        """Serve until the client has done its part."""
        async with trio.open_nursery() as nursery:
            port = await nursery.start(self.server.serve, HOST, 0)
            await client(port)
            nursery.cancel_scope.cancel()

    async def find_phase(self, phase):
        """Wait until a connection is in a phase, and return it."""
        with trio.fail_after(5.0):
            while True:
                for holding in self.ledger._holdings:
                    if holding.phase is phase:
                        return holding
                await trio.sleep(0.01)


async def fill_socket(request, responder):
    """Answer, then write until the client's socket and this one take no more."""
    await responder.send(200, b"")
    fileno = responder._stream.socket.fileno()
    for size in (65_536, 1, 65_536, 1):
        try:
            while True:
                os.write(fileno, b"x" * size)
        except BlockingIOError:
            await trio.sleep(0.1)


@behave.given("a listener whose handler fills the socket of its client")
def step_filling(context):
    context.listener = Listener(fill_socket)


@behave.when("a client sends a request and garbage, and reads nothing")
def step_garbage(context):
    context.data = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n" + b"garbage\r\n\r\n"


@behave.when("the listener needs its place")
def step_place(context):
    listener = context.listener

    async def run(port):
        """Ask for a place while the refusal waits for its client."""
        stream = await trio.open_tcp_stream(HOST, port)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await stream.send_all(context.data)
        await listener.find_phase(ledger.Phase.BLOCKED)
        context.made = listener.ledger.make_place(
            "callers", trio.current_time() + LATER_SECONDS
        )
        with trio.move_on_after(1.0):
            while listener.ledger.connections:
                await trio.sleep(0.01)
        context.connections = listener.ledger.connections
        context.held = listener.ledger.held_bytes
        await trio.aclose_forcefully(stream)

    trio.run(listener.serve, run)


@behave.then("its connection ends within 1 second, and the ledger is empty")
def step_ended(context):
    assert context.made
    assert (context.connections, context.held) == (0, 0), context.connections


@behave.given("a gate with a bound of 1 MB that 1 connection of callers has reached")
def step_gate(context):
    context.gate = _intake_gate.Gate(ledger=ledger.Ledger(bound_bytes=MEGABYTE))


@behave.when(
    "it has its turn, and others of callers and of other nodes wait for theirs"
)
def step_turns(context):
    gate = context.gate
    context.went_on = []

    async def wait(listener):
        """Wait for a turn as a connection that holds a small body."""
        holding = gate.ledger.open("1.1.1.1", listener, trio.current_time())
        gate.ledger.set_held(holding, 8_192)
        await gate.wait_for_turn(holding, MEGABYTE)
        context.went_on.append(listener)

    async def run():
        """Hold the turn of callers while the others wait."""
        owner = gate.ledger.open("1.1.1.1", "callers", trio.current_time())
        owner.enter(ledger.Phase.RECEIVING, trio.current_time())
        gate.ledger.set_held(owner, MEGABYTE)
        await gate.wait_for_turn(owner, MEGABYTE)
        async with trio.open_nursery() as nursery:
            for listener in ("callers", "callers", "relay"):
                nursery.start_soon(wait, listener)
            await trio.sleep(0.3)
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("only the connection of the other node goes on, within 0.3 seconds")
def step_went_on(context):
    assert context.went_on == ["relay"], context.went_on


async def answer(request, responder):
    """Answer with the size of the body."""
    await responder.send(200, str(len(request.body)).encode())


@behave.given("a listener with a limit of {size:d} bytes for a body")
def step_limit(context, size):
    limits = _http_server.ServerLimits(body_bytes=size)
    context.listener = Listener(answer, limits=limits)


@behave.when("its limit becomes {size:d} bytes while a client is connected")
def step_new_limit(context, size):
    context.new_limits = _http_server.ServerLimits(body_bytes=size)


@behave.then("a chunked body of {size:d} bytes of that client gets {status:d}")
def step_chunked(context, size, status):
    listener = context.listener

    async def run(port):
        """Change the limits once the connection is idle, then send a body."""
        stream = await trio.open_tcp_stream(HOST, port)
        await listener.find_phase(ledger.Phase.IDLE)
        await trio.sleep(0.1)
        listener.server.limits = context.new_limits
        head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (size, b"x" * size)
        await stream.send_all(head + chunk)
        context.received = bytes(await stream.receive_some(65_536))
        await stream.aclose()

    trio.run(listener.serve, run)
    assert context.received.startswith(b"HTTP/1.1 %d" % status), context.received


@behave.when(
    "memory is free again after it got its turn, and it pauses for {seconds:g} seconds"
)
def step_pause(context, seconds):
    gate = context.gate
    context.refusal = None

    async def run():
        """Wait for data of a connection that has the turn."""
        first, second = socket.socketpair()
        owner = gate.ledger.open("1.1.1.1", "callers", trio.current_time())
        other = gate.ledger.open("1.1.1.1", "callers", trio.current_time())
        gate.ledger.set_held(owner, MEGABYTE)
        async with trio.open_nursery() as nursery:

            async def wait():
                """Get the turn, free memory, and record whether the client goes on."""
                await gate.wait_for_turn(owner, MEGABYTE)
                gate.ledger.set_held(owner, 8_192)
                try:
                    await gate.wait_readable(first.fileno(), owner)
                except _rejections.RejectedInputError as error:
                    context.refusal = error
                gate.end_turn(owner)

            nursery.start_soon(wait)
            await trio.sleep(seconds)
            gate.ledger.set_held(other, MEGABYTE)
            with trio.move_on_after(0.3) as scope:
                await gate.wait_for_turn(other, MEGABYTE)
            context.is_stuck = scope.cancelled_caught
            second.send(b"x")
        first.close()
        second.close()

    trio.run(run)


@behave.then("it goes on, and meanwhile another connection had the turn")
def step_goes_on(context):
    assert context.refusal is None, context.refusal
    assert not context.is_stuck


async def wait_forever(request, responder):
    """Answer nothing."""
    await trio.sleep_forever()


@behave.given("a listener whose handler does not answer")
def step_silent(context):
    context.listener = Listener(wait_forever)


@behave.when("a client sends a request, and {count:d} more bytes while it runs")
def step_more(context, count):
    listener = context.listener

    async def run(port):
        """Send more once the request runs; wait until it is counted."""
        stream = await trio.open_tcp_stream(HOST, port)
        await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        await listener.find_phase(ledger.Phase.RUNNING)
        await stream.send_all(b"x" * count)
        with trio.move_on_after(1.0):
            while listener.ledger.held_bytes < ledger.CONNECTION_BYTES + count:
                await trio.sleep(0.01)
        context.held = listener.ledger.held_bytes
        await stream.aclose()

    trio.run(listener.serve, run)


@behave.then("the ledger counts the {count:d} bytes")
def step_counted(context, count):
    assert context.held == ledger.CONNECTION_BYTES + count, context.held
