"""The whole path on loopback: platform, engines, services, nodes, three requests."""

import hashlib
import logging
import pathlib
import signal
import types
import typing

import attrs
import cappa

from jujubepass import _http_client
from standins import processes

MODEL = "stairs-32"
ACCOUNT = "ferreira-desk"
CALLER_KEY = "demo-key"

_FIRST_PORT = 8_100
_REGION = "montevideo"
_FAILURE_DOMAINS = ("a", "b", "c")
_PEER_KEY = "demo-peer-key-of-all-nodes"
_OPERATOR_KEY = "demo-operator-key"
_ENGINES = (
    ("engine-1", 0, 16, "a100"),
    ("engine-2", 0, 16, "l4"),
    ("engine-3", 16, 32, "a100"),
    ("engine-4", 16, 32, "l4"),
)
_SERVICES = (("bookings", True, True), ("records", False, False))
_SHOWN_HEADERS = ("x-jujubepass-node", "x-jujubepass-backend")


@attrs.frozen(kw_only=True)
class NodePorts:
    """Hold the ports of one node's listeners."""

    callers: int
    operators: int
    peers: int


class Demo:
    """Start every process and hold its ports."""

    def __init__(self, *, trial: processes.Processes, first_port: int) -> None:
        self._trial = trial
        self._ports = processes.Ports(first=first_port)
        self.platform = 0
        self.engines: dict[str, int] = {}
        self.services: dict[str, int] = {}
        self.nodes: dict[str, NodePorts] = {}

    def start_platform(self) -> None:
        """Start the platform."""
        self.platform = self._ports.take()
        arguments = ["--port", str(self.platform)]
        self._trial.start(
            "platform", "standins.platform", *arguments, port=self.platform
        )

    def start_engines(self) -> None:
        """Start one process an engine and register their VMs."""
        peers = [f"--peer={name}:{kind}" for name, _, _, kind in _ENGINES]
        for index, (name, first, end, kind) in enumerate(_ENGINES):
            port = self._ports.take()
            self.engines[name] = port
            spec = f"--engine={name}:{port}:{first}:{end}:{kind}"
            arguments = [spec, f"--model={MODEL}", "--checks-fencing", *peers]
            self._trial.start(
                name, "standins.engine", *arguments, port=port, path="/load"
            )
            processes.register_vm(
                self.platform,
                name,
                "engine",
                port,
                region=_REGION,
                failure_domain=_FAILURE_DOMAINS[index % len(_FAILURE_DOMAINS)],
                accelerator=kind,
                checks_fencing=True,
            )

    def start_services(self) -> None:
        """Start the plain services and register their VMs."""
        for index, (name, checks, answers) in enumerate(_SERVICES):
            port = self._ports.take()
            self.services[name] = port
            arguments = [f"--name={name}", f"--port={port}"]
            arguments += ["--checks-fencing"] * checks
            arguments += ["--answers-outcomes"] * answers
            self._trial.start(name, "standins.service", *arguments, port=port)
            processes.register_vm(
                self.platform,
                f"{name}-1",
                "service",
                port,
                region=_REGION,
                failure_domain=_FAILURE_DOMAINS[index],
                service=name,
                checks_fencing=checks,
                answers_outcomes=answers,
            )

    def start_nodes(self) -> None:
        """Start one router node a failure domain and register their VMs."""
        for failure_domain in _FAILURE_DOMAINS:
            name = f"node-{failure_domain}"
            ports = NodePorts(
                callers=self._ports.take(),
                operators=self._ports.take(),
                peers=self._ports.take(),
            )
            self.nodes[name] = ports
            processes.register_vm(
                self.platform,
                name,
                "node",
                ports.peers,
                region=_REGION,
                failure_domain=failure_domain,
            )
            file = self._trial.folder / f"{name}.ini"
            write_node_settings(file, name, failure_domain, ports, self.platform)
            arguments = ["serve", "--settings", str(file)]
            self._trial.start(
                name, "jujubepass", *arguments, port=ports.operators, path="/readyz"
            )

    def print_addresses(self) -> None:
        """Print where everything listens."""
        rows = {"platform": self.platform, **self.engines, **self.services}
        for name, ports in self.nodes.items():
            for listener, port in attrs.asdict(ports).items():
                rows[f"{name} {listener}"] = port
        for name, port in rows.items():
            print(f"{name:<20} {processes.HOST}:{port}")

    def send_requests(self) -> None:
        """Send a prompt, a booking and a lookup through a node."""
        port = next(iter(self.nodes.values())).callers
        prompt = "Stairlift stops halfway with a red light. What should I check?"
        completion = {"model": MODEL, "prompt": prompt, "max_tokens": 16}
        booking = {"address": "Rambla 12", "day": "2030-05-02"}
        key = {"idempotency-key": "demo-visit-1"}
        _send("prompt", port, "POST", "/v1/completions", {**completion, "stream": True})
        _send("booking", port, "POST", "/services/bookings/visits", booking, key)
        _send("lookup", port, "GET", "/services/records/lifts/17")


def write_node_settings(
    file: pathlib.Path,
    name: str,
    failure_domain: str,
    ports: NodePorts,
    platform_port: int,
) -> None:
    """Write the INI file of one node."""
    platform = f"{processes.HOST}:{platform_port}"
    key_hash = hashlib.sha256(_OPERATOR_KEY.encode()).hexdigest()
    lines = [
        "[node]",
        f"name = {name}",
        f"region = {_REGION}",
        f"failure_domain = {failure_domain}",
        "[listen]",
        f"callers = {processes.HOST}:{ports.callers}",
        f"operators = {processes.HOST}:{ports.operators}",
        f"peers = {processes.HOST}:{ports.peers}",
        "[platform]",
        f"table = {platform}",
        f"objects = {platform}",
        f"vms = {platform}",
        "[security]",
        f"peer_key = {_PEER_KEY}",
        f"operator_key_hash = {key_hash}",
    ]
    file.write_text("\n".join(lines) + "\n")


def _send(
    what: str,
    port: int,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
) -> None:
    fields = {"authorization": f"Bearer {CALLER_KEY}", **(headers or {})}
    fields["content-type"] = "application/json"
    try:
        answer = processes.call(method, port, path, body, headers=fields)
    except _http_client.ClientError as error:
        print(f"{what}: no answer: {error}")
        return
    print(f"{what}: {answer.status} {answer.body.decode()}")
    for name in _SHOWN_HEADERS:
        print(f"  {name}: {answer.headers.get(name, '-')}")


@cappa.command(name="demo")
@attrs.define(kw_only=True)
class Arguments:
    """Run the whole path on loopback until interrupted."""

    first_port: typing.Annotated[int, cappa.Arg(long=True)] = _FIRST_PORT
    without_nodes: typing.Annotated[bool, cappa.Arg(long=True)] = False
    once: typing.Annotated[bool, cappa.Arg(long=True)] = False


def _interrupt(number: int, frame: types.FrameType | None) -> None:
    raise KeyboardInterrupt


def main() -> None:
    """Start everything, send the requests and wait for an interrupt."""
    arguments = cappa.parse(Arguments, completion=False)
    logging.basicConfig(level=logging.INFO)
    signal.signal(signal.SIGTERM, _interrupt)
    with processes.Processes() as trial:
        demo = Demo(trial=trial, first_port=arguments.first_port)
        try:
            demo.start_platform()
            demo.start_engines()
            demo.start_services()
            if not arguments.without_nodes:
                demo.start_nodes()
                demo.send_requests()
            demo.print_addresses()
            if not arguments.once:
                print("Up until interrupted (Ctrl-C).", flush=True)
                signal.pause()
        except KeyboardInterrupt:
            print("Stopping.")


if __name__ == "__main__":
    main()
