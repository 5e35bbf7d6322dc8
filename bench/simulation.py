"""Discrete-event simulation with an injected clock."""

import collections.abc
import heapq
import itertools

import attrs

Step = collections.abc.Callable[[], None]


@attrs.define(kw_only=True)
class Simulation:
    """Run scheduled steps; the clock advances only between steps."""

    now: float = 0.0
    _queue: list[tuple[float, int, Step]] = attrs.field(factory=list, init=False)
    _order: "itertools.count[int]" = attrs.field(factory=itertools.count, init=False)

    def schedule(self, delay_seconds: float, step: Step) -> None:
        """Schedule a step after a delay."""
        entry = (self.now + delay_seconds, next(self._order), step)
        heapq.heappush(self._queue, entry)

    def run_until(self, end: float) -> None:
        """Run every step that is due by a time, then set the clock to that time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, step = heapq.heappop(self._queue)
            step()
        self.now = end
