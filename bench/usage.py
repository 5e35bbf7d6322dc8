"""Processor time, memory and traffic of processes under test."""

import os
import pathlib
import re
import subprocess
import time
import typing

import attrs
import numpy

from standins import processes

_NANOSECONDS = 1_000_000_000
MEBIBYTE = 1_048_576

_KIBIBYTE = 1_024
_SAMPLE = re.compile(r"^(?P<name>\w+)(?:\{(?P<labels>[^}]*)\})? (?P<value>\S+)$", re.M)

Samples = dict[str, float]


class MemoryBoundError(Exception):
    """Report a machine that is too full to go on."""


@attrs.frozen(kw_only=True)
class Usage:
    """Hold what one process used up to a moment."""

    at: float
    processor_seconds: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Read a process's usage, all its threads counted."""
    run = 0
    for thread in pathlib.Path(f"/proc/{pid}/task").iterdir():
        run += int((thread / "schedstat").read_text().split()[0])
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    resident = re.search(r"VmRSS:\s+(\d+) kB", status)
    return Usage(
        at=time.monotonic(),
        processor_seconds=run / _NANOSECONDS,
        resident_bytes=int(resident[1]) * _KIBIBYTE if resident else 0,
    )


def read_metrics(operators_port: int) -> Samples:
    """Read a node's metrics; a sample's key is its name and labels."""
    answer = processes.call("GET", operators_port, "/metrics")
    return {
        match["name"] + (f"{{{match['labels']}}}" if match["labels"] else ""): float(
            match["value"]
        )
        for match in _SAMPLE.finditer(answer.body.decode())
    }


@attrs.frozen(kw_only=True)
class Spread:
    """Hold the middle and the ends of a few measurements."""

    median: float
    lowest: float
    highest: float

    @classmethod
    def of(cls, values: typing.Iterable[float]) -> "Spread":
        """Summarize values."""
        ordered = sorted(values)
        return cls(
            median=float(numpy.median(ordered)),
            lowest=ordered[0],
            highest=ordered[-1],
        )


def fit_line(xs: typing.Sequence[float], ys: typing.Sequence[float]) -> Samples:
    """Fit y = start + slope * x by least squares."""
    slope, start = numpy.polyfit(xs, ys, 1)
    return {"slope": float(slope), "start": float(start)}


def check_memory() -> None:
    """Raise MemoryBoundError when half of the machine's memory is in use."""
    text = pathlib.Path("/proc/meminfo").read_text()
    fields = dict(re.findall(r"^(\w+):\s+(\d+) kB", text, re.M))
    if int(fields["MemAvailable"]) * 2 < int(fields["MemTotal"]):
        raise MemoryBoundError("under half of the machine's memory is free")


def limit_processes(count: int) -> int:
    """Return the count, or what the machine allows of it."""
    allowed = os.environ.get("JUJUBEPASS_BENCH_PROCESSES", "40")
    return min(count, int(allowed))


@attrs.frozen(kw_only=True)
class Connection:
    """Hold the bytes that one end of a connection has carried."""

    local_port: int
    remote_port: int
    sent_bytes: int
    received_bytes: int


def read_connections() -> dict[int, list[Connection]]:
    """List TCP connections by process id with their bytes, TCP's headers left out."""
    command = ["ss", "--tcp", "--info", "--processes", "--no-header", "--numeric"]
    text = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    connections: dict[int, list[Connection]] = {}
    lines = iter(text.splitlines())
    for line in lines:
        info = next(lines, "")
        fields = line.split()
        for pid in re.findall(r"pid=(\d+)", line):
            connection = Connection(
                local_port=_read_port(fields[3]),
                remote_port=_read_port(fields[4]),
                sent_bytes=_find_count("bytes_sent", info),
                received_bytes=_find_count("bytes_received", info),
            )
            connections.setdefault(int(pid), []).append(connection)
    return connections


def _read_port(address: str) -> int:
    port = address.rpartition(":")[2]
    return int(port) if port.isdigit() else 0


def _find_count(name: str, info: str) -> int:
    match = re.search(rf"\b{name}:(\d+)", info)
    return int(match[1]) if match else 0
