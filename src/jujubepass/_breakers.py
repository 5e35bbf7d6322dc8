"""Circuit breaker of one engine."""

import attrs

_FAULTS_TO_OPEN = 3
_SHORTEST_OPEN_SECONDS = 1.0
_LONGEST_OPEN_SECONDS = 30.0
_HALF_OPEN_SECONDS = 1.0


@attrs.define(kw_only=True)
class Breaker:
    """Open after consecutive faults; then let one attempt through at a time."""

    faults: int = 0
    openings: int = 0
    open_until: float = float("-inf")
    silent_at: float | None = None

    def is_open(self, now: float, heard_at: float = float("-inf")) -> bool:
        """Tell whether no attempt may go to an engine that was last heard then.

        News from an engine that was silent closes its breaker.
        """
        if self.silent_at is not None and heard_at > self.silent_at:
            self.close()
        return now < self.open_until

    def count_fault(self, now: float, *, is_certain: bool) -> None:
        """Count a fault; certain silence opens the breaker at once."""
        if is_certain:
            self.silent_at = now
        if self.is_open(now):
            return
        self.faults = _FAULTS_TO_OPEN if is_certain else self.faults + 1
        if self.faults >= _FAULTS_TO_OPEN:
            seconds = _SHORTEST_OPEN_SECONDS * 2**self.openings
            self.open_until = now + min(seconds, _LONGEST_OPEN_SECONDS)
            self.openings += 1

    def note_dispatch(self, now: float) -> None:
        """Let no second attempt through while the first one shows the state."""
        if self.faults >= _FAULTS_TO_OPEN:
            self.open_until = now + _HALF_OPEN_SECONDS

    def close(self) -> None:
        """Forget the faults of an engine that has worked."""
        self.faults = 0
        self.openings = 0
        self.silent_at = None
        self.open_until = float("-inf")
