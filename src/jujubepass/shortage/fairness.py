"""Fractions of requests that were served lately, by priority and client account."""

import collections

import attrs

from jujubepass.shortage import entries

WINDOW_SECONDS = 10.0
# As a burst begins, 10 s still count what was served before it.
_BURST_SECONDS = 3.0
_SLOT_SECONDS = 0.5
# Deployments fail if a kind is served less than a quarter as often as all; this share
# leaves room for requests that are still waiting.
STARVED_SHARE = 0.4
# Fewer arrivals say little of the fraction that is served.
_MIN_ARRIVALS = 8

_Key = tuple[str, str | int]


@attrs.define
class _Slot:
    began_at: float
    arrivals: collections.Counter[_Key] = attrs.field(factory=collections.Counter)
    starts: collections.Counter[_Key] = attrs.field(factory=collections.Counter)


_ALL: _Key = ("all", "")


def _list_keys(entry: entries.Entry) -> tuple[_Key, ...]:
    return _ALL, ("priority", entry.priority), ("account", entry.account)


@attrs.define(kw_only=True)
class _Window:
    """Count arrivals and starts over some seconds."""

    seconds: float
    arrivals: collections.Counter[_Key] = attrs.field(factory=collections.Counter)
    starts: collections.Counter[_Key] = attrs.field(factory=collections.Counter)
    _slots: collections.deque[_Slot] = attrs.field(
        factory=collections.deque, init=False
    )

    def find_slot(self, now: float) -> _Slot:
        """Return the slot of counts in use."""
        self.expire(now)
        if not self._slots or now - self._slots[-1].began_at >= _SLOT_SECONDS:
            self._slots.append(_Slot(now))
        return self._slots[-1]

    def expire(self, now: float) -> None:
        """Forget what is older than the window."""
        while self._slots and self._slots[0].began_at <= now - self.seconds:
            slot = self._slots.popleft()
            # Subtraction drops the keys without counts, so that memory is bounded.
            self.arrivals -= slot.arrivals
            self.starts -= slot.starts

    def is_starved(self, keys: tuple[_Key, ...]) -> bool:
        """Return whether one of the keys was served far less than all."""
        arrivals = self.arrivals[_ALL]
        if not arrivals:
            return False
        least = STARVED_SHARE * self.starts[_ALL] / arrivals
        for key in keys:
            own = self.arrivals[key]
            if own >= _MIN_ARRIVALS and self.starts[key] < least * own:
                return True
        return False


@attrs.define(kw_only=True)
class Fairness:
    """Count arrivals and starts at this node over the last 10 s, and the last few."""

    _long: _Window = attrs.field(factory=lambda: _Window(seconds=WINDOW_SECONDS))
    _short: _Window = attrs.field(factory=lambda: _Window(seconds=_BURST_SECONDS))

    def record_arrival(self, entry: entries.Entry, now: float) -> None:
        """Count a request that has arrived."""
        for window in (self._long, self._short):
            window.find_slot(now).arrivals.update(_list_keys(entry))
            window.arrivals.update(_list_keys(entry))

    def record_start(self, entry: entries.Entry, now: float) -> None:
        """Count a request that starts."""
        for window in (self._long, self._short):
            window.find_slot(now).starts.update(_list_keys(entry))
            window.starts.update(_list_keys(entry))

    def expire(self, now: float) -> None:
        """Forget what is older than the windows."""
        self._long.expire(now)
        self._short.expire(now)

    def is_starved(self, entry: entries.Entry) -> bool:
        """Return whether its priority or account is served far less than all."""
        keys = _list_keys(entry)[1:]
        return self._long.is_starved(keys) or self._short.is_starved(keys)

    def is_counted(self, entry: entries.Entry) -> bool:
        """Return whether enough requests of its priority arrived here."""
        return self._long.arrivals["priority", entry.priority] >= _MIN_ARRIVALS

    def find_service(self, entry: entries.Entry) -> float:
        """Return how much its account started, relative to the account's weight."""
        return self._long.starts["account", entry.account] / entry.weight

    def list_shares(self, limit: int) -> dict[str, float]:
        """Return the shares of starts of the accounts with most, and of the others."""
        found = {
            str(key[1]): count
            for key, count in self._long.starts.items()
            if key[0] == "account"
        }
        total = sum(found.values())
        if not total:
            return {}
        most = sorted(found, key=lambda name: -found[name])[:limit]
        shares = {name or "none": found[name] / total for name in most}
        shares["others"] = max(0.0, 1.0 - sum(shares.values()))
        return shares
