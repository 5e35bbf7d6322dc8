"""Judge of the requests that reach a server while it names a request limit.

It counts what the nodes send that had passed on an answer with the limit some time
before, from a moment after the first such answer on, in sliding windows.
"""

import bisect
import collections.abc
import itertools
import typing

import attrs

WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5.0
CONTACT_SECONDS = 3.0
TOLD_SECONDS = 0.5


@attrs.frozen(kw_only=True)
class Excess:
    """Describe the window with the most requests over what the limit allows."""

    requests: int = 0
    allowed: float = float("inf")
    start: float = 0.0

    @property
    def over(self) -> float:
        """Return how many requests the window has too many; negative if none."""
        return self.requests - self.allowed


@attrs.define(kw_only=True)
class LimitJudge:
    """Record the arrivals at one run of a server and what it answered to whom."""

    arrivals: list[tuple[float, str]] = attrs.field(factory=list)
    """Times of requests, with the nodes that sent them."""
    limits: list[tuple[float, float | None]] = attrs.field(factory=list)
    """Times from which on the server named a limit, or none."""
    told: dict[str, float] = attrs.field(factory=dict)
    """Times at which nodes first passed on an answer with the limit in force."""

    def set_limit(self, now: float, requests_per_second: float | None) -> None:
        """Name another limit from now on, or none."""
        before = self.limits[-1][1] if self.limits else None
        if requests_per_second == before:
            return
        if requests_per_second is None or before is None:
            # A node has passed on nothing of a limit that is named anew.
            self.told.clear()
        self.limits.append((now, requests_per_second))

    @property
    def limit(self) -> float | None:
        """Return the limit in force; None if there is none."""
        return self.limits[-1][1] if self.limits else None

    def record_arrival(self, now: float, node: str) -> None:
        """Record a request of a node, which may not count yet."""
        if now >= self.told.get(node, float("inf")) + TOLD_SECONDS:
            self.arrivals.append((now, node))

    def record_answer(self, now: float, node: str) -> None:
        """Record that a node passed on an answer."""
        if self.limit is not None:
            self.told.setdefault(node, now)

    def excuse(self, node: str) -> None:
        """Take a node for one that has passed on no answer, as after its restart."""
        self.told.pop(node, None)

    def find_excess(self) -> Excess:
        """Return the window that is most over what the limits allow."""
        times = [at for at, _ in self.arrivals]
        found = Excess()
        for began_at, ended_at in self._list_spans():
            first_start = began_at + CONTACT_SECONDS
            starts = [at for at in times if first_start <= at < ended_at]
            for start in starts:
                end = min(ended_at, start + WINDOW_SECONDS)
                count = bisect.bisect_right(times, end) - bisect.bisect_left(
                    times, start
                )
                allowed = ALLOWED_EXTRA + ALLOWED_FACTOR * self._integrate(
                    start, start + WINDOW_SECONDS
                )
                window = Excess(requests=count, allowed=allowed, start=start)
                if window.over > found.over:
                    found = window
        return found

    def _list_spans(self) -> collections.abc.Iterator[tuple[float, float]]:
        """Yield the times in which the server named any limit."""
        began_at = None
        for at, limit in [*self.limits, (float("inf"), None)]:
            if limit is not None and began_at is None:
                began_at = at
            elif limit is None and began_at is not None:
                yield began_at, at
                began_at = None

    def _integrate(self, start: float, end: float) -> float:
        """Return how many requests the limits allow from one time to another."""
        changes = [*self.limits, (float("inf"), None)]
        total, rate = 0.0, 0.0
        for (at, limit), (until, _) in itertools.pairwise(changes):
            # Beyond the end of all limits, the last one counts on.
            rate = rate if limit is None else limit
            seconds = min(end, until) - max(start, at)
            total += rate * max(0.0, seconds)
        return total

    def describe(self) -> dict[str, typing.Any]:
        """Return the worst window and the arrivals that count, for a test."""
        found = self.find_excess()
        return {
            "requests": found.requests,
            "allowed": min(found.allowed, 1e9),
            "over": max(found.over, -1e9),
            "start": found.start,
            "counted": len(self.arrivals),
            "told": sorted(self.told),
        }
