"""Latest latencies, for the delay before a hedge."""

import collections

import attrs

_SAMPLES = 128
_FEWEST_SAMPLES = 16
_RANK = 0.95
_SAMPLES_PER_SORT = 16


@attrs.define(kw_only=True)
class LatencyWindow:
    """Estimate the 95th percentile; sort only every few samples."""

    first_seconds: float
    least_seconds: float
    _samples: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_SAMPLES), init=False
    )
    _added: int = attrs.field(default=0, init=False)
    _estimate: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._estimate = self.first_seconds

    def add(self, seconds: float) -> None:
        """Take one latency in."""
        self._samples.append(seconds)
        self._added += 1
        enough = len(self._samples) >= _FEWEST_SAMPLES
        if enough and self._added % _SAMPLES_PER_SORT == 0:
            ranked = sorted(self._samples)
            self._estimate = ranked[int(_RANK * (len(ranked) - 1))]

    def read_delay(self) -> float:
        """Return how long to wait before a hedge."""
        return max(self.least_seconds, self._estimate)
