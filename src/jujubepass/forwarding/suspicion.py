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


class SuspicionReason(enum.Enum):
    """Say what a backend server did."""

    UNREACHABLE = "unreachable"
    BROKE_OFF = "broke_off"
    NAMED_AT_FAULT = "named_at_fault"
    SILENT = "silent"


@attrs.define(kw_only=True)
class _Suspicion:
    since: float
    until: float
    seconds: float


@attrs.define(kw_only=True)
class Suspects:
    """Keep which backend servers are suspected, and since when."""

    _suspicions: dict[ids.BackendServerId, _Suspicion] = attrs.field(
        factory=dict, init=False
    )

    def suspect(
        self, name: ids.BackendServerId, reason: SuspicionReason, now: float
    ) -> None:
        """Suspect a backend server, for longer each time it fails again."""
        before = self._suspicions.get(name)
        if before is not None and now < before.until:
            return
        if before is None or now > before.until + _LONGEST_SECONDS:
            before = _Suspicion(since=now, until=now, seconds=_FIRST_SECONDS / 2.0)
        seconds = min(_LONGEST_SECONDS, before.seconds * 2.0)
        self._suspicions[name] = _Suspicion(
            since=before.since, until=now + seconds, seconds=seconds
        )
        _LOGGER.info(
            "backend server suspected",
            extra={"backend": name, "reason": reason.value, "seconds": seconds},
        )

    def clear(self, name: ids.BackendServerId) -> None:
        """Trust a backend server again, as after a restart or an answer."""
        self._suspicions.pop(name, None)

    def is_suspect(self, name: ids.BackendServerId, now: float) -> bool:
        """Tell whether a backend server is to get no requests now."""
        suspicion = self._suspicions.get(name)
        return suspicion is not None and now < suspicion.until

    def find_suspected_since(self, name: ids.BackendServerId, now: float) -> float:
        """Return since when failures have gone on; infinity if there are none."""
        suspicion = self._suspicions.get(name)
        if suspicion is None or now > suspicion.until + _LONGEST_SECONDS:
            return float("inf")
        return suspicion.since
