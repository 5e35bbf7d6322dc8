"""Counters, gauges and histograms of one node, for /metrics."""

import collections.abc
import enum
import itertools
import time
import typing

import opentelemetry.exporter.prometheus
import opentelemetry.metrics
import opentelemetry.sdk.metrics
import opentelemetry.sdk.metrics.export
import opentelemetry.sdk.resources
import prometheus_client

from jujubepass import _distribution, reasons

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

# fmt: off
_FIRST_TOKEN_BOUNDS_SECONDS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7,
    0.9, 1.1, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0,
)
_BETWEEN_TOKENS_BOUNDS_SECONDS = (
    0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.025, 0.03,
    0.04, 0.06, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
)
_RECOVERY_BOUNDS_SECONDS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7,
    1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0,
)
_TICK_DELAY_BOUNDS_SECONDS = (
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05,
    0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
)
# fmt: on

ReadValue = collections.abc.Callable[[], float]
ReadValues = collections.abc.Callable[[], collections.abc.Mapping[str, float]]
_Observe = collections.abc.Callable[
    [opentelemetry.metrics.CallbackOptions],
    collections.abc.Iterable[opentelemetry.metrics.Observation],
]


class RequestKind(enum.Enum):
    """Tell the kinds of callers' requests apart."""

    MODEL = "model"
    CALL = "call"
    LOOKUP = "lookup"


class RequestOutcome(enum.Enum):
    """Say how a caller's request ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    CALLER_GONE = "caller_gone"
    UNKNOWN = "unknown"


class _Reader(opentelemetry.exporter.prometheus.PrometheusMetricReader):
    """Add the distributions to what the meters hold."""

    distributions: tuple[_distribution.Distribution, ...] = ()

    def _receive_metrics(
        self,
        metrics_data: opentelemetry.sdk.metrics.export.MetricsData,
        timeout_millis: float = 10_000,
        **options: typing.Any,
    ) -> None:
        data = _distribution.append_distributions(
            metrics_data, self.distributions, time.time_ns()
        )
        super()._receive_metrics(data, timeout_millis, **options)


class Metrics:
    """Count what the node does; counting is a dictionary update."""

    def __init__(self, *, version: str) -> None:
        self.refusals = dict.fromkeys(reasons.RefusalReason, 0)
        self.retries = dict.fromkeys(reasons.RetryReason, 0)
        self.drops = dict.fromkeys(reasons.DropReason, 0)
        self.unknown = dict.fromkeys(reasons.UnknownCause, 0)
        self.requests = dict.fromkeys(itertools.product(RequestKind, RequestOutcome), 0)
        self.tokens = 0
        self.first_token = _distribution.Distribution(
            name="first_token",
            description="Time from a model request to its first token.",
            bounds_seconds=_FIRST_TOKEN_BOUNDS_SECONDS,
        )
        self.between_tokens = _distribution.Distribution(
            name="between_tokens",
            description="Time between two tokens of one answer.",
            bounds_seconds=_BETWEEN_TOKENS_BOUNDS_SECONDS,
        )
        self.recovery = _distribution.Distribution(
            name="recovery",
            description="Time from the last token before a fault to the next one.",
            bounds_seconds=_RECOVERY_BOUNDS_SECONDS,
        )
        self.tick_delay = _distribution.Distribution(
            name="tick_delay",
            description="Delay of the controllers' timer behind its period.",
            bounds_seconds=_TICK_DELAY_BOUNDS_SECONDS,
        )
        self._registry = prometheus_client.CollectorRegistry()
        self._meter = self._make_meter(version)
        self._add_reason_counters()

    def _make_meter(self, version: str) -> opentelemetry.metrics.Meter:
        reader = _Reader(
            disable_target_info=True,
            prefix="jujubepass",
            scope_info_enabled=False,
            registry=self._registry,
        )
        reader.distributions = (
            self.first_token,
            self.between_tokens,
            self.recovery,
            self.tick_delay,
        )
        provider = opentelemetry.sdk.metrics.MeterProvider(
            metric_readers=[reader],
            resource=opentelemetry.sdk.resources.Resource({}),
            shutdown_on_exit=False,
        )
        return provider.get_meter("jujubepass", version)

    def _add_reason_counters(self) -> None:
        self._add_enum_counter("refusals", "Requests refused.", self.refusals)
        self._add_enum_counter("retries", "Retries and why.", self.retries)
        self._add_enum_counter("drops", "Tokens dropped and why.", self.drops)
        self._add_enum_counter(
            "calls_unknown", "Calls whose outcome is unknown.", self.unknown
        )
        self.add_counter("tokens", "Tokens sent to callers.", lambda: self.tokens)
        self._meter.create_observable_counter(
            "requests",
            [lambda _options: self._observe_requests()],
            description="Requests of callers that ended.",
        )

    def count_refusal(self, reason: reasons.RefusalReason) -> None:
        """Count one refused request."""
        self.refusals[reason] += 1

    def count_retry(self, reason: reasons.RetryReason) -> None:
        """Count one retry."""
        self.retries[reason] += 1

    def count_drop(self, reason: reasons.DropReason) -> None:
        """Count one dropped token."""
        self.drops[reason] += 1

    def count_unknown(self, cause: reasons.UnknownCause) -> None:
        """Count one call whose outcome stayed unknown."""
        self.unknown[cause] += 1

    def count_tokens(self, count: int) -> None:
        """Count tokens that went to callers."""
        self.tokens += count

    def observe_first_token(self, seconds: float) -> None:
        """Keep the time from a model request to its first token."""
        self.first_token.observe(seconds)

    def observe_between_tokens(self, seconds: float) -> None:
        """Keep the time between two tokens of one answer."""
        self.between_tokens.observe(seconds)

    def observe_recovery(self, seconds: float) -> None:
        """Keep the time between the tokens around a replaced attempt."""
        self.recovery.observe(seconds)

    def count_request(self, kind: RequestKind, outcome: RequestOutcome) -> None:
        """Count one request that ended."""
        self.requests[kind, outcome] += 1

    def add_counter(self, name: str, description: str, read: ReadValue) -> None:
        """Expose a value that only grows."""
        observe = _make_observer(read)
        self._meter.create_observable_counter(name, [observe], description=description)

    def add_gauge(self, name: str, description: str, read: ReadValue) -> None:
        """Expose a value that is read at each scrape."""
        observe = _make_observer(read)
        self._meter.create_observable_gauge(name, [observe], description=description)

    def add_labelled_counter(
        self, name: str, description: str, label: str, read: ReadValues
    ) -> None:
        """Expose values that only grow, one for each label."""
        observe = _make_labelled_observer(label, read)
        self._meter.create_observable_counter(name, [observe], description=description)

    def add_labelled_gauge(
        self, name: str, description: str, label: str, read: ReadValues
    ) -> None:
        """Expose one value for each label, read at each scrape."""
        observe = _make_labelled_observer(label, read)
        self._meter.create_observable_gauge(name, [observe], description=description)

    def expose(self) -> bytes:
        """Write all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def _add_enum_counter(
        self,
        name: str,
        description: str,
        counts: collections.abc.Mapping[typing.Any, int],
    ) -> None:
        observe = _make_labelled_observer(
            "reason", lambda: {reason.value: count for reason, count in counts.items()}
        )
        self._meter.create_observable_counter(name, [observe], description=description)

    def _observe_requests(
        self,
    ) -> collections.abc.Iterable[opentelemetry.metrics.Observation]:
        return [
            opentelemetry.metrics.Observation(
                count, {"kind": kind.value, "outcome": outcome.value}
            )
            for (kind, outcome), count in self.requests.items()
        ]


def _make_observer(read: ReadValue) -> _Observe:
    return lambda _options: [opentelemetry.metrics.Observation(read())]


def _make_labelled_observer(label: str, read: ReadValues) -> _Observe:
    return lambda _options: [
        opentelemetry.metrics.Observation(value, {label: name})
        for name, value in read().items()
    ]
