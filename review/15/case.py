"""A server starts again under its id and asks for no requests."""

import asyncio
import itertools
import os
import pathlib
import time

import fleet

from standins import forwarding_system, processes

_NODES = 2
_SECONDS = 14.0
_PER_SECOND = 20.0
_RESTART_AT = 2.0
_AWAY_SECONDS = 1.0
_ENTRY_SECONDS = 1.0
"""Time from the server's start to its first entry; a heartbeat comes each 1,200 ms."""
_LAPSE_SECONDS = 3.6
_SILENCE_SECONDS = 10.0
_SETTLE_SECONDS = 0.5
_MOST_REQUESTS = 2
_SERVER = forwarding_system.Member(name="s1", domain="a")


async def _disturb(system: fleet.Fleet, record: fleet.Record, began: float) -> None:
    await asyncio.sleep(max(0.0, began + _RESTART_AT - time.monotonic()))
    refusing = {"refuse": 1.0, "retry_after": f"{_SILENCE_SECONDS:g}"}
    if not fleet.DISTURBED:
        record.write("refuses its next request", server=_SERVER.name)
        await asyncio.to_thread(
            processes.change_knobs, system.ports[_SERVER.name], **refusing
        )
        return
    record.write("killed", server=_SERVER.name)
    await asyncio.to_thread(system.processes.kill, _SERVER.name)
    await asyncio.sleep(_AWAY_SECONDS)
    os.environ["ENTRY_SECONDS"] = str(_ENTRY_SECONDS)
    await asyncio.to_thread(system.start_member, _SERVER, **refusing)
    record.write("started again, refuses its next request", server=_SERVER.name)


async def _send_all(system: fleet.Fleet, record: fleet.Record) -> list[fleet.Sent]:
    found: list[fleet.Sent] = []
    began = time.monotonic()
    port = system.nodes["n1"].callers
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_disturb(system, record, began))
        for number in itertools.count():
            if time.monotonic() >= began + _SECONDS:
                return found
            sent = fleet.Sent("booking", f"n1-booking-{number}")
            found.append(sent)
            headers = fleet.make_headers(sent.request_id)
            path = forwarding_system.BOOKING_PATH
            tasks.create_task(
                fleet.send(sent, port, "POST", path, headers, b'{"day": "2030-05-02"}')
            )
            await asyncio.sleep(1.0 / _PER_SECOND)
    return found


def run(system: fleet.Fleet, record: fleet.Record) -> int:
    """Send bookings to a node as a server asks it for silence."""
    forwarding_system.MEMBERS = (
        *(each for each in forwarding_system.MEMBERS if each.kind),
        _SERVER,
        *(forwarding_system.Member(name=f"s{x}", domain="b") for x in range(2, 9)),
    )
    system.start_all(nodes=_NODES)
    processes.change_knobs(system.store_port, lapse_seconds=_LAPSE_SECONDS)
    time.sleep(4.0)
    found = asyncio.run(_send_all(system, record))
    # The server's clock is the time of day.
    offset = time.time() - time.monotonic()
    counts = system.read_counts(_SERVER.name)
    refused_at = [at - offset for at in counts["refused_at"]]
    for each in found:
        record.write(
            "answered",
            request=each.request_id,
            sent_at=f"{each.sent_at:.2f}",
            outcome=each.outcome.replace(" ", "_"),
            ran_at_s1=each.request_id in counts["runs"],
        )
    if not refused_at:
        record.write("the server refused nothing")
        return fleet.NOT_RUN
    begin, end = refused_at[0] + _SETTLE_SECONDS, refused_at[0] + _SILENCE_SECONDS
    reached = [
        each
        for each in found
        if each.request_id in counts["runs"] and begin < each.sent_at < end
    ]
    reached_again = sum(begin < at < end for at in refused_at)
    record.write(
        "judged BUDGET",
        refused_at=f"{refused_at[0]:.2f}",
        requests_in_the_silence=len(reached) + reached_again,
        broken=len(reached) + reached_again > _MOST_REQUESTS,
    )
    is_broken = len(reached) + reached_again > _MOST_REQUESTS
    return fleet.BROKEN if is_broken else fleet.HELD


if __name__ == "__main__":
    fleet.main(run, pathlib.Path(__file__).parent)
