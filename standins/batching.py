"""Continuous batching: steps over the visits that wait, by priority."""

import collections.abc
import heapq
import itertools
import typing

import attrs
import trio

PREFILL_WORDS_PER_STEP = 512
"""Prompt words that one step takes besides its tokens."""

_LONGEST_SLEEP_SECONDS = 0.1


@attrs.define(kw_only=True, eq=False)
class Visit:
    """Wait for one pass through the engine's layers."""

    priority: int
    order: int
    prefill_words: int
    done: trio.Event = attrs.field(factory=trio.Event)
    cancelled: bool = False

    def __lt__(self, other: "Visit") -> bool:
        return (self.priority, self.order) < (other.priority, other.order)


class Pace(typing.Protocol):
    """Give the current speed of an engine."""

    step_seconds: float
    slow_factor: float
    max_batch: int
    prefill_tokens_per_second: float


class Batcher:
    """Run steps while visits wait; a lower priority number goes first."""

    def __init__(
        self,
        *,
        pace: Pace,
        wait_unfrozen: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        self._pace = pace
        self._wait_unfrozen = wait_unfrozen
        self._heap: list[Visit] = []
        self._order = itertools.count()
        self._arrived = trio.Event()
        self.steps = 0

    def count_waiting(self) -> int:
        """Return how many visits wait for a step."""
        return len(self._heap)

    async def run_visit(self, priority: int, prefill_words: int) -> None:
        """Wait until a step has run this visit."""
        visit = Visit(
            priority=priority, order=next(self._order), prefill_words=prefill_words
        )
        heapq.heappush(self._heap, visit)
        self._arrived.set()
        try:
            await visit.done.wait()
        finally:
            visit.cancelled = True

    async def run_steps(self) -> None:
        """Run steps for ever."""
        while True:
            if not self._heap:
                self._arrived = trio.Event()
                await self._arrived.wait()
            await self._wait_unfrozen()
            batch = self._take_batch()
            if not batch:
                continue
            words = self._prefill(batch)
            seconds = self._pace.step_seconds
            seconds += words / self._pace.prefill_tokens_per_second
            await self._spend(seconds)
            self.steps += 1
            for visit in batch:
                if visit.prefill_words:
                    heapq.heappush(self._heap, visit)
                else:
                    visit.done.set()

    async def _spend(self, seconds: float) -> None:
        """Sleep for a step's time, at the speed of each moment."""
        while seconds > 0:
            factor = self._pace.slow_factor
            slept = min(seconds * factor, _LONGEST_SLEEP_SECONDS)
            await trio.sleep(slept)
            await self._wait_unfrozen()
            seconds -= slept / factor if slept < seconds * factor else seconds

    def _take_batch(self) -> list[Visit]:
        batch: list[Visit] = []
        while self._heap and len(batch) < self._pace.max_batch:
            visit = heapq.heappop(self._heap)
            if not visit.cancelled:
                batch.append(visit)
        return batch

    @staticmethod
    def _prefill(batch: list[Visit]) -> int:
        left = PREFILL_WORDS_PER_STEP
        for visit in batch:
            taken = min(left, visit.prefill_words)
            visit.prefill_words -= taken
            left -= taken
        return PREFILL_WORDS_PER_STEP - left
