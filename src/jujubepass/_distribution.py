"""Histograms cheap enough to observe for each token."""

import bisect
import collections.abc
import dataclasses
import math
import time

import attrs
import opentelemetry.sdk.metrics.export


@attrs.define(kw_only=True)
class Distribution:
    """Count observations in seconds by bucket."""

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
        """Count one observation."""
        self.counts[bisect.bisect_left(self.bounds_seconds, seconds)] += 1
        self.sum_seconds += seconds
        if seconds < self.minimum_seconds:
            self.minimum_seconds = seconds
        if seconds > self.maximum_seconds:
            self.maximum_seconds = seconds

    def export(self, now_nanoseconds: int) -> opentelemetry.sdk.metrics.export.Metric:
        """Return the counts as a cumulative OpenTelemetry histogram."""
        point = opentelemetry.sdk.metrics.export.HistogramDataPoint(
            attributes={},
            start_time_unix_nano=self.started_nanoseconds,
            time_unix_nano=now_nanoseconds,
            count=sum(self.counts),
            sum=self.sum_seconds,
            bucket_counts=tuple(self.counts),
            explicit_bounds=self.bounds_seconds,
            min=self.minimum_seconds,
            max=self.maximum_seconds,
        )
        cumulative = opentelemetry.sdk.metrics.export.AggregationTemporality.CUMULATIVE
        return opentelemetry.sdk.metrics.export.Metric(
            name=self.name,
            description=self.description,
            unit="s",
            data=opentelemetry.sdk.metrics.export.Histogram(
                data_points=[point], aggregation_temporality=cumulative
            ),
        )


def append_distributions(
    data: opentelemetry.sdk.metrics.export.MetricsData,
    distributions: collections.abc.Iterable[Distribution],
    now_nanoseconds: int,
) -> opentelemetry.sdk.metrics.export.MetricsData:
    """Return `data` with the distributions added as metrics of their own."""
    resource = data.resource_metrics[0]
    exported = [item.export(now_nanoseconds) for item in distributions]
    scope = dataclasses.replace(resource.scope_metrics[0], metrics=exported)
    added = dataclasses.replace(resource, scope_metrics=[scope])
    return dataclasses.replace(data, resource_metrics=[*data.resource_metrics, added])
