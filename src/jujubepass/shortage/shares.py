"""Share of a node in the free places of its failure domain."""

import collections.abc
import math
import random

import attrs

from jujubepass.capacity import view

_SMOOTHING_SECONDS = 2.0
# Interval of views. The one in use is up to twice as old, as reports and views are sent
# at this interval each.
_VIEW_SECONDS = 0.25
_LAG_SECONDS = 0.5
# Places are kept for more urgent requests that arrive until a view shows these starts.
RESERVE_SECONDS = 0.5
# Places that end serve more urgent requests as well, so that few need to be kept. A
# larger reserve left a third of the places idle while requests waited.
_MAX_RESERVED_SHARE = 0.05
# Mean age of a view while it is in use.
_VIEW_AGE_SECONDS = 0.375
# Requests beyond the places that chance may let in, well below a tenth; without
# it, a third of the least urgent requests waited at nine tenths of the capacity.
_TOLERATED_SHARE = 0.03
# Time until a view shows the places of streams that end where nothing waits.
_IDLE_SECONDS = 0.4
# Length of a stream until some have ended.
_ASSUMED_STREAM_SECONDS = 3.0
_LENGTH_SMOOTHING_SECONDS = 10.0
_MIN_STREAM_SECONDS = 0.1
_LEVELS = range(view.PRIORITIES)


def _make_zeros() -> list[float]:
    return [0.0] * view.PRIORITIES


@attrs.define(kw_only=True)
class Shares:
    """Divide free places between nodes and priorities, once for each view."""

    random_source: random.Random
    free: float | None = None
    """Free places as this node knows them; None if unknown."""
    total: float = 0.0
    waiting: tuple[float, ...] = (0.0,) * view.PRIORITIES
    arrivals: list[float] = attrs.field(factory=_make_zeros)
    """Arrivals per second by priority, smoothed."""
    ends: float = 0.0
    """Ends of streams per second, smoothed."""
    nodes: int = 1
    granted: list[float] = attrs.field(factory=_make_zeros, init=False)
    """Starts by priority that this node has left until the next view."""
    protected: float = attrs.field(default=0.0, init=False)
    """Starts of starved requests that are left."""
    ended: int = attrs.field(default=0, init=False)
    """Places of ended own streams that are left."""
    excess: float = attrs.field(default=0.0, init=False)
    """Part of the streams that end whose places are not used, as too many run."""
    taken: float = attrs.field(default=0.0, init=False)
    """Places per second that all nodes took between the last two views."""
    _starts: list[int] = attrs.field(factory=lambda: [0, 0], init=False)
    """Starts of this node before the last view, and since then."""
    _ends: list[int] = attrs.field(factory=lambda: [0, 0], init=False)
    _last_free: float = attrs.field(default=0.0, init=False)
    _running: float = attrs.field(default=0.0, init=False)
    _stream_seconds: float = attrs.field(default=_ASSUMED_STREAM_SECONDS, init=False)
    _updated_at: float | None = attrs.field(default=None, init=False)
    _given: float = attrs.field(default=0.0, init=False)

    def forget(self) -> None:
        """Record that the view is unknown."""
        self.free = self._updated_at = None
        self._given = self._last_free = 0.0
        self.ended = 0

    def update(
        self,
        demand: view.Demand,
        free: float,
        total: float,
        own: collections.abc.Sequence[int],
        starved: int,
        now: float,
    ) -> None:
        """Take over a new view; `own` counts this node's requests by priority.

        `starved` ones among them are counted separately, and not in `own`.
        """
        self.total, self.nodes = max(0.0, total), max(1, demand.nodes)
        self.waiting = demand.waiting
        seconds = now - (self._updated_at or now)
        self._smooth(demand, now)
        self._measure_length(free, seconds)
        changes = (sum(self.arrivals) + self.ends) * _VIEW_SECONDS
        # Half a standard deviation of the change counts as chance.
        taken = self._last_free - free - 0.5 * math.sqrt(changes)
        self.taken = max(0.0, taken) / _VIEW_SECONDS
        self.excess = max(0.0, -free) / max(1.0, self.ends * _LAG_SECONDS)
        self._last_free, self.free, self.ended = free, max(0.0, free), 0
        self._starts = [self._starts[1], 0]
        self._ends = [self._ends[1], 0]
        waiting = max(sum(self.waiting), float(sum(own) + starved))
        part = starved / waiting if waiting else 0.0
        usable = self._predict_usable(free, waiting)
        self.protected = self._round(usable * part)
        self._divide(usable * (1.0 - part), demand, own)

    def _predict_usable(self, free: float, waiting: float) -> float:
        """Return the free places less those taken unseen, and with those to come.

        A view does not show yet what all nodes started on the view before.
        """
        unseen = max(self._given, self.taken * _VIEW_AGE_SECONDS)
        # Other nodes at which nothing waits, if requests wait at any node alike.
        alone = math.exp(-waiting / self.nodes) * (self.nodes - 1) / self.nodes
        return max(0.0, free + self.ends * alone * _IDLE_SECONDS - unseen)

    def _divide(
        self,
        usable: float,
        demand: view.Demand,
        own: collections.abc.Sequence[int],
    ) -> None:
        """Divide places by priority, and between the nodes where requests wait."""
        given = 0.0
        for level in _LEVELS:
            # Others have arrived since the view.
            rate = max(self.arrivals[level], demand.arrivals_per_second[level])
            waiting = max(self.waiting[level], float(own[level])) + rate * _VIEW_SECONDS
            left = max(0.0, usable - given - self.find_reserve(level))
            give = min(left, waiting)
            share = own[level] / waiting if waiting else 0.0
            self.granted[level] = self._round(give * share)
            given += give
        self._given = given

    def find_reserve(self, priority: int) -> float:
        """Return the places kept for more urgent requests that will arrive.

        These are the arrivals that exceed the streams that end, and one standard
        deviation of their number.
        """
        arrivals = sum(self.arrivals[:priority])
        reserve = RESERVE_SECONDS * max(0.0, arrivals - self.ends)
        reserve += math.sqrt(RESERVE_SECONDS * arrivals)
        return min(reserve, _MAX_RESERVED_SHARE * self.total)

    def has_plenty(self, priority: int) -> bool:
        """Return whether places suffice for all that other nodes start unseen."""
        if self.free is None:
            return True
        arrivals = sum(self.arrivals[: priority + 1])
        unseen = max(arrivals - self.ends, self.taken) * _LAG_SECONDS
        unseen = max(unseen, self._estimate_taken())
        # Two standard deviations of the arrivals that no view shows yet.
        spread = 2.0 * math.sqrt(arrivals * _LAG_SECONDS)
        unseen += max(0.0, spread - _TOLERATED_SHARE * self.total)
        waiting = sum(self.waiting[: priority + 1])
        return self.free - self.find_reserve(priority) >= 1.0 + waiting + unseen

    def _estimate_taken(self) -> float:
        """Return the places that other nodes took since the view, if they do as here.

        A burst shows here before views show it; one standard deviation is left out.
        """
        starts, ends = sum(self._starts), sum(self._ends)
        return max(0.0, starts - ends - math.sqrt(starts + ends)) * (self.nodes - 1)

    def can_take(self, priority: int, *, is_starved: bool) -> bool:
        """Return whether a request may start now."""
        if is_starved and (self.protected >= 1.0 or self.ended):
            return True
        if self.granted[priority] >= 1.0 or self.has_plenty(priority):
            return True
        free = self.free or 0.0
        has_free = self.excess > 0.0 or free > self.find_reserve(priority)
        return self.ended > 0 and has_free

    def take(self, priority: int, *, is_starved: bool) -> None:
        """Count a start of this node."""
        self._starts[1] += 1
        if self.free is not None:
            self.free -= 1.0
        if is_starved and self.protected >= 1.0:
            self.protected -= 1.0
        elif self.granted[priority] >= 1.0:
            self.granted[priority] -= 1.0
        elif self.ended:
            self.ended -= 1

    def give_back(self) -> None:
        """Count the end of a start of this node."""
        self._ends[1] += 1
        if self.free is not None:
            self.free += 1.0
            if self.random_source.random() >= self.excess:
                self.ended += 1

    def find_ends(self) -> float:
        """Return the streams that will end per second.

        Right after a burst fewer end than the streams that run let expect.
        """
        return max(self.ends, self._running / self._stream_seconds)

    def _smooth(self, demand: view.Demand, now: float) -> None:
        if self._updated_at is None:
            self.arrivals = list(demand.arrivals_per_second)
            self.ends = demand.ends_per_second
        else:
            part = -math.expm1((self._updated_at - now) / _SMOOTHING_SECONDS)
            for level, rate in enumerate(demand.arrivals_per_second):
                self.arrivals[level] += part * (rate - self.arrivals[level])
            self.ends += part * (demand.ends_per_second - self.ends)
        self._updated_at = now

    def _measure_length(self, free: float, seconds: float) -> None:
        """Estimate the length of streams from those that run and those that end."""
        self._running = max(0.0, self.total - free)
        if self.ends < 1.0:
            return
        part = -math.expm1(-seconds / _LENGTH_SMOOTHING_SECONDS)
        # After a burst few streams end as yet, though they are as long as before.
        length = min(self._running / self.ends, 2.0 * self._stream_seconds)
        length = max(_MIN_STREAM_SECONDS, length)
        self._stream_seconds += part * (length - self._stream_seconds)

    def _round(self, value: float) -> float:
        """Round at random, so that the shares of all nodes add up to the whole."""
        return float(math.floor(value + self.random_source.random()))
