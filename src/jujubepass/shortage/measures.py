"""Counters, times and log lines of the queue."""

import collections
import logging

import attrs

from jujubepass.shortage import entries, shares
from jujubepass.telemetry import _distribution

_LOGGER = logging.getLogger(__name__)

# Callers accept 1.2 to 2.4 s, the longest time that a request waits.
_WAIT_BOUNDS_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0)
_INVALID_LOG_INTERVAL_SECONDS = 10.0


def _make_waits() -> _distribution.Distribution:
    return _distribution.Distribution(
        name="shortage_wait_seconds",
        description="Time that model requests waited for a place.",
        bounds_seconds=_WAIT_BOUNDS_SECONDS,
    )


@attrs.define(kw_only=True)
class Measures:
    """Count what the queue decides, and log decisions about requests."""

    refusals: collections.Counter[int] = attrs.field(factory=collections.Counter)
    """Refusals by priority."""
    starts_ahead: int = 0
    invalid: int = 0
    """Values of the view, of places and of declarations that were not used."""
    waits: _distribution.Distribution = attrs.field(factory=_make_waits)
    _logged_at: float = attrs.field(default=float("-inf"), init=False)

    def record_decision(
        self,
        entry: entries.Entry,
        state: shares.Shares,
        *,
        waited_seconds: float,
        view_age_seconds: float | None,
    ) -> None:
        """Count and log a refusal, or the end of a wait."""
        is_refused = entry.state is entries.State.REFUSED
        if is_refused:
            self.refusals[entry.priority] += 1
        elif entry.state is entries.State.STARTED:
            self.starts_ahead += entry.is_ahead
        if waited_seconds > 0.0:
            self.waits.observe(waited_seconds)
        elif not is_refused:
            return
        fields: dict[str, object] = {
            "request": entry.request,
            "outcome": entry.state.value,
            "priority": entry.priority,
            "account": entry.account,
            "waited_seconds": round(waited_seconds, 3),
            "predicted_seconds": round(entry.predicted_seconds, 3),
            "free_places": None if state.free is None else round(state.free, 1),
            "waiting": round(sum(state.waiting), 1),
            "view_age": view_age_seconds and round(view_age_seconds, 3),
        }
        if is_refused:
            fields["retry_after"] = round(entry.retry_after_seconds, 3)
        _LOGGER.info("wait for a place ended", extra=fields)

    def record_invalid(self, name: str, value: object, now: float) -> None:
        """Count a value that is not used, and log it from time to time."""
        self.invalid += 1
        if now - self._logged_at < _INVALID_LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        _LOGGER.warning(
            "invalid value not used by the queue for places",
            extra={"name_of_value": name, "value": f"{value!r:.80}"},
        )
