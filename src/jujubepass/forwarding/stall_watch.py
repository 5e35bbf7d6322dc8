"""Watches running streams for silence and finds the engine that causes it."""

import collections.abc
import contextlib
import enum
import logging

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import board, clocks, engines, paths, suspicion

_LOGGER = logging.getLogger(__name__)

# Checks of all streams; a fifth of the shortest silence that counts.
_PERIOD_SECONDS = 0.05
# Shortest silence that counts: engines make an event about every 30 ms.
_LEAST_SILENCE_SECONDS = 0.15
# Time an engine has to report; its own network answers within a few milliseconds.
_REPORT_SECONDS = 0.25
# Pause between two reports of one engine; reports are some hundred ms old.
_REPORT_PAUSE_SECONDS = 0.3


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

    def note_data(self) -> None:
        """Note that the stream goes on."""
        self.last_data_at = trio.current_time()
        self.has_begun = True

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
    control: engines.EngineControl
    _watched: set[Watched] = attrs.field(factory=set, init=False)
    _checked_at: dict[ids.BackendServerId, float] = attrs.field(
        factory=dict, init=False
    )

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

    async def run(self) -> None:
        """Judge all streams again and again."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_PERIOD_SECONDS)
                for watched in list(self._watched):
                    self._judge(watched, nursery)

    def _judge(self, watched: Watched, nursery: trio.Nursery) -> None:
        boot_now = clocks.read_boot_clock()
        suspects = [
            name
            for name in watched.path.engines
            if self.suspects.is_suspect(name, boot_now)
        ]
        now = trio.current_time()
        verdict = watched.judge(now, has_suspect=bool(suspects))
        if verdict is Verdict.GIVE_UP:
            silence = now - watched.last_data_at
            culprit = ", ".join(suspects) or "unknown"
            watched.reason = f"silent for {silence:.2f} s, suspected: {culprit}"
            watched.scope.cancel()
        elif verdict is Verdict.CHECK:
            first = watched.path.parts[0].engine
            if now - self._checked_at.get(first, -1e9) >= _REPORT_PAUSE_SECONDS:
                self._checked_at[first] = now
                nursery.start_soon(self._check, first)

    async def _check(self, first: ids.BackendServerId) -> None:
        """Ask the first engine of a silent path which engine it waits for."""
        backend = self.blackboard.backends.listed.get(first)
        if backend is None:
            return
        try:
            with trio.fail_after(_REPORT_SECONDS):
                report = await self.control.read_report(backend)
        except (engines.EngineError, trio.TooSlowError) as error:
            reason = suspicion.SuspicionReason.SILENT
            self.suspects.suspect(first, reason, clocks.read_boot_clock())
            _LOGGER.info(
                "engine did not report", extra={"backend": first, "detail": str(error)}
            )
            return
        by_address = {
            each.address: each.name for each in self.blackboard.backends.listed.values()
        }
        now = clocks.read_boot_clock()
        for address in {address for _, address in report.stalled}:
            name = by_address.get(address)
            if name is not None:
                self.suspects.suspect(
                    name, suspicion.SuspicionReason.NAMED_AT_FAULT, now
                )
