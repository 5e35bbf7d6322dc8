"""Fractions of requests that were served lately, by priority and client account."""

import collections

import attrs

from jujubepass.shortage import entries

WINDOW_SECONDS = 10.0
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
class Fairness:
    """Count arrivals and starts at this node over the last 10 s."""

    _slots: collections.deque[_Slot] = attrs.field(
        factory=collections.deque, init=False
    )
    _arrivals: collections.Counter[_Key] = attrs.field(
        factory=collections.Counter, init=False
    )
    _starts: collections.Counter[_Key] = attrs.field(
        factory=collections.Counter, init=False
    )

    def record_arrival(self, entry: entries.Entry, now: float) -> None:
        """Count a request that has arrived."""
        slot = self._find_slot(now)
        slot.arrivals.update(_list_keys(entry))
        self._arrivals.update(_list_keys(entry))

    def record_start(self, entry: entries.Entry, now: float) -> None:
        """Count a request that starts."""
        slot = self._find_slot(now)
        slot.starts.update(_list_keys(entry))
        self._starts.update(_list_keys(entry))

    def expire(self, now: float) -> None:
        """Forget what is older than the window."""
        while self._slots and self._slots[0].began_at <= now - WINDOW_SECONDS:
            slot = self._slots.popleft()
            # Subtraction drops the keys without counts, so that memory is bounded.
            self._arrivals -= slot.arrivals
            self._starts -= slot.starts

    def is_starved(self, entry: entries.Entry) -> bool:
        """Return whether its priority or account is served far less than all."""
        arrivals = self._arrivals[_ALL]
        if not arrivals:
            return False
        least = STARVED_SHARE * self._starts[_ALL] / arrivals
        for key in _list_keys(entry)[1:]:
            own = self._arrivals[key]
            if own >= _MIN_ARRIVALS and self._starts[key] < least * own:
                return True
        return False

    def is_counted(self, entry: entries.Entry) -> bool:
        """Return whether enough requests of its priority arrived here."""
        return self._arrivals["priority", entry.priority] >= _MIN_ARRIVALS

    def find_service(self, entry: entries.Entry) -> float:
        """Return how much its account started, relative to the account's weight."""
        return self._starts["account", entry.account] / entry.weight

    def list_shares(self, limit: int) -> dict[str, float]:
        """Return the shares of starts of the accounts with most, and of the others."""
        found = {
            str(key[1]): count
            for key, count in self._starts.items()
            if key[0] == "account"
        }
        total = sum(found.values())
        if not total:
            return {}
        most = sorted(found, key=lambda name: -found[name])[:limit]
        shares = {name or "none": found[name] / total for name in most}
        shares["others"] = max(0.0, 1.0 - sum(shares.values()))
        return shares

    def _find_slot(self, now: float) -> _Slot:
        self.expire(now)
        if not self._slots or now - self._slots[-1].began_at >= _SLOT_SECONDS:
            self._slots.append(_Slot(now))
        return self._slots[-1]
