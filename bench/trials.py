"""Systems under test: a platform, a fleet of stand-in engines and nodes."""

import collections
import collections.abc
import contextlib
import time

import attrs

from bench import usage
from jujubepass.transport import _http_client
from standins import fleet, processes, system

_PORTS_PER_SYSTEM = 200
_READY_TIMEOUT_SECONDS = 30.0
_OK = 200
_ACCOUNTS_PER_CHUNK = 500
_PLATFORM = "platform"
_PEERS = "peers"
_ENGINES = "engines"
SIDES = (_PLATFORM, _PEERS, _ENGINES)


@attrs.frozen(kw_only=True)
class Shape:
    """Describe the size of a system under test."""

    nodes: int = 1
    engines: int = 4
    token_seconds: float = 0.03


@contextlib.contextmanager
def start_system(
    shape: Shape, first_port: int, settings: system.Overrides | None = None
) -> collections.abc.Iterator[system.System]:
    """Start a system and stop all its processes on exit."""
    usage.check_memory()
    with system.System(first_port=first_port, settings=settings) as started:
        started.ports = processes.Ports(first=first_port, count=_PORTS_PER_SYSTEM)
        started.start_platform()
        start_fleet(started, shape, first_port + _PORTS_PER_SYSTEM)
        started.start_nodes(shape.nodes, wait=False)
        wait_until_live(started)
        started.wait_for_number(started.apply(system.declare_basics()))
        yield started


def start_fleet(started: system.System, shape: Shape, first_port: int) -> None:
    """Start the engines and list their VMs in one call."""
    started.processes.start(
        "fleet",
        "standins.fleet",
        f"--count={shape.engines}",
        f"--first-port={first_port}",
        f"--token-seconds={shape.token_seconds}",
        port=first_port,
    )
    members = fleet.list_members(shape.engines, first_port)
    vms = [fleet.describe_vm(member) for member in members]
    processes.call("PUT", started.platform, "/vms", {"vms": vms})


def wait_until_live(started: system.System) -> None:
    """Wait until every node answers its health check."""
    for name, ports in started.nodes.items():
        processes.wait_for(
            lambda ports=ports: processes.returns_ok(ports.operators, "/healthz"),
            f"{name} answering",
            _READY_TIMEOUT_SECONDS,
        )


def wait_for_engines(started: system.System) -> None:
    """Wait until each node can route a prompt.

    The error of a time-out contains the last answer.
    """
    for name in started.nodes:
        answers: list[_http_client.Answer] = []

        def _is_routed(
            name: str = name, answers: list[_http_client.Answer] = answers
        ) -> bool:
            answers[:] = [started.send_model_request(name, "hello", max_tokens=1)]
            return answers[0].status == _OK

        try:
            processes.wait_for(_is_routed, f"a route at {name}", _READY_TIMEOUT_SECONDS)
        except processes.TrialError as error:
            raise processes.TrialError(f"{error}; answered {answers}") from error


@attrs.frozen(kw_only=True)
class NodeUsage:
    """Describe a node's resource use over an interval, without the scrapes."""

    core_share: float
    resident_bytes: int
    rates: dict[str, float]
    sent: dict[str, float]
    received: dict[str, float]


@attrs.frozen(kw_only=True)
class Traffic:
    """Count the bytes that a node's connections have carried, by remote side."""

    sent: collections.Counter[str] = attrs.field(factory=collections.Counter)
    received: collections.Counter[str] = attrs.field(factory=collections.Counter)

    @classmethod
    def read(cls, started: system.System) -> dict[str, "Traffic"]:
        """Read every node's control traffic, without callers and operators."""
        connections = usage.read_connections()
        sides = {started.platform: _PLATFORM}
        sides |= {node.peers: _PEERS for node in started.nodes.values()}
        ignored = {
            port
            for node in started.nodes.values()
            for port in (node.callers, node.operators)
        }
        found = {}
        for name in started.nodes:
            found[name] = cls()
            for each in connections.get(started.processes.get_pid(name), ()):
                if each.local_port in ignored:
                    continue
                side = sides.get(each.local_port) or sides.get(each.remote_port)
                found[name].sent[side or _ENGINES] += each.sent_bytes
                found[name].received[side or _ENGINES] += each.received_bytes
        return found


def _compute_rates(
    after: collections.Counter[str], before: collections.Counter[str], elapsed: float
) -> dict[str, float]:
    return {side: (after[side] - before[side]) / elapsed for side in SIDES}


def measure_nodes(
    started: system.System,
    seconds: float,
    during: collections.abc.Callable[[], object] | None = None,
) -> dict[str, NodeUsage]:
    """Measure every node over a number of seconds while `during` runs."""
    pids = {name: started.processes.get_pid(name) for name in started.nodes}
    ports = {name: node.operators for name, node in started.nodes.items()}
    metrics = {name: usage.read_metrics(ports[name]) for name in pids}
    traffic = Traffic.read(started)
    began = {name: usage.read_usage(pid) for name, pid in pids.items()}
    if during is not None:
        during()
    rest = min(each.at for each in began.values()) + seconds - time.monotonic()
    time.sleep(max(0.0, rest))
    ended = {name: usage.read_usage(pid) for name, pid in pids.items()}
    traffic_after = Traffic.read(started)
    usages = {}
    for name in pids:
        after = usage.read_metrics(ports[name])
        elapsed = ended[name].at - began[name].at
        spent = ended[name].processor_seconds - began[name].processor_seconds
        usages[name] = NodeUsage(
            core_share=spent / elapsed,
            resident_bytes=ended[name].resident_bytes,
            rates={
                key: (value - metrics[name].get(key, 0.0)) / elapsed
                for key, value in after.items()
                if value != metrics[name].get(key, 0.0)
            },
            sent=_compute_rates(traffic_after[name].sent, traffic[name].sent, elapsed),
            received=_compute_rates(
                traffic_after[name].received, traffic[name].received, elapsed
            ),
        )
    return usages


def make_key(index: int) -> str:
    """Return the key of an account that `declare_accounts` declares."""
    return f"bench-key-{index}"


def declare_accounts(started: system.System, count: int, number: int) -> int:
    """Apply client accounts in chunks and return the last configuration number."""
    for first in range(0, count, _ACCOUNTS_PER_CHUNK):
        last = min(count, first + _ACCOUNTS_PER_CHUNK)
        sections = {
            f"account bench-{index}": system.declare_account(make_key(index))
            for index in range(first, last)
        }
        number = started.apply(sections, base=number)
        started.wait_for_number(number)
    return number
