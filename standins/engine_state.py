"""What one engine knows: knobs, epochs, counts and load."""

import collections
import os
import random
import typing

import attrs
import trio

from standins import accelerators, batching, caches

_REMEMBERED_REQUESTS = 20_000
_REMEMBERED_RUNS = 2_000
_ACTIVE_SECONDS = 5.0
_FROZEN_POLL_SECONDS = 0.02
_SHORTEST_SNAPSHOT_SECONDS = 0.05


class WorkRefusedError(Exception):
    """Refuse a request or a step with a reason from docs/interfaces.md."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@attrs.define(kw_only=True)
class EngineKnobs:
    """Set an engine's speed and faults."""

    step_seconds: float
    max_batch: int
    prefill_tokens_per_second: float
    kv_tokens: int
    prefix_blocks: int = 4_096
    slow_factor: float = 1.0
    load_lag_seconds: float = 0.2
    load_weights_seconds: float = 0.5
    stage_timeout_seconds: float = 5.0
    checks_fencing: bool = False
    cache_event_delay_seconds: float = 0.2
    cache_event_drop: float = 0.0
    link_seconds: dict[str, float] = attrs.field(factory=dict)
    frozen: bool = False
    down: bool = False
    leaving: bool = False
    refuses_when_leaving: bool = True
    full: bool = False
    cut_after_tokens: int | None = None
    duplicate_tokens: float = 0
    late_tokens: float = 0
    cross_streams: float = 0


@attrs.define(kw_only=True)
class EngineCounts:
    """Count what an engine ran."""

    started: int = 0
    resumed: int = 0
    asked_after_leaving: int = 0
    started_after_leaving: int = 0
    last_asked_after_leaving_seconds: float = 0.0
    tokens: int = 0
    visits: int = 0
    prefilled_words: int = 0
    prefix_hit_words: int = 0
    kv_reused: int = 0
    kv_imported: int = 0
    cancelled: int = 0
    finished: int = 0
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter)


@attrs.define(kw_only=True)
class Deployment:
    """Say what an engine serves."""

    model: str
    version: str
    first_layer: int
    end_layer: int
    role: str = "generate"
    adapters: list[str] = attrs.field(factory=list)

    def covers(self, first_layer: int, end_layer: int) -> bool:
        """Tell whether a layer range lies within the engine's own."""
        return self.first_layer <= first_layer < end_layer <= self.end_layer


class EngineState:
    """Hold one engine's state between its calls."""

    def __init__(
        self,
        *,
        name: str,
        accelerator: str,
        actual: Deployment,
        knobs: EngineKnobs,
        peers: dict[str, str],
    ) -> None:
        self.name = name
        self.accelerator = accelerator
        self.actual = actual
        self.loading = False
        self.knobs = knobs
        self.peers = peers
        self.counts = EngineCounts()
        self.random = random.Random(name)
        self.batcher = batching.Batcher(pace=knobs, wait_unfrozen=self.wait_unfrozen)
        self.runs: collections.OrderedDict[str, list[list[int]]] = (
            collections.OrderedDict()
        )
        self.scopes: set[trio.CancelScope] = set()
        self.leaving_since: float | None = None
        self._incarnations = 0
        self._epochs: collections.OrderedDict[str, tuple[int, int]] = (
            collections.OrderedDict()
        )
        self._snapshots: collections.deque[tuple[float, dict[str, typing.Any]]] = (
            collections.deque()
        )
        self.forget()

    def forget(self) -> None:
        """Lose what a restarted engine loses."""
        self._incarnations += 1
        self.incarnation = f"{self.name}-{os.getpid()}-{self._incarnations}"
        self.prefixes = caches.PrefixCache(random_source=self.random)
        self.kv = caches.KvCaches()
        self._epochs.clear()
        self._snapshots.clear()
        for scope in list(self.scopes):
            scope.cancel()

    async def wait_unfrozen(self) -> None:
        """Wait while the engine is frozen."""
        while self.knobs.frozen:
            await trio.sleep(_FROZEN_POLL_SECONDS)

    def find_link(self, engine: str) -> float:
        """Return the link delay to another engine in seconds."""
        if engine in self.knobs.link_seconds:
            return self.knobs.link_seconds[engine]
        kind = self.peers.get(engine, "")
        return accelerators.find_link_seconds(self.accelerator, kind)

    def check_epoch(self, request: str, epoch: int) -> None:
        """Refuse an old or cancelled epoch and remember a new one."""
        known, cancelled = self._epochs.get(request, (0, 0))
        if epoch < known or epoch <= cancelled:
            raise WorkRefusedError(reason="old_epoch")
        self._remember_epoch(request, epoch, cancelled)

    def cancel_epochs(self, request: str, epoch: int) -> None:
        """Refuse epochs up to this one from now on."""
        known, cancelled = self._epochs.get(request, (0, 0))
        self._remember_epoch(request, max(known, epoch), max(cancelled, epoch))

    def _remember_epoch(self, request: str, known: int, cancelled: int) -> None:
        self._epochs[request] = (known, cancelled)
        self._epochs.move_to_end(request)
        if len(self._epochs) > _REMEMBERED_REQUESTS:
            self._epochs.popitem(last=False)

    def check_room(self, model: str, first_layer: int, end_layer: int) -> None:
        """Refuse a new request while leaving, full or without the layers."""
        if self.leaving_since is not None:
            waited = trio.current_time() - self.leaving_since
            self.counts.asked_after_leaving += 1
            self.counts.last_asked_after_leaving_seconds = waited
            if self.knobs.refuses_when_leaving:
                raise WorkRefusedError(reason="leaving")
            self.counts.started_after_leaving += 1
        if self.knobs.full:
            raise WorkRefusedError(reason="full")
        covered = self.actual.covers(first_layer, end_layer)
        if self.loading or model != self.actual.model or not covered:
            raise WorkRefusedError(reason="not_loaded")

    def record_run(self, request: str, row: list[int]) -> None:
        """Record one run as [epoch, first_layer, end_layer, position, next_position].

        A run that follows the one before it extends its row.
        """
        rows = self.runs.setdefault(request, [])
        if rows and rows[-1][:3] == row[:3] and rows[-1][4] == row[3]:
            rows[-1][4] = row[4]
            return
        rows.append(row)
        if len(self.runs) > _REMEMBERED_RUNS:
            self.runs.popitem(last=False)

    def count_active(self) -> int:
        """Return how many requests run here."""
        return self.kv.count_active(trio.current_time() - _ACTIVE_SECONDS)

    async def keep_snapshots(self) -> None:
        """Record the load for reports that lag."""
        while True:
            now = trio.current_time()
            lag = self.knobs.load_lag_seconds
            self._snapshots.append((now, self._measure_load()))
            while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - lag:
                self._snapshots.popleft()
            await trio.sleep(max(lag / 2, _SHORTEST_SNAPSHOT_SECONDS))

    def report_load(self) -> dict[str, typing.Any]:
        """Return the load report, as old as the knob says."""
        now = trio.current_time()
        taken_at, load = now, self._measure_load()
        if self.knobs.load_lag_seconds and self._snapshots:
            taken_at, load = self._snapshots[0]
        return {**load, "as_of_seconds_ago": round(now - taken_at, 4)}

    def _measure_load(self) -> dict[str, typing.Any]:
        knobs = self.knobs
        active = self.count_active()
        running = min(active, knobs.max_batch)
        return {
            "engine": self.name,
            "incarnation": self.incarnation,
            "model": self.actual.model,
            "version": self.actual.version,
            "first_layer": self.actual.first_layer,
            "end_layer": self.actual.end_layer,
            "accelerator": self.accelerator,
            "running": running,
            "waiting": active - running,
            "max_batch": knobs.max_batch,
            "step_seconds": knobs.step_seconds * knobs.slow_factor,
            "prefill_tokens_per_second": (
                knobs.prefill_tokens_per_second / knobs.slow_factor
            ),
            "kv_free_tokens": max(0, knobs.kv_tokens - self.kv.count_tokens()),
            "leaving": knobs.leaving,
            "links": {p: self.find_link(p) for p in self.peers if p != self.name},
        }
