"""Feed of a table's rows from another node or from the store."""

import collections
import collections.abc
import logging
import random

import attrs

from jujubepass.forwarding import clocks, feeds
from jujubepass.relay import area, sources

_LOGGER = logging.getLogger(__name__)

# Longest waits for the first rows from another node, before the store is read. The
# nodes that are not readers spread their reads.
_READER_START_WAIT_SECONDS = 0.1
_START_WAIT_SECONDS = (0.3, 0.6)
# Interval at which a waiting node checks whether it has become a reader.
_CHECK_INTERVAL_SECONDS = 0.5
_START_CHECK_INTERVAL_SECONDS = 0.05
# Nodes that start together learn of each other before they follow the store as readers.
_SETTLE_SECONDS = 1.0


@attrs.define(kw_only=True)
class RelayedFeed:
    """Read a table from the chosen source; raises FeedError as the store's feed does.

    Rows that other nodes sent are returned as soon as they arrive. The store is read by
    readers, and by others when their rows exceed an age.
    """

    name: str
    store: feeds.RowFeed
    area: area.RelayArea
    controller: sources.SourceController
    find_read_ages: collections.abc.Callable[[], tuple[float, float]]
    """Return the range of ages at which a node reads the store itself."""
    waits_at_start: bool = True
    """Whether the first read waits for the rows of another node."""
    random_source: random.Random = attrs.field(factory=random.Random)
    reads: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    """Reads of the store by reason."""
    _returned_at: float = attrs.field(default=float("-inf"), init=False)
    """Confirmation time of the rows that were returned last."""
    _age_share: float = attrs.field(init=False)
    """Position in the range of ages at which this node reads the store itself."""
    _is_failing: bool = attrs.field(default=False, init=False)
    """Whether the last read of the store failed."""
    _has_lost_history: bool = attrs.field(default=False, init=False)
    _read_not_before: float = attrs.field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        self._age_share = self.random_source.random()

    async def read(self) -> feeds.RowChanges:
        """Read all rows, from another node if there are none yet."""
        history = self.area.histories[self.name]
        if self.waits_at_start:
            self.waits_at_start = False
            self._read_not_before = clocks.read_boot_clock() + _SETTLE_SECONDS
            await self._wait_at_start()
            if history.version is not None:
                return self._return_since(None, history.era)
        if self._is_failing and clocks.read_boot_clock() < self._read_not_before:
            raise feeds.FeedError("the store has just failed")
        self.reads[sources.ReadReason.START.value] += 1
        changes = await self.store.read()
        self.area.apply(self.name, changes, restarts=self._has_lost_history)
        self._has_lost_history = False
        return self._return_since(None, history.era)

    async def follow(
        self, after: int, wait_seconds: float, *, era: int = 0
    ) -> feeds.RowChanges:
        """Return the rows that changed after a version, or a later confirmation.

        Only a reader keeps to the wait; others wait until their rows are too old.
        """
        history = self.area.histories[self.name]
        while True:
            is_ahead = history.version is not None and (
                (history.era, history.version) >= (era, after)
            )
            if is_ahead and history.confirmed_at > self._returned_at:
                return self._return_since(after, era)
            reason = self._find_reason(clocks.read_boot_clock())
            if reason is None:
                await self.area.wait_for_table(self.name, self._find_wait())
                continue
            is_waiting = (
                reason is not sources.ReadReason.ROWS_OLD and not self._is_failing
            )
            is_pointless = self.controller.is_read_pointless(self.name, reason)
            try:
                if is_pointless:
                    raise feeds.FeedError("the store has just failed")
                wait = wait_seconds if is_waiting else 0.0
                await self._follow_store(after, wait, era)
            except feeds.HistoryLostError:
                self._has_lost_history = True
                raise
            except feeds.FeedError as error:
                self._record_failure(error, was_read=not is_pointless)
                # Rows may still come from a node that the store serves.
                if self._is_too_old(clocks.read_boot_clock()):
                    raise
            else:
                self.reads[reason.value] += 1
                self._is_failing = False
                if self.name == area.REFERENCE_FEED_NAME:
                    self.controller.record_read(reason)
                return self._return_since(after, era)

    async def _wait_at_start(self) -> None:
        """Wait until another node has sent rows, or none is known that may."""
        history = self.area.histories[self.name]
        began = clocks.read_boot_clock()
        longest = self.random_source.uniform(*_START_WAIT_SECONDS)
        while history.version is None:
            now = clocks.read_boot_clock()
            known = bool(self.controller.blackboard.members.neighbors)
            if known and not self.controller.has_others(now):
                return
            is_reader = known and self.controller.is_reader(now)
            if now - began > (_READER_START_WAIT_SECONDS if is_reader else longest):
                return
            await self.area.wait_for_table(self.name, _START_CHECK_INTERVAL_SECONDS)

    def _find_reason(self, now: float) -> sources.ReadReason | None:
        """Return why to read the store now, or None."""
        if now < self._read_not_before:
            return None
        if self.controller.is_reader(now):
            return sources.ReadReason.READER
        if self.controller.is_substitute():
            return sources.ReadReason.SUBSTITUTE
        return sources.ReadReason.ROWS_OLD if self._is_too_old(now) else None

    def _find_wait(self) -> float:
        """Return the time until the store may have to be read, in seconds."""
        due = max(self._read_not_before, self._find_too_old_at())
        wait_seconds = due - clocks.read_boot_clock()
        return min(max(0.0, wait_seconds), _CHECK_INTERVAL_SECONDS)

    def _is_too_old(self, now: float) -> bool:
        return now >= self._find_too_old_at()

    def _find_too_old_at(self) -> float:
        history = self.area.histories[self.name]
        # The range changes as nodes become known.
        least, most = self.find_read_ages()
        return history.confirmed_at + least + self._age_share * (most - least)

    async def _follow_store(self, after: int, wait_seconds: float, era: int) -> None:
        history = self.area.histories[self.name]
        # Changes that another node sent in the meantime need not be read again.
        if history.version is not None:
            era, after = max((era, after), (history.era, history.version))
        self._apply(await self.store.follow(after, wait_seconds, era=era))
        self._age_share = self.random_source.random()

    def _record_failure(self, error: feeds.FeedError, *, was_read: bool) -> None:
        if not self._is_failing:
            _LOGGER.info(
                "store not read", extra={"feed": self.name, "detail": str(error)}
            )
        self._is_failing = True
        self.controller.record_failed_read(self.name)
        self.reads[sources.ReadReason.FAILED.value] += was_read
        interval = self.controller.find_outage_interval()
        self._read_not_before = clocks.read_boot_clock() + interval

    def _apply(self, changes: feeds.RowChanges) -> None:
        self.area.apply(self.name, changes)

    def _return_since(self, after: int | None, era: int) -> feeds.RowChanges:
        history = self.area.histories[self.name]
        self._returned_at = history.confirmed_at
        return history.find_since(after, era)
