"""Slow start of one run of a server: places that grow and shrink with its responses."""

import math

import attrs

START_PLACES = 2.0
"""Places of a run of which nothing is known; two show whether it runs in parallel."""
LEAST_PLACES = 1.0
"""Places of a run that rejects everything: one request finds out when it is warm."""
QUIET_SECONDS = 10.0
"""A slow start without overload ends after this time."""
# Other nodes learn of requests and rejections within half a second. Faster responses do
# not make places grow faster, as the effect of growth is known only after that time.
_LEAST_ROUND_SECONDS = 0.5
# Places for each response in time. As new places give responses at once, places grow
# 2.7-fold in a round until the first overload and 1.6-fold afterwards, when capacity
# may still rise while the server warms up.
_FAST_GAIN = 1.0
_SLOW_GAIN = 0.5
# Part of the places that is left after an overload. In a model of servers at 0.75 of
# their load, the slowest of six returns had 0.92 of its fair share after three seconds,
# and 0.80 with a part of 0.5; as many requests were rejected.
_OVERLOAD_FACTOR = 0.7
# Responses above this multiple of the usual time are late: a request that waits for
# another one takes twice as long.
_LATE_FACTOR = 2.0
# Signals of one overload arrive from several nodes; each round counts one.
OVERLOAD_HOLD_SECONDS = 0.5
"""Time in which all rejections and late responses count as one overload."""
# Time without requests after a rejection at the least places: two trials a second cost
# little, and leave most of three seconds to grow once the server is warm.
_CLOSED_SECONDS = 0.5
# Part of the difference by which a slower response at few places changes the usual
# time of the server.
_BASELINE_WEIGHT = 0.25
# Places are used while at least this part of them is in use. Unused ones grow less, as
# their growth has not been tried; they grow, as the use that a view shows lags behind.
USED_PART = 0.5
"""Part of the places that must be in use for them to count as used."""
_UNUSED_GROWTH = 0.75
# Time after the last response in time for which places grow.
_EVIDENCE_SECONDS = 1.0
_DEFAULT_RESPONSE_SECONDS = 0.5
# Places that are left unused are offered to twice as many nodes after this time, in
# which requests of other nodes show in the view. The first offer takes as long.
_OFFER_SECONDS = 0.5
_LEAST_OFFERS = 0.5
_MOST_OFFERS = 1_024.0
# From the least to the most offers; a longer step, as of a service whose responses take
# minutes, would give a power that is out of range.
_MOST_DOUBLINGS = 11.0


@attrs.define(kw_only=True)
class SlowStart:
    """Track how many requests one run may have at once, from all nodes."""

    began_at: float
    expected_seconds: float = _DEFAULT_RESPONSE_SECONDS
    """Time of a response that the server's accelerator or service should give."""
    places: float = START_PLACES
    closed_until: float = -math.inf
    offers: float = attrs.field(default=_LEAST_OFFERS, init=False)
    """Nodes that may take a free place; above 1.0 while the first one leaves it."""
    rejections: int = attrs.field(default=0, init=False)
    answered_at: float = attrs.field(default=-math.inf, init=False)
    """Time at which some node last had a response in time, as far as known."""
    _overloaded_at: float = attrs.field(default=-math.inf, init=False)
    _advanced_at: float = attrs.field(init=False)
    _is_fast: bool = attrs.field(default=True, init=False)
    _baseline_seconds: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._advanced_at = self.began_at

    @property
    def _gain(self) -> float:
        return _FAST_GAIN if self._is_fast else _SLOW_GAIN

    @property
    def _round_seconds(self) -> float:
        return max(_LEAST_ROUND_SECONDS, self.expected_seconds)

    def find_places(self, now: float) -> float:
        """Return the places for all nodes; 0.0 between trials of a closed run."""
        return 0.0 if now < self.closed_until else self.places

    def is_over(self, slots: float, now: float) -> bool:
        """Return whether the run needs no slow start any more."""
        quiet_since = max(self.began_at, self._overloaded_at)
        return self.places >= slots or now - quiet_since >= QUIET_SECONDS

    def advance(self, now: float, *, is_used: bool, is_assumed: bool = False) -> None:
        """Grow by the responses in time that all nodes got since the last call.

        Those of other nodes are not seen one by one: while some arrive, it takes as
        many in a round as there are places; `is_assumed` if a node cannot know.
        """
        seconds = self._measure_step(now)
        if now < self.closed_until:
            return
        doublings = min(_MOST_DOUBLINGS, seconds / _OFFER_SECONDS)
        self.offers *= 2.0 ** (-doublings if is_used else doublings)
        self.offers = min(_MOST_OFFERS, max(_LEAST_OFFERS, self.offers))
        if is_assumed or now - self.answered_at <= _EVIDENCE_SECONDS:
            gain = self._gain if is_used else _UNUSED_GROWTH * self._gain
            self.places += gain * self.places * seconds / self._round_seconds

    def _measure_step(self, now: float) -> float:
        seconds = min(max(0.0, now - self._advanced_at), self._round_seconds)
        self._advanced_at = max(now, self._advanced_at)
        return seconds

    def record_answer(
        self, seconds: float, expected_seconds: float, now: float
    ) -> None:
        """Record the time of a response, in time or late."""
        if not _is_time(seconds) or not _is_time(expected_seconds):
            return
        self.expected_seconds = expected_seconds
        baseline = self._update_baseline(seconds)
        if seconds > _LATE_FACTOR * max(expected_seconds, baseline):
            self.record_overload(now)
        else:
            self.answered_at = now

    def _update_baseline(self, seconds: float) -> float:
        """Return the time that the server takes at few requests.

        A server that is slow when it has few is slow in itself, not by overload.
        """
        before = self._baseline_seconds
        if before is None or seconds < before:
            self._baseline_seconds = seconds
        elif self.places <= START_PLACES:
            self._baseline_seconds = before + _BASELINE_WEIGHT * (seconds - before)
        return seconds if before is None else before

    def record_overload(self, now: float, *, is_rejection: bool = False) -> None:
        """Shrink after a rejection or a late response, once in a round."""
        self.rejections += is_rejection
        if now - self._overloaded_at < OVERLOAD_HOLD_SECONDS:
            return
        # A run that rejects its first or its only request has shown nothing of its
        # capacity: the next trial waits, and what follows it is a new beginning.
        is_unknown = self.answered_at == -math.inf or self.places <= LEAST_PLACES
        self._is_fast = is_unknown
        self.places = max(LEAST_PLACES, _OVERLOAD_FACTOR * self.places)
        if is_rejection and is_unknown:
            self.places, self.answered_at = LEAST_PLACES, -math.inf
            self.closed_until = now + _CLOSED_SECONDS
        self._overloaded_at = now
        self.offers = _LEAST_OFFERS

    def record_failure(self, now: float) -> None:
        """Go back to the least places after a failure."""
        self.places, self.answered_at = LEAST_PLACES, -math.inf
        self._is_fast = True
        self._overloaded_at = now
        self.offers = _LEAST_OFFERS


def _is_time(seconds: float) -> bool:
    return math.isfinite(seconds) and seconds >= 0.0
