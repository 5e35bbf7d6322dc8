"""Suspicion of backend servers that have failed recently."""

import enum
import logging

import attrs

from jujubepass import ids

_LOGGER = logging.getLogger(__name__)

# The first suspicion ends about when the repair of a lost engine begins (0.7 s). Its
# duration doubles with each repetition, up to about the time in which an entry without
# heartbeats expires.
_MIN_SUSPICION_SECONDS = 0.7
_MAX_SUSPICION_SECONDS = 4.0
# A server that is full, or is unloading layers, accepts requests again within a few
# batch steps.
_FULL_SECONDS = 0.25


class SuspicionReason(enum.Enum):
    """Enumerate why a backend server is suspected."""

    UNREACHABLE = "unreachable"
    INTERRUPTED = "broke_off"
    NAMED_AT_FAULT = "named_at_fault"
    UNRESPONSIVE = "silent"
    LATE = "late"
    FULL = "full"


_UNRESPONSIVE_REASONS = (SuspicionReason.UNREACHABLE, SuspicionReason.UNRESPONSIVE)


@attrs.define(kw_only=True)
class _Suspicion:
    until: float
    seconds: float
    reason: SuspicionReason


@attrs.define(kw_only=True)
class _MissedProbes:
    since: float
    probes: int = 0


@attrs.define(kw_only=True)
class Suspects:
    """Track which backend servers are suspected and which are unresponsive."""

    _suspicions: dict[ids.BackendServerId, _Suspicion] = attrs.field(
        factory=dict, init=False
    )
    _missed_probes: dict[ids.BackendServerId, _MissedProbes] = attrs.field(
        factory=dict, init=False
    )

    def suspect(
        self, name: ids.BackendServerId, reason: SuspicionReason, now: float
    ) -> None:
        """Suspect a backend server, for a longer time after repeated failures."""
        if reason in _UNRESPONSIVE_REASONS:
            missed = self._missed_probes.setdefault(name, _MissedProbes(since=now))
            missed.probes += 1
        before = self._suspicions.get(name)
        is_worse = reason is not SuspicionReason.FULL and not self.is_unavailable(
            name, now
        )
        if before is not None and now < before.until and not is_worse:
            return
        seconds = _FULL_SECONDS
        if reason is not SuspicionReason.FULL:
            seconds = _MIN_SUSPICION_SECONDS
            if before is not None and now <= before.until + _MAX_SUSPICION_SECONDS:
                seconds = min(
                    _MAX_SUSPICION_SECONDS, max(seconds, before.seconds * 2.0)
                )
        self._suspicions[name] = _Suspicion(
            until=now + seconds, seconds=seconds, reason=reason
        )
        _LOGGER.info(
            "backend server suspected",
            extra={"backend": name, "reason": reason.value, "seconds": seconds},
        )

    def record_response(self, name: ids.BackendServerId) -> None:
        """Record that a backend server has responded to a probe."""
        self._missed_probes.pop(name, None)

    def clear(self, name: ids.BackendServerId) -> None:
        """End all suspicion of a backend server, as after a restart or an answer."""
        self._suspicions.pop(name, None)
        self._missed_probes.pop(name, None)

    def is_suspected(self, name: ids.BackendServerId, now: float) -> bool:
        """Return whether a backend server is to get no requests now."""
        suspicion = self._suspicions.get(name)
        return suspicion is not None and now < suspicion.until

    def list_suspected(self, now: float) -> set[ids.BackendServerId]:
        """Return the backend servers that are to get no requests now."""
        return {name for name, each in self._suspicions.items() if now < each.until}

    def is_unavailable(self, name: ids.BackendServerId, now: float) -> bool:
        """Return whether a backend server is suspected for more than being full."""
        suspicion = self._suspicions.get(name)
        if suspicion is None or suspicion.reason is SuspicionReason.FULL:
            return False
        return now < suspicion.until

    def list_unresponsive(self) -> list[ids.BackendServerId]:
        """Return the backend servers that did not respond to their last probe."""
        return list(self._missed_probes)

    def is_dead(
        self,
        name: ids.BackendServerId,
        now: float,
        *,
        min_seconds: float,
        min_probes: int,
    ) -> bool:
        """Return whether a server has missed enough probes over a sufficient time."""
        missed = self._missed_probes.get(name)
        if missed is None or missed.probes < min_probes:
            return False
        return now - missed.since >= min_seconds
