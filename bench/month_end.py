"""Month-end load: postings that may not be repeated, beside model requests."""

import json
import time

import attrs
import numpy
import trio

from bench import experiments, load, results, trials
from jujubepass.transport import _http_client
from standins import processes, system

_LEDGERS = 3
_RUNS_PER_SECOND = 40.0
_ACCOUNTS = 16
_OFFERED_SHARE = 0.95
_PROMPTS_PER_SECOND = 12.0
_TIMEOUT_SECONDS = 10.0
_SERVICE = "postings"


@attrs.define(kw_only=True)
class Postings:
    """Count the postings by outcome."""

    done: int = 0
    refused: int = 0
    unknown: int = 0
    errors: int = 0
    times: load.Durations = attrs.field(factory=load.Durations)


def run(options: experiments.Options) -> results.Result:
    """Run postings alone, model requests alone, and both together."""
    seconds = options.choose(15.0, 1.0)
    result = results.Result(
        name="month-end",
        seed=options.seed,
        parameters={
            "seconds": seconds,
            "nodes": 3,
            "ledger_runs_per_second": _LEDGERS * _RUNS_PER_SECOND,
            "offered_share": _OFFERED_SHARE,
        },
        plot=results.Plot(
            x="postings_per_second", y="posting_p95_seconds", series="phase"
        ),
    )
    shape = trials.Shape(nodes=3, engines=8, token_seconds=0.02)
    with trials.start_system(shape, options.first_port) as started:
        _start_ledgers(started)
        number = started.apply({f"service {_SERVICE}": {}}, base=1)
        trials.declare_accounts(started, _ACCOUNTS, number=number)
        trials.wait_for_engines(started)
        _wait_for_ledgers(started)
        for phase, posts, prompts in (
            ("postings", _OFFERED_SHARE, 0.0),
            ("counter", 0.0, _PROMPTS_PER_SECOND),
            ("both", _OFFERED_SHARE, _PROMPTS_PER_SECOND),
        ):
            _measure(result, started, phase, posts, prompts, seconds)
    for row in result.rows:
        result.summary[row["phase"]] = (
            f"postings {row['ratio_to_bound']:.3f} of the ledger's rate, "
            f"p95 {row['posting_p95_seconds'] * 1000:.0f} ms; "
            f"tokens p95 {row['between_tokens_p95_seconds'] * 1000:.1f} ms"
        )
    return result


def _start_ledgers(started: system.System) -> None:
    specs = [
        system.ServiceSpec(name=f"ledger-{index}", service=_SERVICE)
        for index in range(_LEDGERS)
    ]
    started.start_services(specs)
    for spec in specs:
        port = started.services[spec.name]
        processes.change_knobs(port, runs_per_second=_RUNS_PER_SECOND)


def _wait_for_ledgers(started: system.System) -> None:
    for name in started.nodes:
        processes.wait_for(
            lambda name=name: (
                started.send_call(
                    name,
                    f"first-{name}",
                    {},
                    service=_SERVICE,
                    key=trials.make_key(0),
                ).status
                == 200
            ),
            f"a ledger at {name}",
        )


def _measure(
    result: results.Result,
    started: system.System,
    phase: str,
    offered_share: float,
    prompts_per_second: float,
    seconds: float,
) -> None:
    postings, outcome = Postings(), load.Outcome()
    bound = _LEDGERS * _RUNS_PER_SECOND
    runs_before = _count_runs(started)
    began = time.monotonic()
    trio.run(
        _run,
        started,
        phase,
        _draw_times(result.seed, offered_share * bound, seconds),
        _draw_prompts(result.seed, prompts_per_second, seconds),
        postings,
        outcome,
    )
    outcome.seconds = time.monotonic() - began
    runs = _count_runs(started)
    run_count = sum(runs.values()) - sum(runs_before.values())
    result.add(
        phase=phase,
        postings_per_second=postings.done / seconds,
        ratio_to_bound=postings.done / seconds / bound,
        postings_refused=postings.refused,
        postings_unknown=postings.unknown,
        posting_errors=postings.errors,
        runs=run_count,
        duplicates=sum(count > 1 for count in runs.values()),
        posting_p50_seconds=postings.times.read(50),
        posting_p95_seconds=postings.times.read(95),
        **outcome.summarize(),
    )


def _count_runs(started: system.System) -> dict[str, int]:
    counts: dict[str, int] = {}
    for port in started.services.values():
        for key, count in processes.read_counts(port)["runs"].items():
            counts[key] = counts.get(key, 0) + count
    return counts


def _draw_times(seed: int, per_second: float, seconds: float) -> list[float]:
    source = numpy.random.default_rng(seed)
    count = round(per_second * seconds)
    return sorted(float(at) for at in source.uniform(0.0, seconds, count))


def _draw_prompts(seed: int, per_second: float, seconds: float) -> list[load.Arrival]:
    if not per_second:
        return []
    keys = [trials.make_key(index) for index in range(_ACCOUNTS)]
    return load.generate_arrivals(
        seed=seed, per_second=per_second, seconds=seconds, account_keys=keys
    )


async def _run(
    started: system.System,
    phase: str,
    times: list[float],
    prompts: list[load.Arrival],
    postings: Postings,
    outcome: load.Outcome,
) -> None:
    client = _http_client.Client()
    ports = [node.callers for node in started.nodes.values()]
    started_at = trio.current_time()
    events: list[tuple[float, int, load.Arrival | None]] = [
        (at, index, None) for index, at in enumerate(times)
    ]
    events += [(each.at, index, each) for index, each in enumerate(prompts)]
    events.sort(key=lambda event: event[0])
    async with trio.open_nursery() as nursery:
        for at, index, prompt in events:
            await trio.sleep_until(started_at + at)
            port = ports[index % len(ports)]
            if prompt is not None:
                task = (load.send_request, client, port, system.MODEL, prompt, outcome)
                nursery.start_soon(*task)
            else:
                key = f"{phase}-{index}"
                nursery.start_soon(_post, client, port, index, key, postings)


async def _post(
    client: _http_client.Client, port: int, index: int, key: str, postings: Postings
) -> None:
    began = trio.current_time()
    try:
        answer = await client.request(
            "POST",
            _http_client.Address(host=load.HOST, port=port),
            f"/services/{_SERVICE}/credits",
            body=json.dumps({"amount": index}).encode(),
            headers={
                "authorization": f"Bearer {trials.make_key(index % _ACCOUNTS)}",
                "idempotency-key": key,
                "request-timeout": f"{_TIMEOUT_SECONDS:g}",
            },
            timeout_seconds=_TIMEOUT_SECONDS + 1.0,
        )
    except _http_client.ClientError:
        postings.errors += 1
        return
    if answer.status == 200:
        postings.done += 1
        postings.times.record(trio.current_time() - began)
    elif answer.read_json().get("run") == "unknown":
        postings.unknown += 1
    else:
        postings.refused += 1
