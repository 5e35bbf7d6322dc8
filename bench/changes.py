"""Time until an accepted change is in force on every node, by push or by poll."""

import random
import time
import typing

from bench import experiments, results, trials, usage
from jujubepass.configuration import _configuration_codec, _configuration_messages
from jujubepass.transport import _http_client, _peer_codec
from standins import processes, system

_POLL_SECONDS = 2.0
_STATUS_INTERVAL_SECONDS = 0.1
_SETTLE_SECONDS = 3.0
_PORT_COUNT = 200


class UnconnectedSystem(system.System):
    """Give each node a different peer key, so that its peers reject its pushes."""

    def write_settings(self, name: str, domain: str, ports: system.NodePorts) -> str:
        """Write a node's INI settings."""
        text = super().write_settings(name, domain, ports)
        return text.replace(system.PEER_KEY, f"{system.PEER_KEY}-{name}")


PATHS: dict[str, type[system.System]] = {
    "push": system.System,
    "poll": UnconnectedSystem,
}


def run(options: experiments.Options) -> results.Result:
    """Apply changes at random times and measure when each node installed them."""
    counts = options.choose((3, 9, 24), (3,))
    changes = options.choose(20, 2)
    result = results.Result(
        name="changes",
        seed=options.seed,
        parameters={
            "changes": changes,
            "poll_seconds": _POLL_SECONDS,
            "push_bytes": measure_push(),
        },
        plot=results.Plot(x="nodes", y="everywhere_p50_seconds", series="path"),
    )
    for path, system_type in PATHS.items():
        for count in counts:
            usage.check_memory()
            row = _measure(options, system_type, count, changes)
            result.add(path=path, nodes=count, **row)
    slowest = {path: _find_slowest(result, path) for path in PATHS}
    result.summary.update(
        {f"slowest_everywhere_seconds_by_{k}": v for k, v in slowest.items()}
    )
    return result


def _find_slowest(result: results.Result, path: str) -> float:
    rows = [row for row in result.rows if row["path"] == path]
    return max(row["everywhere_max_seconds"] for row in rows)


def _measure(
    options: experiments.Options,
    system_type: type[system.System],
    count: int,
    changes: int,
) -> dict[str, typing.Any]:
    random_source = random.Random(options.seed)
    with system_type(first_port=options.first_port) as started:
        started.ports = processes.Ports(first=options.first_port, count=_PORT_COUNT)
        started.start_platform()
        started.start_nodes(count, wait=False)
        trials.wait_until_live(started)
        number = started.apply(system.declare_basics())
        started.wait_for_number(number)
        time.sleep(_SETTLE_SECONDS)
        apply_seconds, seconds = [], []
        for index in range(changes):
            time.sleep(random_source.uniform(0.0, _POLL_SECONDS))
            node = random_source.choice(list(started.nodes))
            began = time.monotonic()
            number = _apply(started, node, index, number)
            accepted = time.monotonic()
            apply_seconds.append(accepted - began)
            seconds.append(max(_list_delays(started, number, accepted)))
    return {
        "apply_p50_seconds": _find_quantile(apply_seconds, 0.5),
        "everywhere_p50_seconds": _find_quantile(seconds, 0.5),
        "everywhere_p90_seconds": _find_quantile(seconds, 0.9),
        "everywhere_max_seconds": max(seconds),
    }


def _apply(started: system.System, node: str, index: int, base: int) -> int:
    section = system.declare_account(f"key-{index}", concurrency=1 + index)
    return started.apply({"account bench": section}, node, base)


def _list_delays(started: system.System, number: int, accepted: float) -> list[float]:
    """Return each node's delay from `accepted` to the number in force, at least 0."""
    delays = []
    for name in started.nodes:
        while True:
            try:
                node = started.read_status(name)["nodes"][0]
            except _http_client.ClientError:
                node = {"configuration_number": 0}
            if node["configuration_number"] >= number:
                break
            time.sleep(_STATUS_INTERVAL_SECONDS)
        installed = time.monotonic() - node["configuration_age_seconds"]
        delays.append(max(0.0, installed - accepted))
    return delays


def _find_quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure_push() -> int:
    """Return the size in bytes of the message that pushes one account's change."""
    section = {"template": "counter", "key_hash": "0" * 64, "rate": "40"}
    entry = _configuration_messages.Entry(
        number=25_000,
        digest="0" * 32,
        change="0123456789abcdef",
        author="ana",
        delta={"account customer-01234": section},
    )
    segment = _configuration_messages.Segment(
        first=("region-1", "domain-10", "node-001"),
        last=("region-1", "domain-10", "node-021"),
    )
    address = _http_client.Address(host="10.0.0.1", port=8082)
    command = _configuration_messages.PushChanges(
        peer="node-001", address=address, entries=(entry,), segment=segment
    )
    message = _configuration_codec.make_message(command, "node-002", address)
    return len(_peer_codec.encode_struct(message))
