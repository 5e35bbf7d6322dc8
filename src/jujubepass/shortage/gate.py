"""Waits of model requests for places, with the queue's decisions."""

import collections.abc
import math
import random

import attrs
import trio

from jujubepass.capacity import view
from jujubepass.forwarding import (
    clocks,
    declarations,
    exchange,
    pipelines,
    stream_timeouts,
)
from jujubepass.shortage import entries, measures, places, queue

# Aliases, because fields have the same names as the modules.
_Measures = measures.Measures
_Places = places.Places
_Queue = queue.Queue
_Known = queue.Known
_Recorder = view.Recorder
_View = view.View

# Time after which the queue is checked again without an event.
_POLL_INTERVAL_SECONDS = 0.05
# Interval of views, for a view that does not tell its time.
_VIEW_INTERVAL_SECONDS = 0.25

Choose = collections.abc.Callable[[], pipelines.Pipeline | None]


def _use_no_view(service: declarations.Service) -> bool:
    return False


@attrs.define(kw_only=True)
class Gate:
    """Let model requests wait here for a place at a first engine.

    Without a view nothing waits. One of the waiting requests checks the queue from time
    to time for all of them, and wakes just those about which the queue has decided.
    """

    uses_view: collections.abc.Callable[[declarations.Service], bool] = _use_no_view
    view: _View | None = None
    recorder: _Recorder | None = None
    places: _Places | None = None
    find_view_time: collections.abc.Callable[[float], float | None] | None = None
    """Return the boot-clock time at which the view in use was received."""
    measures: _Measures = attrs.field(factory=_Measures)
    queue: _Queue = attrs.field(
        factory=lambda: queue.Queue(random_source=random.Random())
    )
    _waiting: dict[entries.Entry, trio.Event] = attrs.field(factory=dict, init=False)
    _checker: entries.Entry | None = attrs.field(default=None, init=False)

    def count_waiting(self) -> dict[str, float]:
        """Count the waiting requests by priority."""
        counts = dict.fromkeys(map(str, range(view.PRIORITIES)), 0.0)
        for each in self._waiting:
            counts[str(each.priority)] += 1.0
        return counts

    def make_entry(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        *,
        is_resumed: bool,
    ) -> entries.Entry | None:
        """Return the entry of a request; None if its service has no shared view."""
        if not self.uses_view(admitted.service):
            return None
        account, route = admitted.account, admitted.route
        weight = account.weight if account is not None else 1.0
        if not entries.is_priority(admitted.priority):
            self.measures.record_invalid(
                "priority", admitted.priority, request.arrived_at
            )
        if not entries.is_weight(weight):
            self.measures.record_invalid("weight", weight, request.arrived_at)
        entry = entries.Entry(
            request=request.request_id,
            priority=entries.clamp_priority(admitted.priority),
            account=account.name if account is not None else "",
            weight=entries.clamp_weight(weight),
            arrived_at=request.arrived_at,
            deadline=admitted.deadline,
            goal_seconds=route.goal_seconds,
            caller_timeout_seconds=stream_timeouts.compute_caller_timeout(route),
            is_resumed=is_resumed,
        )
        if self.recorder is not None:
            self.recorder.record_arrival(entry.priority)
        return entry

    async def claim(
        self, entry: entries.Entry, pipeline: pipelines.Pipeline, choose: Choose
    ) -> pipelines.Pipeline | None:
        """Return the pipeline to use once the request has a place there.

        Returns None if there is no pipeline any more, or if the entry is refused.
        """
        began_at = now = clocks.read_boot_clock()
        entry.reset()
        self._update(now)
        if not self.queue.is_known:
            return pipeline
        found: pipelines.Pipeline | None = pipeline
        self._wake(self.queue.enter(entry, now))
        try:
            while found is not None:
                if entry.state is entries.State.WAITING:
                    await self._wait_for_decision(entry)
                    found = None
                if entry.state is entries.State.REFUSED:
                    return None
                now = clocks.read_boot_clock()
                found = found or choose()
                if found is not None and self._may_use(entry, found, now):
                    self.queue.confirm_start(entry, now)
                    return found
                if found is not None:
                    self.queue.return_start(entry, now + _POLL_INTERVAL_SECONDS)
            return None
        finally:
            self._finish(entry, began_at)

    def start_unqueued(self, entry: entries.Entry) -> None:
        """Count the start of a request that goes on with a response."""
        if entry.state is not entries.State.STARTED:
            self.queue.start_unqueued(entry, clocks.read_boot_clock())

    def release(self, entry: entries.Entry | None, *, is_free: bool = True) -> None:
        """Give the place of a request to another, unless it was none."""
        if entry is None or entry.state is not entries.State.STARTED:
            return
        self.queue.end_start(entry, is_free=is_free)
        if is_free and self._waiting:
            self.check()

    def check(self) -> None:
        """Decide about the waiting requests, as on a new view."""
        now = clocks.read_boot_clock()
        self._update(now)
        self._wake(self.queue.decide(now))

    def find_retry(self, entry: entries.Entry | None) -> float | None:
        """Return the Retry-After of a request that full engines rejected, if known."""
        now = clocks.read_boot_clock()
        self._update(now)
        if entry is None or not self.queue.is_known:
            return None
        return self.queue.find_retry(entry, now)

    def record_first_event(self, entry: entries.Entry | None) -> None:
        """Record that the first event of a started request has arrived."""
        if entry is not None and entry.started_at is not None:
            seconds = clocks.read_boot_clock() - entry.started_at
            self.queue.record_first_event(seconds)

    async def _wait_for_decision(self, entry: entries.Entry) -> None:
        """Wait until the queue starts or refuses a request."""
        entry.has_waited = True
        self._record_waiting(entry, 1)
        self._waiting[entry] = trio.Event()
        try:
            while entry.state is entries.State.WAITING:
                if self._checker is None:
                    self._checker = entry
                if self._checker is entry:
                    with trio.move_on_after(_POLL_INTERVAL_SECONDS):
                        await self._waiting[entry].wait()
                    if entry.state is entries.State.WAITING:
                        self.check()
                else:
                    await self._waiting[entry].wait()
                    self._waiting[entry] = trio.Event()
        finally:
            del self._waiting[entry]
            self._record_waiting(entry, -1)
            if self._checker is entry:
                self._checker = None
                for event in self._waiting.values():
                    event.set()
                    break

    def _record_waiting(self, entry: entries.Entry, change: int) -> None:
        if self.recorder is not None:
            self.recorder.record_waiting(entry.priority, change)

    def _finish(self, entry: entries.Entry, began_at: float) -> None:
        """Leave nothing of a request that did not start, and log its wait."""
        now = clocks.read_boot_clock()
        self.queue.leave(entry)
        if entry.started_at is None:
            self.release(entry)
        waited = now - began_at if entry.has_waited else 0.0
        time = self.find_view_time(now) if self.find_view_time else None
        self.measures.record_decision(
            entry,
            self.queue.state,
            waited_seconds=waited,
            view_age_seconds=None if time is None else now - time,
        )

    def _wake(self, changed: collections.abc.Iterable[entries.Entry]) -> None:
        for each in changed:
            event = self._waiting.get(each)
            if event is not None:
                event.set()

    def _may_use(
        self, entry: entries.Entry, pipeline: pipelines.Pipeline, now: float
    ) -> bool:
        if self.places is None or not self.queue.is_known:
            return True
        # The rest of a response is tried as without a queue once it has waited.
        if entry.is_resumed and self.queue.find_longest_wait(entry, now) <= 0.0:
            return True
        return self.places.has_place(pipeline, now)

    def _update(self, now: float) -> None:
        self.queue.update(self._read(now), now)

    def _read(self, now: float) -> _Known | None:
        """Return what is known now; None if any of it is unknown or invalid."""
        if self.view is None or self.places is None:
            return None
        demand = self.view.find_demand(now)
        free, total = self.places.count_free(now), self.places.count_places(now)
        if demand is None or free is None or total is None:
            return None
        values = (
            *demand.waiting,
            *demand.arrivals_per_second,
            demand.ends_per_second,
            total,
        )
        if not math.isfinite(free) or not all(
            math.isfinite(each) and each >= 0.0 for each in values
        ):
            self.measures.record_invalid("demand", (free, *values), now)
            return None
        version = self.find_view_time(now) if self.find_view_time else None
        if version is None:
            version = now // _VIEW_INTERVAL_SECONDS
        return _Known(demand=demand, free=free, total=total, version=version)
