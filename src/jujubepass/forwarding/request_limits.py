"""Limits of requests that backend servers have named in their answers."""

import collections
import collections.abc
import logging
import math

import attrs

from jujubepass import ids
from jujubepass.forwarding import board, exchange, homes

_LOGGER = logging.getLogger(__name__)

_INVALID_LOG_INTERVAL_SECONDS = 10.0
_CHANGE_LOG_INTERVAL_SECONDS = 1.0


# Knowledge of runs that are no longer listed is kept for this long.
_UNLISTED_SECONDS = 60.0
# Answers whose times differ by less may have come in another order.
_CLOCK_MARGIN_SECONDS = 0.3


@attrs.frozen(kw_only=True)
class KnownLimit:
    """Describe the limit that a run of a backend server has named."""

    requests_per_second: float
    """Infinite if it no longer names one."""
    observed_at: float
    """Boot-clock time of the answer that told so last."""

    @property
    def is_finite(self) -> bool:
        """Return whether there is a limit."""
        return math.isfinite(self.requests_per_second)


@attrs.define(kw_only=True)
class RequestLimits:
    """Track the request limits that runs of backend servers have named."""

    area: board.BackendArea
    on_change: collections.abc.Callable[[homes.ServerRun], None] = lambda _: None
    """Report that a server's answer named a lower limit than before, or none."""
    invalid: int = attrs.field(default=0, init=False)
    """Answers with a limit that was ignored."""
    attempts: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    """Attempts sent to servers while they named a limit."""
    _known: dict[homes.ServerRun, KnownLimit] = attrs.field(factory=dict, init=False)
    _logged_at: dict[homes.ServerRun, float] = attrs.field(factory=dict, init=False)
    _invalid_logged_at: float = attrs.field(default=float("-inf"), init=False)

    def record(
        self, server: homes.ServerRun, limit: exchange.RequestLimit, now: float
    ) -> None:
        """Record what an answer of a server's run says of its limit."""
        rate = limit.requests_per_second
        if rate is None:
            self._record_invalid(server, limit.text, now)
            return
        before = self._known.get(server)
        if before is None and math.isinf(rate):
            return
        self._store(server, KnownLimit(requests_per_second=rate, observed_at=now), now)
        if before is None or not before.is_finite:
            return
        if math.isinf(rate) or rate < before.requests_per_second:
            self.on_change(server)

    def merge(self, server: homes.ServerRun, heard: KnownLimit, now: float) -> None:
        """Record what another node knows, unless an answer here was later.

        Of two answers at about the same time the lower limit counts.
        """
        before = self._known.get(server)
        if before is None and not heard.is_finite:
            return
        if before is not None:
            later_by = heard.observed_at - before.observed_at
            is_lower = heard.requests_per_second < before.requests_per_second
            if later_by < (-1.0 if is_lower else 1.0) * _CLOCK_MARGIN_SECONDS:
                return
        self._store(server, heard, now)

    def find(self, server: homes.ServerRun) -> KnownLimit | None:
        """Return the limit of a server's run; None if it names none."""
        known = self._known.get(server)
        return known if known is not None and known.is_finite else None

    def find_listed(self, name: ids.BackendServerId) -> KnownLimit | None:
        """Return the limit of a server's listed run; None if it names none."""
        listed = self.area.listed.get(name)
        if listed is None or not self._known:
            return None
        return self.find((name, listed.started_at))

    def find_heard(self, server: homes.ServerRun) -> KnownLimit | None:
        """Return what is known of a server's run, also that it names no limit."""
        return self._known.get(server)

    def record_attempt(
        self, request: ids.RequestId, name: ids.BackendServerId, now: float
    ) -> None:
        """Count and log an attempt to a server that has named a limit."""
        known = self.find_listed(name)
        if known is None:
            return
        self.attempts[name] += 1
        _LOGGER.debug(
            "attempt to a backend server with a request limit",
            extra={
                "request": request,
                "backend": name,
                "requests_per_second": known.requests_per_second,
                "limit_age_seconds": round(now - known.observed_at, 3),
            },
        )

    def list_limits(self) -> dict[ids.BackendServerId, float]:
        """Return the limits in force by server."""
        return {
            name: known.requests_per_second
            for (name, _), known in self._known.items()
            if known.is_finite
        }

    def _store(self, server: homes.ServerRun, known: KnownLimit, now: float) -> None:
        before = self._known.get(server)
        self._log_change(server, before, known, now)
        if before is None:
            self._remove_unlisted(now)
        self._known[server] = known

    def _remove_unlisted(self, now: float) -> None:
        """Forget runs that are long gone, each time that a new one names a limit."""
        for server, known in list(self._known.items()):
            listed = self.area.listed.get(server[0])
            is_listed = listed is not None and listed.started_at == server[1]
            if not is_listed and now > known.observed_at + _UNLISTED_SECONDS:
                del self._known[server]
                self._logged_at.pop(server, None)

    def _record_invalid(self, server: homes.ServerRun, text: str, now: float) -> None:
        self.invalid += 1
        if now < self._invalid_logged_at + _INVALID_LOG_INTERVAL_SECONDS:
            return
        self._invalid_logged_at = now
        _LOGGER.warning(
            "invalid request limit of a backend server",
            extra={"backend": server[0], "text": text, "invalid": self.invalid},
        )

    def _log_change(
        self,
        server: homes.ServerRun,
        before: KnownLimit | None,
        known: KnownLimit,
        now: float,
    ) -> None:
        rate = known.requests_per_second
        if before is not None and before.requests_per_second == rate:
            return
        is_new = before is None or before.is_finite != known.is_finite
        logged_at = self._logged_at.get(server, float("-inf"))
        if not is_new and now < logged_at + _CHANGE_LOG_INTERVAL_SECONDS:
            return
        self._logged_at[server] = now
        _LOGGER.info(
            "request limit of a backend server changed",
            extra={
                "backend": server[0],
                "requests_per_second": rate if known.is_finite else None,
                "before": _describe(before),
            },
        )


def _describe(known: KnownLimit | None) -> float | None:
    is_limited = known is not None and known.is_finite
    return known.requests_per_second if known is not None and is_limited else None
