"""Change feeds of the platform's store."""

import collections.abc
import typing

import attrs

Item = typing.TypeVar("Item", covariant=True)


class FeedError(Exception):
    """Signal that the store gave no usable response."""


class HistoryLostError(FeedError):
    """Signal that the changes since a version are no longer available."""


@attrs.frozen(kw_only=True)
class Changes(typing.Generic[Item]):
    """Describe rows by key, with None for deleted rows, up to a store version."""

    items: collections.abc.Mapping[str, Item | None]
    version: int
    confirmed_at: float
    """Latest boot-clock time at which the rows were confirmed up to date."""
    is_complete: bool = False
    """Whether all rows are included, so that missing keys have no row."""


class Feed(typing.Protocol[Item]):
    """Read rows of one kind and wait for their changes; raises FeedError."""

    async def read(self) -> Changes[Item]:
        """Read all rows."""

    async def follow(self, after: int, wait_seconds: float) -> Changes[Item]:
        """Wait until rows change after a version, or until the time has passed."""
