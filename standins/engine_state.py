"""State of one engine: knobs, epochs, counts and load."""

import collections
import os
import random
import typing

import attrs
import trio

from standins import accelerators, batching, caches

_MAX_TRACKED_REQUESTS = 20_000
_MAX_RECORDED_RUNS = 2_000
_ACTIVE_TIMEOUT_SECONDS = 5.0
_FROZEN_POLL_INTERVAL_SECONDS = 0.02
_MIN_SNAPSHOT_INTERVAL_SECONDS = 0.05


class WorkRefusedError(Exception):
    """Report a refused request or step, with a reason from docs/interfaces.md."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@attrs.define(kw_only=True)
class EngineKnobs:
    """Configure an engine's speed and faults."""

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
    """Count the work and the refusals of an engine."""

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
    """Describe the model, layers and role that an engine serves."""

    model: str
    version: str
    first_layer: int
    end_layer: int
    role: str = "generate"
    adapters: list[str] = attrs.field(factory=list)

    def covers(self, first_layer: int, end_layer: int) -> bool:
        """Return whether a layer range lies within the deployed one."""
        return self.first_layer <= first_layer < end_layer <= self.end_layer


class EngineState:
    """Hold the state of one engine that outlives a request."""

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
        self.batcher = batching.Batcher(speed=knobs, wait_unfrozen=self.wait_unfrozen)
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
        self.reset()

    def reset(self) -> None:
        """Start a new incarnation without caches, epochs, load history and work."""
        self._incarnations += 1
        self.incarnation = f"{self.name}-{os.getpid()}-{self._incarnations}"
        self.prefixes = caches.PrefixCache(random_source=self.random)
        self.kv = caches.KvCaches()
        self._epochs.clear()
        self._snapshots.clear()
        for scope in list(self.scopes):
            scope.cancel()

    async def wait_unfrozen(self) -> None:
        """Wait until the engine is not frozen."""
        while self.knobs.frozen:
            await trio.sleep(_FROZEN_POLL_INTERVAL_SECONDS)

    def find_link_delay(self, engine: str) -> float:
        """Return the link delay to another engine in seconds."""
        if engine in self.knobs.link_seconds:
            return self.knobs.link_seconds[engine]
        kind = self.peers.get(engine, "")
        return accelerators.find_link_seconds(self.accelerator, kind)

    def check_epoch(self, request: str, epoch: int) -> None:
        """Refuse an old or cancelled epoch; record a new one."""
        newest, cancelled = self._epochs.get(request, (0, 0))
        if epoch < newest or epoch <= cancelled:
            raise WorkRefusedError(reason="old_epoch")
        self._record_epoch(request, epoch, cancelled)

    def cancel_epochs(self, request: str, epoch: int) -> None:
        """Refuse a request's epochs up to this one from now on."""
        newest, cancelled = self._epochs.get(request, (0, 0))
        self._record_epoch(request, max(newest, epoch), max(cancelled, epoch))

    def _record_epoch(self, request: str, newest: int, cancelled: int) -> None:
        self._epochs[request] = (newest, cancelled)
        self._epochs.move_to_end(request)
        if len(self._epochs) > _MAX_TRACKED_REQUESTS:
            self._epochs.popitem(last=False)

    def check_admission(self, model: str, first_layer: int, end_layer: int) -> None:
        """Refuse a new request when leaving, full or without its layers loaded."""
        if self.leaving_since is not None:
            elapsed_seconds = trio.current_time() - self.leaving_since
            self.counts.asked_after_leaving += 1
            self.counts.last_asked_after_leaving_seconds = elapsed_seconds
            if self.knobs.refuses_when_leaving:
                raise WorkRefusedError(reason="leaving")
            self.counts.started_after_leaving += 1
        if self.knobs.full:
            raise WorkRefusedError(reason="full")
        has_layers = self.actual.covers(first_layer, end_layer)
        if self.loading or model != self.actual.model or not has_layers:
            raise WorkRefusedError(reason="not_loaded")

    def record_run(self, request: str, row: list[int]) -> None:
        """Record one run as [epoch, first_layer, end_layer, position, next_position].

        A run that continues the previous one extends its row.
        """
        rows = self.runs.setdefault(request, [])
        if rows and rows[-1][:3] == row[:3] and rows[-1][4] == row[3]:
            rows[-1][4] = row[4]
            return
        rows.append(row)
        if len(self.runs) > _MAX_RECORDED_RUNS:
            self.runs.popitem(last=False)

    def count_active(self) -> int:
        """Return the number of running requests."""
        return self.kv.count_active(trio.current_time() - _ACTIVE_TIMEOUT_SECONDS)

    async def record_snapshots(self) -> None:
        """Record the load regularly, for reports that lag behind."""
        while True:
            now = trio.current_time()
            lag = self.knobs.load_lag_seconds
            self._snapshots.append((now, self._measure_load()))
            while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - lag:
                self._snapshots.popleft()
            await trio.sleep(max(lag / 2, _MIN_SNAPSHOT_INTERVAL_SECONDS))

    def report_load(self) -> dict[str, typing.Any]:
        """Return the load report, delayed by `load_lag_seconds`."""
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
            "links": {p: self.find_link_delay(p) for p in self.peers if p != self.name},
        }
