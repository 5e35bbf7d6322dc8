"""Steps for random simulated systems with parts that crash engines."""

import os

import behave
import hypothesis
import hypothesis.strategies

from tests import quarantine_trials


def choose_settings(examples):
    """Return the usual examples, or others if a seed is given in the environment."""
    phases = (hypothesis.Phase.explicit, hypothesis.Phase.generate)
    seed = os.environ.get("JUJUBEPASS_RANDOM_SEED")
    count = int(os.environ.get("JUJUBEPASS_RANDOM_EXAMPLES", examples))
    settings = hypothesis.settings(
        max_examples=count, phases=phases, derandomize=seed is None
    )
    return lambda check: settings(
        check if seed is None else hypothesis.seed(int(seed))(check)
    )


def run(system, failures):
    """Run a system and record the promises that it broke."""
    trial = quarantine_trials.Trial(system=system)
    trial.run()
    if found := trial.list_violations():
        failures.append((system, found))
        print("broken:", system, found, flush=True)


@behave.then("it holds for random systems of {nodes:d} nodes with one or two bad parts")
def step_random(context, nodes):
    failures = []

    @choose_settings(25 if nodes < 20 else 2)
    @hypothesis.given(
        seed=hypothesis.strategies.integers(0, 10**6),
        bad=hypothesis.strategies.integers(1, 2),
        rate=hypothesis.strategies.sampled_from((0.5, 2.0, 8.0, 20.0)),
        sound=hypothesis.strategies.sampled_from((4.0, 20.0)),
        warm=hypothesis.strategies.sampled_from((0.0, 3.0)),
    )
    def check(seed, bad, rate, sound, warm):
        system = quarantine_trials.System(
            seed=seed,
            nodes=nodes,
            bad_parts=tuple(f"bad-{number}" for number in range(bad)),
            rate=rate,
            sound_rate=sound,
            warm_seconds=warm,
        )
        run(system, failures)

    check()
    assert not failures, failures


@behave.then(
    "it holds for random systems of {nodes:d} nodes beside restarts, a lost store and"
    " other ends"
)
def step_disturbed(context, nodes):
    failures = []

    @choose_settings(15 if nodes < 20 else 2)
    @hypothesis.given(seed=hypothesis.strategies.integers(0, 10**9))
    def check(seed):
        run(quarantine_trials.draw_system(seed, nodes=nodes), failures)

    check()
    assert not failures, failures


@behave.then(
    "it holds for two bad parts, each {rate:g} times a second, among few sound requests"
    " from the start on, with seed {seed:d}"
)
def step_cold(context, rate, seed):
    failures = []

    # Hypothesis seeds the order of tasks.
    @hypothesis.settings(max_examples=1, phases=(hypothesis.Phase.explicit,))
    @hypothesis.given(seed=hypothesis.strategies.integers())
    @hypothesis.example(seed=seed)
    def check(seed):
        system = quarantine_trials.System(
            seed=seed,
            bad_parts=("bad-0", "bad-1"),
            rate=rate,
            sound_rate=4.0,
            warm_seconds=0.0,
        )
        run(system, failures)

    check()
    assert not failures, failures
