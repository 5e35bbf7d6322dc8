"""Follower of a change feed that handles outages and lost history."""

import collections.abc
import logging
import typing

import attrs
import trio

from jujubepass.forwarding import clocks, feeds

_LOGGER = logging.getLogger(__name__)

_Item = typing.TypeVar("_Item")

# Interval before the first retry after an outage began; it doubles up to the maximum.
_FIRST_PAUSE_SECONDS = 0.1
_LONGEST_PAUSE_SECONDS = 0.5


@attrs.define(kw_only=True)
class Follower(typing.Generic[_Item]):
    """Read all rows once, then apply each change."""

    name: str
    feed: feeds.Feed[_Item]
    wait_seconds: float
    """Maximum wait for a change; also the interval of confirmations."""
    apply: collections.abc.Callable[[feeds.Changes[_Item], float], None]
    pause_seconds: float = 0.0
    """Interval after a change, so that several changes are read in one request."""
    note_regained: collections.abc.Callable[[float], None] | None = None
    _version: int | None = attrs.field(default=None, init=False)
    _outage_pause_seconds: float = attrs.field(default=0.0, init=False)
    _reading: trio.Lock = attrs.field(factory=trio.Lock, init=False)

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        while True:
            try:
                await self._step()
            except feeds.HistoryLostError:
                _LOGGER.info(
                    "history lost; reading all rows", extra={"feed": self.name}
                )
                self._version = None
            except feeds.FeedError as error:
                await self._note_lost(error)

    async def read_now(self) -> bool:
        """Read all rows immediately; return whether the store responded."""
        try:
            self._take(await self.feed.read())
        except feeds.FeedError as error:
            _LOGGER.info("read failed", extra={"feed": self.name, "detail": str(error)})
            return False
        return True

    async def _step(self) -> None:
        if self._version is None:
            changes = await self.feed.read()
        else:
            # During an outage the store must respond at once for its return to be
            # noticed.
            wait = 0.0 if self._outage_pause_seconds else self.wait_seconds
            changes = await self.feed.follow(self._version, wait)
        if self._outage_pause_seconds:
            self._outage_pause_seconds = 0.0
            _LOGGER.info("store regained", extra={"feed": self.name})
            if self.note_regained is not None:
                self.note_regained(clocks.read_boot_clock())
        self._take(changes)
        if changes.items:
            await trio.sleep(self.pause_seconds)

    def _take(self, changes: feeds.Changes[_Item]) -> None:
        if self._version is not None and changes.version < self._version:
            _LOGGER.warning(
                "answer older than what is known",
                extra={"feed": self.name, "version": changes.version},
            )
            return
        self._version = changes.version
        self.apply(changes, clocks.read_boot_clock())

    async def _note_lost(self, error: feeds.FeedError) -> None:
        if not self._outage_pause_seconds:
            _LOGGER.warning(
                "store lost", extra={"feed": self.name, "detail": str(error)}
            )
        pause = max(_FIRST_PAUSE_SECONDS, 2.0 * self._outage_pause_seconds)
        self._outage_pause_seconds = min(pause, _LONGEST_PAUSE_SECONDS)
        await trio.sleep(self._outage_pause_seconds)
