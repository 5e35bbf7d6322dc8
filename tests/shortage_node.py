"""One node whose model requests wait for places, with fakes of the view and places."""

import collections
import contextlib
import random
from unittest import mock

import attrs
import trio
import trio.testing

from jujubepass import ids
from jujubepass.event_streams import answer
from jujubepass.forwarding import (
    admission,
    clocks,
    exchange,
    pipelines,
    stream_progress,
)
from jujubepass.quarantine import guard
from jujubepass.shortage import gate, queue
from tests import shortage_domain, small_fleet

OWN_STREAM = "own stream"


class View:
    """Show no demand of other nodes, and as many ended streams as the test sets."""

    is_known = True
    ends = 40.0

    def find_demand(self, now):
        demand = attrs.evolve(shortage_domain.NO_DEMAND, ends_per_second=self.ends)
        return demand if self.is_known else None


class Places:
    """Count free places as the test sets them."""

    free = 0.0
    has_any = True

    def count_free(self, now):
        return self.free

    def count_places(self, now):
        return 100.0

    def has_place(self, pipeline, now):
        return self.has_any


class Recorder:
    """Sum up what other nodes are told."""

    def __init__(self):
        self.waiting = collections.Counter()
        self.arrivals = 0

    def record_waiting(self, priority, change):
        self.waiting[priority] += change

    def record_arrival(self, priority):
        self.arrivals += 1


class Trial:
    """Let requests wait for a pipeline at one node, in simulated time."""

    def __init__(self, *, uses_view=True):
        self.fleet = small_fleet.make_planned_fleet()
        self.view, self.places, self.recorder = View(), Places(), Recorder()
        self.gate = gate.Gate(
            uses_view=lambda service: uses_view,
            view=self.view,
            recorder=self.recorder,
            places=self.places,
            queue=queue.Queue(random_source=random.Random(1)),
        )
        self.claims = small_fleet.make_claims(
            self.fleet.blackboard,
            self.fleet.choice,
            small_fleet.make_guard(self.fleet.blackboard),
            self.fleet.limits,
            shortage=self.gate,
        )
        self.choices = 0
        self._choose = self.claims._choose
        self.found = {}
        self.scopes = {}
        self.progresses = {}

    def read_clock(self):
        return self.fleet.now + trio.current_time() - self.began_at

    def run(self, *actions):
        """Run actions in simulated time, as coroutine functions of this trial."""

        async def play():
            self.began_at = trio.current_time()
            area = self.fleet.blackboard.configuration
            area.confirmed_at = self.fleet.now + 1_000.0
            async with trio.open_nursery() as self.nursery:
                for action in actions:
                    await action(self)
                self.nursery.cancel_scope.cancel()

        def count(claims, *arguments):
            self.choices += 1
            return self._choose(*arguments)

        with (
            mock.patch.object(clocks, "read_boot_clock", self.read_clock),
            mock.patch.object(type(self.claims), "_choose", count),
        ):
            trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0.0))

    async def wait(self, name):
        """Wait for a pipeline as a request; record what came of it."""
        now = clocks.read_boot_clock()
        request = make_request(name, now)
        control = admission.Admission(blackboard=self.fleet.blackboard)
        admitted = control.admit(request, now)
        progress = self.progresses[name] = stream_progress.Progress(
            answer=answer.EventAnswer(),
            deadline=admitted.deadline,
            guarded=guard.track(request, admitted),
        )
        with trio.CancelScope() as self.scopes[name], contextlib.ExitStack() as stack:
            stack.callback(self.release_cancelled, name)
            self.found[name] = await self.claims.wait_for_pipeline(
                request, admitted, progress
            )

    def release_cancelled(self, name):
        """Release the place of a request that ended, as the exchange does."""
        if self.scopes[name].cancel_called:
            self.gate.release(self.progresses[name].entry)

    def list_started(self):
        found = self.found.items()
        return [name for name, each in found if isinstance(each, pipelines.Pipeline)]


def make_request(name, now):
    return exchange.CallerRequest(
        request_id=ids.RequestId(name),
        host=small_fleet.ROUTE.host,
        method="POST",
        target=small_fleet.ROUTE.prefix,
        key="ana-key",
        arrived_at=now,
        timeout_seconds=20.0,
        resume_after=None,
        max_answer_tokens=10,
        fields=(),
        body=b"",
    )
