"""Counters, gauges and histograms of one node, for /metrics."""

import collections.abc
import enum
import itertools
import typing

import opentelemetry.metrics

from jujubepass import reasons
from jujubepass.telemetry import _distribution, _metric_registry

CONTENT_TYPE = _metric_registry.CONTENT_TYPE

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


class RequestKind(enum.Enum):
    """Enumerate the kinds of callers' requests."""

    MODEL = "model"
    CALL = "call"
    LOOKUP = "lookup"


class RequestOutcome(enum.Enum):
    """Enumerate the outcomes of callers' requests."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    CALLER_GONE = "caller_gone"
    UNKNOWN = "unknown"


class Metrics(_metric_registry.Registry):
    """Count events of one node; a count costs one dictionary update."""

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
        distributions = (
            self.first_token,
            self.between_tokens,
            self.recovery,
            self.tick_delay,
        )
        super().__init__(version=version, distributions=distributions)
        self._add_reason_counters()

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

    def count_dropped_token(self, reason: reasons.DropReason) -> None:
        """Count one dropped token."""
        self.drops[reason] += 1

    def count_unknown_outcome(self, cause: reasons.UnknownCause) -> None:
        """Count one call whose outcome remained unknown."""
        self.unknown[cause] += 1

    def count_tokens(self, count: int) -> None:
        """Count tokens sent to callers."""
        self.tokens += count

    def observe_first_token(self, seconds: float) -> None:
        """Record the time from a model request to its first token."""
        self.first_token.observe(seconds)

    def observe_between_tokens(self, seconds: float) -> None:
        """Record the time between two tokens of one answer."""
        self.between_tokens.observe(seconds)

    def observe_recovery(self, seconds: float) -> None:
        """Record the time from the last token before a fault to the next one."""
        self.recovery.observe(seconds)

    def count_request(self, kind: RequestKind, outcome: RequestOutcome) -> None:
        """Count one request that ended."""
        self.requests[kind, outcome] += 1

    def _add_enum_counter(
        self,
        name: str,
        description: str,
        counts: collections.abc.Mapping[typing.Any, int],
    ) -> None:
        self.add_labelled_counter(
            name,
            description,
            "reason",
            lambda: {reason.value: count for reason, count in counts.items()},
        )

    def _observe_requests(
        self,
    ) -> collections.abc.Iterable[opentelemetry.metrics.Observation]:
        return [
            opentelemetry.metrics.Observation(
                count, {"kind": kind.value, "outcome": outcome.value}
            )
            for (kind, outcome), count in self.requests.items()
        ]
