"""A leaving engine loses the store for five seconds; it must get no requests then."""

import asyncio
import pathlib
import secrets
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))

import standin

DRAIN_SECONDS = 2.0
EVENTS = 88
EVENT_SECONDS = 0.02
STREAMS_PER_SECOND = 10.0
# Times from the report of the engine that leaves.
CUT_AT, HEALED_AT, ENDED_AT = 3.0, 8.0, 9.5


async def case(system, trouble):  # noqa: C901 (one course of events)
    """Return how the rule was broken, or None."""
    sent, arrivals, lost = {}, [], []
    passed_on = None

    async def serve(server, request, reader, writer):
        """Write a stream; a leaving engine says so in its answer."""
        request_id = request["fields"]["x-request-id"]
        arrivals.append((server.name, request_id))
        system.log(f"{request_id} reaches {server.name} ({server.state})")
        fields = [*standin.echo(server, request), ("Content-Type", "text/event-stream")]
        if server.state == "draining":
            fields.append(("Server-Leaving", "1"))
        writer.write(standin.format_answer(200, fields, length=False))
        for number in range(1, EVENTS + 1):
            writer.write(f"id: {number}\ndata: {request_id}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        return False

    route = standin.make_route(
        "drafts",
        "/drafts/",
        "streaming",
        standin.MODEL_SERVICE,
        20_000,
        resumable=False,
        sticky=True,
        gapTargetMs=200,
    )
    configuration = standin.make_configuration(2, [route], with_model=True)
    system.store.put("op", "config", configuration)
    engines = []
    # One engine of six leaves and is cut off: a share of 0.17.
    others = [(f"i-l4-{number}", "l4") for number in range(1, 6)]
    for name, kind in (("i-h100", "h100"), *others):
        engine = standin.Server(
            system, name, standin.MODEL_SERVICE, serve, slots=96, kind=kind
        )
        await engine.start()
        engines.append(engine)
    leaving = engines[0]
    system.start_node("n1")
    await system.wait_ready()

    async def call():
        """Send one request; return whether its stream came whole."""
        nonlocal passed_on
        request_id = secrets.token_hex(8)
        sent[request_id] = time.monotonic()
        reader = writer = None
        try:
            reader, writer = await standin.connect(system.ports["n1"]["front"])
            head = standin.make_head(
                "POST", "/drafts/2f", ["X-Token-Count: 100,176"], request_id=request_id
            )
            writer.write(f"{head}Content-Length: 6\r\n\r\nprompt".encode())
            first, fields = await standin.read_head(reader)
            if passed_on is None and fields.get("server-leaving") == "1":
                passed_on = time.monotonic()
                system.log(f"{request_id}: answer with Server-Leaving passed on")
            await standin.read_body(reader, fields, is_answer=True)
            return " 200 " in first
        except (TimeoutError, standin.ClosedError, OSError) as error:
            lost.append(request_id)
            system.log(f"{request_id}: no complete answer ({error!r})")
            return False
        finally:
            if writer is not None:
                writer.close()

    await system.wait_until(call, "a first stream")

    async def has_layers():
        """Return whether all engines hold layers."""
        return all(engine.held for engine in engines)

    await system.wait_until(has_layers, "layers at all engines")
    calls = set()

    async def send_all():
        """Send requests until cancelled."""
        while True:
            task = asyncio.create_task(call())
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(1.0 / STREAMS_PER_SECOND)

    traffic = asyncio.create_task(send_all())
    await asyncio.sleep(4.0)
    lost.clear()
    system.log("i-h100 reports that it is draining")
    leaving.drain()
    await asyncio.sleep(CUT_AT)
    if trouble:
        system.log("i-h100 is partitioned from the store")
        leaving.cut()
    await asyncio.sleep(HEALED_AT - CUT_AT)
    if trouble:
        system.log("i-h100 reaches the store again, and lists itself as draining")
        leaving.heal()
    await asyncio.sleep(ENDED_AT - HEALED_AT)
    system.log("i-h100 exits")
    leaving.leave(resets=True)
    await asyncio.sleep(2.0)
    traffic.cancel()
    if passed_on is None:
        raise standin.NotRunnableError("no answer with Server-Leaving was passed on")
    late = [
        request_id
        for name, request_id in arrivals
        if name == leaving.name and sent[request_id] > passed_on + DRAIN_SECONDS
    ]
    for request_id in late:
        seconds = sent[request_id] - passed_on
        system.log(f"{request_id} LATE: sent {seconds:.2f} s after Server-Leaving")
    broken = len(set(late) & set(lost))
    system.log(f"{len(late)} late requests, of which the exit has broken off {broken}")
    return f"DRAIN, {len(late)} requests reach the leaving engine" if late else None


standin.run_case(case, pathlib.Path(__file__).resolve().parent)
