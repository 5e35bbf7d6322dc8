"""Task that shares suspects with the other nodes."""

import collections.abc
import itertools
import logging
import random

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import board, clocks, members
from jujubepass.quarantine import controller, fingerprints, rows, suspects
from jujubepass.storage import _store_messages, _table_client

_LOGGER = logging.getLogger(__name__)

_CHECK_INTERVAL_SECONDS = 0.1
# Nodes that learn of an engine's end together spread their writes.
_WRITES_PER_SECOND = 400.0
_MAX_SPREAD_SECONDS = 0.5
_MAX_WRITES_PER_TURN = 3
# All nodes together repeat failed writes this often.
_RETRIES_PER_SECOND = 20.0
_MIN_RETRY_INTERVAL_SECONDS = 0.5

# Nodes that learn of a suspected request together spread their reads of the secret.
_SECRET_READS_PER_SECOND = 1_000.0
SECRET_KEY = "requests"
"""Key of the row with the secret that identifies requests."""


@attrs.define(kw_only=True)
class Sharing:
    """Write what the quarantine learns, and confirm ends of servers by probes."""

    blackboard: board.Blackboard
    quarantine: controller.Quarantine
    table: _table_client.Table
    secret_table: _table_client.Table
    """Table of secrets, apart from the rows whose digests they protect."""
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
            for server in self.quarantine.ends.list_unconfirmed(now):
                self.schedule_probe(server)
            if now < self._retry_at:
                continue
            if self._needs_secret():
                await self._share_secret()
            if self._list_writes():
                await self._write_due()

    def _needs_secret(self) -> bool:
        quarantine = self.quarantine
        return not quarantine.fingerprints.is_shared and quarantine.has_requests()

    async def _share_secret(self) -> None:
        """Read the secret of all nodes, or write this node's if there is none."""
        await self._wait_for_turn(_SECRET_READS_PER_SECOND)
        read = await self.secret_table.read(
            _store_messages.ReadRows(
                operation=self._make_operation(), keys=(SECRET_KEY,)
            )
        )
        row = None
        if isinstance(read, _store_messages.RowsRead):
            row = read.rows.get(SECRET_KEY)
            if row is None or _read_secret(row) is None:
                row = await self._write_secret(row.version if row is not None else 0)
        secret = _read_secret(row) if row is not None else None
        if secret is None:
            self._retry_later()
            _LOGGER.info("secret of requests not shared")
            return
        self.quarantine.adopt_secret(secret, clocks.read_boot_clock())

    async def _write_secret(self, version: int) -> _store_messages.VersionedRow | None:
        """Write this node's secret; return the row that is in force then."""
        value = {"secret": self.quarantine.fingerprints.secret.hex()}
        outcome = await self.secret_table.transact(
            _store_messages.Transact(
                operation=self._make_operation(),
                conditions=(
                    _store_messages.Condition(key=SECRET_KEY, version=version),
                ),
                writes=(_store_messages.Write(key=SECRET_KEY, value=value),),
            )
        )
        if isinstance(outcome, _store_messages.Transacted):
            version = outcome.versions[SECRET_KEY]
            return _store_messages.VersionedRow(
                key=SECRET_KEY, version=version, value=value
            )
        if isinstance(outcome, _store_messages.TransactionConflicted):
            return next((row for row in outcome.rows if row.key == SECRET_KEY), None)
        return None

    def _make_operation(self) -> _store_messages.OperationId:
        return _store_messages.OperationId(f"quarantine/{next(self._operations)}")

    async def _wait_for_turn(self, per_second: float) -> None:
        """Wait for a random time, so that all nodes together keep a rate."""
        spread = members.share_interval(
            len(self.blackboard.members.nodes),
            per_second=per_second,
            least=0.0,
            most=_MAX_SPREAD_SECONDS,
        )
        await trio.sleep(self.random_source.uniform(0.0, spread))

    def _retry_later(self) -> None:
        interval = members.share_interval(
            len(self.blackboard.members.nodes),
            per_second=_RETRIES_PER_SECOND,
            least=_MIN_RETRY_INTERVAL_SECONDS,
        )
        self._retry_at = clocks.read_boot_clock() + interval

    def _list_writes(self) -> list[suspects.SuspectWrite]:
        writes = self.quarantine.list_writes(clocks.read_boot_clock())
        return [each for each in writes if suspects.is_storable(each.key)]

    async def _write_due(self) -> None:
        await self._wait_for_turn(_WRITES_PER_SECOND)
        for _ in range(_MAX_WRITES_PER_TURN):
            # Others may have written the same in the meantime.
            writes = self._list_writes()
            if not writes:
                return
            if not await self._write(writes):
                self._retry_later()
                return

    async def _write(
        self, writes: collections.abc.Sequence[suspects.SuspectWrite]
    ) -> bool:
        """Write rows; return whether the store answered."""
        outcome = await self.table.transact(
            rows.write_suspects(self._make_operation(), writes)
        )
        now = clocks.read_boot_clock()
        if isinstance(outcome, _store_messages.Transacted):
            for each in writes:
                version = outcome.versions[str(each.key)]
                self.quarantine.record_written(each, version, now)
            return True
        _LOGGER.info(
            "suspects not written",
            extra={"rows": len(writes), "outcome": type(outcome).__name__},
        )
        if not isinstance(outcome, _store_messages.TransactionConflicted):
            return False
        by_name = {str(each.key): each.key for each in writes}
        for row in outcome.rows:
            if row.key in by_name:
                found = _read_row(by_name[row.key], row) if row.version else None
                self.quarantine.install_conflict(by_name[row.key], found, now)
        return True

    async def claim_trial(self, keys: collections.abc.Collection[suspects.Key]) -> bool:
        """Claim the trial of a suspect; return whether this request has it."""
        if self.quarantine.take_returned_trial(keys):
            return True
        write = self.quarantine.make_claim(keys, clocks.read_boot_clock())
        if write is None or not self._is_claimable(write.key):
            return False
        outcome = await self.table.transact(
            rows.write_suspects(self._make_operation(), (write,))
        )
        if not isinstance(outcome, _store_messages.Transacted):
            return False
        now = clocks.read_boot_clock()
        version = outcome.versions[str(write.key)]
        self.quarantine.record_written(write, version, now)
        self.quarantine.record_claim(write.key)
        return True

    def _is_claimable(self, key: suspects.Key) -> bool:
        """Return whether other nodes would know of a trial."""
        if isinstance(key, suspects.RequestKey):
            return self.quarantine.fingerprints.is_shared
        return suspects.is_storable(key)


def _read_secret(row: _store_messages.VersionedRow) -> bytes | None:
    """Return the secret in a row, or None if it contains no valid one."""
    text = row.value.get("secret") if isinstance(row.value, dict) else None
    try:
        secret = bytes.fromhex(text) if isinstance(text, str) else b""
    except ValueError:
        return None
    return secret if len(secret) == fingerprints.SECRET_BYTES else None


def _read_row(key: suspects.Key, row: _store_messages.VersionedRow) -> suspects.Suspect:
    """Return a row's suspect; an unreadable row holds nothing and is replaced."""
    try:
        return rows.read_suspect(row.key, row.version, row.value)
    except rows.SuspectRowError:
        return suspects.Suspect(
            key=key, version=row.version, ended=frozenset(), depth=0
        )
