"""Batching of row writes of many calls into few transactions."""

import collections
import collections.abc
import enum

import attrs

from jujubepass.storage import _store_messages

MAX_GROUP_WRITES = 100
_MAX_GROUP_CHARACTERS = 500_000
_MAX_TRANSACTIONS_PER_LANE = 2

TransactionEvent = (
    _store_messages.Transacted
    | _store_messages.TransactionConflicted
    | _store_messages.TransactionUnsent
    | _store_messages.TransactionUnclear
)


class Lane(enum.Enum):
    """Enumerate the queues of writes.

    A call is sent only after its write in OPEN; nothing waits for writes in CLOSE.
    """

    OPEN = "open"
    CLOSE = "close"


class WriteState(enum.Enum):
    """Enumerate the outcomes of a row's write."""

    WRITTEN = "written"
    CONFLICTED = "conflicted"
    UNSENT = "unsent"
    UNCLEAR = "unclear"


@attrs.frozen(kw_only=True)
class RowWrite:
    """Describe a conditional write of one row; `version` is the version replaced."""

    key: str
    version: int
    value: _store_messages.Row | None
    characters: int = 0


@attrs.frozen(kw_only=True)
class WriteOutcome:
    """Describe the outcome of a row's write; `row` is the conflicting row, if any."""

    key: str
    state: WriteState
    version: int = 0
    row: _store_messages.VersionedRow | None = None


@attrs.define(kw_only=True)
class StoreWriter:
    """Batch queued writes into transactions, with a limit in flight per lane."""

    name: str
    largest_group: int = MAX_GROUP_WRITES
    _queues: dict[Lane, collections.deque[RowWrite]] = attrs.field(init=False)
    _running: dict[_store_messages.OperationId, tuple[Lane, tuple[RowWrite, ...]]] = (
        attrs.field(factory=dict, init=False)
    )
    _in_flight: collections.Counter[Lane] = attrs.field(
        factory=collections.Counter, init=False
    )
    _transaction_count: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._queues = {lane: collections.deque() for lane in Lane}

    def add(
        self, lane: Lane, write: RowWrite
    ) -> collections.abc.Sequence[_store_messages.Transact]:
        """Queue a write and return the transactions that can start."""
        self._queues[lane].append(write)
        return self._start(lane)

    def complete(
        self, event: TransactionEvent
    ) -> tuple[
        collections.abc.Sequence[WriteOutcome],
        collections.abc.Sequence[_store_messages.Transact],
    ]:
        """Return the outcomes of a transaction's writes and the next transactions."""
        running = self._running.pop(event.operation, None)
        if running is None:
            return (), ()
        lane, writes = running
        self._in_flight[lane] -= 1
        outcomes = self._read_outcomes(event, lane, writes)
        return outcomes, self._start(lane)

    def _read_outcomes(
        self, event: TransactionEvent, lane: Lane, writes: tuple[RowWrite, ...]
    ) -> list[WriteOutcome]:
        if isinstance(event, _store_messages.Transacted):
            return [
                WriteOutcome(
                    key=write.key,
                    state=WriteState.WRITTEN,
                    version=event.versions.get(write.key, 0),
                )
                for write in writes
            ]
        if isinstance(event, _store_messages.TransactionConflicted):
            rows = {row.key: row for row in event.rows}
            if any(write.key in rows for write in writes):
                return self._split(lane, writes, rows)
        unsent = isinstance(event, _store_messages.TransactionUnsent)
        state = WriteState.UNSENT if unsent else WriteState.UNCLEAR
        return [WriteOutcome(key=write.key, state=state) for write in writes]

    def _split(
        self,
        lane: Lane,
        writes: tuple[RowWrite, ...],
        rows: collections.abc.Mapping[str, _store_messages.VersionedRow],
    ) -> list[WriteOutcome]:
        """Return outcomes of conflicting writes; requeue the others at the front."""
        others = [write for write in writes if write.key not in rows]
        self._queues[lane].extendleft(reversed(others))
        return [
            WriteOutcome(
                key=write.key, state=WriteState.CONFLICTED, row=rows[write.key]
            )
            for write in writes
            if write.key in rows
        ]

    def _start(self, lane: Lane) -> list[_store_messages.Transact]:
        started = []
        queue = self._queues[lane]
        while queue and self._in_flight[lane] < _MAX_TRANSACTIONS_PER_LANE:
            writes = self._take_group(queue)
            self._transaction_count += 1
            operation = _store_messages.OperationId(
                f"{self.name}/{self._transaction_count}"
            )
            self._running[operation] = (lane, writes)
            self._in_flight[lane] += 1
            started.append(_make_transaction(operation, writes))
        return started

    def _take_group(self, queue: collections.deque[RowWrite]) -> tuple[RowWrite, ...]:
        """Remove a group of writes from the queue, with at most one write per row."""
        group: dict[str, RowWrite] = {}
        deferred: list[RowWrite] = []
        characters = 0
        while queue and len(group) < self.largest_group:
            write = queue.popleft()
            characters += write.characters
            if write.key in group:
                deferred.append(write)
            else:
                group[write.key] = write
            if characters >= _MAX_GROUP_CHARACTERS:
                break
        queue.extendleft(reversed(deferred))
        return tuple(group.values())


def _make_transaction(
    operation: _store_messages.OperationId, writes: collections.abc.Iterable[RowWrite]
) -> _store_messages.Transact:
    return _store_messages.Transact(
        operation=operation,
        conditions=tuple(
            _store_messages.Condition(key=write.key, version=write.version)
            for write in writes
        ),
        writes=tuple(
            _store_messages.Write(key=write.key, value=write.value) for write in writes
        ),
    )
