"""What the platform's store tells about one kind of row, and how it is followed."""

import collections.abc
import typing

import attrs

Item = typing.TypeVar("Item", covariant=True)


class FeedError(Exception):
    """Report that the store gave no answer to use."""


class HistoryLostError(FeedError):
    """Report that changes since a version can no longer be told."""


@attrs.frozen(kw_only=True)
class Changes(typing.Generic[Item]):
    """Hold rows by key, None for one that is gone, up to a version of the store."""

    items: collections.abc.Mapping[str, Item | None]
    version: int
    proven_at: float
    """Latest time, on the boot clock, at which this was surely all there was."""
    is_whole: bool = False
    """Whether a key that is not among the items has no row."""


class Feed(typing.Protocol[Item]):
    """Read one kind of row and wait for its changes; raises FeedError."""

    async def read(self) -> Changes[Item]:
        """Read all rows."""

    async def follow(self, after: int, wait_seconds: float) -> Changes[Item]:
        """Wait for rows that changed after a version, or for nothing to change."""
