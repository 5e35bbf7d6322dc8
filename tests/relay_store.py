"""Store of tables in a simulation, and what nodes call of it."""

import bisect
import collections

import attrs
import trio

from jujubepass.forwarding import feeds
from jujubepass.storage import _store_messages

ANSWER_SECONDS = 0.004


@attrs.frozen(kw_only=True)
class Call:
    """Describe a call to the store."""

    at: float
    node: str
    table: str


class Store:
    """Keep rows of tables with versions from one counter, and count calls."""

    def __init__(self):
        self.version = 0
        self.tables = collections.defaultdict(list)
        self.calls = []
        self.is_available = True
        self.refused = set()
        self.configuration_times = []
        self.era = 1
        self._copy = None
        self._changed = trio.Event()

    def write(self, table, key, value):
        self.version += 1
        row = feeds.Row(key=key, version=self.version, value=value)
        self.tables[table].append(row)
        if table == "configuration":
            self.configuration_times.append((trio.current_time(), value))
        self._changed.set()
        self._changed = trio.Event()

    def copy(self):
        self._copy = (
            self.version,
            {key: list(rows) for key, rows in self.tables.items()},
        )

    def restore(self):
        """Return from the copy; versions after it are given out again."""
        self.version, tables = self._copy
        self.tables = collections.defaultdict(list, tables)
        self.era += 1
        value = self.tables["configuration"][-1].value
        self.configuration_times.append((trio.current_time(), value))
        self._changed.set()
        self._changed = trio.Event()

    def find_configuration(self, time):
        """Return the configuration that was stored at a time."""
        index = bisect.bisect_right(self.configuration_times, (time, float("inf")))
        return self.configuration_times[index - 1][1] if index else None

    def make_changes(self, table, after, *, is_complete=False):
        latest = {row.key: row for row in self.tables[table] if row.version > after}
        return feeds.RowChanges(
            rows=tuple(latest.values()),
            version=self.version,
            era=self.era,
            confirmed_at=trio.current_time(),
            is_complete=is_complete,
        )

    def find_rows(self, table, version=float("inf")):
        """Return the rows that existed at a version by their keys."""
        latest = {row.key: row for row in self.tables[table] if row.version <= version}
        return {key: row for key, row in latest.items() if row.value is not None}

    async def serve(self, node, table):
        self.calls.append(Call(at=trio.current_time(), node=node.name, table=table))
        await trio.sleep(ANSWER_SECONDS)
        await node.wait_while_frozen()
        if not self.is_available or node.name in self.refused:
            raise feeds.FeedError("the store answered 503")

    async def wait_for_change(self, table, after, seconds):
        with trio.move_on_after(seconds):
            while not self.has_changed(table, after):
                await self._changed.wait()

    def has_changed(self, table, after):
        rows = self.tables[table]
        return bool(rows) and rows[-1].version > after

    def count_calls(self, start, end, *, table=None):
        return sum(
            start <= call.at < end and table in (None, call.table)
            for call in self.calls
        )

    def find_busiest_second(self):
        times = [call.at for call in self.calls]
        return max(
            bisect.bisect_left(times, start + 1.0) - number
            for number, start in enumerate(times)
        )


class StoreFeed:
    """Read one table on behalf of a node."""

    def __init__(self, *, store, node, table):
        self._store, self._node, self._table = store, node, table

    async def read(self):
        await self._store.serve(self._node, self._table)
        return self._store.make_changes(self._table, 0, is_complete=True)

    async def follow(self, after, wait_seconds, *, era=0):
        await self._store.serve(self._node, self._table)
        if era != self._store.era or after > self._store.version:
            raise feeds.HistoryLostError("era ended")
        await self._store.wait_for_change(self._table, after, wait_seconds)
        if not self._store.is_available or self._node.name in self._store.refused:
            raise feeds.FeedError("connection broke")
        if era != self._store.era:
            raise feeds.HistoryLostError("era ended")
        return self._store.make_changes(self._table, after)


class MemberTable:
    """Write the rows of nodes."""

    def __init__(self, *, store, node):
        self._store, self._node = store, node

    async def transact(self, command):
        try:
            await self._store.serve(self._node, "members")
        except feeds.FeedError as error:
            return _store_messages.TransactionUnsent(
                operation=command.operation, detail=str(error)
            )
        for write in command.writes:
            self._store.write("members", write.key, write.value)
        return _store_messages.Transacted(operation=command.operation, versions={})
