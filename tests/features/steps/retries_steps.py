import random

import behave
import hypothesis
import hypothesis.strategies as st

from jujubepass.calls import _breakers
from jujubepass.limits import _retry_budget

BOUNDS = _retry_budget.RetryBudgetBounds()


@behave.when("every attempt fails and each failure requests a retry")
def step_fail_all(context):
    context.steps = st.lists(
        st.tuples(st.floats(0.0, 2.0), st.integers(0, 3)), max_size=200
    )


@behave.then("retries stay within the budget of each prefix of the run")
def step_bound(context):
    @hypothesis.given(context.steps)
    def check(steps):
        budget = _retry_budget.RetryBudget()
        now, retries = 0.0, 0
        for attempts, (pause, requested_retries) in enumerate(steps, start=1):
            now += pause
            budget.count_attempt(now)
            retries += sum(budget.spend(now) for _ in range(requested_retries))
            bound = BOUNDS.capacity + BOUNDS.retries_per_attempt * attempts
            bound += BOUNDS.retries_per_second * now
            assert retries <= bound + 1e-6, (retries, bound)

    check()


@behave.given("a retry budget that is spent")
def step_spent(context):
    context.budget = _retry_budget.RetryBudget()
    context.now = 100.0
    spent = sum(context.budget.spend(context.now) for _ in range(100))
    assert spent == BOUNDS.capacity, spent


@behave.then("the next retry is allowed when its predicted wait is over and not before")
def step_wait(context):
    wait = context.budget.predict_wait_seconds(context.now)
    assert wait > 0.0
    assert not context.budget.spend(context.now + 0.9 * wait)
    assert context.budget.spend(context.now + 1.01 * wait)


@behave.given("a circuit that opens after 3 failures")
def step_circuit(context):
    context.bounds = _breakers.BreakerBounds(failures_to_open=3)
    context.circuit = _breakers.Breaker(
        jitter_random=random.Random(1), bounds=context.bounds
    )
    context.now = 50.0
    context.open_times = []


def try_dispatch(context, seconds=0.0):
    """Dispatch an attempt if the breaker allows it; return whether it did."""
    now = context.now + seconds
    if context.circuit.is_open(now):
        return False
    context.circuit.record_dispatch(now)
    return True


@behave.when("3 attempts fail")
def step_fail(context):
    for _ in range(3):
        assert try_dispatch(context)
        context.circuit.count_fault(context.now)
    context.open_times.append(context.circuit.predict_wait_seconds(context.now))


@behave.then("no attempt is allowed until the open time is over")
def step_closed(context):
    wait = context.circuit.predict_wait_seconds(context.now)
    assert wait > 0.0
    for part in (0.0, 0.5, 0.99):
        assert not try_dispatch(context, part * wait)
    context.now += wait


@behave.then("exactly one probe is allowed then")
def step_probe(context):
    assert [try_dispatch(context) for _ in range(5)].count(True) == 1


@behave.when("the probe succeeds")
def step_probe_succeeds(context):
    context.circuit.record_success()


@behave.then("attempts are allowed again")
def step_closed_again(context):
    assert context.circuit.state is _breakers.BreakerState.CLOSED
    assert all(try_dispatch(context) for _ in range(5))


@behave.when("12 probes fail one after another")
def step_probes_fail(context):
    for _ in range(12):
        context.now += context.open_times[-1]
        assert try_dispatch(context)
        context.circuit.count_fault(context.now)
        context.open_times.append(context.circuit.predict_wait_seconds(context.now))


@behave.then("each open time is at least as long as the one before, less the jitter")
def step_longer(context):
    jitter = context.bounds.jitter
    for first, second in zip(context.open_times, context.open_times[1:], strict=False):
        assert second * (1 + jitter) >= first * (1 - jitter), context.open_times


@behave.then("no open time exceeds the bound")
def step_bounded(context):
    max_seconds = context.bounds.maximum_open_seconds * (1 + context.bounds.jitter)
    assert max(context.open_times) <= max_seconds, context.open_times
    assert max(context.open_times) > 5 * context.open_times[0], context.open_times


@behave.when("an attempt from before the opening succeeds")
def step_late(context):
    context.circuit.record_success()


@behave.when("a probe is sent and its outcome is never reported")
def step_lost_probe(context):
    context.now += context.open_times[-1]
    assert try_dispatch(context)


@behave.then("another probe is allowed after the probe time-out")
def step_again(context):
    assert not try_dispatch(context, 1.0)
    context.now += context.bounds.probe_timeout_seconds
    assert try_dispatch(context)
