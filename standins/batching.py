"""Continuous batching of forward passes, by priority."""

import collections.abc
import heapq
import itertools
import typing

import attrs
import trio

PREFILL_WORDS_PER_STEP = 512
"""Maximum prompt words that one step prefills over its whole batch."""

_MAX_SLEEP_SECONDS = 0.1


@attrs.define(kw_only=True, eq=False)
class ForwardPass:
    """Describe one pass through the engine's layers, its prefill included."""

    priority: int
    order: int
    prefill_words: int
    done: trio.Event = attrs.field(factory=trio.Event)
    cancelled: bool = False

    def __lt__(self, other: "ForwardPass") -> bool:
        return (self.priority, self.order) < (other.priority, other.order)


class EngineSpeed(typing.Protocol):
    """Provide the current speed of an engine."""

    step_seconds: float
    slow_factor: float
    max_batch: int
    prefill_tokens_per_second: float


class Batcher:
    """Run batches of waiting passes; the lowest priority number goes first."""

    def __init__(
        self,
        *,
        speed: EngineSpeed,
        wait_unfrozen: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        self._speed = speed
        self._wait_unfrozen = wait_unfrozen
        self._heap: list[ForwardPass] = []
        self._order = itertools.count()
        self._pass_arrived = trio.Event()
        self.steps = 0

    def count_waiting(self) -> int:
        """Return the number of passes that wait for a step."""
        return len(self._heap)

    async def run_pass(self, priority: int, prefill_words: int) -> None:
        """Queue a pass and wait until its last step has run."""
        forward_pass = ForwardPass(
            priority=priority, order=next(self._order), prefill_words=prefill_words
        )
        heapq.heappush(self._heap, forward_pass)
        self._pass_arrived.set()
        try:
            await forward_pass.done.wait()
        finally:
            forward_pass.cancelled = True

    async def run_steps(self) -> None:
        """Run steps until cancelled."""
        while True:
            if not self._heap:
                self._pass_arrived = trio.Event()
                await self._pass_arrived.wait()
            await self._wait_unfrozen()
            batch = self._pop_batch()
            if not batch:
                continue
            prefilled_words = self._prefill(batch)
            seconds = self._speed.step_seconds
            seconds += prefilled_words / self._speed.prefill_tokens_per_second
            await self._sleep_step(seconds)
            self.steps += 1
            for forward_pass in batch:
                if forward_pass.prefill_words:
                    heapq.heappush(self._heap, forward_pass)
                else:
                    forward_pass.done.set()

    async def _sleep_step(self, seconds: float) -> None:
        """Sleep for a step's time, scaled by the slowdown in force at each moment."""
        while seconds > 0:
            factor = self._speed.slow_factor
            sleep_seconds = min(seconds * factor, _MAX_SLEEP_SECONDS)
            await trio.sleep(sleep_seconds)
            await self._wait_unfrozen()
            seconds -= (
                sleep_seconds / factor if sleep_seconds < seconds * factor else seconds
            )

    def _pop_batch(self) -> list[ForwardPass]:
        batch: list[ForwardPass] = []
        while self._heap and len(batch) < self._speed.max_batch:
            forward_pass = heapq.heappop(self._heap)
            if not forward_pass.cancelled:
                batch.append(forward_pass)
        return batch

    @staticmethod
    def _prefill(batch: list[ForwardPass]) -> int:
        remaining = PREFILL_WORDS_PER_STEP
        for forward_pass in batch:
            prefilled = min(remaining, forward_pass.prefill_words)
            forward_pass.prefill_words -= prefilled
            remaining -= prefilled
        return PREFILL_WORDS_PER_STEP - remaining
