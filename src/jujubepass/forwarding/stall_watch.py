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
    paths,
    probing,
    suspicion,
    watched,
)

# Interval between checks of all streams: less than half of the minimum stall.
_PERIOD_SECONDS = 0.025
# The engines are probed for a slowdown once the first event is later than this share of
# the time after which a stream counts as suspicious.
_LATE_FIRST_SHARE = 1.0


@attrs.define(kw_only=True)
class StallWatch:
    """Check running streams, and abort or move those whose pipeline has failed."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    prober: probing.Prober
    mover: moves.Mover
    _watched: set[watched.Watched] = attrs.field(factory=set, init=False)
    _questions: set[ids.BackendServerId] = attrs.field(factory=set, init=False)

    @contextlib.contextmanager
    def watch(
        self,
        path: paths.Path,
        request: ids.RequestId,
        patience: watched.Patience,
        *,
        is_repeatable: bool,
    ) -> collections.abc.Iterator[watched.Watched]:
        """Watch a stream during the block; abort the block if the stream fails."""
        stream = watched.Watched(
            path=path,
            request=request,
            patience=patience,
            is_repeatable=is_repeatable,
        )
        self._watched.add(stream)
        try:
            with stream.scope:
                yield stream
        finally:
            self._watched.discard(stream)

    def list_watched(self) -> list[watched.Watched]:
        """Return the running streams."""
        return list(self._watched)

    def ask(self, engine: ids.BackendServerId) -> None:
        """Schedule a probe of an engine."""
        self._questions.add(engine)

    async def run(self) -> None:
        """Check all streams until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_PERIOD_SECONDS)
                for stream in list(self._watched):
                    self._judge(stream, nursery)
                while self._questions:
                    self._start_check(self._questions.pop(), nursery)

    def _judge(self, stream: watched.Watched, nursery: trio.Nursery) -> None:
        if stream.is_moving:
            return
        now = trio.current_time()
        lost = self._list_lost(stream)
        verdict = stream.judge(
            now, has_lost=bool(lost), is_overtaken=self._is_overtaken(stream)
        )
        late = _LATE_FIRST_SHARE * stream.patience.first_suspicious
        if stream.is_slow(now, stream.path.step_seconds, late):
            self.prober.note_slow_path(stream.path.engines)
        if verdict is watched.Verdict.GIVE_UP:
            self._give_up(stream, lost)
        elif verdict is watched.Verdict.MOVE:
            stream.is_moving = True
            nursery.start_soon(self._move, stream, lost)
        elif verdict is watched.Verdict.ASK_ALL:
            nursery.start_soon(self.prober.check_path, stream.path.engines)
        elif verdict is watched.Verdict.CHECK:
            first = stream.path.parts[0].engine
            self._start_check(first, nursery)

    def _is_overtaken(self, stream: watched.Watched) -> bool:
        if stream.has_begun or not stream.is_repeatable:
            return False
        return any(stream.is_overtaken_by(other) for other in self._watched)

    def _list_lost(self, stream: watched.Watched) -> frozenset[ids.BackendServerId]:
        now = clocks.read_boot_clock()
        return frozenset(
            name for name in stream.path.engines if self.suspects.is_lost(name, now)
        )

    async def _move(
        self, stream: watched.Watched, lost: frozenset[ids.BackendServerId]
    ) -> None:
        """Replace the unavailable engines of a stream, or else abort the attempt."""
        try:
            if not await self.mover.move(stream, lost):
                self._give_up(stream, lost)
        finally:
            stream.is_moving = False

    def _give_up(
        self, stream: watched.Watched, lost: frozenset[ids.BackendServerId]
    ) -> None:
        silence = trio.current_time() - stream.last_data_at
        culprit = ", ".join(sorted(lost)) or "unknown"
        stream.reason = f"silent for {silence:.2f} s, suspected: {culprit}"
        stream.scope.cancel()

    def _start_check(self, engine: ids.BackendServerId, nursery: trio.Nursery) -> None:
        if self.prober.may_ask(engine):
            nursery.start_soon(self.prober.check, engine)
