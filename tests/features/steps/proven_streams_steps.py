import contextlib

import behave
import trio

from jujubepass import ids
from jujubepass.forwarding import exchange, feeds, sending
from jujubepass.quarantine import suspects
from tests import small_fleet
from tests.features.steps import quarantine_steps

# Longer than the time after which a run counts as sound.
RUN_SECONDS = 1.5
PART = "a"


class Sender:
    """Run a request well for a while, break it, and complete its next run."""

    def __init__(self):
        self.runs = 0
        self.guard = None

    @contextlib.asynccontextmanager
    async def open(self, request, attempt, address):
        self.runs += 1
        head = exchange.AnswerHead(kind=exchange.AnswerKind.RAN, status=200, fields=())
        yield head, Answer(sender=self, number=2 * self.runs - 1)


class Answer:
    """Deliver two events and end; the first run breaks instead."""

    headers = {"transfer-encoding": "chunked"}

    def __init__(self, *, sender, number):
        self.sender = sender
        self.left = [number, number + 1]

    async def receive(self):
        if not self.left and self.sender.runs == 1:
            await trio.sleep(0.1)
            put_in_quarantine(self.sender.guard.quarantine)
            raise sending.OutcomeUnknownError("connection broke")
        if not self.left:
            return b""
        number = self.left.pop(0)
        if not self.left:
            await trio.sleep(RUN_SECONDS)
        return f"id: {number}\ndata: x\n\n".encode()


def put_in_quarantine(quarantine):
    """Read a row in which other nodes hold enough ended runs against the part."""
    key = suspects.PartKey(service=small_fleet.SERVICE, part=ids.PromptPartId(PART))
    ended = frozenset(
        suspects.ServerRun(server=ids.BackendServerId(f"gone-{each}"), started_at=1)
        for each in range(suspects.MIN_ENDED_RUNS)
    )
    row = suspects.Suspect(key=key, version=1, ended=ended, depth=0)
    now = trio.current_time()
    changes = feeds.Changes(items={str(key): row}, version=1, confirmed_at=now)
    quarantine.apply(changes, now)
    assert key in quarantine.blackboard.quarantine.quarantined


@behave.when(
    "a part of a stream that has run well is put into quarantine and the run breaks"
)
def step_quarantined(context):
    context.sender = Sender()
    streams = quarantine_steps.make_streams(context.fleet, context.sender)
    context.sender.guard = streams.guard
    context.reply = quarantine_steps.run(
        lambda: quarantine_steps.serve(context.fleet, streams, (PART,))
    )


@behave.then("the answer is completed by a second run")
def step_completed(context):
    assert context.reply.outcome == "answered", context.reply
    assert context.sender.runs == 2, context.sender.runs
