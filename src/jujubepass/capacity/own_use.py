"""Counts of this node's own requests, which it shares with the others."""

import collections
import collections.abc
import math

import attrs

from jujubepass import ids
from jujubepass.capacity import codec, engine_index, view

# Arrivals and ends are counted over this time.
_WINDOW_SECONDS = 1.0
_MAX_PRIORITY = view.PRIORITIES - 1


@attrs.define(kw_only=True)
class _Count:
    """Count the requests on an engine, those of its listed run apart."""

    started_at: int | None
    running: int = 0
    prefilling: int = 0
    past_running: int = 0
    """Requests that an earlier run had, which end soon."""
    past_prefilling: int = 0


@attrs.frozen(kw_only=True)
class _Totals:
    at: float
    arrivals: tuple[int, ...]
    ends: int


class NoRecorder:
    """Count nothing; for parts that are used without a shared view."""

    def record_start(
        self, engines: collections.abc.Collection[ids.BackendServerId]
    ) -> None:
        """Ignore a request that starts."""

    def record_prefilled(
        self, engines: collections.abc.Collection[ids.BackendServerId]
    ) -> None:
        """Ignore the end of a prefill phase."""

    def record_end(
        self,
        engines: collections.abc.Collection[ids.BackendServerId],
        *,
        was_prefilled: bool,
    ) -> None:
        """Ignore a request that ends."""

    def record_arrival(self, priority: int) -> None:
        """Ignore a request that arrives."""

    def record_waiting(self, priority: int, change: int) -> None:
        """Ignore a request that waits."""

    def record_full(self, engine: ids.BackendServerId, now: float) -> None:
        """Ignore a rejection."""

    def set_free_places(self, places: float) -> None:
        """Ignore free places."""


@attrs.define(kw_only=True)
class OwnUse:
    """Count what this node runs and which engines rejected its requests."""

    index: engine_index.EngineIndex
    on_full: collections.abc.Callable[[ids.BackendServerId, float], None] = (
        lambda _engine, _now: None
    )
    invalid_values: int = attrs.field(default=0, init=False)
    rejections: int = attrs.field(default=0, init=False)
    free_places: float | None = attrs.field(default=None, init=False)
    """Free places of this failure domain; None if unknown."""
    _counts: dict[ids.BackendServerId, _Count] = attrs.field(factory=dict, init=False)
    _waiting: list[int] = attrs.field(factory=lambda: [0] * view.PRIORITIES, init=False)
    _arrivals: list[int] = attrs.field(
        factory=lambda: [0] * view.PRIORITIES, init=False
    )
    """Arrivals since the start of the process."""
    _ends: int = attrs.field(default=0, init=False)
    _history: collections.deque[_Totals] = attrs.field(
        factory=collections.deque, init=False
    )

    def record_start(
        self, engines: collections.abc.Collection[ids.BackendServerId]
    ) -> None:
        """Count a request on its engines, in the prefill phase."""
        for name in engines:
            count = self._find_count(name)
            if count is None:
                started_at = self._find_run(name)
                count = self._counts[name] = _Count(started_at=started_at)
            count.running += 1
            count.prefilling += 1

    def record_prefilled(
        self, engines: collections.abc.Collection[ids.BackendServerId]
    ) -> None:
        """Record that the engines have read a request's prompt."""
        for name in engines:
            count = self._find_count(name)
            if count is not None:
                _remove_prefilling(count)

    def record_end(
        self,
        engines: collections.abc.Collection[ids.BackendServerId],
        *,
        was_prefilled: bool,
    ) -> None:
        """Remove a request from the counts of its engines."""
        # A request that was not prefilled mostly was rejected and leaves no place.
        self._ends += was_prefilled
        for name in engines:
            count = self._find_count(name)
            if count is None:
                continue
            if not was_prefilled:
                _remove_prefilling(count)
            if count.past_running:
                count.past_running -= 1
            elif count.running:
                count.running -= 1
            if not count.running and not count.past_running:
                del self._counts[name]

    def record_arrival(self, priority: int) -> None:
        """Count a request that has arrived."""
        self._arrivals[_limit_priority(priority)] += 1

    def record_waiting(self, priority: int, change: int) -> None:
        """Change the number of requests that wait here for a place."""
        priority = _limit_priority(priority)
        self._waiting[priority] += change
        if self._waiting[priority] < 0:
            self.invalid_values += 1
            self._waiting[priority] = 0

    def record_full(self, engine: ids.BackendServerId, now: float) -> None:
        """Record that an engine has rejected a request for lack of room."""
        self.rejections += 1
        self.on_full(engine, now)

    def set_free_places(self, places: float) -> None:
        """Set the free places of this failure domain, as far as known here."""
        if not math.isfinite(places) or places < 0.0:
            self.invalid_values += 1
            self.free_places = None
        else:
            self.free_places = places

    def find_use(self, name: ids.BackendServerId) -> tuple[int, int]:
        """Return this node's requests and prompts being read on an engine."""
        count = self._find_count(name)
        return (count.running, count.prefilling) if count is not None else (0, 0)

    @property
    def waiting(self) -> tuple[int, ...]:
        """Return the requests that wait here, by priority."""
        return tuple(self._waiting)

    @property
    def running(self) -> int:
        """Return the uses of engines by this node's requests."""
        return sum(each.running for each in self._counts.values())

    def take_snapshot(self, now: float) -> codec.Content:
        """Return what to report now; arrivals and ends are those of a second."""
        uses, remote_uses = self._list_uses()
        totals = _Totals(at=now, arrivals=tuple(self._arrivals), ends=self._ends)
        first = self._find_window_start(totals)
        return codec.Content(
            uses=uses,
            remote_uses=remote_uses,
            waiting=self.waiting,
            arrivals=tuple(
                last - before
                for last, before in zip(totals.arrivals, first.arrivals, strict=True)
            ),
            ends=totals.ends - first.ends,
            nodes=1,
        )

    def _list_uses(self) -> tuple[codec.Uses, codec.RemoteUses]:
        """Return the uses of engines in this failure domain, and of others."""
        blackboard = self.index.blackboard
        uses: dict[bytes, tuple[int, int]] = {}
        remote_uses: dict[tuple[bytes, bytes], tuple[int, int]] = {}
        for name in list(self._counts):
            count = self._find_count(name)
            digest = self.index.find_digest(name)
            if count is None or not count.running or digest is None:
                continue
            use = count.running, count.prefilling
            domain = blackboard.backends.listed[name].failure_domain
            if domain == blackboard.failure_domain:
                uses[digest] = use
            else:
                remote_uses[codec.make_digest(domain), digest] = use
        return uses, remote_uses

    def _find_window_start(self, totals: _Totals) -> _Totals:
        history = self._history
        # The last totals that are old enough stay, as the start of the window.
        while len(history) > 1 and history[1].at <= totals.at - _WINDOW_SECONDS:
            history.popleft()
        history.append(totals)
        if len(history) > 1 and history[0].at < totals.at - 2.0 * _WINDOW_SECONDS:
            # Nothing was reported for long, as after a suspension.
            history.popleft()
        return history[0]

    def _find_run(self, name: ids.BackendServerId) -> int | None:
        engine = self.index.blackboard.backends.listed.get(name)
        return engine.started_at if engine is not None else None

    def _find_count(self, name: ids.BackendServerId) -> _Count | None:
        """Return an engine's count after a check whether its listed run is new."""
        count = self._counts.get(name)
        if count is None:
            return None
        started_at = self._find_run(name)
        if started_at is not None and started_at != count.started_at:
            count.started_at = started_at
            count.past_running += count.running
            count.past_prefilling += count.prefilling
            count.running = count.prefilling = 0
        return count


def _remove_prefilling(count: _Count) -> None:
    # Which run a request had is not known; those of the earlier run end first.
    if count.past_prefilling:
        count.past_prefilling -= 1
    elif count.prefilling:
        count.prefilling -= 1


def _limit_priority(priority: int) -> int:
    return min(_MAX_PRIORITY, max(0, priority))
