"""Times in which backend servers have asked for no requests."""

import collections.abc
import logging
import math

import attrs

from jujubepass import ids
from jujubepass.forwarding import board

_LOGGER = logging.getLogger(__name__)

# A longer time is taken for an error of the server.
_MAX_SILENCE_SECONDS = 600.0


@attrs.frozen(kw_only=True)
class _Silence:
    started_at: int
    """Run of the server that asked; a new run has not."""
    until: float
    only_first: bool
    """Whether the server may still run later stages of a pipeline."""


@attrs.define(kw_only=True)
class Silences:
    """Track which backend servers are to get no requests, and until when."""

    area: board.BackendArea
    recorded: int = attrs.field(default=0, init=False)
    _silences: dict[ids.BackendServerId, _Silence] = attrs.field(
        factory=dict, init=False
    )

    def record(
        self,
        name: ids.BackendServerId,
        started_at: int,
        seconds: float,
        now: float,
        *,
        only_first: bool = False,
    ) -> None:
        """Record that a run of a server asked for no requests for some time."""
        if not math.isfinite(seconds) or not 0.0 <= seconds <= _MAX_SILENCE_SECONDS:
            _LOGGER.warning(
                "retry time of a backend server out of range",
                extra={"backend": name, "seconds": str(seconds)},
            )
            seconds = min(max(seconds, 0.0), _MAX_SILENCE_SECONDS)
            seconds = 0.0 if math.isnan(seconds) else seconds
        self._remove_ended(now)
        before = self._silences.get(name)
        if before is not None and before.started_at == started_at:
            if before.until >= now + seconds and only_first >= before.only_first:
                return
            only_first = only_first and before.only_first
            seconds = max(seconds, before.until - now)
        self.recorded += 1
        self._silences[name] = _Silence(
            started_at=started_at, until=now + seconds, only_first=only_first
        )
        _LOGGER.info(
            "backend server asked for no requests",
            extra={
                "backend": name,
                "seconds": round(seconds, 3),
                "only_first": only_first,
            },
        )

    def is_silent(self, name: ids.BackendServerId, now: float) -> bool:
        """Return whether a server is to get no requests at all."""
        silence = self._find(name, now)
        return silence is not None and not silence.only_first

    def is_closed(self, name: ids.BackendServerId, now: float) -> bool:
        """Return whether a server is to get no requests from this node directly."""
        return self._find(name, now) is not None

    def list_silent(self, now: float) -> set[ids.BackendServerId]:
        """Return the servers that are to get no requests at all."""
        return {name for name in self._silences if self.is_silent(name, now)}

    def list_closed(self, now: float) -> set[ids.BackendServerId]:
        """Return the servers that are to get no requests from this node directly."""
        return {name for name in self._silences if self.is_closed(name, now)}

    def find_end(
        self, names: collections.abc.Iterable[ids.BackendServerId], now: float
    ) -> float | None:
        """Return when the first of some servers takes requests again, if any asked."""
        found = (self._find(name, now) for name in names)
        return min((each.until for each in found if each is not None), default=None)

    def _find(self, name: ids.BackendServerId, now: float) -> _Silence | None:
        silence = self._silences.get(name)
        if silence is None or now >= silence.until:
            return None
        listed = self.area.listed.get(name)
        if listed is not None and listed.started_at != silence.started_at:
            return None
        return silence

    def _remove_ended(self, now: float) -> None:
        for name, silence in list(self._silences.items()):
            if now >= silence.until:
                del self._silences[name]
