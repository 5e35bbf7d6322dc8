import behave

from jujubepass.forwarding import paths, suspicion, watched
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


def make_stream(*, has_begun=True):
    patience = watched.Patience(
        first_overdue=0.125,
        first_suspicious=0.6,
        first_longest=1.8,
        gap_suspicious=0.4,
        gap_longest=1.8,
    )
    return watched.Watched(
        path=paths.Path(parts=(), step_seconds=0.01),
        request="r",
        patience=patience,
        last_data_at=0.0,
        began_at=0.0,
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


@behave.then("one that was silent for longer than its caller waits is given up")
def step_long_stream(context):
    verdict = make_stream().judge(1.9, has_lost=False)
    assert verdict is watched.Verdict.GIVE_UP, verdict
