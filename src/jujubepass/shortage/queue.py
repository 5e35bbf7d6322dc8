"""Bounded queue of a node: which request starts, waits or is refused."""

import collections
import random

import attrs

from jujubepass.capacity import view
from jujubepass.shortage import entries, fairness, shares, waits

# Alias, because a field has the same name as the module.
_Fairness = fairness.Fairness

MAX_WAITING = 256
"""Requests that wait at a node; more are hopeless in most deployments, and each one
holds its body in memory."""
# Usual time to a first event, until some are measured.
_FIRST_EVENT_SECONDS = 0.1
_MEAN_SHARE = 0.05
_PROBE_SECONDS = 0.05
_WAITING = entries.State.WAITING


@attrs.frozen(kw_only=True)
class Known:
    """Describe what a node knows of its failure domain."""

    demand: view.Demand
    free: float
    total: float
    version: float
    """Time of the view, or anything else that changes with each one."""


@attrs.define(kw_only=True)
class Queue:
    """Decide about requests; takes time and knowledge as arguments, without I/O."""

    random_source: random.Random
    state: shares.Shares = attrs.field(init=False)
    fairness: _Fairness = attrs.field(factory=_Fairness, init=False)
    returns: waits.Returns = attrs.field(init=False)
    waiting: list[entries.Entry] = attrs.field(factory=list, init=False)
    first_event_seconds: float = attrs.field(default=_FIRST_EVENT_SECONDS, init=False)
    blocked_until: float = attrs.field(default=0.0, init=False)
    """Time before which nothing starts, as the pipeline chosen last had no place."""
    is_probing: bool = attrs.field(default=False, init=False)
    """Whether one request at a time is tried, as a pipeline had no place."""
    _version: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.state = shares.Shares(random_source=self.random_source)
        self.returns = waits.Returns(random_source=self.random_source)

    @property
    def is_known(self) -> bool:
        """Return whether the failure domain's free places are known."""
        return self.state.free is not None

    def update(self, known: Known | None, now: float) -> None:
        """Take over what is known now; None if the view is unknown."""
        if known is None:
            self.state.forget()
            self._version = None
            return
        if known.version == self._version:
            return
        self._version = known.version
        self.fairness.expire(now)
        own, starved = [0] * view.PRIORITIES, 0
        self._mark_first()
        for each in self.waiting:
            if each.is_first:
                starved += 1
            else:
                own[each.priority] += 1
        self.state.update(known.demand, known.free, known.total, own, starved, now)

    def enter(self, entry: entries.Entry, now: float) -> list[entries.Entry]:
        """Add a request; return the requests whose state changed, this one included.

        The request waits if it is not among them.
        """
        if not entry.is_again:
            self.fairness.record_arrival(entry, now)
            entry.is_protected = self._draw_protection(entry)
        self.waiting.append(entry)
        changed = self.decide(now)
        if entry.state is _WAITING and len(self.waiting) > MAX_WAITING:
            last = max(
                (each for each in self.waiting if not each.is_resumed),
                key=lambda each: self._rank(each, now),
                default=entry,
            )
            self._refuse(last, self._predict_last(last), now)
            changed.append(last)
        return changed

    def leave(self, entry: entries.Entry) -> None:
        """Remove a request whose caller, deadline or node ended its wait."""
        if entry in self.waiting:
            self.waiting.remove(entry)
            entry.state = entries.State.LEFT

    def return_start(self, entry: entries.Entry, until: float) -> None:
        """Let a started request wait again, as its pipeline had no place.

        One that was rejected before avoids engines that others may use.
        """
        self.state.give_back()
        entry.state, entry.blocked_until = _WAITING, until
        if not entry.is_again:
            self.blocked_until, self.is_probing = until, True
        self.waiting.append(entry)

    def is_blocked(self, entry: entries.Entry, now: float) -> bool:
        """Return whether a request need not choose a pipeline, as none has a place."""
        return now < max(entry.blocked_until, self.blocked_until)

    def confirm_start(self, entry: entries.Entry, now: float) -> None:
        """Count the start of a request that uses its place."""
        entry.started_at = now
        if self.is_probing:
            self.is_probing, self.blocked_until = False, now
        if not entry.is_again:
            self.fairness.record_start(entry, now)

    def start_unqueued(self, entry: entries.Entry, now: float) -> None:
        """Count the start of a request that needs no turn."""
        entry.state, entry.started_at = entries.State.STARTED, now
        self.state.take(entry.priority, is_starved=False)

    def end_start(self, entry: entries.Entry, *, is_free: bool = True) -> None:
        """Count the end of a start, whose place is free again unless it never was."""
        if entry.state is not entries.State.STARTED:
            return
        entry.state = entries.State.LEFT
        if is_free:
            self.state.give_back()

    def record_first_event(self, seconds: float) -> None:
        """Record the time from a start to its first event."""
        change = seconds - self.first_event_seconds
        self.first_event_seconds += _MEAN_SHARE * change

    def decide(self, now: float) -> list[entries.Entry]:
        """Start what may start, and refuse what is hopeless; return the changed."""
        changed = []
        self.fairness.expire(now)
        self._mark_first()
        ranked = sorted(self.waiting, key=lambda each: self._rank(each, now))
        own = collections.Counter(each.priority for each in ranked)
        ahead = [0] * view.PRIORITIES
        for position, entry in enumerate(ranked):
            if self._may_start(entry, now):
                self._start(entry, ranked[position + 1 :], now)
                changed.append(entry)
            elif self._is_hopeless(entry, ahead, own[entry.priority], now):
                changed.append(entry)
            else:
                ahead[entry.priority] += 1
        return changed

    def _may_start(self, entry: entries.Entry, now: float) -> bool:
        if entry.is_resumed or not self.is_known:
            return now >= entry.blocked_until
        if self.is_blocked(entry, now):
            return False
        return self.state.can_take(entry.priority, is_starved=entry.is_first)

    def _start(
        self, entry: entries.Entry, after: list[entries.Entry], now: float
    ) -> None:
        entry.is_ahead = (
            entry.is_first
            and self.is_known
            and any(each.priority < entry.priority for each in after)
        )
        if self.is_probing:
            # The next ones wait for what becomes of this one.
            self.blocked_until = now + _PROBE_SECONDS
        self.waiting.remove(entry)
        entry.state = entries.State.STARTED
        self.state.take(entry.priority, is_starved=entry.is_first)

    def _is_hopeless(
        self, entry: entries.Entry, ahead: list[int], own: int, now: float
    ) -> bool:
        """Refuse a request that cannot be served in time; return whether it is."""
        longest = self.find_longest_wait(entry, now)
        predicted = self._predict(entry, ahead, own)
        entry.predicted_seconds = predicted
        if entry.is_resumed or predicted < longest:
            return False
        self._refuse(entry, predicted, now)
        return True

    def _predict(self, entry: entries.Entry, ahead: list[int], own: int) -> float:
        """Predict the wait of a request, with those ahead of it at this node.

        Of the same priority at other nodes, the part ahead is taken to be as here.
        """
        if entry.is_first:
            count = float(sum(ahead)) * self.state.nodes
            return waits.predict(self.state, 0, count, is_starved=True)
        level = entry.priority
        same = max(self.state.waiting[level], float(own))
        part = (ahead[level] + 0.5) / own
        urgent = max(sum(self.state.waiting[:level]), float(sum(ahead[:level])))
        return waits.predict(self.state, level, urgent + same * part + 1.0)

    def _predict_last(self, entry: entries.Entry) -> float:
        level = entry.priority
        count = sum(self.state.waiting[: level + 1])
        return waits.predict(self.state, level, max(count, float(len(self.waiting))))

    def _refuse(self, entry: entries.Entry, predicted: float, now: float) -> None:
        self.waiting.remove(entry)
        entry.state, entry.predicted_seconds = entries.State.REFUSED, predicted
        entry.retry_after_seconds = self.returns.assign(
            entry, self.state, predicted, now
        )

    def find_longest_wait(self, entry: entries.Entry, now: float) -> float:
        """Return how long a request may still wait, in seconds."""
        return waits.find_longest_wait(entry, self.first_event_seconds, now)

    def find_retry(self, entry: entries.Entry, now: float) -> float:
        """Return the Retry-After of a request that full engines rejected."""
        predicted = self._predict_last(entry) if self.is_known else 0.0
        return self.returns.assign(entry, self.state, predicted, now)

    def _rank(
        self, entry: entries.Entry, now: float
    ) -> tuple[bool, bool, int, bool, float, float]:
        """Return the position in the order; the smallest goes first."""
        due_at = entry.arrived_at + entry.goal_seconds
        return (
            not entry.is_resumed,
            not entry.is_first,
            entry.priority,
            now + self.first_event_seconds > due_at,
            self.fairness.find_service(entry),
            entry.deadline,
        )

    def _mark_first(self) -> None:
        """Find the requests that go ahead of others lest they starve."""
        found: dict[tuple[int, str], tuple[bool, bool]] = {}
        for each in self.waiting:
            key = each.priority, each.account
            if key not in found:
                found[key] = (
                    self.fairness.is_starved(each),
                    self.fairness.is_counted(each),
                )
            is_starved, is_counted = found[key]
            each.is_first = is_starved or (each.is_protected and not is_counted)

    def _draw_protection(self, entry: entries.Entry) -> bool:
        """Draw whether a request goes first where counts are too small to tell.

        Many nodes with few requests each serve every priority so, in the same part as
        the counts protect.
        """
        if not self.is_known or entry.priority == 0 or self.fairness.is_counted(entry):
            return False
        arrivals = sum(self.state.arrivals)
        served = min(1.0, self.state.find_ends() / arrivals) if arrivals else 1.0
        return self.random_source.random() < fairness.STARVED_SHARE * served
