"""Events and commands of the platform's table service."""

import collections.abc
import typing

import attrs

OperationId = typing.NewType("OperationId", str)
Row = collections.abc.Mapping[str, typing.Any]


@attrs.frozen(kw_only=True)
class VersionedRow:
    """Describe a row and its version when read."""

    key: str
    version: int
    value: Row


@attrs.frozen(kw_only=True)
class Condition:
    """Describe a row's required version; version 0 requires that the row is absent."""

    key: str
    version: int


@attrs.frozen(kw_only=True)
class Write:
    """Describe a row to set, or to delete when the value is None."""

    key: str
    value: Row | None


@attrs.frozen(kw_only=True)
class Transact:
    """Command a conditional transaction."""

    operation: OperationId
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@attrs.frozen(kw_only=True)
class ReadRows:
    """Command a read of rows by key."""

    operation: OperationId
    keys: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ScanRows:
    """Command a read of rows by key prefix, starting after a key."""

    operation: OperationId
    prefix: str
    after: str = ""
    limit: int = 100


@attrs.frozen(kw_only=True)
class Transacted:
    """Report a committed transaction."""

    operation: OperationId
    versions: collections.abc.Mapping[str, int]


@attrs.frozen(kw_only=True)
class TransactionConflicted:
    """Report a transaction that wrote nothing because a condition did not hold."""

    operation: OperationId
    rows: tuple[VersionedRow, ...]


@attrs.frozen(kw_only=True)
class TransactionUnsent:
    """Report a transaction that certainly took no effect."""

    operation: OperationId
    detail: str


@attrs.frozen(kw_only=True)
class TransactionUnclear:
    """Report a transaction with unclear outcome; it may still take effect later."""

    operation: OperationId
    detail: str


TransactionOutcome = (
    Transacted | TransactionConflicted | TransactionUnsent | TransactionUnclear
)


@attrs.frozen(kw_only=True)
class RowsRead:
    """Report the requested rows that exist."""

    operation: OperationId
    rows: collections.abc.Mapping[str, VersionedRow]
    more: bool = False


@attrs.frozen(kw_only=True)
class ReadFailed:
    """Report a failed read."""

    operation: OperationId
    detail: str
