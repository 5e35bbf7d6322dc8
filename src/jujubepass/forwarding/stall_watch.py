"""Watches running streams for silence and finds the engine that causes it."""

import collections.abc
import contextlib
import enum
import logging

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import board, clocks, paths, probing, suspicion

_LOGGER = logging.getLogger(__name__)

# Checks of all streams; a fifth of the shortest silence that counts.
_PERIOD_SECONDS = 0.05
# Shortest silence that counts: engines make an event about every 30 ms.
_LEAST_SILENCE_SECONDS = 0.15


# An event holds two tokens; one that takes as long as so many steps comes over a slow
# engine. Fewer events say nothing.
_SLOW_STEPS = 6.0
_LEAST_CHUNKS = 5
# A first event that takes as long as is suspicious is late enough to ask.
_LATE_FIRST_SHARE = 1.0


class Verdict(enum.Enum):
    """Say what to do about a stream."""

    GOES_ON = "goes_on"
    CHECK = "check"
    GIVE_UP = "give_up"


@attrs.frozen(kw_only=True)
class Patience:
    """Hold how long a stream may be silent, in seconds."""

    first_suspicious: float
    first_longest: float
    gap_suspicious: float
    gap_longest: float


@attrs.define(kw_only=True, eq=False)
class Watched:
    """Hold one running stream and when it last got data, on trio's clock."""

    path: paths.Path
    request: ids.RequestId
    patience: Patience
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    last_data_at: float = attrs.field(factory=trio.current_time)
    has_begun: bool = False
    reason: str = ""

    chunks: int = 0
    began_at: float = attrs.field(factory=trio.current_time)
    first_data_at: float = 0.0

    def note_data(self) -> None:
        """Note that the stream goes on."""
        self.last_data_at = trio.current_time()
        if not self.has_begun:
            self.first_data_at = self.last_data_at
        self.has_begun = True
        self.chunks += 1

    def is_slow(self, now: float, step_seconds: float, first_seconds: float) -> bool:
        """Tell whether events are far slower than a path's step, or the first late."""
        if not self.has_begun:
            return now - self.began_at > first_seconds
        if self.chunks < _LEAST_CHUNKS:
            return False
        gap = (now - self.first_data_at) / self.chunks
        return gap > _SLOW_STEPS * step_seconds

    def judge(self, now: float, *, has_suspect: bool) -> Verdict:
        """Judge a silence; `has_suspect` tells that an engine of the path failed."""
        silence = now - self.last_data_at
        patience = self.patience
        longest = patience.gap_longest if self.has_begun else patience.first_longest
        if silence >= longest:
            return Verdict.GIVE_UP
        if has_suspect and silence >= _LEAST_SILENCE_SECONDS:
            return Verdict.GIVE_UP
        suspicious = (
            patience.gap_suspicious if self.has_begun else patience.first_suspicious
        )
        return Verdict.CHECK if silence >= suspicious else Verdict.GOES_ON


@attrs.define(kw_only=True)
class StallWatch:
    """Check silent streams, and end those whose path has failed."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    prober: probing.Prober
    _watched: set[Watched] = attrs.field(factory=set, init=False)
    _questions: set[ids.BackendServerId] = attrs.field(factory=set, init=False)

    @contextlib.contextmanager
    def watch(
        self, path: paths.Path, request: ids.RequestId, patience: Patience
    ) -> collections.abc.Iterator[Watched]:
        """Watch a stream while the block runs; cancel the block if it fails."""
        watched = Watched(path=path, request=request, patience=patience)
        self._watched.add(watched)
        try:
            with watched.scope:
                yield watched
        finally:
            self._watched.discard(watched)

    def list_watched(self) -> list[Watched]:
        """Return the streams that run now."""
        return list(self._watched)

    def ask(self, engine: ids.BackendServerId) -> None:
        """Have an engine asked for its report soon."""
        self._questions.add(engine)

    async def run(self) -> None:
        """Judge all streams again and again."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_PERIOD_SECONDS)
                for watched in list(self._watched):
                    self._judge(watched, nursery)
                while self._questions:
                    self._start_check(self._questions.pop(), nursery)

    def _judge(self, watched: Watched, nursery: trio.Nursery) -> None:
        boot_now = clocks.read_boot_clock()
        suspects = [
            name
            for name in watched.path.engines
            if self.suspects.is_suspect(name, boot_now)
        ]
        now = trio.current_time()
        verdict = watched.judge(now, has_suspect=bool(suspects))
        late = _LATE_FIRST_SHARE * watched.patience.first_suspicious
        if watched.is_slow(now, watched.path.step_seconds, late):
            self.prober.note_slow_path(watched.path.engines)
        if verdict is Verdict.GIVE_UP:
            silence = now - watched.last_data_at
            culprit = ", ".join(suspects) or "unknown"
            watched.reason = f"silent for {silence:.2f} s, suspected: {culprit}"
            watched.scope.cancel()
        elif verdict is Verdict.CHECK:
            first = watched.path.parts[0].engine
            self._start_check(first, nursery)

    def _start_check(self, engine: ids.BackendServerId, nursery: trio.Nursery) -> None:
        if self.prober.may_ask(engine):
            nursery.start_soon(self.prober.check, engine)
