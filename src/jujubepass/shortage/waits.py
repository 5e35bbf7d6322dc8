"""Predicted waits, the waits that callers accept, and times to come back."""

import collections
import random

import attrs

from jujubepass.shortage import entries, fairness, shares

# A first event is due before the caller abandons the request; the rest of the time is
# for an engine that rejects it after all, and for errors of the prediction.
_WAIT_SHARE = 0.6
_REMAINING_SHARE = 0.5
_MIN_RETRY_SECONDS = 0.5
_MAX_RETRY_SECONDS = 10.0
# Callers ignore times that exceed this share of what is left to them.
_MAX_RETRY_SHARE = 1.0 / 3.0
_MAX_RETRY_FACTOR = 1.5


def find_longest_wait(
    entry: entries.Entry, first_event_seconds: float, now: float
) -> float:
    """Return how long a request may wait from now on, in seconds."""
    accepted = _WAIT_SHARE * entry.caller_timeout_seconds - first_event_seconds
    until = entry.arrived_at + accepted
    return min(until - now, _REMAINING_SHARE * (entry.deadline - now))


def find_rate(state: shares.Shares, priority: int) -> float:
    """Return the places a second that come free for requests of a priority."""
    ends = state.find_ends()
    arrivals = sum(state.arrivals)
    left = ends - sum(state.arrivals[:priority])
    # Requests that would starve get at least this.
    part = state.arrivals[priority] / arrivals if arrivals else 0.0
    return max(left, fairness.STARVED_SHARE * ends * part)


def predict(
    state: shares.Shares, priority: int, ahead: float, *, is_starved: bool = False
) -> float:
    """Predict the wait behind so many requests, in seconds."""
    reserve = 0.0 if is_starved else state.find_reserve(priority)
    ahead -= max(0.0, (state.free or 0.0) - reserve)
    rate = find_rate(state, priority)
    if ahead <= 0.0:
        return 0.0
    return ahead / rate if rate > 0.0 else float("inf")


@attrs.define(kw_only=True)
class Returns:
    """Tell refused callers when to come back, and count those that will."""

    random_source: random.Random
    _due: collections.deque[tuple[float, int]] = attrs.field(
        factory=lambda: collections.deque(maxlen=4_096), init=False
    )

    def assign(
        self, entry: entries.Entry, state: shares.Shares, predicted: float, now: float
    ) -> float:
        """Return the Retry-After of a refusal, in seconds.

        Callers who were told to come back are ahead of this one; as other nodes refuse
        alike, those of this node count once for each of them.
        """
        booked = self.count(entry.priority, now) * state.nodes
        rate = find_rate(state, entry.priority)
        seconds = predicted + (booked / rate if rate > 0.0 else 0.0)
        most = min(_MAX_RETRY_SECONDS, _MAX_RETRY_SHARE * (entry.deadline - now))
        # Bounded before the factor, so that long times are spread as well.
        seconds = min(seconds, most / _MAX_RETRY_FACTOR)
        seconds *= self.random_source.uniform(1.0, _MAX_RETRY_FACTOR)
        seconds = max(_MIN_RETRY_SECONDS, seconds)
        self._due.append((now + seconds, entry.priority))
        return seconds

    def count(self, priority: int, now: float) -> int:
        """Return how many callers of the same or higher urgency will come back."""
        while self._due and self._due[0][0] <= now:
            self._due.popleft()
        return sum(due > now and level <= priority for due, level in self._due)
