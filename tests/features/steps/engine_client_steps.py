"""Steps for the client of engines, without a node."""

import functools

import behave
import trio

from jujubepass.answers import _answer_messages, _engine_client
from jujubepass.transport import _http_client

MEGABYTE = 1_000_000
MAX_SECONDS = 20.0


async def write_line(context, stream):
    """Answer with one line until the client closes the connection."""
    await stream.receive_some(65_536)
    await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n")
    while True:
        await stream.send_all(b"x" * 65_536)
        context.sent_bytes += 65_536


async def serve_endless(context, stream):
    try:
        await write_line(context, stream)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        context.closed.set()


@behave.given("an engine whose line of tokens has no end")
def step_engine(context):
    context.sent_bytes = 0
    context.closed = trio.Event()


@behave.when("an attempt runs on it")
def step_attempt(context):
    context.events = []

    async def main():
        async with trio.open_nursery() as nursery:
            serve = functools.partial(serve_endless, context)
            start = functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
            (listener,) = await nursery.start(start)
            port = listener.socket.getsockname()[1]
            address = _http_client.Address(host="127.0.0.1", port=port)
            client = _engine_client.EngineClient(
                client=_http_client.Client(), post=context.events.append
            )
            with trio.fail_after(MAX_SECONDS):
                await client.run_attempt(make_attempt(address))
                await context.closed.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)


def make_attempt(address):
    stage = _answer_messages.Stage(
        engine="e1", address=address, first_layer=0, end_layer=1
    )
    return _answer_messages.StartAttempt(
        request="r1",
        epoch=1,
        model="m",
        prompt=("a",),
        sent=(),
        max_tokens=4,
        priority=0,
        deadline_seconds=MAX_SECONDS,
        stages=(stage,),
    )


@behave.then("the attempt is reported as cut")
def step_cut(context):
    (event,) = context.events
    assert event.fault is _answer_messages.AttemptFault.STREAM_CUT, event


@behave.then("less than {size:d} MB of the line were sent")
def step_sent(context, size):
    assert context.sent_bytes < size * MEGABYTE, context.sent_bytes
