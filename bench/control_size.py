"""Cost of one node's controllers by the system's size, under an injected clock.

One node runs all its controllers; its peers only echo heartbeats, and its engines
are simulated by queues.
"""

import collections
import collections.abc
import functools
import json
import time
import typing

import attrs
import numpy

from bench import (
    experiments,
    load,
    policies,
    queue_engines,
    results,
    simulated_nodes,
    simulation,
)
from jujubepass import declarations, ids
from jujubepass.membership import _membership_messages, _vm_client
from jujubepass.nodes import _dispatch, _node_messages

_SETTLE_SECONDS = 10.0
_LAYERS = 32
_MODELS = tuple(ids.ModelId(name) for name in ("m", "m2", "m3", "m4"))
_FRAME_BYTES = 4
_MILLISECONDS_PER_SECOND = 1_000
_REGIONS = 9
_FAILURE_DOMAINS = 34


@attrs.frozen(kw_only=True)
class Size:
    """Describe the size of the system that the measured node belongs to."""

    nodes: int
    engines: int
    accounts: int
    requests_per_second: float = 24.3


_TARGET = Size(nodes=700, engines=12_000, accounts=7_900)
_SIZES = (
    Size(nodes=9, engines=80, accounts=20),
    Size(nodes=70, engines=1_200, accounts=790),
    Size(nodes=350, engines=6_000, accounts=3_950),
    _TARGET,
)
_TINY_SIZES = (Size(nodes=3, engines=8, accounts=4),)


@attrs.define(kw_only=True)
class HandlerUsage:
    """Count the processor time and the events of one controller."""

    seconds: float = 0.0
    max_seconds: float = 0.0
    slowest_event: str = ""
    events: int = 0


@attrs.define(kw_only=True)
class TimedController:
    """Measure the processor time of a controller's handlers."""

    controller: _dispatch.Controller
    usage: HandlerUsage = attrs.field(factory=HandlerUsage)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to its timed handler."""
        return {
            event_type: functools.partial(self._handle, handler)
            for event_type, handler in self.controller.list_handlers().items()
        }

    def _handle(
        self, handler: _dispatch.EventHandler, event: typing.Any, now: float
    ) -> list[_dispatch.Command]:
        began = time.thread_time()
        commands = list(handler(event, now))
        spent_seconds = time.thread_time() - began
        self.usage.seconds += spent_seconds
        self.usage.events += 1
        if spent_seconds > self.usage.max_seconds:
            self.usage.max_seconds = spent_seconds
            self.usage.slowest_event = type(event).__name__
        return commands


@attrs.frozen(kw_only=True)
class EchoPeer:
    """Answer each heartbeat with a heartbeat that reports the same state."""

    name: ids.NodeId
    node: simulated_nodes.SimulatedNode
    traffic: collections.Counter[str]

    def receive(self, seconds: float, event: typing.Any, size: int) -> None:
        """Count a message; answer a heartbeat."""
        self.traffic[type(event).__name__] += size + _FRAME_BYTES
        if isinstance(event, _membership_messages.HeartbeatReceived):
            heartbeat = attrs.evolve(
                event.heartbeat,
                node=self.name,
                incarnation=f"1-{self.name}",
                place=None,
                nodes=(),
            )
            answer = _membership_messages.HeartbeatReceived(heartbeat=heartbeat)
            self.node.receive(seconds, answer, size)


def run(options: experiments.Options) -> results.Result:
    """Measure systems of growing size, with requests of one token."""
    seconds = options.choose(30.0, 1.0)
    result = results.Result(
        name="control-size",
        seed=options.seed,
        parameters={"seconds": seconds, "settle_seconds": _SETTLE_SECONDS},
        plot=results.Plot(x="nodes", y="core_share", series="controller"),
    )
    for size in options.choose(_SIZES, _TINY_SIZES):
        _measure(result, size, options.seed, seconds)
    largest = max(row["nodes"] for row in result.rows)
    for row in result.rows:
        if row["nodes"] == largest:
            key = f"{row['controller']} at {largest} nodes"
            result.summary[key] = (
                f"{100 * row['core_share']:.3f}% of a core, "
                f"longest event {row['longest_milliseconds']:.1f} ms "
                f"({row['longest_event']}), {row['bytes_per_second']:.0f} bytes/s"
            )
    return result


def _measure(result: results.Result, size: Size, seed: int, seconds: float) -> None:
    clock = simulation.Simulation()
    timed: list[TimedController] = []

    def _wrap_controllers(
        controllers: list[_dispatch.Controller],
    ) -> list[_dispatch.Controller]:
        timed.extend(TimedController(controller=each) for each in controllers)
        return list(timed)

    traffic: collections.Counter[str] = collections.Counter()
    node = _make_node(size, seed, clock, _wrap_controllers)
    names = [f"node-{index}" for index in range(1, size.nodes)]
    node.peers = {
        queue_engines.make_address(20_000 + index): EchoPeer(
            name=ids.NodeId(name), node=node, traffic=traffic
        )
        for index, name in enumerate(names)
    }
    rows = _list_rows(size, names)
    node.vms = tuple(_vm_client._read_vm(row) for row in rows)
    node.tick()
    clock.run_until(_SETTLE_SECONDS / 2)
    node.post(_make_introduction(names))
    clock.run_until(_SETTLE_SECONDS)
    _schedule_requests(node, clock, size, seed, seconds)
    for each in timed:
        each.usage = HandlerUsage()
    traffic.clear()
    commands = collections.Counter(node.executed)
    clock.run_until(_SETTLE_SECONDS + seconds)
    commands = node.executed - commands
    for each in timed:
        _add_row(result, size, each, seconds)
    _add_messages(result, size, traffic, seconds)
    _add_vm_list(result, size, rows, commands["PollVms"] / seconds)
    result.summary[f"live nodes known of {size.nodes}"] = (
        node.blackboard.membership.count_live_nodes()
    )
    polls = commands["PollLoad"] / seconds
    result.summary[f"load polls a second at {size.nodes} nodes"] = polls
    reads = commands["ReadRows"] + commands["ScanRows"]
    result.summary[f"table reads a second at {size.nodes} nodes"] = reads / seconds


def _make_introduction(
    names: collections.abc.Sequence[str],
) -> _membership_messages.HeartbeatReceived:
    """Make a heartbeat that introduces every other node."""
    rows = tuple(
        _membership_messages.NodeRow(
            node=ids.NodeId(name), incarnation=f"1-{name}", sequence=0
        )
        for name in names
    )
    return _membership_messages.HeartbeatReceived(
        heartbeat=_membership_messages.Heartbeat(
            node=ids.NodeId(names[0]),
            incarnation=f"1-{names[0]}",
            state=_node_messages.NodeState.READY,
            configuration_number=ids.ChangeNumber(0),
            configuration_digest="",
            nodes=rows,
        )
    )


def _make_node(
    size: Size,
    seed: int,
    clock: simulation.Simulation,
    wrap: simulated_nodes.Wrap,
) -> simulated_nodes.SimulatedNode:
    half = _LAYERS // 2
    engines = {
        f"engine-{index}": queue_engines.QueueEngine(
            spec=queue_engines.EngineSpec(
                name=f"engine-{index}",
                model=_MODELS[index // 2 % len(_MODELS)],
                first_layer=index % 2 * half,
                end_layer=index % 2 * half + half,
                step_seconds=0.01,
                max_batch=16,
            ),
            clock=clock,
            faults=queue_engines.Faults(),
            links={},
            seed=seed,
        )
        for index in range(size.engines)
    }
    return simulated_nodes.SimulatedNode(
        index=0,
        seed=seed,
        clock=clock,
        engines=engines,
        declared=_declare(size),
        policy=policies.OURS,
        log=simulated_nodes.Log(since=0.0),
        wrap=wrap,
    )


def _declare(size: Size) -> declarations.Declarations:
    names = [ids.AccountId(f"a{index}") for index in range(size.accounts)]
    accounts = {
        name: declarations.Account(
            name=name, template=ids.TemplateId(""), key_hash=f"{index:064x}"
        )
        for index, name in enumerate(names)
    }
    models = {name: declarations.Model(name=name, layers=_LAYERS) for name in _MODELS}
    return declarations.Declarations(models=models, accounts=accounts)


def _list_rows(
    size: Size, peers: collections.abc.Sequence[str]
) -> list[dict[str, typing.Any]]:
    placed = [("node-0", "node", 10_000)]
    placed += [(name, "node", 20_000 + index) for index, name in enumerate(peers)]
    placed += [
        (f"engine-{index}", "engine", 1_000 + index) for index in range(size.engines)
    ]
    return [
        {
            "name": name,
            "role": role,
            "address": f"10.0.0.1:{port}",
            "region": f"region-{index % _REGIONS}",
            "failure_domain": f"domain-{index % _FAILURE_DOMAINS}",
            "state": "live",
            "properties": {"accelerator": "a100", "checks_fencing": False},
        }
        for index, (name, role, port) in enumerate(placed)
    ]


def _schedule_requests(
    node: simulated_nodes.SimulatedNode,
    clock: simulation.Simulation,
    size: Size,
    seed: int,
    seconds: float,
) -> None:
    source = numpy.random.default_rng(seed)
    count = round(size.requests_per_second * seconds)
    for index, at in enumerate(source.uniform(0.0, seconds, count)):
        account = f"a{source.integers(0, size.accounts)}"
        arrival = load.Arrival(
            at=0.0, account_key=account, prompt="a b c", max_tokens=1
        )
        request = ids.RequestId(f"r{index}")
        clock.schedule(
            float(at), functools.partial(node.receive_request, request, arrival)
        )


def _add_row(
    result: results.Result, size: Size, timed: TimedController, seconds: float
) -> None:
    usage = timed.usage
    result.add(
        nodes=size.nodes,
        controller=type(timed.controller).__name__,
        core_share=usage.seconds / seconds,
        longest_milliseconds=usage.max_seconds * _MILLISECONDS_PER_SECOND,
        longest_event=usage.slowest_event,
        bytes_per_second=0.0,
    )


def _add_messages(
    result: results.Result,
    size: Size,
    traffic: collections.Counter[str],
    seconds: float,
) -> None:
    for name, count in traffic.items():
        result.add(
            nodes=size.nodes,
            controller=f"sent to peers: {name.removesuffix('Received')}",
            core_share=0.0,
            longest_milliseconds=0.0,
            longest_event="",
            bytes_per_second=count / seconds,
        )


def _add_vm_list(
    result: results.Result,
    size: Size,
    rows: list[dict[str, typing.Any]],
    polls_per_second: float,
) -> None:
    data = json.dumps({"vms": rows, "as_of_seconds_ago": 0.0}).encode()
    began = time.thread_time()
    for row in json.loads(data)["vms"]:
        _vm_client._read_vm(row)
    spent_seconds = time.thread_time() - began
    result.add(
        nodes=size.nodes,
        controller="parsing of the VM list",
        core_share=spent_seconds * polls_per_second,
        longest_milliseconds=spent_seconds * _MILLISECONDS_PER_SECOND,
        longest_event="PollVms",
        bytes_per_second=len(data) * polls_per_second,
    )
