"""Ledger of the bytes that connections hold; it chooses which of them to shed."""

import collections
import collections.abc
import enum
import logging

import attrs

from jujubepass.intake import bounds

_LOGGER = logging.getLogger(__name__)

# Memory of a connection without any bytes of its client: its task, its scopes and the
# parser of its requests.
CONNECTION_BYTES = 12_288
# A body that grows takes up to an eighth more than its length.
_GROWTH_SHIFT = 3
# A client that sends less than this has made no progress. Single bytes now and then
# would otherwise count as progress.
_PROGRESS_BYTES = 4_096
# A connection without progress for this long may be shed under shortage. Clients within
# the limits send a request as one, so that its packets follow each other faster.
_MAX_STALL_SECONDS = 0.5
# A client may pause between two reads of a stream; this is as long as callers wait for
# events.
_MAX_READ_STALL_SECONDS = 2.0
# Shedding ends below this part of the bound, so that it is not due again at once.
_RELIEF_SHARE = 0.8
_SHED_INTERVAL_SECONDS = 0.1
_LOG_INTERVAL_SECONDS = 10.0


class Phase(enum.Enum):
    """State of a connection."""

    IDLE = "idle"
    RECEIVING = "receiving"
    RUNNING = "running"
    BLOCKED = "blocked"
    """A write waits until the client reads."""


_MAX_STALLS_SECONDS = {
    Phase.IDLE: _MAX_STALL_SECONDS,
    Phase.RECEIVING: _MAX_STALL_SECONDS,
    Phase.BLOCKED: _MAX_READ_STALL_SECONDS,
}


def _never_cancel() -> None:
    """Cancel nothing: the connection is about to begin or to end."""


@attrs.define(kw_only=True, eq=False)
class Holding:
    """Track what one connection holds."""

    address: str
    listener: str
    advanced_at: float
    cancel: collections.abc.Callable[[], None] = _never_cancel
    """End what the connection does in its present phase."""
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    is_waiting: bool = False
    """Whether its client waits for this process, which has too little memory."""
    is_shed: bool = False
    _received_bytes: int = 0

    def enter(self, phase: Phase, now: float) -> None:
        """Enter a phase, which is progress."""
        self.phase = phase
        self.advanced_at = now
        self._received_bytes = 0

    def record_received(self, count: int, now: float) -> None:
        """Record bytes from the client; enough of them are progress."""
        self._received_bytes += count
        if self._received_bytes >= _PROGRESS_BYTES:
            self._received_bytes = 0
            self.advanced_at = now


@attrs.define(kw_only=True)
class Ledger:
    """Sum up what all connections of a process hold."""

    bound_bytes: int = bounds.UNBOUNDED_BYTES
    held_bytes: int = attrs.field(default=0, init=False)
    peak_bytes: int = attrs.field(default=0, init=False)
    held_by_address: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    shed: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    """Connections that were shed or refused, by reason."""
    _holdings: dict[Holding, None] = attrs.field(factory=dict, init=False)
    _shed_at: float = attrs.field(default=float("-inf"), init=False)
    _logged_at: float = attrs.field(default=float("-inf"), init=False)
    _unlogged: int = attrs.field(default=0, init=False)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._holdings)

    @property
    def is_over(self) -> bool:
        """Return whether connections hold as much as they may."""
        return self.held_bytes >= self.bound_bytes

    def open(self, address: str, listener: str, now: float) -> Holding:
        """Add a connection."""
        holding = Holding(address=address, listener=listener, advanced_at=now)
        self._holdings[holding] = None
        self.set_held(holding, 0)
        return holding

    def close(self, holding: Holding) -> None:
        """Remove a connection and all that it holds."""
        del self._holdings[holding]
        self._add(holding, -holding.held_bytes)

    def set_held(self, holding: Holding, count: int, growing: int = 0) -> None:
        """Set the bytes that a connection holds, and those in a buffer that grows."""
        held = CONNECTION_BYTES + count + growing + (growing >> _GROWTH_SHIFT)
        self._add(holding, held - holding.held_bytes)

    def _add(self, holding: Holding, change: int) -> None:
        if not change:
            return
        holding.held_bytes += change
        self.held_bytes += change
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        self.held_by_address[holding.address] += change
        if not self.held_by_address[holding.address]:
            del self.held_by_address[holding.address]

    def has_room(self, body_bytes: int) -> bool:
        """Return whether one more body may be received beyond the bound."""
        return self.held_bytes < self.bound_bytes + body_bytes

    def shed_stalled(self, now: float, *, includes_waiting: bool = False) -> None:
        """Shed the connections with the least progress for what they hold.

        Those that wait for memory are shed last, and only with `includes_waiting`:
        without room for any of them, none would go on.
        """
        if not self.is_over or now - self._shed_at < _SHED_INTERVAL_SECONDS:
            return
        self._shed_at = now
        excess = self.held_bytes - _RELIEF_SHARE * self.bound_bytes
        for holding in sorted(
            self._list_stalled(now, includes_waiting),
            key=lambda each: self._rank(each, now),
        ):
            if excess <= 0:
                return
            excess -= holding.held_bytes
            self._shed(holding, "memory", now)

    def make_place(self, listener: str, now: float) -> bool:
        """Shed a connection of a listener for a new one, if one makes no progress."""
        stalled = [
            each for each in self._list_stalled(now) if each.listener == listener
        ]
        if not stalled:
            return False
        self._shed(min(stalled, key=lambda each: self._rank(each, now)), "place", now)
        return True

    def _list_stalled(
        self, now: float, includes_waiting: bool = False
    ) -> list[Holding]:
        return [
            each
            for each in self._holdings
            if not each.is_shed
            and (includes_waiting or not each.is_waiting)
            and each.phase in _MAX_STALLS_SECONDS
            and now - each.advanced_at >= _MAX_STALLS_SECONDS[each.phase]
        ]

    def _rank(self, holding: Holding, now: float) -> tuple[bool, bool, float]:
        """Return a key that is smallest for what costs most and loses least."""
        # Nobody loses anything with an idle connection.
        stalled = now - holding.advanced_at
        share = self.held_by_address[holding.address] / self.held_bytes
        cost = holding.held_bytes * stalled * share
        return holding.is_waiting, holding.phase is not Phase.IDLE, -cost

    def _shed(self, holding: Holding, reason: str, now: float) -> None:
        holding.is_shed = True
        self.record_shed(f"{reason}_{holding.phase.value}", now)
        holding.cancel()

    def record_shed(self, reason: str, now: float) -> None:
        """Count a connection that is shed or refused; log at most once in 10 s."""
        self.shed[reason] += 1
        self._unlogged += 1
        if now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        _LOGGER.warning(
            "connections shed",
            extra={
                "reason": reason,
                "since_last_line": self._unlogged,
                "held_bytes": self.held_bytes,
                "bound_bytes": self.bound_bytes,
                "connections": self.connections,
            },
        )
        self._unlogged = 0
