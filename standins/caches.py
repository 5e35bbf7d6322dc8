"""Prefix cache and KV caches of one engine, both of limited size."""

import collections
import collections.abc
import random
import typing

import attrs

_MAX_EVENTS = 10_000
_MAX_EVENTS_PER_RESPONSE = 1_000


@attrs.define(kw_only=True)
class CacheEvent:
    """Record one change of the prefix cache."""

    seq: int
    kind: str
    prefix: str
    happened_at: float


class PrefixCache:
    """Cache prefix blocks with LRU eviction and record a feed of both changes."""

    def __init__(self, *, random_source: random.Random) -> None:
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self._random = random_source
        self._seq = 0

    def match(self, blocks: collections.abc.Iterable[str]) -> int:
        """Return the number of leading blocks that are cached; mark them as used."""
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
        drop_probability: float,
        now: float,
    ) -> None:
        """Add blocks, then evict the least recently used ones over the capacity."""
        for block in blocks:
            if block not in self._blocks:
                self._blocks[block] = None
                self._record_event("stored", block, drop_probability, now)
        while len(self._blocks) > capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", evicted, drop_probability, now)

    def _record_event(
        self, kind: str, prefix: str, drop_probability: float, now: float
    ) -> None:
        self._seq += 1
        if self._random.random() >= drop_probability:
            event = CacheEvent(seq=self._seq, kind=kind, prefix=prefix, happened_at=now)
            self._events.append(event)

    def list_events(self, after: int, until: float) -> dict[str, typing.Any]:
        """Return the events after a sequence number and up to a time."""
        rows: list[dict[str, typing.Any]] = []
        for event in self._events:
            if event.happened_at > until or len(rows) == _MAX_EVENTS_PER_RESPONSE:
                break
            if event.seq > after:
                row = {"seq": event.seq, "kind": event.kind, "prefix": event.prefix}
                rows.append(row)
        return {"events": rows, "next": rows[-1]["seq"] if rows else after}


@attrs.define(kw_only=True)
class KvCache:
    """Describe the KV cache of one request."""

    tokens: int
    epoch: int
    used_at: float
    active: bool


class KvCaches:
    """Store the KV caches of requests with LRU eviction."""

    def __init__(self) -> None:
        self._caches: collections.OrderedDict[str, KvCache] = collections.OrderedDict()
        self._tokens = 0

    def get(self, request: str) -> KvCache | None:
        """Return the KV cache of a request."""
        return self._caches.get(request)

    def put(self, request: str, cache: KvCache, capacity: int) -> None:
        """Replace a request's KV cache and evict the oldest over the capacity."""
        self.release(request)
        self._caches[request] = cache
        self._tokens += cache.tokens
        while self._tokens > capacity and len(self._caches) > 1:
            self.release(next(iter(self._caches)))

    def release(self, request: str) -> None:
        """Remove the KV cache of a request."""
        cache = self._caches.pop(request, None)
        if cache is not None:
            self._tokens -= cache.tokens

    def count_tokens(self) -> int:
        """Return the number of cached tokens."""
        return self._tokens

    def count_active(self, used_since: float) -> int:
        """Return the number of running requests used since a time."""
        caches = self._caches.values()
        return sum(1 for each in caches if each.active and each.used_at >= used_since)
