"""A plain server breaks off a stream inside an event; the caller must notice."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))

import standin

EVENTS = 88
EVENT_SECONDS = 0.02
STREAMS = 200
STREAMS_PER_SECOND = 12.0
# One answer in this many of the faulty server is broken off, in spans of 5 s.
BROKEN_EVERY = 20
SPAN_SECONDS, SPAN_INTERVAL_SECONDS = 5.0, 7.0


def format_event(request_id, number):
    """Return a piece of a stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


async def case(system, trouble):
    """Return how the rule was broken, or None."""
    runs = {}

    async def serve(server, request, reader, writer):
        """Write a stream that ends with its connection."""
        request_id = request["fields"]["x-request-id"]
        since = (time.monotonic() - began) % SPAN_INTERVAL_SECONDS
        is_faulty = trouble and server.name == "i-agenda-0" and since < SPAN_SECONDS
        runs[is_faulty] = runs.get(is_faulty, 0) + 1
        is_broken = is_faulty and runs[is_faulty] % BROKEN_EVERY == 0
        fields = [*standin.echo(server, request), ("Content-Type", "text/event-stream")]
        writer.write(standin.format_answer(200, fields, length=False))
        for number in range(1, EVENTS + 1):
            data = format_event(request_id, number)
            if is_broken and number == EVENTS // 2:
                system.log(f"{server.name} breaks off {request_id} in event {number}")
                writer.write(data[: len(data) // 2])
                await writer.drain()
                return False
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        system.log(f"{server.name} has run {request_id} to its end")
        return False

    route = standin.make_route(
        "drafts",
        "/drafts/",
        "streaming",
        standin.PLAIN_SERVICE,
        20_000,
        resumable=False,
        sticky=True,
        gapTargetMs=200,
    )
    configuration = standin.make_configuration(2, [route], with_model=False)
    system.store.put("op", "config", configuration)
    for number in range(3):
        server = standin.Server(
            system, f"i-agenda-{number}", standin.PLAIN_SERVICE, serve, slots=96
        )
        await server.start()
    system.start_node("n1")
    await system.wait_ready()
    began = time.monotonic()
    found = []

    async def call(number):
        """Send one request and judge its answer."""
        request_id = f"{number:016x}"
        whole = b"".join(format_event(request_id, each + 1) for each in range(EVENTS))
        system.log(f"sent {request_id}")
        try:
            answer = await standin.request(
                system.ports["n1"]["front"],
                "POST",
                "/drafts/2f",
                ["X-Token-Count: 100,176"],
                b"prompt",
                request_id=request_id,
            )
        except (TimeoutError, standin.ClosedError) as error:
            system.log(f"{request_id}: no complete answer ({error!r})")
            return
        pieces = answer.body.count(b"\n\n")
        system.log(f"{request_id}: complete, {answer.status}, {pieces} pieces")
        if answer.status == 200 and answer.body != whole:
            found.append(request_id)
            system.log(f"{request_id}: NOT WHOLE, ends with {answer.body[-30:]!r}")

    calls = []
    for number in range(STREAMS):
        calls.append(asyncio.create_task(call(number)))
        await asyncio.sleep(1.0 / STREAMS_PER_SECOND)
    await asyncio.gather(*calls)
    if found:
        return f"ORDER, {len(found)} streams end as complete before their last piece"
    return None


standin.run_case(case, pathlib.Path(__file__).resolve().parent)
