"""Change feeds of the platform's store, as rows and decoded."""

import collections.abc
import logging
import typing

import attrs

_LOGGER = logging.getLogger(__name__)

Item = typing.TypeVar("Item", covariant=True)
_Decoded = typing.TypeVar("_Decoded")


class FeedError(Exception):
    """Signal that the store gave no usable response."""


class HistoryLostError(FeedError):
    """Signal that the changes since a version are no longer available."""


class UnreadableRowError(Exception):
    """Signal that the value of a row cannot be decoded."""


@attrs.frozen(kw_only=True)
class Row:
    """Describe a row; the value is None if the row was deleted or is not JSON."""

    key: str
    version: int
    value: typing.Any


@attrs.frozen(kw_only=True)
class RowChanges:
    """Describe changed rows up to a store version."""

    rows: tuple[Row, ...]
    version: int
    confirmed_at: float
    """Latest boot-clock time at which the rows were confirmed up to date."""
    era: int = 0
    """Era of the store; versions are comparable within one era only."""
    is_complete: bool = False
    """Whether all rows are included, so that missing keys have no row."""
    origin: str = ""
    """Node that read the rows from the store, if it was not this one."""
    hops: int = 0
    """Number of nodes that passed the rows on."""


class RowFeed(typing.Protocol):
    """Read a table's rows and wait for their changes; raises FeedError."""

    async def read(self) -> RowChanges:
        """Read all rows."""

    async def follow(
        self, after: int, wait_seconds: float, *, era: int = 0
    ) -> RowChanges:
        """Wait until rows change after a version of an era, or the time has passed."""


@attrs.frozen(kw_only=True)
class Changes(typing.Generic[Item]):
    """Describe rows by key, with None for deleted rows, up to a store version."""

    items: collections.abc.Mapping[str, Item | None]
    version: int
    confirmed_at: float
    """Latest boot-clock time at which the rows were confirmed up to date."""
    era: int = 0
    """Era of the store; versions are comparable within one era only."""
    is_complete: bool = False
    """Whether all rows are included, so that missing keys have no row."""


class Feed(typing.Protocol[Item]):
    """Read rows of one kind and wait for their changes; raises FeedError."""

    async def read(self) -> Changes[Item]:
        """Read all rows."""

    async def follow(
        self, after: int, wait_seconds: float, *, era: int = 0
    ) -> Changes[Item]:
        """Wait until rows change after a version of an era, or the time has passed."""


Decode = collections.abc.Callable[[str, int, typing.Any], _Decoded]
"""Decode a row from its key, version and JSON value; raises UnreadableRowError."""


@attrs.define(kw_only=True)
class DecodedFeed(typing.Generic[_Decoded]):
    """Decode the rows of a feed."""

    rows: RowFeed
    decode: Decode[_Decoded]
    unreadable_rows: int = attrs.field(default=0, init=False)

    async def read(self) -> Changes[_Decoded]:
        """Read all rows."""
        return self._decode_changes(await self.rows.read())

    async def follow(
        self, after: int, wait_seconds: float, *, era: int = 0
    ) -> Changes[_Decoded]:
        """Wait until rows change after a version of an era, or the time has passed."""
        changes = await self.rows.follow(after, wait_seconds, era=era)
        return self._decode_changes(changes)

    def _decode_changes(self, changes: RowChanges) -> Changes[_Decoded]:
        return Changes(
            items={row.key: self._decode_row(row) for row in changes.rows},
            version=changes.version,
            confirmed_at=changes.confirmed_at,
            era=changes.era,
            is_complete=changes.is_complete,
        )

    def _decode_row(self, row: Row) -> _Decoded | None:
        if row.value is None:
            return None
        try:
            return self.decode(row.key, row.version, row.value)
        except UnreadableRowError as error:
            # Other programs write these tables. A row that cannot be decoded counts as
            # deleted, so that its previous value is no longer used.
            self.unreadable_rows += 1
            _LOGGER.warning(
                "row cannot be decoded",
                extra={
                    "key": row.key,
                    "version": row.version,
                    "detail": str(error)[:200],
                },
            )
            return None
