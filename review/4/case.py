"""Show that a part beyond the 64th of a prompt crashes engines without an end."""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.common import engine, fleet, http, service, store

_IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
_ZONES = ("uy-sur-centro", "uy-sur-este", "uy-sur-oeste")
_ENGINES_PER_ZONE = 3
_CRASHING_PART = "91bd3f06"
# Parts of a prompt before the one that crashes engines.
_PARTS_BEFORE = 70 if _IS_TROUBLED else 20
_CALLERS = 6
_CALM_SECONDS = 6.0
_REQUESTS = 24
_INTERVAL_SECONDS = 1.0
_CONTACT_SECONDS = 3.0
# BUDGET: later than contactMs after the fifth crash, more than three requests.
_CRASHES = 5
_MOST = 3


async def send(node, parts, record):
    """Send a prompt; return the status and whether the stream is complete."""
    identity = f"{random.getrandbits(64):016x}"
    listed = ",".join(f"{each}:40" for each in parts)
    fields = [
        ("Host", service.HOST_NAME),
        ("X-Request-Id", identity),
        ("X-Model", "m"),
        ("X-Token-Count", f"{40 * len(parts)},40"),
        ("X-Prompt-Prefix", f"{listed},{random.getrandbits(32):08x}:60"),
        ("X-Deadline-Ms", "20000"),
        ("X-Key", service.KEY),
    ]
    target = f"{engine.STREAM_PREFIX}2f"
    status, is_complete = None, False
    try:
        async with asyncio.timeout(22.0):
            reader, writer = await asyncio.open_connection(*node.front)
            body = f"prompt {identity}".encode()
            record.write("sent", request=identity, parts=len(parts) + 1)
            writer.write(http.write_request("POST", target, fields, body))
            head = await http.read_head(reader)
            if head is not None:
                status = head.status
                await http.read_body(reader, head)
                is_complete = status == 200
            await http.close(writer)
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
        pass
    record.write("answered", request=identity, status=status, complete=is_complete)
    return status, is_complete


async def prompt(nodes, shared, record, outcomes):
    """Send sound prompts, which share their other parts with the crashing ones."""
    while True:
        _, is_complete = await send(random.choice(nodes), shared, record)
        outcomes.append((time.monotonic(), is_complete))
        await asyncio.sleep(random.uniform(0.1, 0.5))


async def play(folder, record):
    """Play the day; return the exit code."""
    rows = store.Store()
    listener = await http.serve(rows.handle, "127.0.0.1")
    address = f"127.0.0.1:{http.get_port(listener)}"
    rows.put("op", "config", engine.make_configuration())
    arrivals = []
    for zone in _ZONES:
        server = service.PlainServer(f"i-{zone}", zone, rows, record)
        await server.start()
        for number in range(_ENGINES_PER_ZONE):
            found = engine.Engine(
                f"e-{zone}-{number}",
                zone,
                rows,
                record,
                crashing_part=_CRASHING_PART,
                arrivals=arrivals,
            )
            await found.start()
    nodes = [fleet.Node(f"edge-{zone}-1", zone, address, folder) for zone in _ZONES]
    shared = [f"{number:08x}" for number in range(1, _PARTS_BEFORE + 1)]
    outcomes = []
    try:
        for each in nodes:
            await each.start()
        for each in nodes:
            await each.wait_until_ready()
        callers = [
            asyncio.create_task(prompt(nodes, shared, record, outcomes))
            for _ in range(_CALLERS)
        ]
        await asyncio.sleep(_CALM_SECONDS)
        bad = [
            asyncio.create_task(_send_later(nodes, shared, record, number))
            for number in range(_REQUESTS)
        ]
        await asyncio.sleep(_REQUESTS * _INTERVAL_SECONDS + 1.0)
        for each in (*callers, *bad):
            each.cancel()
        return judge(arrivals, outcomes, record)
    finally:
        for each in nodes:
            await each.stop()


async def _send_later(nodes, shared, record, number):
    """Send one of the requests with the part that crashes engines."""
    await asyncio.sleep(number * _INTERVAL_SECONDS)
    await send(nodes[number % len(nodes)], [*shared, _CRASHING_PART], record)


def judge(arrivals, outcomes, record):
    """Count the requests that reach engines too late; return the exit code."""
    bound = float("inf")
    if len(arrivals) >= _CRASHES:
        bound = arrivals[_CRASHES - 1] + _CONTACT_SECONDS
    late = sum(at > bound for at in arrivals)
    complete = sum(is_complete for _, is_complete in outcomes)
    line = (
        f"crashes {len(arrivals)}, of these later than contactMs after the fifth"
        f" {late}; sound streams complete {complete} of {len(outcomes)}"
    )
    is_broken = late > _MOST
    for each in (line, "BUDGET broken" if is_broken else "BUDGET held"):
        record.write(each)
        print(each)
    if not arrivals or not complete:
        return 2
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(fleet.run_case(play, __file__))
