"""Backend servers that failed of late and get no requests for a while."""

import enum
import logging

import attrs

from jujubepass import ids

_LOGGER = logging.getLogger(__name__)

# The first suspicion is over about when a lost engine's repair begins (0.7 s of the
# trial with recovery); each repeated one doubles up to about a heartbeat's lapse.
_FIRST_SECONDS = 0.7
_LONGEST_SECONDS = 4.0
# A server that is full, or gives up a part, takes work again within a few passes.
_FULL_SECONDS = 0.25


class SuspicionReason(enum.Enum):
    """Say what a backend server did."""

    UNREACHABLE = "unreachable"
    BROKE_OFF = "broke_off"
    NAMED_AT_FAULT = "named_at_fault"
    SILENT = "silent"
    LATE = "late"
    FULL = "full"


_SILENCES = (SuspicionReason.UNREACHABLE, SuspicionReason.SILENT)


@attrs.define(kw_only=True)
class _Suspicion:
    until: float
    seconds: float
    reason: SuspicionReason


@attrs.define(kw_only=True)
class _Silence:
    since: float
    questions: int = 0


@attrs.define(kw_only=True)
class Suspects:
    """Keep which backend servers are suspected, and which do not answer at all."""

    _suspicions: dict[ids.BackendServerId, _Suspicion] = attrs.field(
        factory=dict, init=False
    )
    _silences: dict[ids.BackendServerId, _Silence] = attrs.field(
        factory=dict, init=False
    )

    def suspect(
        self, name: ids.BackendServerId, reason: SuspicionReason, now: float
    ) -> None:
        """Suspect a backend server, for longer each time it fails again."""
        if reason in _SILENCES:
            silence = self._silences.setdefault(name, _Silence(since=now))
            silence.questions += 1
        before = self._suspicions.get(name)
        is_worse = reason is not SuspicionReason.FULL and not self.is_lost(name, now)
        if before is not None and now < before.until and not is_worse:
            return
        seconds = _FULL_SECONDS
        if reason is not SuspicionReason.FULL:
            seconds = _FIRST_SECONDS
            if before is not None and now <= before.until + _LONGEST_SECONDS:
                seconds = min(_LONGEST_SECONDS, max(seconds, before.seconds * 2.0))
        self._suspicions[name] = _Suspicion(
            until=now + seconds, seconds=seconds, reason=reason
        )
        _LOGGER.info(
            "backend server suspected",
            extra={"backend": name, "reason": reason.value, "seconds": seconds},
        )

    def note_answered(self, name: ids.BackendServerId) -> None:
        """Note that a backend server is there, whatever else it did."""
        self._silences.pop(name, None)

    def clear(self, name: ids.BackendServerId) -> None:
        """Trust a backend server again, as after a restart or an answer."""
        self._suspicions.pop(name, None)
        self._silences.pop(name, None)

    def is_suspect(self, name: ids.BackendServerId, now: float) -> bool:
        """Tell whether a backend server is to get no requests now."""
        suspicion = self._suspicions.get(name)
        return suspicion is not None and now < suspicion.until

    def is_lost(self, name: ids.BackendServerId, now: float) -> bool:
        """Tell whether a backend server is suspected of more than being full."""
        suspicion = self._suspicions.get(name)
        if suspicion is None or suspicion.reason is SuspicionReason.FULL:
            return False
        return now < suspicion.until

    def list_silent(self) -> list[ids.BackendServerId]:
        """Return the backend servers that did not answer when last asked."""
        return list(self._silences)

    def is_dead(
        self,
        name: ids.BackendServerId,
        now: float,
        *,
        least_seconds: float,
        least_questions: int,
    ) -> bool:
        """Tell whether a backend server has not answered for long and often enough."""
        silence = self._silences.get(name)
        if silence is None or silence.questions < least_questions:
            return False
        return now - silence.since >= least_seconds
