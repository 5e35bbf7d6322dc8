"""Processor time, memory and network traffic of processes under test."""

import os
import pathlib
import re
import subprocess
import time
import typing

import attrs
import numpy

from standins import processes

_NANOSECONDS_PER_SECOND = 1_000_000_000
MEBIBYTE = 1_048_576

_KIBIBYTE = 1_024
_SAMPLE = re.compile(r"^(?P<name>\w+)(?:\{(?P<labels>[^}]*)\})? (?P<value>\S+)$", re.M)

Samples = dict[str, float]


class MemoryBoundError(Exception):
    """Raised when too little memory is available to continue."""


@attrs.frozen(kw_only=True)
class Usage:
    """Describe the resources that one process has used up to a time."""

    at: float
    processor_seconds: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Read a process's usage, summed over its threads."""
    run_nanoseconds = 0
    for thread in pathlib.Path(f"/proc/{pid}/task").iterdir():
        run_nanoseconds += int((thread / "schedstat").read_text().split()[0])
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    resident = re.search(r"VmRSS:\s+(\d+) kB", status)
    return Usage(
        at=time.monotonic(),
        processor_seconds=run_nanoseconds / _NANOSECONDS_PER_SECOND,
        resident_bytes=int(resident[1]) * _KIBIBYTE if resident else 0,
    )


def read_metrics(operators_port: int) -> Samples:
    """Read a node's metrics, keyed by name and labels."""
    answer = processes.call("GET", operators_port, "/metrics")
    return {
        match["name"] + (f"{{{match['labels']}}}" if match["labels"] else ""): float(
            match["value"]
        )
        for match in _SAMPLE.finditer(answer.body.decode())
    }


@attrs.frozen(kw_only=True)
class Spread:
    """Summarize measurements by their median, minimum and maximum."""

    median: float
    minimum: float
    maximum: float

    @classmethod
    def of(cls, values: typing.Iterable[float]) -> "Spread":
        """Return the spread of values."""
        ordered = sorted(values)
        return cls(
            median=float(numpy.median(ordered)),
            minimum=ordered[0],
            maximum=ordered[-1],
        )


def fit_line(xs: typing.Sequence[float], ys: typing.Sequence[float]) -> Samples:
    """Fit y = start + slope * x by least squares."""
    slope, start = numpy.polyfit(xs, ys, 1)
    return {"slope": float(slope), "start": float(start)}


def check_memory() -> None:
    """Raise MemoryBoundError if less than half of the memory is available."""
    text = pathlib.Path("/proc/meminfo").read_text()
    fields = dict(re.findall(r"^(\w+):\s+(\d+) kB", text, re.M))
    if int(fields["MemAvailable"]) * 2 < int(fields["MemTotal"]):
        raise MemoryBoundError("less than half of the memory is available")


def limit_processes(count: int) -> int:
    """Return the count, limited by JUJUBEPASS_BENCH_PROCESSES."""
    allowed = os.environ.get("JUJUBEPASS_BENCH_PROCESSES", "40")
    return min(count, int(allowed))


@attrs.frozen(kw_only=True)
class Connection:
    """Describe one end of a TCP connection and the bytes that it has carried."""

    local_port: int
    remote_port: int
    sent_bytes: int
    received_bytes: int


def read_connections() -> dict[int, list[Connection]]:
    """List TCP connections by process id, with bytes that exclude TCP headers."""
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
