import json
import pathlib
import subprocess
import sys
import tempfile

import behave

from bench import bounds, experiments, load, policies, scenarios, throughput

PNG = b"\x89PNG\r\n\x1a\n"
TIMEOUT_SECONDS = 240
KEYS = ("key-a", "key-b")


@behave.when('the experiment "{name}" runs in its tiny size')
def step_run(context, name):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    context.experiment = name
    command = [sys.executable, "-m", "bench", name, "--seed=5", "--size=tiny"]
    command += [f"--output={folder.name}", f"--first-port={context.first_port}"]
    context.run = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS
    )


@behave.then("its result file holds the seed, the parameters, rows and a summary")
def step_result(context):
    assert context.run.returncode == 0, context.run
    path = context.folder / f"{context.experiment}.json"
    context.result = json.loads(path.read_text())
    assert context.result["seed"] == 5, context.result
    for part in ("parameters", "rows", "summary"):
        assert context.result[part], (part, context.result)


@behave.then('each row has "{columns}"')
def step_columns(context, columns):
    for row in context.result["rows"]:
        assert set(columns.split(", ")) <= set(row), row


@behave.then("each row counts load polls and bytes to peers")
def step_counted(context):
    for row in context.result["rows"]:
        assert row["load_polls_per_second"] > 0.0, row
        assert row["peers_sent_bytes_per_second"] > 0.0, row


@behave.then("its plot is an image")
def step_plot(context):
    plot = context.folder / f"{context.experiment}.png"
    assert plot.read_bytes().startswith(PNG)


@behave.then("it exits with 2 and lists the experiments")
def step_unknown(context):
    assert context.run.returncode == 2, context.run
    for name in experiments.NAMES:
        assert name in context.run.stderr, context.run


def draw(seed, per_second=50.0):
    return load.generate_arrivals(
        seed=seed, per_second=per_second, seconds=2.0, account_keys=KEYS
    )


@behave.given("two loads drawn from seed 7 and one from seed 8")
def step_loads(context):
    context.loads = [draw(7), draw(7), draw(8)]


@behave.then("the first two are equal and the third differs")
def step_same(context):
    first, second, third = context.loads
    assert first and first == second
    assert first != third


@behave.then("a load written as a trace reads back the same")
def step_trace(context):
    written = load.write_trace(context.loads[0])
    assert load.read_trace(written) == context.loads[0]


@behave.then("a load over its bounds is refused")
def step_bounds(context):
    try:
        draw(1, per_second=1_000_000.0)
    except ValueError:
        return
    raise AssertionError("a load of 2 million arrivals was not refused")


def make_rates(half, rates):
    return [
        bounds.EngineRate(
            name=f"{half}-{index}",
            first_layer=0 if half == "first" else 16,
            end_layer=16 if half == "first" else 32,
            requests_per_second=float(rate),
        )
        for index, rate in enumerate(rates)
    ]


@behave.given(
    "engines of the {half} half that run {one:d} and {other:d} requests a second"
)
def step_engines(context, half, one, other):
    context.rates = [*getattr(context, "rates", ()), *make_rates(half, (one, other))]
    context.slow = ()


@behave.when("an engine of all layers that runs {rate:d} request a second joins")
def step_join(context, rate):
    engine = bounds.EngineRate(
        name="whole", first_layer=0, end_layer=32, requests_per_second=float(rate)
    )
    context.rates.append(engine)


@behave.when("every link from the first engine is too slow")
def step_slow(context):
    context.slow = ("first-0",)


@behave.then("the bound is {expected:d} requests a second")
def step_bound(context, expected):
    def find_link(first, second):
        return 1.0 if first in context.slow else 0.0

    found = bounds.find_bound(context.rates, 32, find_link, 0.5)
    assert abs(found - expected) < 1e-6, found


@behave.given("two simulated loads of seed 3 and one of seed 4")
def step_simulated(context):
    scenario = scenarios.list_scenarios()[0]
    context.loads = [
        throughput.run_once(scenario, policies.OPEN, seed, 20.0, 0.5)
        for seed in (3, 3, 4)
    ]
