import behave
import trio
import trio.testing

from jujubepass.forwarding import (
    backends,
    clocks,
    engines,
    paths,
    probing,
    suspicion,
    watched,
)
from jujubepass.transport import _http_client
from tests import small_fleet


@behave.when("an engine refuses requests for 5 seconds and answers questions")
def step_refuses(context):
    context.refusing = small_fleet.choose(context.fleet).parts[2].engine
    context.written = []
    for _ in range(20):
        reason = suspicion.SuspicionReason.FULL
        context.fleet.suspects.suspect(context.refusing, reason, context.fleet.now)
        context.fleet.suspects.note_answered(context.refusing)
        assert context.refusing not in small_fleet.choose(context.fleet).engines
        context.written += context.fleet.wait(0.25)


@behave.then("no plan is written")
def step_no_plan(context):
    assert not context.written, context.written


@behave.then("it gets requests again a moment after the last refusal")
def step_again(context):
    context.fleet.wait(0.3)
    assert context.refusing in small_fleet.choose(context.fleet).engines


@behave.when("{count:d} engines fall silent at once")
def step_many_silent(context, count):
    context.written = []
    names = sorted(context.fleet.plan.placements)[:count]
    for _ in range(5):
        for name in names:
            reason = suspicion.SuspicionReason.SILENT
            context.fleet.suspects.suspect(name, reason, context.fleet.now)
        context.written += context.fleet.wait(0.4)


ENTRY = paths.Part(
    engine="e1",
    address=_http_client.Address(host="10.0.0.1", port=8_000),
    span=backends.Span(first=0, end=80),
)


def make_stream(*, has_begun=True, began_at=0.0):
    patience = watched.Patience(
        first_overdue=0.125,
        first_suspicious=0.6,
        first_longest=1.8,
        gap_suspicious=0.4,
        gap_longest=1.8,
    )
    return watched.Watched(
        path=paths.Path(parts=(ENTRY,), step_seconds=0.01),
        request="r",
        patience=patience,
        last_data_at=began_at,
        began_at=began_at,
        has_begun=has_begun,
    )


@behave.then("a stream that was silent for 1.5 seconds is checked and not given up")
def step_slow_stream(context):
    stream = make_stream()
    verdicts = [stream.judge(each / 10, has_lost=False) for each in range(16)]
    assert verdicts[0] is watched.Verdict.GOES_ON, verdicts
    assert verdicts[-1] is watched.Verdict.CHECK, verdicts


@behave.then("one whose path has lost an engine is moved after 0.1 seconds")
def step_lost_stream(context):
    stream = make_stream()
    assert stream.judge(0.05, has_lost=True) is watched.Verdict.GOES_ON
    assert stream.judge(0.1, has_lost=True) is watched.Verdict.MOVE
    assert stream.judge(0.2, has_lost=True) is watched.Verdict.MOVE


@behave.then("one whose engines are only full goes on")
def step_full_stream(context):
    suspects = suspicion.Suspects()
    suspects.suspect("e1", suspicion.SuspicionReason.FULL, 1.0)
    assert suspects.is_suspect("e1", 1.1)
    assert not suspects.is_lost("e1", 1.1)
    suspects.suspect("e1", suspicion.SuspicionReason.SILENT, 1.1)
    assert suspects.is_lost("e1", 1.2)


@behave.then("one whose events are overdue by 60 milliseconds has its engines asked")
def step_overdue_stream(context):
    stream = make_stream()
    assert stream.judge(0.061, has_lost=False) is watched.Verdict.ASK_ALL


@behave.then("one that reads a long prompt has them asked after 0.13 seconds")
def step_reading_stream(context):
    stream = make_stream(has_begun=False)
    assert stream.judge(0.1, has_lost=False) is watched.Verdict.GOES_ON
    assert stream.judge(0.13, has_lost=False) is watched.Verdict.ASK_ALL


@behave.then("one whose first event is late goes on while no later one was served")
def step_late_first(context):
    stream = make_stream(has_begun=False)
    earlier = make_stream(began_at=-0.1)
    reading = make_stream(began_at=0.3, has_begun=False)
    assert not stream.is_overtaken_by(earlier)
    assert not stream.is_overtaken_by(reading)
    assert stream.judge(0.7, has_lost=False) is watched.Verdict.CHECK


@behave.then("one that later ones from the same engine overtook is given up")
def step_overtaken(context):
    stream = make_stream(has_begun=False)
    assert stream.is_overtaken_by(make_stream(began_at=0.3))
    early = stream.judge(0.5, has_lost=False, is_overtaken=True)
    assert early is watched.Verdict.ASK_ALL, early
    late = stream.judge(0.7, has_lost=False, is_overtaken=True)
    assert late is watched.Verdict.GIVE_UP, late
    begun = make_stream().judge(0.7, has_lost=False, is_overtaken=True)
    assert begun is watched.Verdict.CHECK, begun


@behave.then("one that was silent for longer than its caller waits is given up")
def step_long_stream(context):
    verdict = make_stream().judge(1.9, has_lost=False)
    assert verdict is watched.Verdict.GIVE_UP, verdict


class LateControl:
    """Respond late to probes of one engine, and at once to those of others."""

    def __init__(self, late, seconds):
        self.late = late
        self.seconds = seconds

    async def read_report(self, engine):
        if engine.name == self.late:
            await trio.sleep(self.seconds)
        return engines.EngineReport(
            started_at=1,
            held=engine.held,
            is_busy=False,
            orders_begun=1,
            running=0,
            queued=0,
        )


def question_path(context, seconds):
    """Check a stalled pipeline three times, at intervals of at least a second."""
    fleet = context.fleet
    path = small_fleet.choose(fleet)
    context.late = path.parts[0].engine
    prober = probing.Prober(
        blackboard=fleet.blackboard,
        suspects=fleet.suspects,
        control=LateControl(context.late, seconds),
        paces=fleet.paces,
    )

    async def ask_thrice():
        context.lost = []
        for _ in range(3):
            await prober.check_path(path.engines)
            now = clocks.read_boot_clock()
            context.lost.append(fleet.suspects.is_lost(context.late, now))
            await trio.sleep(1.5)

    clock = trio.testing.MockClock(autojump_threshold=0.0)
    began = clocks.read_boot_clock()
    trio.run(ask_thrice, clock=clock)
    context.dead_at = began + 10.0


@behave.when(
    "the first engine of a silent path answers each question after 0.1 seconds"
)
def step_answers_late(context):
    question_path(context, 0.1)


@behave.when("the first engine of a silent path answers no question")
def step_answers_nothing(context):
    question_path(context, 60.0)


@behave.then("streams leave it")
def step_left(context):
    assert context.lost[0], context.lost


def is_dead(context):
    return context.fleet.suspects.is_dead(
        context.late, context.dead_at, least_seconds=0.7, least_questions=2
    )


@behave.then("it is not held for dead")
def step_not_dead(context):
    assert not is_dead(context)


@behave.then("it is held for dead")
def step_dead(context):
    assert is_dead(context)
