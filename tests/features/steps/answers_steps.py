import random

import behave
import hypothesis
import hypothesis.strategies as st

from jujubepass import (
    _backend_area,
    _backend_messages,
    _backends,
    _blackboard,
    _breakers,
    _http_client,
    _prefixes,
    _recovery,
    _routes,
    _subsets,
    declarations,
    ids,
    reasons,
)
from tests import small_engines

ENGINES_PER_HALF = 3
PROMPT = tuple(f"word{number}" for number in range(20))


def make_engines():
    return [
        small_engines.Engine(
            name=f"e{index}",
            first_layer=16 * (index % 2),
            end_layer=16 * (index % 2) + 16,
        )
        for index in range(2 * ENGINES_PER_HALF)
    ]


def make_policies(source):
    return (
        _routes.PredictedTimePolicy(random_source=source),
        _recovery.ResumePolicy(longest_stall_seconds=0.5),
    )


def make_trial(**options):
    return small_engines.Trial(
        engines=make_engines(), make_policies=make_policies, **options
    )


def ask(trial, name="r1", max_tokens=30, **options):
    request = ids.RequestId(name)
    trial.ask(trial.nodes[0], request, PROMPT, max_tokens, **options)
    return trial.delivered[request]


shares = st.sampled_from([0.0, 0.0, 0.05, 0.2])
noises = st.builds(
    small_engines.Noise,
    duplicated=shares,
    crossed=shares,
    late=shares,
    lost=shares,
    layers_missing=shares,
    cut=shares,
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
    noise=noises,
    faults=faults,
    leaving=st.sets(st.integers(0, 5), max_size=2),
)
def check_prefixes(seed, noise, faults, leaving):
    trial = make_trial(seed=seed, noise=noise)
    start = trial.now
    for number in range(6):
        name = f"r{number}"
        trial.at(
            start + 0.1 * number,
            lambda name=name: ask(trial, name, max_tokens=25, timeout_seconds=8.0),
        )
    for at, fault, engine in faults:
        trial.at(
            start + at,
            lambda fault=fault, engine=engine: trial.hit(fault, f"e{engine}"),
        )
    for number in leaving:
        trial.at(start + 0.8, lambda number=number: leave(trial, f"r{number}"))
    trial.run_until(start + 12.0)
    for delivered in trial.delivered.values():
        assert delivered.ended_at is not None, delivered
        assert delivered.tokens == delivered.expected[: len(delivered.tokens)]
    board = trial.nodes[0].board
    assert not board.answers.answers
    assert not any(board.answers.running.values()), board.answers.running


def leave(trial, name):
    if trial.delivered[name].ended_at is None:
        trial.leave(trial.nodes[0], ids.RequestId(name))


@behave.when(
    "engines lose, repeat, cross, delay and cut lines at random while they fail"
)
def step_random(context):
    context.check = check_prefixes


@behave.then("every caller got each position once, in order, and every request ended")
def step_prefixes(context):
    context.check()


@behave.when("engines give wrong lines of every kind")
def step_wrong_lines(context):
    noise = small_engines.Noise(
        duplicated=0.1, crossed=0.1, late=0.1, lost=0.03, layers_missing=0.03
    )
    context.trial = make_trial(noise=noise)
    for number in range(10):
        ask(context.trial, f"r{number}")
    context.trial.run_until(20.0)


@behave.then("each drop reason was counted and every answer is whole")
def step_drop_reasons(context):
    drops = context.trial.nodes[0].counts.drops
    assert set(drops) == set(reasons.DropReason), drops
    for delivered in context.trial.delivered.values():
        assert delivered.tokens == delivered.expected, delivered


@behave.when("one line of an answer is lost")
def step_lost_line(context):
    context.trial = make_trial()
    ask(context.trial)
    context.trial.run_until(1.3)
    context.trial.noise.lost = 1.0
    context.trial.run_until(1.32)
    context.trial.noise.lost = 0.0
    context.trial.run_until(5.0)


@behave.then('the answer is whole and a retry of "{reason}" was counted')
def step_gap_retry(context, reason):
    delivered = context.trial.delivered["r1"]
    assert delivered.tokens == delivered.expected, delivered
    counts = context.trial.nodes[0].counts
    assert counts.retries[reasons.RetryReason(reason)] == 1, counts.retries
    assert len(counts.recoveries) == 1, counts


@behave.then("it went on within {bound:d} ms")
def step_within(context, bound):
    assert small_engines.summarize(context.trial)["longest_gap_ms"] <= bound


@behave.when("the second stage of an answer freezes")
def step_freeze(context):
    context.trial = make_trial()
    starts, cancels = [], []
    context.starts, context.cancels = starts, cancels
    trial = context.trial
    start_attempt, cancel = trial._on_StartAttempt, trial._on_CancelAttempt

    def note_start(node, command):
        starts.append(command)
        start_attempt(node, command)

    def note_cancel(node, command):
        cancels.append(command)
        cancel(node, command)

    trial._on_StartAttempt, trial._on_CancelAttempt = note_start, note_cancel
    ask(trial)
    trial.run_until(1.3)
    trial.hit("freeze", starts[0].stages[1].engine)
    trial.run_until(5.0)


@behave.then(
    "the next attempt keeps the first stage and goes on from the next position"
)
def step_kept(context):
    first, second = context.starts
    assert second.stages[0].engine == first.stages[0].engine, context.starts
    assert second.stages[1].engine != first.stages[1].engine, context.starts
    assert second.stages[1].kv_from is None, "a silent holder exports nothing"
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
    context.delivered = ask(context.trial, max_tokens=500, timeout_seconds=2.0)


@behave.then('it is refused as "{reason}" before any attempt')
def step_unreachable(context, reason):
    assert context.delivered.end is reasons.RefusalReason(reason), context.delivered
    assert context.delivered.starts == 0, context.delivered


@behave.when("all engines freeze until the deadline of an answer passes")
def step_freeze_all(context):
    context.trial = make_trial()
    context.delivered = ask(context.trial, timeout_seconds=1.0)
    context.trial.run_until(1.2)
    for engine in context.trial.engines:
        context.trial.hit("freeze", engine)
    context.trial.run_until(4.0)


@behave.then('it ended as "{reason}" within one tick')
def step_deadline_passed(context, reason):
    delivered = context.delivered
    assert delivered.end is not None, delivered
    late = delivered.ended_at - (delivered.asked_at + 1.0)
    assert late <= small_engines.TICK_SECONDS + 0.001, delivered


@behave.when("an engine's circuit breaker opens")
def step_breaker(context):
    context.breaker = _breakers.Breaker()
    for _ in range(2):
        context.breaker.count_fault(0.0, is_certain=False)
    assert not context.breaker.is_open(0.0)
    context.breaker.count_fault(0.0, is_certain=False)


@behave.then("no attempt goes to it until it is half open, and then one")
def step_half_open(context):
    breaker = context.breaker
    assert breaker.is_open(0.5) and not breaker.is_open(1.5)
    breaker.note_dispatch(1.5)
    assert breaker.is_open(1.6), "a second attempt goes through"
    breaker.close()
    assert not breaker.is_open(1.6)
    breaker.count_fault(2.0, is_certain=True)
    assert breaker.is_open(2.1, heard_at=1.9)
    assert not breaker.is_open(2.2, heard_at=2.15), "news closes it"


@behave.when("every line of every engine is lost for a while")
def step_all_lost(context):
    context.trial = make_trial(noise=small_engines.Noise(lost=1.0))
    for number in range(10):
        ask(context.trial, f"r{number}", timeout_seconds=30.0)
    context.trial.run_until(35.0)


@behave.then('answers end as "{reason}" and engines get a bounded number of attempts')
def step_budget(context, reason):
    answers = context.trial.delivered.values()
    assert all(delivered.ended_at for delivered in answers), answers
    wanted = reasons.RefusalReason(reason)
    assert any(delivered.end is wanted for delivered in answers), answers
    assert sum(delivered.starts for delivered in answers) <= 100


@behave.when("an engine cuts the stream of each attempt of one prompt before a token")
def step_poison(context):
    context.trial = make_trial(noise=small_engines.Noise(cut=1.0))
    context.delivered = ask(context.trial, "poison", timeout_seconds=30.0)
    context.trial.run_until(6.0)


@behave.then('that answer ends as "{reason}" after at most {count:d} attempts')
def step_poison_ended(context, reason, count):
    assert context.delivered.end is reasons.RefusalReason(reason), context.delivered
    assert context.delivered.starts <= count, context.delivered


@behave.then("another prompt is answered")
def step_answered(context):
    context.trial.noise.cut = 0.0
    delivered = ask(context.trial, "next")
    context.trial.run_until(12.0)
    assert delivered.tokens == delivered.expected, delivered


def make_listing(count):
    return _backend_messages.VmsListed(
        vms=tuple(
            _backend_messages.Vm(
                name=f"e{index}",
                role=_backend_messages.VmRole.ENGINE,
                address=_http_client.Address(host="e", port=index + 1),
                region=ids.RegionId("r"),
                failure_domain=ids.FailureDomainId("a"),
                state=_backend_messages.VmState.LIVE,
            )
            for index in range(count)
        ),
        age_seconds=0.0,
    )


def report(name):
    first = 8 * (int(name[1:]) % 4)
    return _backend_messages.LoadReport(
        engine=name,
        incarnation="1",
        model=small_engines.MODEL,
        version="1",
        first_layer=first,
        end_layer=first + 8,
        accelerator="a100",
        running=0,
        waiting=0,
        max_batch=16,
        step_seconds=0.01,
        prefill_tokens_per_second=8_000.0,
        kv_free_tokens=100_000,
        leaving=False,
        age_seconds=0.0,
        link_seconds={},
    )


def count_ranges(polled):
    counts = [0] * 4
    for name in polled:
        counts[int(name[1:]) % 4] += 1
    return counts


@behave.when("{count:d} engines of four layer ranges are listed to 9 nodes")
def step_many_engines(context, count):
    context.controllers = []
    listing = make_listing(count)
    for node in range(9):
        identity = _blackboard.Identity(
            node=ids.NodeId(f"node-{node}"),
            incarnation="1",
            region=ids.RegionId("r"),
            failure_domain=ids.FailureDomainId("a"),
        )
        board = _blackboard.Blackboard(identity=identity)
        name = small_engines.MODEL
        board.configuration.declared = declarations.Declarations(
            models={name: declarations.Model(name=name, layers=32)}
        )
        timing = _backends.BackendTiming(load_poll_seconds=0.5, vm_poll_seconds=2.0)
        controller = _backends.BackendController(blackboard=board, timing=timing)
        for now in range(4):
            controller.join_list(listing, float(now))
            for polled in board.backends.polled:
                event = _backend_messages.LoadReported(report=report(polled))
                controller.keep_report(event, float(now))
        controller.join_list(listing, 5.0)
        context.controllers.append(controller)


@behave.then(
    "each node polls at most 12 engines a range, covers every layer, and nodes differ"
)
def step_subsets(context):
    subsets = [c.blackboard.backends.polled for c in context.controllers]
    for polled in subsets:
        counts = count_ranges(polled)
        assert all(1 <= count <= 12 for count in counts), counts
    assert len(set(subsets)) == len(subsets)


@behave.then(
    "when the engines of one range in a subset fall silent, others take their place"
)
def step_fallback(context):
    controller = context.controllers[0]
    backends = controller.blackboard.backends
    silent = {name for name in backends.polled if int(name[1:]) % 4 == 2}
    for now in range(6, 14):
        for name in silent & set(backends.polled):
            event = _backend_messages.LoadUnanswered(engine=name, detail="silent")
            controller.count_silence(event, float(now))
        controller.join_list(make_listing(600), float(now))
        for name in set(backends.polled) - silent:
            event = _backend_messages.LoadReported(report=report(name))
            controller.keep_report(event, float(now))
    fresh = [
        name
        for name in backends.polled
        if int(name[1:]) % 4 == 2 and name not in silent
    ]
    assert fresh, count_ranges(backends.polled)
    ranked = _subsets.rank_engine(ids.NodeId("node-1"), ids.BackendServerId("e1"))
    assert ranked == _subsets.rank_engine(ids.NodeId("node-1"), "e1")


def make_backend():
    return _backend_area.BackendServer(vm=make_listing(1).vms[0])


@behave.then("words expected in a cache fall with the age and the gaps of its events")
def step_affinity(context):
    blocks = _prefixes.hash_blocks(small_engines.MODEL, PROMPT * 4)
    engine = make_backend()
    engine.cached_prefixes.update(dict.fromkeys(blocks, 0.0))
    fresh = _prefixes.expect_cached_words(engine, blocks, 1.0)
    old = _prefixes.expect_cached_words(engine, blocks, 600.0)
    assert 0.0 < old < fresh <= len(PROMPT * 4), (old, fresh)
    engine.cache_gap_share = 0.5
    assert _prefixes.expect_cached_words(engine, blocks, 1.0) < fresh
    assert _prefixes.expect_cached_words(make_backend(), blocks, 1.0) == 0.0


@behave.then("the memory kept for one engine's cache is bounded")
def step_bounded(context):
    source = random.Random(1)
    controller = _make_single()
    sequence = 0
    for _ in range(10):
        events = []
        for _ in range(1_000):
            sequence += 1
            prefix = f"{source.randrange(10**12)}"
            events.append(
                _backend_messages.CacheEvent(
                    sequence=sequence, stored=True, prefix=prefix
                )
            )
        controller.keep_cache_events(
            _backend_messages.CacheEventsReported(
                engine=ids.BackendServerId("e0"),
                events=tuple(events),
                next_sequence=sequence,
            ),
            1.0,
        )
    engine = controller.blackboard.backends.engines["e0"]
    assert len(engine.cached_prefixes) <= 1_024
    assert engine.cache_gap_share < 0.01, engine.cache_gap_share


def _make_single():
    identity = _blackboard.Identity(
        node=ids.NodeId("node-1"),
        incarnation="1",
        region=ids.RegionId("r"),
        failure_domain=ids.FailureDomainId("a"),
    )
    timing = _backends.BackendTiming(load_poll_seconds=0.5, vm_poll_seconds=2.0)
    controller = _backends.BackendController(
        blackboard=_blackboard.Blackboard(identity=identity), timing=timing
    )
    controller.join_list(make_listing(1), 0.0)
    return controller
