"""Throughput of route policies relative to the bound, in simulation."""

import functools
import typing

from bench import (
    experiments,
    policies,
    queue_engines,
    results,
    scenarios,
    simulated_nodes,
    simulation,
    usage,
)
from jujubepass import declarations, ids
from jujubepass.backends import _backend_messages

_WARM_UP_SECONDS = 4.0
_DRAIN_SECONDS = 3.0
_UNREACHED_LIMIT = 1_000_000


def run(options: experiments.Options) -> results.Result:
    """Run every policy on every scenario at several shares of the bound."""
    seconds = options.choose(16.0, 1.0)
    shares = options.choose((0.7, 0.95, 1.1), (0.5,))
    seeds = range(options.seed, options.seed + options.choose(3, 1))
    result = results.Result(
        name="throughput",
        seed=options.seed,
        parameters={"seconds": seconds, "warm_seconds": _WARM_UP_SECONDS},
        plot=results.Plot(x="offered_share", y="ratio_to_bound", series="policy"),
    )
    for scenario in scenarios.list_scenarios():
        bound = scenario.find_request_bound()
        for share in shares:
            for policy in policies.NAMES:
                for seed in seeds:
                    row = run_once(scenario, policy, seed, share * bound, seconds)
                    ratio = row["tokens_per_second"]
                    ratio /= bound * scenario.prompts.mean_tokens
                    result.add(
                        scenario=scenario.name,
                        policy=policy,
                        seed=seed,
                        offered_share=share,
                        ratio_to_bound=ratio,
                        **row,
                    )
    _summarize(result)
    return result


def run_once(
    scenario: scenarios.Scenario,
    policy: str,
    seed: int,
    requests_per_second: float,
    seconds: float,
) -> results.Row:
    """Run one load and return the figures of callers after the warm-up."""
    clock = simulation.Simulation()
    log = simulated_nodes.Log(since=_WARM_UP_SECONDS)
    nodes = _make_nodes(scenario, policy, seed, clock, log)
    end = _WARM_UP_SECONDS + seconds
    arrivals = scenario.draw_arrivals(seed, requests_per_second, end)
    for index, arrival in enumerate(arrivals):
        node = nodes[index % len(nodes)]
        request = ids.RequestId(f"r{index}")
        clock.schedule(
            _DRAIN_SECONDS + arrival.at,
            functools.partial(node.receive_request, request, arrival),
        )
    log.since += _DRAIN_SECONDS
    clock.run_until(_DRAIN_SECONDS + end)
    tokens = log.tokens
    clock.run_until(2 * _DRAIN_SECONDS + end)
    return {
        "tokens_per_second": tokens / seconds,
        "first_token_p50_seconds": log.first_token.read(50),
        "first_token_p95_seconds": log.first_token.read(95),
        "between_tokens_p50_seconds": log.between_tokens.read(50),
        "between_tokens_p95_seconds": log.between_tokens.read(95),
        "answered": log.answered,
        "refused": log.refused,
        "retries": sum(sum(node.metrics.retries.values()) for node in nodes),
    }


def _make_nodes(
    scenario: scenarios.Scenario,
    policy: str,
    seed: int,
    clock: simulation.Simulation,
    log: simulated_nodes.Log,
) -> list[simulated_nodes.SimulatedNode]:
    engines = _make_engines(scenario, seed, clock)
    declared = _declare()
    nodes = [
        simulated_nodes.SimulatedNode(
            index=index,
            seed=seed,
            clock=clock,
            engines=engines,
            declared=declared,
            policy=policy,
            log=log,
        )
        for index in range(scenario.nodes)
    ]
    vms = _list_vms(scenario, nodes)
    for index, node in enumerate(nodes):
        node.vms = vms
        node.peers = {peer.address: peer for peer in nodes}
        clock.schedule(index * node.tick_seconds / len(nodes), node.tick)
    return nodes


def _declare() -> declarations.Declarations:
    account = ids.AccountId("a")
    model = ids.ModelId("m")
    return declarations.Declarations(
        models={model: declarations.Model(name=model, layers=scenarios.LAYERS)},
        accounts={
            account: declarations.Account(
                name=account,
                template=ids.TemplateId(""),
                key_hash="0" * 64,
                requests_per_second=_UNREACHED_LIMIT,
                burst=_UNREACHED_LIMIT,
                concurrency=_UNREACHED_LIMIT,
            )
        },
    )


def _make_engines(
    scenario: scenarios.Scenario, seed: int, clock: simulation.Simulation
) -> dict[str, queue_engines.QueueEngine]:
    names = [spec.name for spec in scenario.engines]
    return {
        spec.name: queue_engines.QueueEngine(
            spec=spec,
            clock=clock,
            faults=scenario.faults,
            links={
                other: scenario.link_seconds(spec.name, other)
                for other in names
                if other != spec.name
            },
            seed=seed,
        )
        for spec in scenario.engines
    }


def _list_vms(
    scenario: scenarios.Scenario,
    nodes: typing.Sequence[simulated_nodes.SimulatedNode],
) -> tuple[_backend_messages.Vm, ...]:
    rows = [
        (spec.name, _backend_messages.VmRole.ENGINE, spec.failure_domain, index)
        for index, spec in enumerate(scenario.engines)
    ]
    rows += [
        (node.name, _backend_messages.VmRole.NODE, "abc"[index % 3], 10_000 + index)
        for index, node in enumerate(nodes)
    ]
    return tuple(
        _backend_messages.Vm(
            name=name,
            role=role,
            address=queue_engines.make_address(index),
            region=ids.RegionId("r"),
            failure_domain=ids.FailureDomainId(domain),
            state=_backend_messages.VmState.LIVE,
        )
        for name, role, domain, index in rows
    )


def _summarize(result: results.Result) -> None:
    groups: dict[str, list[results.Row]] = {}
    for row in result.rows:
        key = f"{row['scenario']} {row['policy']} at {row['offered_share']}"
        groups.setdefault(key, []).append(row)
    for key, rows in groups.items():
        ratio = usage.Spread.of(row["ratio_to_bound"] for row in rows)
        first = usage.Spread.of(row["first_token_p95_seconds"] for row in rows)
        between = usage.Spread.of(row["between_tokens_p95_seconds"] for row in rows)
        result.summary[key] = (
            f"ratio {ratio.median:.3f} ({ratio.minimum:.3f}..{ratio.maximum:.3f}), "
            f"p95 first {first.median * 1000:.0f} ms, "
            f"between {between.median * 1000:.1f} ms"
        )
