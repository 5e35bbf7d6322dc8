"""Sliding window of latencies that sets the hedging delay."""

import collections

import attrs

_MAX_SAMPLES = 128
_MIN_SAMPLES = 16
_QUANTILE = 0.95
_SAMPLES_PER_SORT = 16


@attrs.define(kw_only=True)
class LatencyWindow:
    """Estimate the 95th percentile of latencies, updated every few samples."""

    initial_seconds: float
    min_seconds: float
    _samples: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_SAMPLES), init=False
    )
    _added_count: int = attrs.field(default=0, init=False)
    _estimate: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._estimate = self.initial_seconds

    def add(self, seconds: float) -> None:
        """Add one latency sample."""
        self._samples.append(seconds)
        self._added_count += 1
        has_min_samples = len(self._samples) >= _MIN_SAMPLES
        if has_min_samples and self._added_count % _SAMPLES_PER_SORT == 0:
            ranked = sorted(self._samples)
            self._estimate = ranked[int(_QUANTILE * (len(ranked) - 1))]

    def get_hedge_delay(self) -> float:
        """Return the delay before a hedged attempt is sent."""
        return max(self.min_seconds, self._estimate)
