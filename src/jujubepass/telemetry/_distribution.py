"""Histograms with an overhead low enough for an observation per token."""

import bisect
import math
import time

import attrs


@attrs.define(kw_only=True)
class Distribution:
    """Count observations of durations by bucket."""

    name: str
    description: str
    bounds_seconds: tuple[float, ...]
    counts: list[int] = attrs.field(init=False)
    sum_seconds: float = attrs.field(init=False, default=0.0)
    minimum_seconds: float = attrs.field(init=False, default=math.inf)
    maximum_seconds: float = attrs.field(init=False, default=-math.inf)
    started_nanoseconds: int = attrs.field(factory=time.time_ns)

    def __attrs_post_init__(self) -> None:
        self.counts = [0] * (len(self.bounds_seconds) + 1)

    def observe(self, seconds: float) -> None:
        """Record one observation."""
        self.counts[bisect.bisect_left(self.bounds_seconds, seconds)] += 1
        self.sum_seconds += seconds
        if seconds < self.minimum_seconds:
            self.minimum_seconds = seconds
        if seconds > self.maximum_seconds:
            self.maximum_seconds = seconds
