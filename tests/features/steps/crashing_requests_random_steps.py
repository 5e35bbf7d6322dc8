"""Steps for random simulated systems with requests that crash servers."""

import behave
import hypothesis
import hypothesis.strategies

from tests import crashing_trials
from tests.features.steps import quarantine_random_steps


@behave.then(
    "it holds for random systems of {nodes:d} nodes with such requests beside restarts,"
    " a lost store and other ends"
)
def step_random(context, nodes):
    failures = []

    @quarantine_random_steps.choose_settings(15 if nodes < 20 else 2)
    @hypothesis.given(seed=hypothesis.strategies.integers(0, 10**9))
    def check(seed):
        system = crashing_trials.draw_system(seed, nodes=nodes)
        trial = crashing_trials.Trial(system=system)
        trial.run()
        if found := trial.list_violations():
            failures.append((system, found))
            print("broken:", system, found, flush=True)

    check()
    assert not failures, failures
