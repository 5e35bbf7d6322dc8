"""Complete system on loopback: platform, backend servers and nodes."""

import collections.abc
import hashlib
import json
import typing

import attrs

from jujubepass.transport import _http_client
from standins import processes

MODEL = "stairs-32"
LAYERS = 32
REGION = "montevideo"
FAILURE_DOMAINS = ("a", "b", "c")
PEER_KEY = "demo-peer-key-of-all-nodes"
OPERATOR_KEY = "demo-operator-key"
ACCOUNT = "ferreira-desk"
CALLER_KEY = "demo-key"

Overrides = collections.abc.Mapping[str, collections.abc.Mapping[str, object]]
Sections = collections.abc.Mapping[str, collections.abc.Mapping[str, object]]


@attrs.frozen(kw_only=True)
class EngineSpec:
    """Describe one engine of a system."""

    name: str
    first_layer: int
    end_layer: int
    accelerator: str


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """Describe one backend server of a plain service."""

    name: str
    service: str
    checks_fencing: bool = True
    answers_outcomes: bool = True


@attrs.frozen(kw_only=True)
class NodePorts:
    """List the ports of one node's listeners."""

    callers: int
    operators: int
    peers: int


ENGINES = (
    EngineSpec(name="engine-1", first_layer=0, end_layer=16, accelerator="a100"),
    EngineSpec(name="engine-2", first_layer=0, end_layer=16, accelerator="l4"),
    EngineSpec(name="engine-3", first_layer=16, end_layer=32, accelerator="a100"),
    EngineSpec(name="engine-4", first_layer=16, end_layer=32, accelerator="l4"),
)
SERVICES = (
    ServiceSpec(name="bookings-1", service="bookings"),
    ServiceSpec(
        name="records-1",
        service="records",
        checks_fencing=False,
        answers_outcomes=False,
    ),
)


def hash_key(key: str) -> str:
    """Return the hash of a key as stored in settings and declarations."""
    return hashlib.sha256(key.encode()).hexdigest()


def declare_account(key: str, **parameters: object) -> dict[str, object]:
    """Return the section that declares an account."""
    return {"key_hash": hash_key(key), **parameters}


def declare_basics() -> dict[str, dict[str, object]]:
    """Return the basic declarations: the model, the services and one account."""
    return {
        f"model {MODEL}": {"layers": LAYERS},
        "service bookings": {},
        "service records": {},
        f"account {ACCOUNT}": declare_account(CALLER_KEY),
    }


class System:
    """Manage a system whose parts each run in a separate process."""

    def __init__(
        self,
        *,
        first_port: int,
        settings: Overrides | None = None,
        node_module: str = "jujubepass",
    ) -> None:
        self.processes = processes.Processes()
        self.ports = processes.Ports(first=first_port)
        self.settings = settings or {}
        self.node_module = node_module
        self.platform = 0
        self.engines: dict[str, int] = {}
        self.services: dict[str, int] = {}
        self.nodes: dict[str, NodePorts] = {}

    def __enter__(self) -> "System":
        return self

    def __exit__(self, *error: object) -> None:
        self.processes.close()

    def start_platform(self) -> None:
        """Start the platform."""
        self.platform = self.ports.allocate()
        self.processes.start(
            "platform",
            "standins.platform",
            "--port",
            str(self.platform),
            port=self.platform,
        )

    def start_engines(
        self, specs: collections.abc.Iterable[EngineSpec] = ENGINES, *options: str
    ) -> None:
        """Start one process per engine and register their VMs."""
        specs = list(specs)
        peers = [f"--peer={spec.name}:{spec.accelerator}" for spec in specs]
        for index, spec in enumerate(specs):
            domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
            self.start_engine(spec, domain, *peers, *options)

    def start_engine(
        self, spec: EngineSpec, failure_domain: str, *options: str
    ) -> None:
        """Start an engine and register its VM."""
        port = self.engines.setdefault(spec.name, 0) or self.ports.allocate()
        self.engines[spec.name] = port
        layers = f"{spec.first_layer}:{spec.end_layer}"
        engine = f"--engine={spec.name}:{port}:{layers}:{spec.accelerator}"
        arguments = [engine, f"--model={MODEL}", *options]
        self.processes.start(
            spec.name, "standins.engine", *arguments, port=port, path="/load"
        )
        self.register_vm(
            spec.name,
            "engine",
            port,
            failure_domain=failure_domain,
            accelerator=spec.accelerator,
            checks_fencing="--checks-fencing" in options,
        )

    def start_services(
        self, specs: collections.abc.Iterable[ServiceSpec] = SERVICES, *options: str
    ) -> None:
        """Start one process per backend server of a service and register their VMs."""
        for index, spec in enumerate(specs):
            port = self.ports.allocate()
            self.services[spec.name] = port
            arguments = [f"--name={spec.service}", f"--port={port}", *options]
            arguments += ["--checks-fencing"] * spec.checks_fencing
            arguments += ["--answers-outcomes"] * spec.answers_outcomes
            self.processes.start(spec.name, "standins.service", *arguments, port=port)
            self.register_vm(
                spec.name,
                "service",
                port,
                failure_domain=FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
                service=spec.service,
                checks_fencing=spec.checks_fencing,
                answers_outcomes=spec.answers_outcomes,
            )

    def start_nodes(self, count: int = 3, *, wait: bool = True) -> None:
        """Start nodes, spread round-robin over the failure domains."""
        for index in range(count):
            self.start_node(f"node-{index + 1}", wait=wait)

    def start_node(self, name: str, *, wait: bool = True) -> None:
        """Start a node, or restart it on the same ports, and register its VM."""
        ports = self.nodes.get(name)
        if ports is None:
            ports = NodePorts(
                callers=self.ports.allocate(),
                operators=self.ports.allocate(),
                peers=self.ports.allocate(),
            )
            self.nodes[name] = ports
        domain = FAILURE_DOMAINS[(len(self.nodes) - 1) % len(FAILURE_DOMAINS)]
        self.register_vm(name, "node", ports.peers, failure_domain=domain)
        file = self.processes.folder / f"{name}.ini"
        file.write_text(self.write_settings(name, domain, ports))
        path = "/readyz" if wait else None
        port = ports.operators if wait else None
        self.processes.start(
            name, self.node_module, "serve", str(file), port=port, path=path
        )

    def register_vm(
        self, name: str, role: str, port: int, **fields: typing.Any
    ) -> None:
        """Register a VM in the platform's VM list."""
        processes.register_vm(self.platform, name, role, port, region=REGION, **fields)

    def write_settings(self, name: str, domain: str, ports: NodePorts) -> str:
        """Return a node's settings as INI text."""
        host = processes.HOST
        sections: dict[str, dict[str, object]] = {
            "node": {"name": name, "region": REGION, "failure_domain": domain},
            "listen": {
                "callers": f"{host}:{ports.callers}",
                "operators": f"{host}:{ports.operators}",
                "peers": f"{host}:{ports.peers}",
            },
            "platform": dict.fromkeys(
                ("table", "objects", "vms"), f"{host}:{self.platform}"
            ),
            "security": {
                "peer_key": PEER_KEY,
                "operator_key_hash": hash_key(OPERATOR_KEY),
            },
        }
        for section, values in self.settings.items():
            sections.setdefault(section, {}).update(values)
        return write_ini(sections)

    def apply(self, sections: Sections, node: str | None = None, base: int = 0) -> int:
        """Propose a change to a node; return the number of the new configuration."""
        port = self.nodes[node or next(iter(self.nodes))].operators
        change = {
            "change_id": hash_key(json.dumps([base, sections]))[:16],
            "base": base,
            "author": "trial",
            "sections": {
                title: {key: str(value) for key, value in section.items()}
                for title, section in sections.items()
            },
        }
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        answer = processes.call(
            "POST", port, "/operator/changes", change, headers=headers
        )
        if answer.status != 200:
            raise processes.TrialError(
                f"configuration change rejected: {answer.body!r}"
            )
        return int(answer.read_json()["number"])

    def read_status(self, node: str) -> typing.Any:
        """Return a node's status as shown to operators."""
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        port = self.nodes[node].operators
        answer = processes.call("GET", port, "/operator/status", headers=headers)
        return answer.read_json()

    def wait_for_number(self, number: int) -> None:
        """Wait until each node has at least this configuration number in force."""
        for node in self.nodes:
            processes.wait_for(
                lambda node=node: (
                    self.read_status(node)["nodes"][0]["configuration_number"] >= number
                ),
                f"configuration {number} on {node}",
            )

    def start_all(self, nodes: int = 3) -> None:
        """Start a complete system and put the basic declarations in force."""
        self.start_platform()
        self.start_engines()
        self.start_services()
        self.start_nodes(nodes)
        self.wait_for_number(self.apply(declare_basics()))

    def send_model_request(
        self,
        node: str,
        prompt: str,
        *,
        max_tokens: int = 16,
        key: str = CALLER_KEY,
        timeout_seconds: float = 30.0,
        **fields: object,
    ) -> _http_client.Answer:
        """Send a model request and return the whole response."""
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, **fields}
        headers = {
            "authorization": f"Bearer {key}",
            "request-timeout": f"{timeout_seconds:g}",
        }
        port = self.nodes[node].callers
        return processes.call(
            "POST",
            port,
            "/v1/completions",
            body,
            headers=headers,
            timeout_seconds=timeout_seconds + 5.0,
        )

    def send_call(
        self,
        node: str,
        idempotency_key: str,
        body: object,
        *,
        service: str = "bookings",
        key: str = CALLER_KEY,
        timeout_seconds: float = 10.0,
    ) -> _http_client.Answer:
        """Send a call that may not be repeated."""
        headers = {
            "authorization": f"Bearer {key}",
            "idempotency-key": idempotency_key,
            "request-timeout": f"{timeout_seconds:g}",
        }
        port = self.nodes[node].callers
        path = f"/services/{service}/visits"
        return processes.call("POST", port, path, body, headers=headers)

    def send_lookup(
        self, node: str, path: str = "/services/records/lifts/17"
    ) -> _http_client.Answer:
        """Send a lookup."""
        headers = {"authorization": f"Bearer {CALLER_KEY}"}
        return processes.call("GET", self.nodes[node].callers, path, headers=headers)


def write_ini(sections: Sections) -> str:
    """Return sections as INI text."""
    lines = []
    for title, section in sections.items():
        lines.append(f"[{title}]")
        lines += [f"{key} = {value}" for key, value in section.items()]
        lines.append("")
    return "\n".join(lines)
