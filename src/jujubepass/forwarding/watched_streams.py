"""State of a running stream and classification of its stalls."""

import collections.abc
import enum

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import pipelines

# A stream is stalled when its next event is overdue by this factor, and by no less than
# the minimum, which is twice the usual time between events (about 30 ms).
_STALL_GAPS = 2.5
_MIN_STALL_SECONDS = 0.06
# An event contains two tokens; when events take longer than this number of predicted
# steps, an engine is slow. Fewer chunks than the minimum are not conclusive.
_SLOW_STEPS = 6.0
_MIN_CHUNKS = 5


class StallAction(enum.Enum):
    """Enumerate what to do about a stream."""

    CONTINUE = "goes_on"
    PROBE_ALL = "ask_all"
    """Probe each engine of the pipeline for reachability."""
    PROBE_FIRST = "check"
    """Probe the first engine, whose report names the engines that it waits for."""
    MOVE = "move"
    """Replace the unavailable engines, or abort the attempt if that fails."""
    ABORT = "give_up"


@attrs.frozen(kw_only=True)
class StallTimeouts:
    """Configure the stall time-outs of a stream, in seconds."""

    first_overdue_seconds: float
    first_suspicious_seconds: float
    first_timeout_seconds: float
    gap_suspicious_seconds: float
    gap_timeout_seconds: float


@attrs.define(kw_only=True, eq=False)
class WatchedStream:
    """Track a running stream and its last data, in trio's clock."""

    pipeline: pipelines.Pipeline
    request: ids.RequestId
    timeouts: StallTimeouts
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    last_data_at: float = attrs.field(factory=trio.current_time)
    has_begun: bool = False
    reason: str = ""
    first_started_at: int = 0
    """Start time of the first engine's run at the start of the stream."""
    is_moving: bool = False
    has_ended: bool = False
    """Whether the attempt is over, and its engines' counts are without it."""
    is_forwarding: bool = False
    """Whether the caller has yet to take data, which must not be cut off."""
    move_not_before: float = float("-inf")
    """Time of trio's clock before which no further move is attempted."""
    is_repeatable: bool = True
    may_retry: collections.abc.Callable[[], bool] = lambda: True
    """Return whether another attempt would be sent after this one."""
    may_move: collections.abc.Callable[[], bool] = lambda: True
    """Return whether the request may go on at other engines."""
    on_move: collections.abc.Callable[
        [collections.abc.Set[ids.BackendServerId], frozenset[ids.BackendServerId]],
        None,
    ] = lambda left, engines: None
    """Record the engines that a move left, and those of the new pipeline."""
    chunks: int = 0
    began_at: float = attrs.field(factory=trio.current_time)
    first_data_at: float = 0.0

    def record_data(self) -> None:
        """Record that data arrived."""
        self.last_data_at = trio.current_time()
        if not self.has_begun:
            self.first_data_at = self.last_data_at
        self.has_begun = True
        self.chunks += 1

    def record_forwarded(self) -> None:
        """Record that the caller took the data, and restart the stall time-outs."""
        self.is_forwarding = False
        self.last_data_at = trio.current_time()

    def record_move(self, pipeline: pipelines.Pipeline) -> None:
        """Record the new pipeline and restart the stall time-outs."""
        self.on_move(self.pipeline.engines - pipeline.engines, pipeline.engines)
        self.pipeline = pipeline
        self.last_data_at = trio.current_time()

    def is_slow(self, now: float, step_seconds: float, first_seconds: float) -> bool:
        """Return whether events are much slower than predicted or the first late."""
        if not self.has_begun:
            return now - self.began_at > first_seconds
        if self.chunks < _MIN_CHUNKS:
            return False
        gap = (now - self.first_data_at) / self.chunks
        return gap > _SLOW_STEPS * step_seconds

    def can_be_replaced(self) -> bool:
        """Return whether another attempt may continue the answer now."""
        return self.is_repeatable and self.may_retry()

    def find_next_check(self) -> float:
        """Return the time before which no action is due while data arrives."""
        due_at = self.last_data_at + self._find_overdue_seconds()
        if self.has_begun:
            return due_at
        return min(due_at, self.began_at + self.timeouts.first_suspicious_seconds)

    def is_overtaken_by(self, other: "WatchedStream") -> bool:
        """Return whether a later stream from the same engine has begun earlier."""
        return (
            other.has_begun
            and other.began_at > self.began_at
            and other.pipeline.stages[0].engine == self.pipeline.stages[0].engine
        )

    def classify_stall(
        self,
        now: float,
        *,
        has_unavailable: bool,
        is_overtaken: bool = False,
        has_ended: bool = False,
    ) -> StallAction:
        """Classify a stall by whether an engine of the pipeline is unavailable.

        Engines process prompts in order: if later streams from the same engine begin
        first, the answer of this stream is lost.
        """
        stall_seconds = now - self.last_data_at
        timeouts = self.timeouts
        timeout = (
            timeouts.gap_timeout_seconds
            if self.has_begun
            else timeouts.first_timeout_seconds
        )
        suspicious_seconds = (
            timeouts.gap_suspicious_seconds
            if self.has_begun
            else timeouts.first_suspicious_seconds
        )
        # Without another attempt, an answer is lost only if its engine's run has ended.
        if stall_seconds >= timeout and (has_ended or self.can_be_replaced()):
            return StallAction.ABORT
        if is_overtaken and not self.has_begun and stall_seconds >= suspicious_seconds:
            return StallAction.ABORT
        if stall_seconds < self._find_overdue_seconds():
            return StallAction.CONTINUE
        if has_unavailable and now >= self.move_not_before:
            return StallAction.MOVE
        return (
            StallAction.PROBE_FIRST
            if stall_seconds >= suspicious_seconds
            else StallAction.PROBE_ALL
        )

    def _find_overdue_seconds(self) -> float:
        """Return the stall after which engines are probed, in seconds."""
        if not self.has_begun:
            return self.timeouts.first_overdue_seconds
        gap = (self.last_data_at - self.first_data_at) / max(1, self.chunks - 1)
        overdue_seconds = max(_MIN_STALL_SECONDS, _STALL_GAPS * gap)
        return min(overdue_seconds, self.timeouts.gap_suspicious_seconds)
