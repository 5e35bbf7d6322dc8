"""Settings of one node, read from an INI file."""

import enum
import os
import pathlib
import re

import attrs
import returns.result

from jujubepass import _ini, ids
from jujubepass.transport import _http_client

_PEER_KEY_PATTERN = re.compile(r"\S{16,256}")
_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
_MEBIBYTE = 1_048_576
_MAX_MEMORY_EVENTS = 1_000_000


class TraceRecord(enum.Enum):
    """Enumerate where events are recorded."""

    OFF = "off"
    MEMORY = "memory"


class LogLevel(enum.Enum):
    """Enumerate the minimum severities of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.Enum):
    """Enumerate the formats of log lines."""

    JSON = "json"
    PLAIN = "plain"


@attrs.frozen(kw_only=True)
class Node:
    """Name this node and its place."""

    name: ids.NodeId = _ini.name_key("unique name of this node")
    region: ids.RegionId = _ini.name_key("region that the VM stands in")
    failure_domain: ids.FailureDomainId = _ini.name_key("failure domain of the VM")


@attrs.frozen(kw_only=True)
class Listen:
    """Hold the addresses this node listens on, and what callers may send."""

    callers: _http_client.Address = _ini.key(meaning="listener for callers")
    operators: _http_client.Address = _ini.key(
        meaning="listener for operators, /metrics, /healthz and /readyz"
    )
    peers: _http_client.Address = _ini.key(meaning="listener for other nodes")
    header_bytes: int = _ini.key(
        default=16_384,
        meaning="largest request line and headers of a caller",
        unit="bytes",
        minimum=1_024,
        maximum=_MEBIBYTE,
    )
    body_bytes: int = _ini.key(
        default=_MEBIBYTE,
        meaning="largest body of a caller's request",
        unit="bytes",
        minimum=1_024,
        maximum=64 * _MEBIBYTE,
    )
    connections: int = _ini.key(
        default=2_000,
        meaning="connections of callers open at once",
        unit="connections",
        minimum=1,
        maximum=100_000,
    )
    receive_timeout_seconds: float = _ini.seconds_key(
        10.0, "time a caller has to send one request", minimum=0.1, maximum=600.0
    )


@attrs.frozen(kw_only=True)
class Platform:
    """Hold the addresses of the platform's services."""

    table: _http_client.Address = _ini.key(meaning="transactional table service")
    objects: _http_client.Address = _ini.key(meaning="object store")
    vms: _http_client.Address = _ini.key(meaning="list of VMs")
    table_timeout_seconds: float = _ini.seconds_key(
        2.0, "time the table service has to answer", minimum=0.01, maximum=60.0
    )


@attrs.frozen(kw_only=True)
class Security:
    """Hold what peers and operators authenticate with."""

    peer_key: str = _ini.key(
        meaning="secret that all nodes share",
        pattern=_PEER_KEY_PATTERN,
        pattern_meaning="16 to 256 characters without spaces",
        secret=True,
    )
    operator_key_hash: str = _ini.key(
        meaning="SHA-256 of the operators' key, in hex",
        pattern=_SHA256_PATTERN,
        pattern_meaning="64 hexadecimal digits in lower case",
        secret=True,
    )


@attrs.frozen(kw_only=True)
class Timing:
    """Hold the periods and bounds of the node's clocks."""

    tick_seconds: float = _ini.seconds_key(
        0.02, "period of the controllers' timer", minimum=0.001, maximum=1.0
    )
    load_poll_seconds: float = _ini.seconds_key(
        0.5, "period of reading engines' load reports", minimum=0.01, maximum=60.0
    )
    vm_poll_seconds: float = _ini.seconds_key(
        2.0, "period of reading the list of VMs", minimum=0.01, maximum=60.0
    )
    configuration_poll_seconds: float = _ini.seconds_key(
        2.0, "period of reading the configuration head", minimum=0.01, maximum=60.0
    )
    configuration_snapshot_changes: int = _ini.key(
        default=500,
        meaning="changes of the configuration from one snapshot to the next",
        unit="changes",
        minimum=1,
        maximum=100_000,
    )
    heartbeat_seconds: float = _ini.seconds_key(
        0.5, "period of heartbeats to peers", minimum=0.01, maximum=60.0
    )
    suspect_seconds: float = _ini.seconds_key(
        2.0, "silence that makes a peer suspect", minimum=0.02, maximum=300.0
    )
    dead_seconds: float = _ini.seconds_key(
        5.0, "silence that makes a peer dead", minimum=0.05, maximum=600.0
    )
    lease_seconds: float = _ini.seconds_key(
        10.0, "time a lease holds without renewal", minimum=0.1, maximum=600.0
    )
    lease_margin_seconds: float = _ini.seconds_key(
        2.0,
        "time before its end at which a holder stops using a lease",
        minimum=0.01,
        maximum=300.0,
    )
    pause_seconds: float = _ini.seconds_key(
        1.0,
        "time without any event after which the node gives up what it held",
        minimum=0.05,
        maximum=60.0,
    )
    drain_seconds: float = _ini.seconds_key(
        5.0,
        "time at shutdown in which the node is not ready but takes requests",
        minimum=0.0,
        maximum=300.0,
    )
    shutdown_seconds: float = _ini.seconds_key(
        30.0,
        "time running requests have at shutdown after the drain",
        minimum=0.0,
        maximum=3_600.0,
    )
    stall_seconds: float = _ini.seconds_key(
        0.5, "silence that makes a stage stalled", minimum=0.01, maximum=60.0
    )


@attrs.frozen(kw_only=True)
class Calls:
    """Choose how calls that may not be repeated are journalled."""

    largest_group: int = _ini.key(
        default=100,
        meaning="most calls whose rows are written in one transaction",
        unit="rows",
        minimum=1,
        maximum=100,
    )
    keep_seconds: float = _ini.seconds_key(
        86_400.0,
        "time a finished call's row and answer are kept",
        minimum=600.0,
        maximum=2_592_000.0,
    )


@attrs.frozen(kw_only=True)
class Limits:
    """Bound what this node carries at once; it refuses what goes beyond."""

    running_requests: int = _ini.key(
        default=2_000,
        meaning="requests in progress or waiting at this node",
        unit="requests",
        minimum=1,
        maximum=100_000,
    )
    queued_requests: int = _ini.key(
        default=2_000,
        meaning="model requests that wait at this node for a place at the engines",
        unit="requests",
        minimum=0,
        maximum=100_000,
    )
    held_bytes: int = _ini.key(
        default=100_000_000,
        meaning="estimated memory of the prompts and bodies held, 64 bytes a word",
        unit="bytes",
        minimum=_MEBIBYTE,
        maximum=4_096 * _MEBIBYTE,
    )


@attrs.frozen(kw_only=True)
class Trace:
    """Choose what is recorded for replay."""

    record: TraceRecord = _ini.key(
        default=TraceRecord.OFF, meaning="where events are recorded"
    )
    memory_events: int = _ini.key(
        default=10_000,
        meaning="latest events kept in memory",
        unit="events",
        minimum=1,
        maximum=_MAX_MEMORY_EVENTS,
    )


@attrs.frozen(kw_only=True)
class Log:
    """Choose how the node logs."""

    level: LogLevel = _ini.key(
        default=LogLevel.INFO, meaning="least severe level that is logged"
    )
    format: LogFormat = _ini.key(
        default=LogFormat.JSON, meaning="JSON lines or plain lines"
    )


@attrs.frozen(kw_only=True)
class Seeds:
    """Choose where random numbers come from."""

    random: int = _ini.key(
        default=0,
        meaning="seed of the decisions' random numbers; 0 takes one from the system",
        minimum=0,
        maximum=2**63 - 1,
    )


@attrs.frozen(kw_only=True)
class Settings:
    """Describe all settings of one node."""

    node: Node
    listen: Listen
    platform: Platform
    security: Security
    timing: Timing = attrs.field(factory=Timing)
    calls: Calls = attrs.field(factory=Calls)
    limits: Limits = attrs.field(factory=Limits)
    trace: Trace = attrs.field(factory=Trace)
    log: Log = attrs.field(factory=Log)
    seeds: Seeds = attrs.field(factory=Seeds)


@attrs.frozen(kw_only=True)
class SettingsError(Exception):
    """Signal an invalid settings file, with all its problems."""

    problems: tuple[_ini.Problem, ...]

    def __str__(self) -> str:
        return "\n".join(map(str, self.problems))


def read_settings(
    path: str | os.PathLike[str],
) -> returns.result.Result[Settings, SettingsError]:
    """Read a settings file; a failure contains all problems found."""
    try:
        text = pathlib.Path(path).read_bytes().decode("utf-8-sig")
    except OSError as error:
        return _make_failure(
            str(path), f"cannot be read ({error.strerror})", "a readable file"
        )
    except ValueError:
        return _make_failure(str(path), "is not UTF-8 text", "INI text in UTF-8")
    return parse_settings(str(path), text)


def parse_settings(
    file: str, text: str
) -> returns.result.Result[Settings, SettingsError]:
    """Parse settings from INI text; `file` is the file name in problems."""
    read, problems = _ini.structure_sections(Settings, file, text)
    if read["timing"] is not None:
        problems += _check_order(file, read["timing"])
    if problems:
        return returns.result.Failure(SettingsError(problems=tuple(problems)))
    return returns.result.Success(Settings(**read))


# Pairs of keys: the first must be less than the second.
_ORDERED_KEYS = (
    ("heartbeat_seconds", "suspect_seconds"),
    ("suspect_seconds", "dead_seconds"),
    ("lease_margin_seconds", "lease_seconds"),
    ("pause_seconds", "lease_seconds"),
)


def _check_order(file: str, timing: Timing) -> list[_ini.Problem]:
    return [
        _ini.Problem(
            file=file,
            section="timing",
            key=longer,
            value=f"{getattr(timing, longer):g}",
            what=f"is not over {shorter}",
            allowed=f"a number over {shorter} ({getattr(timing, shorter):g})",
        )
        for shorter, longer in _ORDERED_KEYS
        if getattr(timing, longer) <= getattr(timing, shorter)
    ]


def _make_failure(
    file: str, what: str, allowed: str
) -> returns.result.Result[Settings, SettingsError]:
    problem = _ini.Problem(file=file, what=what, allowed=allowed)
    return returns.result.Failure(SettingsError(problems=(problem,)))
