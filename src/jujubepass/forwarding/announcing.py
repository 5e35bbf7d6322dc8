"""Task that renews this node's row and reads the rows of the others."""

import collections.abc
import itertools
import logging
import random

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import board, clocks, feeds, member_rows, members
from jujubepass.storage import _store_messages, _table_client
from jujubepass.transport import _http_client

_LOGGER = logging.getLogger(__name__)

# All nodes together repeat failed renewals and reads this often.
_RETRIES_PER_SECOND = 20.0
_MIN_RETRY_INTERVAL_SECONDS = 2.0
# All nodes together write their rows again this often after the store has returned from
# an older copy.
_RESTORED_RENEWALS_PER_SECOND = 200.0
# Nodes that start together spread their reads by this share of the interval.
_JITTER_SHARE = 0.1
# While nodes join, those that read the store do so more often, and again soon after
# their start, as others start with them.
_FIRST_INTERVAL_SECONDS = 0.3
_JOINING_INTERVAL_SECONDS = 2.0
_JOINING_SECONDS = 15.0
_MIN_FIRST_RENEWAL_SHARE = 0.25
# Longest wait for rows from another node; the own row is renewed in between.
_MAX_WAIT_SECONDS = 2.0


async def _wait_forever(_era: int) -> None:
    await trio.sleep_forever()


@attrs.define(kw_only=True)
class Announcer:
    """Keep this node known to the others, and their number up to date."""

    blackboard: board.Blackboard
    controller: members.MemberController
    table: _table_client.Table
    feed: feeds.Feed[members.Member]
    address: _http_client.Address | None = None
    """Where this node answers queries for rows."""
    token: str = attrs.field(default="", repr=False)
    wait_for_era: collections.abc.Callable[[int], collections.abc.Awaitable[None]] = (
        _wait_forever
    )
    """Wait until rows of any table are of a later era."""
    reads_store: collections.abc.Callable[[], bool] = lambda: True
    """Return whether the rows come from the store, which is read at intervals."""
    random_source: random.Random = attrs.field(factory=random.Random)
    _known_nodes: frozenset[ids.NodeId] = attrs.field(default=frozenset(), init=False)
    _nodes_changed_at: float = attrs.field(default=float("-inf"), init=False)
    _renew_at: float = attrs.field(default=float("-inf"), init=False)
    _version: int | None = attrs.field(default=None, init=False)
    _era: int | None = attrs.field(default=None, init=False)
    """Era of the rows that were read last."""
    _since: float | None = attrs.field(default=None, init=False)
    """Wall-clock time at which this node joined; None before its first write."""
    _join_at: float = attrs.field(default=0.0, init=False)
    """Time of the last attempt to write the row for the first time."""
    _is_row_lost: bool = attrs.field(default=False, init=False)
    """Whether the store may have lost the own row."""
    _operations: "itertools.count[int]" = attrs.field(
        factory=itertools.count, init=False
    )

    async def run(self) -> None:
        """Renew and read until cancelled."""
        while True:
            succeeded = await self.renew_and_read()
            jitter = 1.0 - self.random_source.uniform(0.0, _JITTER_SHARE)
            await self._wait(self._find_interval(succeeded) * jitter, succeeded)

    async def _wait(self, seconds: float, succeeded: bool) -> None:
        """Wait until the next read, which is due at once in a new era of the store."""
        if not succeeded:
            # Rows of another table may be of the new era already.
            await trio.sleep(seconds)
            return
        with trio.move_on_after(seconds):
            await self.wait_for_era(self._era or 0)

    def _find_interval(self, succeeded: bool) -> float:
        if not succeeded:
            return members.share_interval(
                len(self.blackboard.members.nodes),
                per_second=_RETRIES_PER_SECOND,
                least=_MIN_RETRY_INTERVAL_SECONDS,
            )
        now = clocks.read_boot_clock()
        if self._is_row_lost:
            return max(0.0, self._renew_at - now)
        if not self.reads_store():
            return 0.0
        nodes = self.blackboard.members.nodes
        if not self._known_nodes:
            self._known_nodes, self._nodes_changed_at = nodes, now
            return _FIRST_INTERVAL_SECONDS
        if nodes != self._known_nodes:
            self._known_nodes, self._nodes_changed_at = nodes, now
        if now - self._nodes_changed_at < _JOINING_SECONDS:
            return _JOINING_INTERVAL_SECONDS
        return members.READ_INTERVAL_SECONDS

    async def renew_and_read(self) -> bool:
        """Renew the own row if due and read all; return whether both succeeded."""
        is_renewed = True
        if clocks.read_boot_clock() >= self._renew_at:
            is_renewed = await self._renew()
        return await self._read() and is_renewed

    async def _renew(self) -> bool:
        now = clocks.read_boot_clock()
        seconds = self.controller.renewal_seconds
        outcome = await self._write(now, seconds)
        if self._since is None and isinstance(
            outcome, _store_messages.TransactionConflicted
        ):
            self._since = self._find_since(outcome)
            outcome = await self._write(now, seconds)
        if not isinstance(outcome, _store_messages.Transacted):
            _LOGGER.info(
                "node's row not renewed", extra={"outcome": type(outcome).__name__}
            )
            return False
        self._is_row_lost = False
        self.controller.record_renewal(
            sent_at=now, committed_at=clocks.read_boot_clock(), seconds=seconds
        )
        if self._since is None:
            self._since = self._join_at
        self.blackboard.members.since = self._since
        interval = seconds - members.READ_INTERVAL_SECONDS / 2.0
        if self._renew_at == float("-inf"):
            # Nodes that start together would renew together ever after.
            interval *= self.random_source.uniform(_MIN_FIRST_RENEWAL_SHARE, 1.0)
        self._renew_at = now + interval
        return True

    async def _write(
        self, now: float, seconds: float
    ) -> _store_messages.TransactionOutcome:
        wall_now = clocks.read_wall_clock()
        self._join_at = 0.0 if self.blackboard.is_first_start else wall_now
        command = member_rows.write_member(
            _store_messages.OperationId(f"member/{next(self._operations)}"),
            node=self.blackboard.node,
            failure_domain=self.blackboard.failure_domain,
            renewal_seconds=seconds,
            abandoned=self.controller.find_abandoned(now),
            address=self.address,
            token=self.token,
            since=self._join_at if self._since is None else self._since,
            renewed_at=wall_now,
            is_first=self._since is None,
        )
        return await self.table.transact(command)

    def _find_since(self, conflict: _store_messages.TransactionConflicted) -> float:
        """Return since when the others count this node by its earlier process's row."""
        now = clocks.read_wall_clock()
        own = (row for row in conflict.rows if row.key == self.blackboard.node)
        found = (member_rows.find_joined_at(row, now) for row in own)
        return next(found, self._join_at)

    async def _read(self) -> bool:
        wait_seconds = float("inf") if self.reads_store() else _MAX_WAIT_SECONDS
        try:
            with trio.move_on_after(wait_seconds) as scope:
                changes = await self._read_changes()
        except feeds.FeedError as error:
            _LOGGER.info("nodes' rows not read", extra={"detail": str(error)})
            return False
        now = clocks.read_boot_clock()
        if scope.cancelled_caught:
            self.controller.count(now)
            return True
        if self._era is not None and changes.era != self._era:
            self._renew_after_restore(now)
        self._version, self._era = changes.version, changes.era
        self.controller.apply(changes, now)
        return True

    def _renew_after_restore(self, now: float) -> None:
        """Write the own row again, as the store's copy may lack it."""
        self._is_row_lost = True
        self.controller.record_lost_renewal()
        longest = len(self.blackboard.members.nodes) / _RESTORED_RENEWALS_PER_SECOND
        self._renew_at = now + self.random_source.uniform(0.0, longest)

    async def _read_changes(self) -> feeds.Changes[members.Member]:
        if self._version is None:
            return await self.feed.read()
        try:
            return await self.feed.follow(self._version, 0.0, era=self._era or 0)
        except feeds.HistoryLostError:
            return await self.feed.read()
