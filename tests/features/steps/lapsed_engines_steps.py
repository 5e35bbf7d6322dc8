import contextlib

import behave

from jujubepass.forwarding import exchange
from tests import small_fleet
from tests.features.steps import quarantine_steps

BROKEN_RUNS = 2


class LapsingSender:
    """Break runs; the first one's engine is not listed until the second one begins."""

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.lapsed = None
        self.engines = []

    @contextlib.asynccontextmanager
    async def open(self, request, attempt, address):
        self.engines.append(attempt.backend)
        if self.lapsed is None:
            self.lapsed = self.fleet.blackboard.backends.listed[attempt.backend]
            self.fleet.list_engines([], gone=[attempt.backend])
        else:
            self.fleet.list_engines([self.lapsed])
        run = len(self.engines)
        head = exchange.AnswerHead(kind=exchange.AnswerKind.RAN, status=200, fields=())
        yield (
            head,
            quarantine_steps.BreakingAnswer(
                first=run, count=1, breaks=run <= BROKEN_RUNS
            ),
        )


@behave.when(
    "a stream's engine loses its entry while its run breaks, and a second run breaks"
)
def step_lapse(context):
    context.sender = LapsingSender(fleet=context.fleet)
    streams = quarantine_steps.make_streams(context.fleet, context.sender)
    reply = quarantine_steps.run(
        lambda: quarantine_steps.serve(context.fleet, streams, ())
    )
    assert reply.outcome == "answered", reply


@behave.then("its third run begins at one of these two engines")
def step_bound(context):
    *before, last = context.sender.engines
    assert len(set(before)) == small_fleet.ROUTE.max_attempts, before
    assert last in before, context.sender.engines
