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
_MIN_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.5


@attrs.define(kw_only=True)
class Follower(typing.Generic[_Item]):
    """Read all rows once, then apply each change."""

    name: str
    feed: feeds.Feed[_Item]
    find_wait: collections.abc.Callable[[], float]
    """Return the maximum wait for a change, which is the interval of confirmations."""
    apply: collections.abc.Callable[[feeds.Changes[_Item], float], None]
    find_batch_interval: collections.abc.Callable[[], float] = lambda: 0.0
    """Return the interval in seconds after a change.

    Several changes are then read in one request.
    """
    on_recovery: collections.abc.Callable[[float], None] | None = None
    _version: int | None = attrs.field(default=None, init=False)
    _era: int = attrs.field(default=0, init=False)
    _outage_backoff_seconds: float = attrs.field(default=0.0, init=False)
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
                await self._handle_outage(error)

    async def read_now(self) -> bool:
        """Read all rows immediately; return whether the store responded."""
        try:
            self._apply_changes(await self.feed.read())
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
            wait = 0.0 if self._outage_backoff_seconds else self.find_wait()
            changes = await self.feed.follow(self._version, wait, era=self._era)
        if self._outage_backoff_seconds:
            self._outage_backoff_seconds = 0.0
            _LOGGER.info("store available again", extra={"feed": self.name})
            if self.on_recovery is not None:
                self.on_recovery(clocks.read_boot_clock())
        self._apply_changes(changes)
        if changes.items:
            await trio.sleep(self.find_batch_interval())

    def _apply_changes(self, changes: feeds.Changes[_Item]) -> None:
        is_outdated = (changes.era, changes.version) < (self._era, self._version or 0)
        if self._version is not None and is_outdated:
            _LOGGER.warning(
                "ignored an outdated answer of the store",
                extra={"feed": self.name, "version": changes.version},
            )
            return
        self._version, self._era = changes.version, changes.era
        self.apply(changes, clocks.read_boot_clock())

    async def _handle_outage(self, error: feeds.FeedError) -> None:
        if not self._outage_backoff_seconds:
            _LOGGER.warning(
                "store unavailable", extra={"feed": self.name, "detail": str(error)}
            )
        backoff = max(_MIN_BACKOFF_SECONDS, 2.0 * self._outage_backoff_seconds)
        self._outage_backoff_seconds = min(backoff, _MAX_BACKOFF_SECONDS)
        await trio.sleep(self._outage_backoff_seconds)
