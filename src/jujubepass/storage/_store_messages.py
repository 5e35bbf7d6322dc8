"""Events and commands for the platform's table service."""

import collections.abc
import typing

import attrs

OperationId = typing.NewType("OperationId", str)
Row = collections.abc.Mapping[str, typing.Any]


@attrs.frozen(kw_only=True)
class VersionedRow:
    """Hold a row with the version it was read at."""

    key: str
    version: int
    value: Row


@attrs.frozen(kw_only=True)
class Condition:
    """Require a row's version; 0 requires that there is none."""

    key: str
    version: int


@attrs.frozen(kw_only=True)
class Write:
    """Set a row, or delete it when the value is None."""

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
    """Command a read of rows by key prefix, after a key."""

    operation: OperationId
    prefix: str
    after: str = ""
    limit: int = 100


@attrs.frozen(kw_only=True)
class Transacted:
    """Report that a transaction took effect."""

    operation: OperationId
    versions: collections.abc.Mapping[str, int]


@attrs.frozen(kw_only=True)
class TransactionConflicted:
    """Report that a condition did not hold and nothing was written."""

    operation: OperationId
    rows: tuple[VersionedRow, ...]


@attrs.frozen(kw_only=True)
class TransactionUnsent:
    """Report that a transaction certainly took no effect."""

    operation: OperationId
    detail: str


@attrs.frozen(kw_only=True)
class TransactionUnclear:
    """Report that a transaction may or may not have taken effect, now or later."""

    operation: OperationId
    detail: str


@attrs.frozen(kw_only=True)
class RowsRead:
    """Report the rows that exist among those asked for."""

    operation: OperationId
    rows: collections.abc.Mapping[str, VersionedRow]
    more: bool = False


@attrs.frozen(kw_only=True)
class ReadFailed:
    """Report a read without an answer."""

    operation: OperationId
    detail: str
