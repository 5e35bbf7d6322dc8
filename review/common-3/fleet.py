"""Small deployment on loopback, and clients that record when answers end."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys
import time

from standins import forwarding_system, processes

ROOT = pathlib.Path(__file__).resolve().parents[2]
DISTURBED = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Outgoing connections take ports from 32,768 on.
_FIRST_PORTS = range(20_000, 31_000, 250)
_NODE_MODULE = "jujubepass.platform"
_LONGEST_WAIT_SECONDS = 15.0


def _hold_ports() -> tuple[socket.socket, int]:
    """Return a socket at the first one of a range of ports, and that port."""
    start = os.getpid() % len(_FIRST_PORTS)
    for port in (*_FIRST_PORTS[start:], *_FIRST_PORTS[:start]):
        guard = socket.socket()
        try:
            guard.bind((processes.HOST, port))
        except OSError:
            guard.close()
        else:
            return guard, port
    raise processes.TrialError("no range of ports is free")


class Fleet(forwarding_system.ForwardingSystem):
    """A store, engines, plain servers and nodes as processes."""

    def __init__(self) -> None:
        # Held while the fleet lasts, so that no other fleet takes the same ports.
        self._guard, first_port = _hold_ports()
        super().__init__(first_port=first_port + 1)
        self.processes.start = self._wrap_start(self.processes.start)

    def start_node(self, name: str, domain: str, first_start: bool = False) -> None:
        """Start a node; all of them stand in one failure domain."""
        super().start_node(name, "a", first_start)

    def _wrap_start(self, start):
        """Run nodes as the deploy file says, and engines with further faults."""

        def run(name, module, *arguments, port=None, path=None, environment=None):
            given = dict(environment or {})
            if module == _NODE_MODULE:
                given["PYTHONPATH"] = str(ROOT / "target" / "deps")
            if module == "standins.path_engine":
                module = "engine"
            start(name, module, *arguments, port=port, path=path, environment=given)

        return run

    def write_settings(self, name: str, domain: str, first_start: bool) -> str:
        """Return a node's settings with the limits of a small deployment."""
        text = super().write_settings(name, domain, first_start)
        return text + "[limits]\nmemory_megabytes = 300\ndescriptors = 4100\n"


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._output = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def write(self, what: str, **values: object) -> None:
        """Write one line."""
        at = time.monotonic() - self._began
        text = " ".join(f"{key}={value}" for key, value in values.items())
        self._output.write(f"{at:8.3f} {what} {text}\n")
        self._output.flush()


class Sent:
    """One request, and how it ended."""

    def __init__(self, kind: str, request_id: str) -> None:
        self.kind = kind
        self.request_id = request_id
        self.sent_at = time.monotonic()
        self.outcome = "open"
        self.seconds = 0.0


def make_headers(request_id: str, **others: str) -> dict[str, str]:
    """Return the header fields that each request has."""
    return {
        "host": forwarding_system.HOST_NAME,
        "x-request-id": request_id,
        "x-key": "ana-key-1",
        "x-deadline-ms": "10000",
        **{name.replace("_", "-"): value for name, value in others.items()},
    }


async def send(
    sent: Sent,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    gap_seconds: float | None = None,
) -> None:
    """Send a request on a new connection and wait until its answer ends.

    A stream is left after a gap between events, as clients do.
    """
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    lines += [f"content-length: {len(body)}", "connection: close", "", ""]
    writer = None
    try:
        reader, writer = await asyncio.open_connection(processes.HOST, port)
        sent.sent_at = time.monotonic()
        writer.write("\r\n".join(lines).encode() + body)
        async with asyncio.timeout(_LONGEST_WAIT_SECONDS):
            sent.outcome = await _read_answer(reader, gap_seconds)
    except TimeoutError:
        sent.outcome = "no end"
    except OSError as error:
        sent.outcome = type(error).__name__
    finally:
        sent.seconds = time.monotonic() - sent.sent_at
        if writer is not None:
            writer.close()


async def _read_answer(reader: asyncio.StreamReader, gap_seconds: float | None) -> str:
    head, events, event_at = b"", 0, time.monotonic()
    tail = b""
    while True:
        left = None
        if gap_seconds is not None:
            left = event_at + gap_seconds - time.monotonic()
            if left <= 0.0:
                return "left after a gap"
        try:
            async with asyncio.timeout(left):
                data = await reader.read(65_536)
        except TimeoutError:
            continue
        if not data:
            break
        head = (head + data)[:4_096]
        tail = (tail + data)[-16:]
        if data.count(b"data:"):
            events, event_at = events + data.count(b"data:"), time.monotonic()
    if not head:
        return "closed"
    status = head.split(b" ", 2)[1].decode()
    is_complete = b"content-length" in head.lower() or tail.endswith(b"0\r\n\r\n")
    return status if is_complete else f"{status} cut"


def judge_timeouts(
    record: Record, requests: list[Sent], timeout_seconds: float
) -> bool:
    """Return whether CONFIG is broken for requests of a route's time-out.

    Both of its sentences have to be broken: more than half, and eight or more.
    """
    due = [each for each in requests if each.seconds > timeout_seconds]
    late = [each for each in due if each.seconds > timeout_seconds + 0.5]
    is_broken = len(late) >= 8 and 2 * len(late) > len(due)
    record.write(
        "judged CONFIG",
        requests=len(requests),
        unanswered_at_timeout=len(due),
        unanswered_half_a_second_later=len(late),
        longest_seconds=f"{max((x.seconds for x in requests), default=0.0):.2f}",
        broken=is_broken,
    )
    return is_broken


def main(run, folder: pathlib.Path) -> None:
    """Run a case on a fleet, and exit with its result."""
    record = Record(folder)
    fleet = Fleet()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    result = NOT_RUN
    try:
        result = run(fleet, record)
    except Exception as error:
        record.write("case could not run", error=repr(error))
    finally:
        with contextlib.suppress(OSError):
            fleet.processes.close()
    record.write("result", exit_code=result)
    sys.exit(result)
