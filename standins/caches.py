"""Prefix cache and KV caches of one engine, both in limited memory."""

import collections
import collections.abc
import random
import typing

import attrs

_KEPT_EVENTS = 10_000
_EVENTS_PER_ANSWER = 1_000


@attrs.define(kw_only=True)
class CacheEvent:
    """Record one change of the prefix cache."""

    seq: int
    kind: str
    prefix: str
    happened_at: float


class PrefixCache:
    """Keep prefix blocks, evict the least recently used, log both."""

    def __init__(self, *, random_source: random.Random) -> None:
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=_KEPT_EVENTS
        )
        self._random = random_source
        self._seq = 0

    def match(self, blocks: collections.abc.Iterable[str]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(
        self,
        blocks: collections.abc.Iterable[str],
        *,
        capacity: int,
        drop_odds: float,
        now: float,
    ) -> None:
        """Add blocks and evict what no longer fits."""
        for block in blocks:
            if block not in self._blocks:
                self._blocks[block] = None
                self._log("stored", block, drop_odds, now)
        while len(self._blocks) > capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._log("evicted", evicted, drop_odds, now)

    def _log(self, kind: str, prefix: str, drop_odds: float, now: float) -> None:
        self._seq += 1
        if self._random.random() >= drop_odds:
            event = CacheEvent(seq=self._seq, kind=kind, prefix=prefix, happened_at=now)
            self._events.append(event)

    def show_events(self, after: int, until: float) -> dict[str, typing.Any]:
        """Return events after a sequence number that happened by a time."""
        shown: list[dict[str, typing.Any]] = []
        for event in self._events:
            if event.happened_at > until or len(shown) == _EVENTS_PER_ANSWER:
                break
            if event.seq > after:
                row = {"seq": event.seq, "kind": event.kind, "prefix": event.prefix}
                shown.append(row)
        return {"events": shown, "next": shown[-1]["seq"] if shown else after}


@attrs.define(kw_only=True)
class KeptCache:
    """Hold what one request's KV cache covers."""

    tokens: int
    epoch: int
    used_at: float
    active: bool


class KvCaches:
    """Keep the KV caches of requests, least recently used first."""

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[str, KeptCache] = collections.OrderedDict()
        self._tokens = 0

    def get(self, request: str) -> KeptCache | None:
        """Return the KV cache of a request."""
        return self._kept.get(request)

    def put(self, request: str, kept: KeptCache, capacity: int) -> None:
        """Replace a request's KV cache and evict what no longer fits."""
        self.release(request)
        self._kept[request] = kept
        self._tokens += kept.tokens
        while self._tokens > capacity and len(self._kept) > 1:
            self.release(next(iter(self._kept)))

    def release(self, request: str) -> None:
        """Drop the KV cache of a request."""
        kept = self._kept.pop(request, None)
        if kept is not None:
            self._tokens -= kept.tokens

    def count_tokens(self) -> int:
        """Return how many tokens are kept."""
        return self._tokens

    def count_active(self, used_since: float) -> int:
        """Return how many requests are running."""
        kept = self._kept.values()
        return sum(1 for cache in kept if cache.active and cache.used_at >= used_since)
