"""State of a running stream and classification of its stalls."""

import enum

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import paths

# A stream is stalled when its next event is overdue by this factor, and by no less than
# the minimum, which is twice the usual time between events (about 30 ms).
_SILENT_GAPS = 2.5
_LEAST_SILENCE_SECONDS = 0.06
# An event contains two tokens; when events take longer than this number of predicted
# steps, an engine is slow. Fewer chunks than the minimum are not conclusive.
_SLOW_STEPS = 6.0
_LEAST_CHUNKS = 5


class Verdict(enum.Enum):
    """Enumerate what to do about a stream."""

    GOES_ON = "goes_on"
    ASK_ALL = "ask_all"
    """Probe each engine of the pipeline for reachability."""
    CHECK = "check"
    """Probe the first engine, whose report names the engines that it waits for."""
    MOVE = "move"
    """Replace the unavailable engines, or abort the attempt if that fails."""
    GIVE_UP = "give_up"


@attrs.frozen(kw_only=True)
class Patience:
    """Contain the stall time-outs of a stream, in seconds."""

    first_overdue: float
    first_suspicious: float
    first_longest: float
    gap_suspicious: float
    gap_longest: float


@attrs.define(kw_only=True, eq=False)
class Watched:
    """Track a running stream and its last data, in trio's clock."""

    path: paths.Path
    request: ids.RequestId
    patience: Patience
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    last_data_at: float = attrs.field(factory=trio.current_time)
    has_begun: bool = False
    reason: str = ""

    is_moving: bool = False
    is_repeatable: bool = True
    chunks: int = 0
    began_at: float = attrs.field(factory=trio.current_time)
    first_data_at: float = 0.0

    def note_data(self) -> None:
        """Record that data arrived."""
        self.last_data_at = trio.current_time()
        if not self.has_begun:
            self.first_data_at = self.last_data_at
        self.has_begun = True
        self.chunks += 1

    def note_moved(self, path: paths.Path) -> None:
        """Record the new pipeline and restart the stall time-outs."""
        self.path = path
        self.last_data_at = trio.current_time()

    def is_slow(self, now: float, step_seconds: float, first_seconds: float) -> bool:
        """Return whether events are much slower than predicted or the first late."""
        if not self.has_begun:
            return now - self.began_at > first_seconds
        if self.chunks < _LEAST_CHUNKS:
            return False
        gap = (now - self.first_data_at) / self.chunks
        return gap > _SLOW_STEPS * step_seconds

    def is_overtaken_by(self, other: "Watched") -> bool:
        """Return whether a later stream from the same engine has begun earlier."""
        return (
            other.has_begun
            and other.began_at > self.began_at
            and other.path.parts[0].engine == self.path.parts[0].engine
        )

    def judge(
        self, now: float, *, has_lost: bool, is_overtaken: bool = False
    ) -> Verdict:
        """Classify a stall by whether an engine of the pipeline is unavailable.

        Engines process prompts in order: if later streams from the same engine begin
        first, the answer of this stream is lost.
        """
        silence = now - self.last_data_at
        patience = self.patience
        longest = patience.gap_longest if self.has_begun else patience.first_longest
        suspicious = (
            patience.gap_suspicious if self.has_begun else patience.first_suspicious
        )
        if silence >= longest:
            return Verdict.GIVE_UP
        if is_overtaken and not self.has_begun and silence >= suspicious:
            return Verdict.GIVE_UP
        if silence < self._find_overdue():
            return Verdict.GOES_ON
        if has_lost:
            return Verdict.MOVE
        return Verdict.CHECK if silence >= suspicious else Verdict.ASK_ALL

    def _find_overdue(self) -> float:
        """Return the stall after which engines are probed, in seconds."""
        if not self.has_begun:
            return self.patience.first_overdue
        gap = (self.last_data_at - self.first_data_at) / max(1, self.chunks - 1)
        overdue = max(_LEAST_SILENCE_SECONDS, _SILENT_GAPS * gap)
        return min(overdue, self.patience.gap_suspicious)
