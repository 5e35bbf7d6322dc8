"""Counters and histograms of a forwarding node."""

import collections

import attrs

from jujubepass import reasons
from jujubepass.telemetry import _distribution

# fmt: off
_REQUEST_BOUNDS_SECONDS = (
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5,
    0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0,
)
_FIRST_EVENT_BOUNDS_SECONDS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7,
    1.0, 1.5, 2.0, 3.0, 5.0, 10.0,
)
# fmt: on


def _make_request_times() -> _distribution.Distribution:
    return _distribution.Distribution(
        name="request_seconds",
        description="Time from a request's arrival to the end of its answer.",
        bounds_seconds=_REQUEST_BOUNDS_SECONDS,
    )


def _make_first_events() -> _distribution.Distribution:
    return _distribution.Distribution(
        name="first_event_seconds",
        description="Time from a model request's arrival to its first event.",
        bounds_seconds=_FIRST_EVENT_BOUNDS_SECONDS,
    )


@attrs.define(kw_only=True)
class Measures:
    """Count requests by outcome and reason, and record their durations."""

    outcomes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refusals: collections.Counter[str] = attrs.field(factory=collections.Counter)
    retries: collections.Counter[str] = attrs.field(factory=collections.Counter)
    request_times: _distribution.Distribution = attrs.field(factory=_make_request_times)
    first_events: _distribution.Distribution = attrs.field(factory=_make_first_events)

    def record_request(self, outcome: str, reason: str, seconds: float) -> None:
        """Count a completed request and record its duration."""
        self.outcomes[outcome] += 1
        if reason:
            self.refusals[reason] += 1
        self.request_times.observe(seconds)

    def count_retry(self, reason: reasons.RetryReason) -> None:
        """Count one attempt after the first."""
        self.retries[reason.value] += 1

    def observe_first_event(self, seconds: float) -> None:
        """Record the time to a first event."""
        self.first_events.observe(seconds)
