import behave
import hypothesis
import hypothesis.strategies as st

from jujubepass import ids, reasons
from jujubepass.answers import _recovery
from jujubepass.routing import _routes
from tests import small_engines, small_parts, small_traces

ENGINES_PER_HALF = 3
PROMPT = tuple(f"word{number}" for number in range(20))


def make_engines():
    return [
        small_parts.Engine(
            name=f"e{index}",
            first_layer=16 * (index % 2),
            end_layer=16 * (index % 2) + 16,
        )
        for index in range(2 * ENGINES_PER_HALF)
    ]


def make_policies(source):
    return (
        _routes.PredictedTimePolicy(random_source=source),
        _recovery.ResumePolicy(min_stall_seconds=0.5),
    )


def make_trial(**options):
    return small_engines.Trial(
        engines=make_engines(), make_policies=make_policies, **options
    )


def send_prompt(trial, name="r1", max_tokens=30, **options):
    request = ids.RequestId(name)
    trial.send_prompt(trial.nodes[0], request, PROMPT, max_tokens, **options)
    return trial.delivered[request]


probabilities = st.sampled_from([0.0, 0.0, 0.05, 0.2])
line_faults_strategy = st.builds(
    small_parts.LineFaults,
    duplicated=probabilities,
    crossed=probabilities,
    late=probabilities,
    lost=probabilities,
    layers_missing=probabilities,
    cut=probabilities,
)
faults = st.lists(
    st.tuples(
        st.floats(0.0, 1.5),
        st.sampled_from(["kill", "freeze", "slow", "thaw", "restart", "fast"]),
        st.integers(0, 2 * ENGINES_PER_HALF - 1),
    ),
    max_size=6,
)


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True, database=None)
@hypothesis.given(
    seed=st.integers(0, 1_000),
    line_faults=line_faults_strategy,
    faults=faults,
    leaving=st.sets(st.integers(0, 5), max_size=2),
)
def check_prefixes(seed, line_faults, faults, leaving):
    trial = make_trial(seed=seed, line_faults=line_faults)
    start = trial.now
    for number in range(6):
        name = f"r{number}"
        trial.at(
            start + 0.1 * number,
            lambda name=name: send_prompt(
                trial, name, max_tokens=25, timeout_seconds=8.0
            ),
        )
    for at, fault, engine in faults:
        trial.at(
            start + at,
            lambda fault=fault, engine=engine: trial.inject_fault(fault, f"e{engine}"),
        )
    for number in leaving:
        trial.at(
            start + 0.8, lambda number=number: disconnect_caller(trial, f"r{number}")
        )
    trial.run_until(start + 12.0)
    for delivered in trial.delivered.values():
        assert delivered.ended_at is not None, delivered
        assert delivered.tokens == delivered.expected[: len(delivered.tokens)]
    board = trial.nodes[0].board
    assert not board.answers.answers
    assert not any(board.answers.running.values()), board.answers.running


def disconnect_caller(trial, name):
    if trial.delivered[name].ended_at is None:
        trial.disconnect_caller(trial.nodes[0], ids.RequestId(name))


@behave.when("failing engines randomly lose, repeat, misroute, delay and cut lines")
def step_random(context):
    context.check = check_prefixes


@behave.then("every caller got each position once, in order, and every request ended")
def step_prefixes(context):
    context.check()


@behave.when("engines send invalid lines of every kind")
def step_wrong_lines(context):
    line_faults = small_parts.LineFaults(
        duplicated=0.1, crossed=0.1, late=0.1, lost=0.03, layers_missing=0.03
    )
    context.trial = make_trial(line_faults=line_faults)
    for number in range(10):
        send_prompt(context.trial, f"r{number}")
    context.trial.run_until(20.0)


@behave.then("each drop reason was counted and every answer is complete")
def step_drop_reasons(context):
    drops = context.trial.nodes[0].counts.drops
    assert set(drops) == set(reasons.DropReason), drops
    for delivered in context.trial.delivered.values():
        assert delivered.tokens == delivered.expected, delivered


@behave.when("one line of an answer is lost")
def step_lost_line(context):
    context.trial = make_trial()
    send_prompt(context.trial)
    context.trial.run_until(1.3)
    context.trial.line_faults.lost = 1.0
    context.trial.run_until(1.32)
    context.trial.line_faults.lost = 0.0
    context.trial.run_until(5.0)


@behave.then('the answer is complete and a retry of "{reason}" was counted')
def step_gap_retry(context, reason):
    delivered = context.trial.delivered["r1"]
    assert delivered.tokens == delivered.expected, delivered
    counts = context.trial.nodes[0].counts
    assert counts.retries[reasons.RetryReason(reason)] == 1, counts.retries
    assert len(counts.recoveries) == 1, counts


@behave.then("it resumed within {bound:d} ms")
def step_within(context, bound):
    assert small_traces.summarize(context.trial)["longest_gap_ms"] <= bound


@behave.when("the second stage of an answer freezes")
def step_freeze(context):
    context.trial = make_trial()
    starts, cancels = [], []
    context.starts, context.cancels = starts, cancels
    trial = context.trial
    start_attempt, cancel = trial._on_StartAttempt, trial._on_CancelAttempt

    def record_start(node, command):
        starts.append(command)
        start_attempt(node, command)

    def record_cancel(node, command):
        cancels.append(command)
        cancel(node, command)

    trial._on_StartAttempt, trial._on_CancelAttempt = record_start, record_cancel
    send_prompt(trial)
    trial.run_until(1.3)
    trial.inject_fault("freeze", starts[0].stages[1].engine)
    trial.run_until(5.0)


@behave.then("the next attempt keeps the first stage and resumes at the next position")
def step_kept(context):
    first, second = context.starts
    assert second.stages[0].engine == first.stages[0].engine, context.starts
    assert second.stages[1].engine != first.stages[1].engine, context.starts
    assert second.stages[1].kv_from is None, "an unresponsive engine exports nothing"
    assert 0 < len(second.sent) < 30, second
    delivered = context.trial.delivered["r1"]
    assert delivered.tokens == delivered.expected, delivered


@behave.then("the replaced attempt was cancelled at its engines")
def step_cancelled(context):
    (cancel,) = context.cancels
    first = context.starts[0]
    assert cancel.epoch == first.epoch and cancel.stages == first.stages, cancel


@behave.when("a prompt needs more time than its deadline leaves")
def step_deadline_short(context):
    context.trial = make_trial()
    context.delivered = send_prompt(context.trial, max_tokens=500, timeout_seconds=2.0)


@behave.then('it is refused as "{reason}" before any attempt')
def step_unreachable(context, reason):
    assert context.delivered.end is reasons.RefusalReason(reason), context.delivered
    assert context.delivered.attempts == 0, context.delivered


@behave.when("all engines freeze until the deadline of an answer passes")
def step_freeze_all(context):
    context.trial = make_trial()
    context.delivered = send_prompt(context.trial, timeout_seconds=1.0)
    context.trial.run_until(1.2)
    for engine in context.trial.engines:
        context.trial.inject_fault("freeze", engine)
    context.trial.run_until(4.0)


@behave.then('it ended as "{reason}" within one tick')
def step_deadline_passed(context, reason):
    delivered = context.delivered
    assert delivered.end is not None, delivered
    late = delivered.ended_at - (delivered.sent_at + 1.0)
    assert late <= small_engines.TICK_SECONDS + 0.001, delivered


@behave.when("every line of every engine is lost for a while")
def step_all_lost(context):
    context.trial = make_trial(line_faults=small_parts.LineFaults(lost=1.0))
    for number in range(10):
        send_prompt(context.trial, f"r{number}", timeout_seconds=30.0)
    context.trial.run_until(35.0)


@behave.then('answers end as "{reason}" and engines get a bounded number of attempts')
def step_budget(context, reason):
    answers = context.trial.delivered.values()
    assert all(delivered.ended_at for delivered in answers), answers
    wanted = reasons.RefusalReason(reason)
    assert any(delivered.end is wanted for delivered in answers), answers
    assert sum(delivered.attempts for delivered in answers) <= 100


@behave.when("an engine cuts the stream of each attempt of one prompt before a token")
def step_poison(context):
    context.trial = make_trial(line_faults=small_parts.LineFaults(cut=1.0))
    context.delivered = send_prompt(context.trial, "poison", timeout_seconds=30.0)
    context.trial.run_until(6.0)


@behave.then('that answer ends as "{reason}" after at most {count:d} attempts')
def step_poison_ended(context, reason, count):
    assert context.delivered.end is reasons.RefusalReason(reason), context.delivered
    assert context.delivered.attempts <= count, context.delivered


@behave.then("another prompt is answered")
def step_answered(context):
    context.trial.line_faults.cut = 0.0
    delivered = send_prompt(context.trial, "next")
    context.trial.run_until(12.0)
    assert delivered.tokens == delivered.expected, delivered
