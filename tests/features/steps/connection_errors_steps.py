import contextlib
import socket
import struct
import time

import behave
import trio

from jujubepass import ids
from jujubepass.transport import _http_client, _http_server, _peers
from standins import forwarding_system, processes

RESETS = 40
TIMEOUT_SECONDS = 5.0
LINGER = struct.pack("ii", 1, 0)
LISTENERS = ("callers", "readiness", "metrics", "relay")
PATHS = {"readiness": "/v1/readiness", "metrics": "/metrics", "relay": "/v1/rows"}
METHODS = ("GET", "HEAD", "POST", "CONNECT")
# More than any of the listeners takes.
LONG_BODY_BYTES = 20_000_000
PEER_KEY = b"k" * 32


def connect(context, listener):
    port = getattr(context.system.nodes["n1"], listener)
    return socket.create_connection((processes.HOST, port), timeout=TIMEOUT_SECONDS)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    connection.close()


@behave.when("connections to each listener are reset at once")
def step_reset_at_once(context):
    context.pid = context.system.processes.get_pid("n1")
    for listener in LISTENERS:
        for _ in range(RESETS):
            with contextlib.suppress(OSError):
                reset(connect(context, listener))


@behave.when("connections to each listener are reset while the node is suspended")
def step_reset_suspended(context):
    context.pid = context.system.processes.get_pid("n1")
    for listener in LISTENERS:
        context.system.processes.suspend("n1")
        try:
            opened = [connect(context, listener) for _ in range(RESETS)]
            # Some of them have sent a request.
            for number, connection in enumerate(opened):
                if number % 2:
                    connection.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                reset(connection)
        finally:
            context.system.processes.resume("n1")
        assert_alive(context, listener)


def make_invalid_requests(method):
    """Return invalid requests by name, each with the statuses that reject it."""
    start = f"{method} /visits/new HTTP/1.1\r\nhost: a\r\n".encode()
    chunked = start + b"transfer-encoding: chunked\r\n\r\n"
    return {
        "long announced body": (start + b"content-length: %d\r\n\r\n", {413}),
        "long chunk": (chunked + b"ffffffff\r\nabc", {413}),
        "malformed chunk": (chunked + b"xyz\r\n\r\n", {400}),
        "two framings": (
            start + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc",
            {400},
        ),
        "unknown coding": (start + b"transfer-encoding: zip\r\n\r\n", {501}),
        "malformed length": (start + b"content-length: -1\r\n\r\n", {400}),
        "long length": (start + b"content-length: 1%s\r\n\r\n" % (b"0" * 40), {400}),
        "no name": (start + b": value\r\n\r\n", {400}),
        "control character": (start + b"a: b\x00c\r\n\r\n", {400}),
        "no host": (f"{method} / HTTP/1.1\r\n\r\n".encode(), {400}),
        "long header": (start + b"a: " + b"x" * 40_000, {431}),
        "no request": (b"\x16\x03\x01\x00\xff\r\n\r\n", {400}),
    }


def list_invalid_requests():
    for method in METHODS:
        for name, (data, statuses) in make_invalid_requests(method).items():
            if name == "long announced body":
                data %= LONG_BODY_BYTES
            yield (
                f"{method}, {name}",
                data,
                statuses | ({405} if method == "CONNECT" else set()),
            )


@behave.when("invalid requests in each form arrive at each listener")
def step_invalid(context):
    context.pid = context.system.processes.get_pid("n1")
    context.wrong = []
    for listener in LISTENERS:
        for name, data, statuses in list_invalid_requests():
            send_cut(context, listener, data)
            with contextlib.suppress(ConnectionError):
                with connect(context, listener) as opened:
                    opened.sendall(data)
                    status = read_status(opened)
                if status not in statuses:
                    context.wrong.append((listener, name, status, statuses))
        assert_alive(context, listener)


def send_cut(context, listener, data):
    """Send a request whole and in part, and reset or close the connection at once."""
    for size in (len(data), len(data) // 2):
        for end in (reset, socket.socket.close):
            with contextlib.suppress(ConnectionError):
                connection = connect(context, listener)
                connection.sendall(data[:size])
                end(connection)


def read_status(connection):
    received = b""
    with contextlib.suppress(ConnectionError):
        while data := connection.recv(65_536):
            received += data
    return int(received.split()[1]) if received else 0


@behave.then("the node has not been started again, and each listener answers")
def step_alive(context):
    assert_alive(context, "all")


def assert_alive(context, troubled):
    time.sleep(0.2)
    system = context.system
    output = system.processes.read_output("n1")
    assert not system.processes.has_exited("n1"), (troubled, output)
    assert system.processes.get_pid("n1") == context.pid
    assert system.is_ready("n1")
    for listener, path in PATHS.items():
        port = getattr(system.nodes["n1"], listener)
        assert processes.call("GET", port, path).status, listener
    answer = system.send_request("n1", "GET", forwarding_system.LOOKUP_PATH)
    assert answer.status == 200, answer


@behave.then("each invalid request that was sent whole got its rejection")
def step_rejected(context):
    assert not context.wrong, context.wrong


@behave.when("a handler's failure is reported on a connection that breaks meanwhile")
def step_handler(context):
    async def run():
        """Serve one connection that breaks, then another one."""

        async def handle(request, responder):
            """Fail once the connection of a caller has been reset."""
            if request.path == "/broken":
                stream = responder._stream
                stream.socket.shutdown(socket.SHUT_WR)
                raise ValueError("expected by the test")
            await responder.send(200, b"served")

        server = _http_server.Server(handler=handle)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, processes.HOST, 0)
            address = _http_client.Address(host=processes.HOST, port=port)
            client = _http_client.Client()
            with contextlib.suppress(_http_client.ClientError):
                await client.request("GET", address, "/broken")
            # An error that ends the listener has done so by then.
            await trio.sleep(0.5)
            found = await client.request("GET", address, "/sound")
            nursery.cancel_scope.cancel()
        return found

    context.found = trio.run(run)


@behave.then("the listener serves the next connection")
def step_next(context):
    assert context.found.body == b"served", context.found


@behave.when("other nodes reset or garble their handshakes")
def step_handshakes(context):
    async def run():
        """Take handshakes, then a message."""
        received = []
        listener = _peers.PeerListener(key=PEER_KEY, handler=received.append)
        port = context.first_port
        async with trio.open_nursery() as nursery:
            await nursery.start(listener.serve, processes.HOST, port)
            for data in (None, b"", b"\0\0\0\4abcd", b"\0\0\0\2\x0b\0", b"\xff" * 9):
                await trio.to_thread.run_sync(send_handshake, port, data)
            sender = _peers.PeerSender(
                node=ids.NodeId("n2"), key=PEER_KEY, nursery=nursery
            )
            sender.send(_http_client.Address(host=processes.HOST, port=port), b"news")
            with trio.move_on_after(TIMEOUT_SECONDS):
                while not received:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        return received

    context.received = trio.run(run)


def send_handshake(port, data):
    connection = socket.create_connection((processes.HOST, port), TIMEOUT_SECONDS)
    if data is None:
        reset(connection)
        return
    connection.sendall(data)
    connection.shutdown(socket.SHUT_WR)
    with contextlib.suppress(ConnectionError):
        while connection.recv(65_536):
            pass
    connection.close()


@behave.then("the listener takes messages of a node that holds the key")
def step_taken(context):
    assert context.received == [b"news"], context.received


@behave.when("a listener's answer to a caller that speaks {version} is {state}")
def step_answer(context, version, state):
    async def handle(request, responder):
        """Stream an answer that ends as the scenario says."""
        await responder.start_fields(200, [("x-server-seal", "seal")])
        await responder.write(b"begun ")
        await trio.sleep(0.1)
        if state == "failed":
            raise ValueError("expected by the test")
        if state == "complete":
            await responder.write(b"ended")
            await responder.finish()

    async def run():
        """Serve one caller; return what it receives, and whether that was reset."""
        server = _http_server.Server(handler=handle)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, processes.HOST, 0)
            found = await trio.to_thread.run_sync(receive_raw, port, version)
            nursery.cancel_scope.cancel()
        return found

    context.found = trio.run(run)


def receive_raw(port, version):
    received = b""
    with socket.create_connection((processes.HOST, port), TIMEOUT_SECONDS) as sent:
        sent.sendall(
            f"GET / {version}\r\nhost: a\r\nconnection: close\r\n\r\n".encode()
        )
        try:
            while data := sent.recv(65_536):
                received += data
        except ConnectionResetError:
            return received, True
    return received, False


@behave.then("the caller finds that it is {state}")
def step_found(context, state):
    received, is_reset = context.found
    has_last_chunk = received.endswith(b"\r\n0\r\n\r\n")
    is_chunked = b"chunked" in received
    is_complete = has_last_chunk if is_chunked else not is_reset
    assert b"begun" in received, context.found
    assert is_complete == (state == "complete"), context.found
