"""Detection of stalled streams and of the engines that cause the stalls."""

import collections.abc
import contextlib

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import (
    board,
    clocks,
    moves,
    pipelines,
    probing,
    suspicion,
    watched_streams,
)

# Interval between checks while a stream is overdue: less than half of the minimum
# stall.
_OVERDUE_INTERVAL_SECONDS = 0.025
_MAX_INTERVAL_SECONDS = 0.1
# Interval between attempts to move a stream without another attempt to follow.
_MOVE_INTERVAL_SECONDS = 0.5
# The engines are probed for a slowdown once the first event is later than this share of
# the time after which a stream counts as suspicious.
_LATE_FIRST_EVENT_SHARE = 1.0


@attrs.define(kw_only=True)
class StallWatch:
    """Check running streams, and abort or move those whose pipeline has failed."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    prober: probing.Prober
    mover: moves.Mover
    _streams: set[watched_streams.WatchedStream] = attrs.field(factory=set, init=False)
    _scheduled_probes: set[ids.BackendServerId] = attrs.field(factory=set, init=False)
    _wake_up: trio.Event = attrs.field(factory=trio.Event, init=False)

    @contextlib.contextmanager
    def watch(
        self,
        pipeline: pipelines.Pipeline,
        request: ids.RequestId,
        timeouts: watched_streams.StallTimeouts,
        *,
        is_repeatable: bool,
    ) -> collections.abc.Iterator[watched_streams.WatchedStream]:
        """Watch a stream during the block; abort the block if the stream fails."""
        first = self.blackboard.backends.listed.get(pipeline.stages[0].engine)
        stream = watched_streams.WatchedStream(
            pipeline=pipeline,
            first_started_at=first.started_at if first is not None else 0,
            request=request,
            timeouts=timeouts,
            is_repeatable=is_repeatable,
        )
        self._streams.add(stream)
        self._wake_up.set()
        try:
            with stream.scope:
                yield stream
        finally:
            stream.has_ended = True
            self._streams.discard(stream)

    def list_streams(self) -> list[watched_streams.WatchedStream]:
        """Return the running streams."""
        return list(self._streams)

    def schedule_probe(self, engine: ids.BackendServerId) -> None:
        """Schedule a probe of an engine."""
        self._scheduled_probes.add(engine)
        self._wake_up.set()

    async def run(self) -> None:
        """Check all streams until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait()
                for stream in list(self._streams):
                    self._check_stream(stream, nursery)
                while self._scheduled_probes:
                    self._start_probe(self._scheduled_probes.pop(), nursery)

    async def _wait(self) -> None:
        """Wait until a stream may need a check."""
        if not self._streams and not self._scheduled_probes:
            await self._wake_up.wait()
        self._wake_up = trio.Event()
        now = trio.current_time()
        due_at = min(
            (stream.find_next_check() for stream in self._streams), default=now
        )
        wait_seconds = max(_OVERDUE_INTERVAL_SECONDS, due_at - now)
        with trio.move_on_after(min(_MAX_INTERVAL_SECONDS, wait_seconds)):
            await self._wake_up.wait()

    def _check_stream(
        self, stream: watched_streams.WatchedStream, nursery: trio.Nursery
    ) -> None:
        if stream.is_moving or stream.is_forwarding:
            return
        now = trio.current_time()
        unavailable = self._list_unavailable(stream)
        action = stream.classify_stall(
            now,
            has_unavailable=bool(unavailable),
            is_overtaken=self._is_overtaken(stream),
            has_ended=self._has_ended(stream),
        )
        late_seconds = (
            _LATE_FIRST_EVENT_SHARE * stream.timeouts.first_suspicious_seconds
        )
        if stream.is_slow(now, stream.pipeline.step_seconds, late_seconds):
            self.prober.schedule_slowdown_probes(stream.pipeline.engines)
        if action is watched_streams.StallAction.ABORT:
            self._abort(stream, unavailable)
        elif action is watched_streams.StallAction.MOVE:
            stream.is_moving = True
            nursery.start_soon(self._move, stream, unavailable)
        elif action is watched_streams.StallAction.PROBE_ALL:
            nursery.start_soon(self.prober.probe_pipeline, stream.pipeline.engines)
        elif action is watched_streams.StallAction.PROBE_FIRST:
            first = stream.pipeline.stages[0].engine
            self._start_probe(first, nursery)

    def _is_overtaken(self, stream: watched_streams.WatchedStream) -> bool:
        if stream.has_begun or not stream.can_be_replaced():
            return False
        return any(stream.is_overtaken_by(other) for other in self._streams)

    def _has_ended(self, stream: watched_streams.WatchedStream) -> bool:
        """Return whether the first engine has ended or started anew meanwhile."""
        listed = self.blackboard.backends.listed.get(stream.pipeline.stages[0].engine)
        return listed is None or listed.started_at != stream.first_started_at

    def _list_unavailable(
        self, stream: watched_streams.WatchedStream
    ) -> frozenset[ids.BackendServerId]:
        now = clocks.read_boot_clock()
        return frozenset(
            name
            for name in stream.pipeline.engines
            if self.suspects.is_unavailable(name, now)
        )

    async def _move(
        self,
        stream: watched_streams.WatchedStream,
        unavailable: frozenset[ids.BackendServerId],
    ) -> None:
        """Replace the unavailable engines of a stream, or else abort the attempt.

        An attempt without another one to follow waits, as its engines may only be
        silent.
        """
        try:
            if await self.mover.move(stream, unavailable):
                return
            if stream.is_forwarding:
                return
            if stream.can_be_replaced():
                self._abort(stream, unavailable)
            else:
                now = trio.current_time()
                stream.move_not_before = now + _MOVE_INTERVAL_SECONDS
        finally:
            stream.is_moving = False

    def _abort(
        self,
        stream: watched_streams.WatchedStream,
        unavailable: frozenset[ids.BackendServerId],
    ) -> None:
        stall_seconds = trio.current_time() - stream.last_data_at
        suspected = ", ".join(sorted(unavailable)) or "unknown"
        stream.reason = f"no data for {stall_seconds:.2f} s, suspected: {suspected}"
        stream.scope.cancel()

    def _start_probe(self, engine: ids.BackendServerId, nursery: trio.Nursery) -> None:
        if self.prober.may_probe(engine):
            nursery.start_soon(self.prober.probe, engine)
