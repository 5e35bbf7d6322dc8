"""Many clients send bodies in chunks of one byte."""

import asyncio
import pathlib
import subprocess
import sys
import time

import fleet

from standins import forwarding_system

_FOLDER = pathlib.Path(__file__).parent
_PROCESSES = 3
_CLIENTS = 1_500
_SECONDS = 12.0
_PER_SECOND = 5.0
_TIMEOUT_SECONDS = 1.2
_REQUESTS = (
    ("lookup", "GET", forwarding_system.LOOKUP_PATH, b""),
    ("booking", "POST", forwarding_system.BOOKING_PATH, b'{"day": "2030-05-02"}'),
)


async def _send_all(port: int) -> list[fleet.Sent]:
    found, number, until = [], 0, time.monotonic() + _SECONDS
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < until:
            for kind, method, path, body in _REQUESTS:
                number += 1
                sent = fleet.Sent(kind, f"n1-{kind}-{number}")
                found.append(sent)
                headers = fleet.make_headers(sent.request_id)
                tasks.create_task(fleet.send(sent, port, method, path, headers, body))
            await asyncio.sleep(1.0 / _PER_SECOND)
    return found


def run(system: fleet.Fleet, record: fleet.Record) -> int:
    """Send calls to a node while other clients send it such bodies."""
    system.start_all()
    port = system.nodes["n1"].callers
    others = []
    try:
        if fleet.DISTURBED:
            record.write("clients begin", clients=_CLIENTS)
            command = [sys.executable, str(_FOLDER / "clients.py"), str(port)]
            for _ in range(_PROCESSES):
                clients = str(_CLIENTS // _PROCESSES)
                others.append(subprocess.Popen([*command, clients]))
        time.sleep(3.0)
        found = asyncio.run(_send_all(port))
    finally:
        for each in others:
            each.kill()
            each.wait()
    for each in found:
        record.write(
            "answered",
            request=each.request_id,
            outcome=each.outcome.replace(" ", "_"),
            seconds=f"{each.seconds:.2f}",
        )
    is_broken = fleet.judge_timeouts(record, found, _TIMEOUT_SECONDS)
    return fleet.BROKEN if is_broken else fleet.HELD


if __name__ == "__main__":
    fleet.main(run, _FOLDER)
