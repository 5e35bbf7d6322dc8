"""Simulated engines: queues with batching, prefix caches and delayed reports."""

import collections
import collections.abc
import functools
import random
import typing

import attrs

from bench import simulation
from jujubepass import ids
from jujubepass.backends import _backend_messages
from jujubepass.transport import _http_client

_PREFILL_WORDS_PER_STEP = 512
_WORDS_PER_BLOCK = 16
_KV_TOKENS = 10_000_000
_DEFAULT_LINK_SECONDS = 0.001

MODEL = ids.ModelId("m")


@attrs.frozen(kw_only=True)
class EngineSpec:
    """Describe one engine of a scenario."""

    name: str
    first_layer: int
    end_layer: int
    step_seconds: float
    max_batch: int
    prefill_tokens_per_second: float = 20_000.0
    prefix_blocks: int = 512
    failure_domain: str = "a"
    model: ids.ModelId = MODEL


@attrs.frozen(kw_only=True)
class Faults:
    """Set the delay of engines' reports and the share of lost cache events."""

    load_lag_seconds: float = 0.2
    cache_event_delay_seconds: float = 0.2
    cache_event_drop: float = 0.0


@attrs.define(kw_only=True)
class Visit:
    """Describe one step of one attempt at an engine."""

    attempt: typing.Any
    words: int
    done: simulation.Step


class QueueEngine:
    """Run visits in batches; a step takes the step time and the batch's prefill."""

    def __init__(
        self,
        *,
        spec: EngineSpec,
        clock: simulation.Simulation,
        faults: Faults,
        links: collections.abc.Mapping[str, float],
        seed: int,
    ) -> None:
        self.spec = spec
        self._clock = clock
        self._faults = faults
        self._links = links
        self._random = random.Random(f"{spec.name}-{seed}")
        self._waiting: collections.deque[Visit] = collections.deque()
        self._is_running = False
        self._active: set[int] = set()
        self._history: collections.deque[tuple[float, int]] = collections.deque(
            [(0.0, 0)]
        )
        self._prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events: list[tuple[float, _backend_messages.CacheEvent]] = []
        self.busy_seconds = 0.0

    def find_link(self, engine: str) -> float:
        """Return the one-way delay to another engine."""
        return self._links.get(engine, _DEFAULT_LINK_SECONDS)

    def join(self, attempt: typing.Any) -> None:
        """Add an attempt to the active ones."""
        self._active.add(id(attempt))
        self._history.append((self._clock.now, len(self._active)))

    def leave(self, attempt: typing.Any) -> None:
        """Remove an attempt from the active ones."""
        self._active.discard(id(attempt))
        self._history.append((self._clock.now, len(self._active)))

    def visit(
        self,
        attempt: typing.Any,
        words: int,
        blocks: collections.abc.Sequence[str],
        done: simulation.Step,
    ) -> None:
        """Queue one step, with the prefill of words whose blocks are not cached."""
        if words:
            words = max(1, words - self._use_prefixes(blocks) * _WORDS_PER_BLOCK)
        self._waiting.append(Visit(attempt=attempt, words=words, done=done))
        if not self._is_running:
            self._is_running = True
            self._clock.schedule(0.0, self._start_step)

    def _start_step(self) -> None:
        batch: list[Visit] = []
        while self._waiting and len(batch) < self.spec.max_batch:
            visit = self._waiting.popleft()
            if not visit.attempt.cancelled:
                batch.append(visit)
        if not batch:
            self._is_running = False
            return
        words = self._prefill(batch)
        seconds = self.spec.step_seconds + words / self.spec.prefill_tokens_per_second
        self.busy_seconds += seconds
        self._clock.schedule(seconds, functools.partial(self._end_step, batch))

    @staticmethod
    def _prefill(batch: list[Visit]) -> int:
        remaining = _PREFILL_WORDS_PER_STEP
        for visit in batch:
            prefilled = min(remaining, visit.words)
            visit.words -= prefilled
            remaining -= prefilled
        return _PREFILL_WORDS_PER_STEP - remaining

    def _end_step(self, batch: list[Visit]) -> None:
        for visit in batch:
            if visit.words:
                self._waiting.append(visit)
            else:
                visit.done()
        self._start_step()

    def _use_prefixes(self, blocks: collections.abc.Sequence[str]) -> int:
        hits = 0
        for block in blocks:
            if block not in self._prefixes:
                break
            hits += 1
        for block in blocks:
            if block not in self._prefixes:
                self._record_cache_event(block, stored=True)
            self._prefixes[block] = None
            self._prefixes.move_to_end(block)
        while len(self._prefixes) > self.spec.prefix_blocks:
            self._record_cache_event(
                self._prefixes.popitem(last=False)[0], stored=False
            )
        return hits

    def _record_cache_event(self, block: str, *, stored: bool) -> None:
        event = _backend_messages.CacheEvent(
            sequence=len(self._events) + 1, stored=stored, prefix=block
        )
        self._events.append((self._clock.now, event))

    def list_cache_events(
        self, after: int
    ) -> tuple[tuple[_backend_messages.CacheEvent, ...], int]:
        """Return events past the delay, without lost ones, and the next number."""
        until = self._clock.now - self._faults.cache_event_delay_seconds
        found = [event for at, event in self._events[after:] if at <= until]
        next_sequence = found[-1].sequence if found else after
        drop = self._faults.cache_event_drop
        kept = tuple(event for event in found if self._random.random() >= drop)
        return kept, next_sequence

    def report_load(self) -> _backend_messages.LoadReport:
        """Return the load as it was `load_lag_seconds` ago."""
        lag = self._faults.load_lag_seconds
        while len(self._history) > 1 and self._history[1][0] <= self._clock.now - lag:
            self._history.popleft()
        active = self._history[0][1]
        running = min(active, self.spec.max_batch)
        return _backend_messages.LoadReport(
            engine=ids.BackendServerId(self.spec.name),
            incarnation="1",
            model=self.spec.model,
            version="1",
            first_layer=self.spec.first_layer,
            end_layer=self.spec.end_layer,
            accelerator="queue",
            running=running,
            waiting=active - running,
            max_batch=self.spec.max_batch,
            step_seconds=self.spec.step_seconds,
            prefill_tokens_per_second=self.spec.prefill_tokens_per_second,
            kv_free_tokens=_KV_TOKENS,
            leaving=False,
            age_seconds=lag,
            link_seconds=self._links,
        )


def make_address(index: int) -> _http_client.Address:
    """Return an address that identifies a simulated engine or node."""
    return _http_client.Address(host="10.0.0.1", port=index)
