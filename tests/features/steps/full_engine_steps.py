import behave

from jujubepass.forwarding import paths, stall_watch, suspicion
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


def make_watched():
    patience = stall_watch.Patience(
        first_suspicious=0.6, first_longest=1.8, gap_suspicious=0.4, gap_longest=1.8
    )
    return stall_watch.Watched(
        path=paths.Path(parts=(), step_seconds=0.01),
        request="r",
        patience=patience,
        last_data_at=0.0,
        began_at=0.0,
        has_begun=True,
    )


@behave.then("a stream that was silent for 1.5 seconds is checked and not given up")
def step_slow_stream(context):
    watched = make_watched()
    verdicts = [watched.judge(each / 10, has_suspect=False) for each in range(16)]
    assert verdicts[0] is stall_watch.Verdict.GOES_ON, verdicts
    assert verdicts[-1] is stall_watch.Verdict.CHECK, verdicts


@behave.then("one whose path has a suspect is given up after 0.2 seconds")
def step_suspect_stream(context):
    verdict = make_watched().judge(0.2, has_suspect=True)
    assert verdict is stall_watch.Verdict.GIVE_UP, verdict


@behave.then("one that was silent for longer than its caller waits is given up")
def step_long_stream(context):
    verdict = make_watched().judge(1.9, has_suspect=False)
    assert verdict is stall_watch.Verdict.GIVE_UP, verdict
