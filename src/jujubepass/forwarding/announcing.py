"""Task that renews this node's row and reads the rows of the others."""

import itertools
import logging
import random

import attrs
import trio

from jujubepass.forwarding import board, clocks, feeds, member_rows, members
from jujubepass.storage import _store_messages, _table_client

_LOGGER = logging.getLogger(__name__)

_RETRY_INTERVAL_SECONDS = 2.0
# Nodes that start together spread their reads by this share of the interval.
_JITTER_SHARE = 0.1


@attrs.define(kw_only=True)
class Announcer:
    """Keep this node known to the others, and their number up to date."""

    blackboard: board.Blackboard
    controller: members.MemberController
    table: _table_client.Table
    feed: feeds.Feed[members.Member]
    random_source: random.Random = attrs.field(factory=random.Random)
    reads: int = attrs.field(default=0, init=False)
    _renew_at: float = attrs.field(default=float("-inf"), init=False)
    _version: int | None = attrs.field(default=None, init=False)
    _operations: "itertools.count[int]" = attrs.field(
        factory=itertools.count, init=False
    )

    async def run(self) -> None:
        """Renew and read until cancelled."""
        while True:
            succeeded = await self.renew_and_read()
            jitter = 1.0 - self.random_source.uniform(0.0, _JITTER_SHARE)
            interval = (
                members.READ_INTERVAL_SECONDS if succeeded else _RETRY_INTERVAL_SECONDS
            )
            await trio.sleep(interval * jitter)

    async def renew_and_read(self) -> bool:
        """Renew the own row if due and read all; return whether both succeeded."""
        is_renewed = True
        if clocks.read_boot_clock() >= self._renew_at:
            is_renewed = await self._renew()
        return await self._read() and is_renewed

    async def _renew(self) -> bool:
        now = clocks.read_boot_clock()
        seconds = self.controller.renewal_seconds
        command = member_rows.write_member(
            _store_messages.OperationId(f"member/{next(self._operations)}"),
            node=self.blackboard.node,
            failure_domain=self.blackboard.failure_domain,
            renewal_seconds=seconds,
            abandoned=self.controller.find_abandoned(now),
        )
        outcome = await self.table.transact(command)
        if not isinstance(outcome, _store_messages.Transacted):
            _LOGGER.info(
                "node's row not renewed", extra={"outcome": type(outcome).__name__}
            )
            return False
        self.controller.record_renewal(
            sent_at=now, committed_at=clocks.read_boot_clock(), seconds=seconds
        )
        self._renew_at = now + seconds - members.READ_INTERVAL_SECONDS / 2.0
        return True

    async def _read(self) -> bool:
        self.reads += 1
        try:
            if self._version is None:
                changes = await self.feed.read()
            else:
                changes = await self.feed.follow(self._version, 0.0)
        except feeds.HistoryLostError:
            self._version = None
            return False
        except feeds.FeedError as error:
            _LOGGER.info("nodes' rows not read", extra={"detail": str(error)})
            return False
        self._version = changes.version
        self.controller.apply(changes, clocks.read_boot_clock())
        return True
