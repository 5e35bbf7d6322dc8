"""Export of distributions as OpenTelemetry histograms."""

import collections.abc
import dataclasses

import opentelemetry.sdk.metrics.export

from jujubepass.telemetry import _distribution


def append_distributions(
    data: opentelemetry.sdk.metrics.export.MetricsData,
    distributions: collections.abc.Iterable[_distribution.Distribution],
    now_nanoseconds: int,
) -> opentelemetry.sdk.metrics.export.MetricsData:
    """Return `data` with the distributions added as separate metrics."""
    resource = data.resource_metrics[0]
    exported = [_export(each, now_nanoseconds) for each in distributions]
    scope = dataclasses.replace(resource.scope_metrics[0], metrics=exported)
    added = dataclasses.replace(resource, scope_metrics=[scope])
    return dataclasses.replace(data, resource_metrics=[*data.resource_metrics, added])


def _export(
    distribution: _distribution.Distribution, now_nanoseconds: int
) -> opentelemetry.sdk.metrics.export.Metric:
    """Return the counts as a cumulative OpenTelemetry histogram."""
    point = opentelemetry.sdk.metrics.export.HistogramDataPoint(
        attributes={},
        start_time_unix_nano=distribution.started_nanoseconds,
        time_unix_nano=now_nanoseconds,
        count=sum(distribution.counts),
        sum=distribution.sum_seconds,
        bucket_counts=tuple(distribution.counts),
        explicit_bounds=distribution.bounds_seconds,
        min=distribution.minimum_seconds,
        max=distribution.maximum_seconds,
    )
    cumulative = opentelemetry.sdk.metrics.export.AggregationTemporality.CUMULATIVE
    return opentelemetry.sdk.metrics.export.Metric(
        name=distribution.name,
        description=distribution.description,
        unit="s",
        data=opentelemetry.sdk.metrics.export.Histogram(
            data_points=[point], aggregation_temporality=cumulative
        ),
    )
