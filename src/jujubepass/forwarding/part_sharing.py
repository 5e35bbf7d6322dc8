"""Task that shares suspected parts of prompts with the other nodes."""

import collections.abc
import itertools
import logging
import random

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import (
    board,
    clocks,
    members,
    part_rows,
    prompt_parts,
    quarantine,
)
from jujubepass.storage import _store_messages, _table_client

_LOGGER = logging.getLogger(__name__)

_CHECK_INTERVAL_SECONDS = 0.1
# Nodes that learn of an engine's end together spread their writes.
_WRITES_PER_SECOND = 400.0
_MAX_SPREAD_SECONDS = 0.5
# All nodes together repeat failed writes this often.
_RETRIES_PER_SECOND = 20.0
_MIN_RETRY_INTERVAL_SECONDS = 0.5

# Alias, because a field has the same name as the module.
_Quarantine = quarantine.Quarantine


@attrs.define(kw_only=True)
class PartSharing:
    """Write what the quarantine learns, and confirm ends of engines by probes."""

    blackboard: board.Blackboard
    quarantine: _Quarantine
    table: _table_client.Table
    schedule_probe: collections.abc.Callable[[ids.BackendServerId], None]
    random_source: random.Random = attrs.field(factory=random.Random)
    _retry_at: float = attrs.field(default=float("-inf"), init=False)
    _operations: "itertools.count[int]" = attrs.field(
        factory=itertools.count, init=False
    )

    async def run(self) -> None:
        """Check and write until cancelled."""
        while True:
            await clocks.sleep_until_tick(_CHECK_INTERVAL_SECONDS)
            now = clocks.read_boot_clock()
            self.quarantine.check(now)
            for engine in self.quarantine.ends.list_unconfirmed(now):
                self.schedule_probe(engine)
            if now >= self._retry_at and self._list_writes():
                await self._write_due()

    def _list_writes(self) -> list[prompt_parts.PartWrite]:
        writes = self.quarantine.list_writes(clocks.read_boot_clock())
        return [each for each in writes if part_rows.is_storable(each.key)]

    async def _write_due(self) -> None:
        spread = members.share_interval(
            len(self.blackboard.members.nodes),
            per_second=_WRITES_PER_SECOND,
            least=0.0,
            most=_MAX_SPREAD_SECONDS,
        )
        await trio.sleep(self.random_source.uniform(0.0, spread))
        # Others may have written the same in the meantime.
        writes = self._list_writes()
        if writes and not await self._write(writes):
            interval = members.share_interval(
                len(self.blackboard.members.nodes),
                per_second=_RETRIES_PER_SECOND,
                least=_MIN_RETRY_INTERVAL_SECONDS,
            )
            self._retry_at = clocks.read_boot_clock() + interval

    async def _write(
        self, writes: collections.abc.Sequence[prompt_parts.PartWrite]
    ) -> bool:
        """Write rows; return whether the store answered."""
        operation = _store_messages.OperationId(f"prompts/{next(self._operations)}")
        outcome = await self.table.transact(part_rows.write_parts(operation, writes))
        now = clocks.read_boot_clock()
        if isinstance(outcome, _store_messages.Transacted):
            for each in writes:
                version = outcome.versions[str(each.key)]
                self.quarantine.record_written(each, version, now)
            return True
        _LOGGER.info(
            "parts of prompts not written",
            extra={"rows": len(writes), "outcome": type(outcome).__name__},
        )
        if not isinstance(outcome, _store_messages.TransactionConflicted):
            return False
        by_name = {str(each.key): each.key for each in writes}
        for row in outcome.rows:
            if row.key in by_name:
                found = _read_row(by_name[row.key], row) if row.value else None
                self.quarantine.install_conflict(by_name[row.key], found, now)
        return True

    async def claim_trial(
        self,
        service: ids.ServiceId,
        parts: collections.abc.Iterable[ids.PromptPartId],
    ) -> bool:
        """Claim the trial of a part for one request; return whether it is its own."""
        parts = tuple(parts)
        if self.quarantine.take_returned_trial(service, parts):
            return True
        now = clocks.read_boot_clock()
        write = self.quarantine.make_claim(service, parts, now)
        if write is None or not part_rows.is_storable(write.key):
            return False
        operation = _store_messages.OperationId(f"prompts/{next(self._operations)}")
        outcome = await self.table.transact(part_rows.write_parts(operation, (write,)))
        if not isinstance(outcome, _store_messages.Transacted):
            return False
        now = clocks.read_boot_clock()
        version = outcome.versions[str(write.key)]
        self.quarantine.record_written(write, version, now)
        self.quarantine.record_claim(write.key)
        return True


def _read_row(
    key: prompt_parts.PartKey, row: _store_messages.VersionedRow
) -> prompt_parts.SuspectedPart:
    """Return a row's part; an unreadable row holds nothing and is replaced."""
    try:
        return part_rows.read_part(row.key, row.version, row.value)
    except part_rows.PartRowError:
        return prompt_parts.SuspectedPart(
            key=key, version=row.version, ended=frozenset(), depth=0
        )
