"""Cost of the data path: processor time of a node per request and per token."""

import time

import trio

from bench import experiments, load, results, trials, usage
from jujubepass.transport import _http_client
from standins import system

_REQUESTS_PER_SECOND = 24.0
_TOKENS_PER_SECOND = 8_700.0
_WARM_UP_SECONDS = 1.0
_PROMPT = " ".join(f"word{index}" for index in range(64))
_LONG_TOKENS = 1_000
_STREAMS_PER_ACCOUNT = 16
_MICROSECONDS_PER_SECOND = 1_000_000


def run(options: experiments.Options) -> results.Result:
    """Measure requests of one token, then concurrent long streams."""
    seconds = options.choose(6.0, 0.5)
    streams = options.choose((1, 8, 64, 256), (1,))
    runs = options.choose(3, 1)
    result = results.Result(
        name="data-path",
        seed=options.seed,
        parameters={"seconds": seconds, "runs": runs, "token_seconds": 0.03},
        plot=results.Plot(x="streams", y="microseconds_per_token", logarithmic=True),
    )
    shape = trials.Shape(nodes=1, engines=4, token_seconds=0.03)
    with trials.start_system(shape, options.first_port) as started:
        trials.wait_for_engines(started)
        accounts = max(streams) // _STREAMS_PER_ACCOUNT + 1
        trials.declare_accounts(started, accounts, number=1)
        idle = trials.measure_nodes(started, seconds)["node-1"].core_share
        request_costs = [
            _measure_requests(started, idle, options.choose(200, 5))
            for _ in range(runs)
        ]
        cost = usage.Spread.of(request_costs)
        result.summary["idle_core_share"] = idle
        result.summary["request_milliseconds"] = cost.median * 1_000
        result.summary["request_milliseconds_range"] = [
            cost.minimum * 1_000,
            cost.maximum * 1_000,
        ]
        for count in streams:
            for index in range(runs):
                _measure_streams(result, started, count, seconds, idle, index)
    _summarize(result, cost.median)
    return result


def _measure_requests(started: system.System, idle: float, count: int) -> float:
    """Return the processor seconds that one request of one token costs."""
    pid = started.processes.get_pid("node-1")
    outcome = load.Outcome()
    before = usage.read_usage(pid)
    trio.run(_send_in_sequence, started.nodes["node-1"].callers, count, outcome)
    after = usage.read_usage(pid)
    assert outcome.answered == count, outcome
    spent = after.processor_seconds - before.processor_seconds
    return (spent - idle * (after.at - before.at)) / count


async def _send_in_sequence(port: int, count: int, outcome: load.Outcome) -> None:
    client = _http_client.Client()
    arrival = _make_arrival(1, 0)
    for _ in range(count):
        await load.send_request(client, port, system.MODEL, arrival, outcome)


def _make_arrival(tokens: int, account: int) -> load.Arrival:
    return load.Arrival(
        at=0.0,
        account_key=trials.make_key(account),
        prompt=_PROMPT,
        max_tokens=tokens,
        timeout_seconds=120.0,
    )


def _measure_streams(
    result: results.Result,
    started: system.System,
    count: int,
    seconds: float,
    idle: float,
    index: int,
) -> None:
    outcome = load.Outcome()
    spent, elapsed, tokens, resident = trio.run(
        _run_streams, started, count, seconds, outcome
    )
    per_token = (spent - idle * elapsed) / max(tokens, 1)
    result.add(
        streams=count,
        run=index,
        tokens_per_second=tokens / elapsed,
        core_share=spent / elapsed,
        microseconds_per_token=per_token * _MICROSECONDS_PER_SECOND,
        resident_mebibytes=resident / usage.MEBIBYTE,
        between_tokens_p50_seconds=outcome.between_tokens.read(50),
        between_tokens_p95_seconds=outcome.between_tokens.read(95),
    )


async def _run_streams(
    started: system.System, count: int, seconds: float, outcome: load.Outcome
) -> tuple[float, float, int, int]:
    """Return processor and elapsed seconds, tokens and memory during long streams."""
    port = started.nodes["node-1"].callers
    pid = started.processes.get_pid("node-1")
    client = _http_client.Client()
    async with trio.open_nursery() as nursery:
        for index in range(count):
            account = index // _STREAMS_PER_ACCOUNT
            arrival = _make_arrival(_LONG_TOKENS, account)
            task = (load.send_request, client, port, system.MODEL, arrival, outcome)
            nursery.start_soon(*task)
        await trio.sleep(_WARM_UP_SECONDS + count / 200)
        outcome.between_tokens = load.Durations()
        tokens = outcome.tokens
        before = usage.read_usage(pid)
        began = time.monotonic()
        await trio.sleep(seconds)
        after = usage.read_usage(pid)
        tokens = outcome.tokens - tokens
        elapsed = time.monotonic() - began
        nursery.cancel_scope.cancel()
    # Abandoned streams are cancelled at the engines before the next measurement.
    await trio.sleep(_WARM_UP_SECONDS)
    spent = after.processor_seconds - before.processor_seconds
    return spent, elapsed, tokens, after.resident_bytes


def _summarize(result: results.Result, request_seconds: float) -> None:
    for count in sorted({row["streams"] for row in result.rows}):
        spread = usage.Spread.of(
            row["microseconds_per_token"]
            for row in result.rows
            if row["streams"] == count
        )
        share = spread.median / _MICROSECONDS_PER_SECOND * _TOKENS_PER_SECOND
        share += request_seconds * _REQUESTS_PER_SECOND
        result.summary[f"microseconds_per_token_at_{count}"] = spread.median
        result.summary[f"microseconds_per_token_at_{count}_range"] = [
            round(spread.minimum, 1),
            round(spread.maximum, 1),
        ]
        result.summary[f"cores_at_the_target_rates_by_{count}"] = share
