import socket
import time

import behave
import trio

from jujubepass.transport import _http_server
from standins import forwarding_system, processes
from tests.features.steps import accepted_requests_more_steps, accepted_requests_steps

EVENTS = 20
# More than a request has attempts.
DROPPED_REQUESTS = 100.0
IDLE_SECONDS = 0.3
SETTLING_SECONDS = 0.05
# The listener stops 3.2 s after SIGTERM.
BEFORE_STOP_SECONDS = 2.9
AROUND_STOP_SECONDS = 0.8
ANSWER = b"HTTP/1.1 200"
ANSWER_TIMEOUT_SECONDS = 2.0
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


@behave.given("engines that close kept connections when the next stream arrives")
def step_close_kept(context):
    # Leaves an idle connection to each engine that streams begin at.
    assert context.system.request_stream("n1").status == 200
    for each in accepted_requests_steps.ENGINES:
        port = context.system.ports[each.name]
        processes.change_knobs(port, drop_kept=DROPPED_REQUESTS)


@behave.when("a caller requests a stream")
def step_request(context):
    context.events = EVENTS
    accepted_requests_steps.send_in_background(
        context, lambda: context.system.request_stream("n1", EVENTS)
    )


@behave.then("the stream ran once")
def step_ran_once(context):
    context.background.join()
    assert context.system.count_runs(context.system.last_request) == 1


def outlast_limit(server):
    """Keep the listener from running until the idle limit has passed."""
    time.sleep(2.0 * IDLE_SECONDS)


EVENTS_BY_NAME = {
    "the idle limit passes": outlast_limit,
    "the listener is to stop": lambda server: server.stop(),
}


async def answer_request(request, responder):
    await responder.send(200, b"")


async def receive(connection):
    with trio.move_on_after(ANSWER_TIMEOUT_SECONDS):
        await trio.lowlevel.wait_readable(connection)
        return connection.recv(65_536)
    return b""


async def send_before(happen):
    """Return the answer to a request that is sent just before an event."""
    limits = _http_server.ServerLimits(idle_timeout_seconds=IDLE_SECONDS)
    server = _http_server.Server(handler=answer_request, limits=limits)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, processes.HOST, 0)
        with socket.create_connection((processes.HOST, port)) as connection:
            connection.sendall(REQUEST)
            assert (await receive(connection)).startswith(ANSWER)
            # The listener now waits for the next request.
            await trio.sleep(SETTLING_SECONDS)
            connection.sendall(REQUEST)
            happen(server)
            answer = await receive(connection)
        nursery.cancel_scope.cancel()
    return answer


@behave.when(
    "a request arrives on a kept connection before the listener finds that {event}"
)
def step_arrive(context, event):
    context.answer = trio.run(send_before, EVENTS_BY_NAME[event])


@behave.then("the request on the kept connection is answered")
def step_answered(context):
    assert context.answer.startswith(ANSWER), context.answer


def open_kept(context):
    """Return a connection of n1 after a first answer on it."""
    connection = accepted_requests_more_steps.connect(context)
    path = forwarding_system.LOOKUP_PATH
    connection.sendall(accepted_requests_more_steps.make_request("kept", "GET", path))
    answer = accepted_requests_more_steps.receive_answers(connection, 1)
    assert answer.startswith(ANSWER), answer
    return connection


def make_booking():
    path = forwarding_system.BOOKING_PATH
    return accepted_requests_more_steps.make_request("stop", "POST", path, b"x" * 100)


@behave.when("a booking is being received as the node stops on a kept connection")
def step_receiving(context):
    connection = open_kept(context)
    booking = make_booking()
    context.system.processes.terminate("n1")
    time.sleep(BEFORE_STOP_SECONDS)
    connection.sendall(booking[:-50])
    time.sleep(AROUND_STOP_SECONDS)
    connection.sendall(booking[-50:])
    context.answer = accepted_requests_more_steps.receive_answers(connection, 1)


@behave.when(
    "a booking arrives while the node is silent and stops on a kept connection"
)
def step_silent_node(context):
    connection = open_kept(context)
    context.system.processes.terminate("n1")
    time.sleep(BEFORE_STOP_SECONDS)
    context.system.processes.suspend("n1")
    connection.sendall(make_booking())
    time.sleep(AROUND_STOP_SECONDS)
    context.system.processes.resume("n1")
    context.answer = accepted_requests_more_steps.receive_answers(connection, 1)
