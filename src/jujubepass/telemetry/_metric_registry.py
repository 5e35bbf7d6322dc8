"""Registry of counters, gauges and histograms, exposed at /metrics."""

import collections.abc
import time
import typing

import opentelemetry.exporter.prometheus
import opentelemetry.metrics
import opentelemetry.sdk.metrics
import opentelemetry.sdk.metrics.export
import opentelemetry.sdk.resources
import prometheus_client

from jujubepass.telemetry import _distribution, _distribution_export

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

ReadValue = collections.abc.Callable[[], float]
ReadValues = collections.abc.Callable[[], collections.abc.Mapping[str, float]]
_Observe = collections.abc.Callable[
    [opentelemetry.metrics.CallbackOptions],
    collections.abc.Iterable[opentelemetry.metrics.Observation],
]


class _Reader(opentelemetry.exporter.prometheus.PrometheusMetricReader):
    """Read metrics and add the distributions."""

    distributions: tuple[_distribution.Distribution, ...] = ()

    def _receive_metrics(
        self,
        metrics_data: opentelemetry.sdk.metrics.export.MetricsData,
        timeout_millis: float = 10_000,
        **options: typing.Any,
    ) -> None:
        data = _distribution_export.append_distributions(
            metrics_data, self.distributions, time.time_ns()
        )
        super()._receive_metrics(data, timeout_millis, **options)


class Registry:
    """Register the metrics that one process exposes."""

    def __init__(
        self, *, version: str, distributions: tuple[_distribution.Distribution, ...]
    ) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = _Reader(
            disable_target_info=True,
            prefix="jujubepass",
            scope_info_enabled=False,
            registry=self._registry,
        )
        reader.distributions = distributions
        provider = opentelemetry.sdk.metrics.MeterProvider(
            metric_readers=[reader],
            resource=opentelemetry.sdk.resources.Resource({}),
            shutdown_on_exit=False,
        )
        self._meter = provider.get_meter("jujubepass", version)

    def add_counter(self, name: str, description: str, read: ReadValue) -> None:
        """Expose a monotonically increasing value."""
        observe = _make_observer(read)
        self._meter.create_observable_counter(name, [observe], description=description)

    def add_gauge(self, name: str, description: str, read: ReadValue) -> None:
        """Expose a value that is read at each scrape."""
        observe = _make_observer(read)
        self._meter.create_observable_gauge(name, [observe], description=description)

    def add_labelled_counter(
        self, name: str, description: str, label: str, read: ReadValues
    ) -> None:
        """Expose monotonically increasing values, one for each label value."""
        observe = _make_labelled_observer(label, read)
        self._meter.create_observable_counter(name, [observe], description=description)

    def add_labelled_gauge(
        self, name: str, description: str, label: str, read: ReadValues
    ) -> None:
        """Expose one value for each label value, read at each scrape."""
        observe = _make_labelled_observer(label, read)
        self._meter.create_observable_gauge(name, [observe], description=description)

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


def _make_observer(read: ReadValue) -> _Observe:
    return lambda _options: [opentelemetry.metrics.Observation(read())]


def _make_labelled_observer(label: str, read: ReadValues) -> _Observe:
    return lambda _options: [
        opentelemetry.metrics.Observation(value, {label: name})
        for name, value in read().items()
    ]
