"""Answers of a node that stops: which may begin, and when all have to end."""

import collections
import collections.abc
import contextlib

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import clocks

# Time before the end of the node that is left for writing final answers.
_FINAL_ANSWERS_SECONDS = 0.2
_WINDOW_SECONDS = 60.0
# Part of the newest measurement in a mean.
_MEAN_SHARE = 0.1
# Margin of a predicted time, for delays on the way and changing load.
_PREDICTION_MARGIN = 1.5


@attrs.define(kw_only=True)
class RunningAnswers:
    """Limit the time of answers, also to the time that a stopping node has left."""

    end_at: float = attrs.field(default=float("inf"), init=False)
    """Boot-clock time by which all answers end; infinite unless the node stops."""
    _scopes: set[trio.CancelScope] = attrs.field(factory=set, init=False)

    @contextlib.contextmanager
    def limit(self, deadline: float) -> collections.abc.Iterator[None]:
        """Cancel what is left of an answer at a deadline, or as the node ends."""
        with clocks.move_on_at(min(deadline, self.end_at)) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def stop(self, exit_at: float) -> None:
        """End all answers in time before the node exits."""
        self.end_at = exit_at - _FINAL_ANSWERS_SECONDS
        latest = trio.current_time() + self.end_at - clocks.read_boot_clock()
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, latest)

    def ends_before(self, deadline: float) -> bool:
        """Return whether answers end before a deadline as the node stops."""
        return self.end_at < deadline

    def may_end(
        self, now: float, deadline: float, predicted_seconds: float | None
    ) -> bool:
        """Return whether an answer that begins now ends before the node does.

        One without a prediction may take until its deadline.
        """
        if deadline <= self.end_at:
            return True
        if predicted_seconds is None:
            return False
        return now + _PREDICTION_MARGIN * predicted_seconds <= self.end_at


@attrs.define
class _Window:
    began_at: float
    longest: float | None = None


@attrs.define(kw_only=True)
class RunTimes:
    """Measure how long runs of a service take; writes only its own state."""

    _recent: dict[ids.ServiceId, tuple[_Window, _Window]] = attrs.field(
        factory=dict, init=False
    )
    """The window in use and the one before it."""
    _running: collections.defaultdict[ids.ServiceId, dict[int, float]] = attrs.field(
        factory=lambda: collections.defaultdict(dict), init=False
    )
    """Start times of the runs in progress, the earliest first."""
    _runs: int = attrs.field(default=0, init=False)

    @contextlib.contextmanager
    def measure(self, service: ids.ServiceId) -> collections.abc.Iterator[None]:
        """Measure one run, whatever ends it."""
        began_at = clocks.read_boot_clock()
        self._runs += 1
        run = self._runs
        self._running[service][run] = began_at
        try:
            yield
        finally:
            del self._running[service][run]
            now = clocks.read_boot_clock()
            window, _ = self._find_windows(service, now)
            window.longest = max(window.longest or 0.0, now - began_at)

    def find_longest(self, service: ids.ServiceId, now: float) -> float | None:
        """Return the longest of the recent and the present runs; None without any."""
        found = [each.longest for each in self._find_windows(service, now)]
        running = self._running[service]
        if running:
            found.append(now - next(iter(running.values())))
        return max((each for each in found if each is not None), default=None)

    def _find_windows(
        self, service: ids.ServiceId, now: float
    ) -> tuple[_Window, _Window]:
        found = self._recent.get(service)
        if found is None or now - found[0].began_at >= 2 * _WINDOW_SECONDS:
            found = _Window(now), _Window(now)
        elif now - found[0].began_at >= _WINDOW_SECONDS:
            found = _Window(now), found[0]
        self._recent[service] = found
        return found


@attrs.define(kw_only=True)
class TokenTimes:
    """Measure the time for each token of whole answers; writes only its own state."""

    _means: dict[ids.ServiceId, float] = attrs.field(factory=dict, init=False)

    @contextlib.contextmanager
    def measure(
        self, service: ids.ServiceId, tokens: int
    ) -> collections.abc.Iterator[None]:
        """Measure a whole answer with up to this many tokens, unless it fails."""
        began_at = clocks.read_boot_clock()
        yield
        if tokens <= 0:
            return
        found = (clocks.read_boot_clock() - began_at) / tokens
        mean = self._means.get(service, found)
        self._means[service] = mean + _MEAN_SHARE * (found - mean)

    def predict(
        self, service: ids.ServiceId, tokens: int, step_seconds: float
    ) -> float | None:
        """Return the time for an answer, no less than its steps; None if unknown."""
        if tokens <= 0:
            return None
        return tokens * max(step_seconds, self._means.get(service, 0.0))
