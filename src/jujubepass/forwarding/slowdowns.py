"""Slowdown of engines, as given by their reports."""

import collections
import logging

import attrs

from jujubepass import ids

_LOGGER = logging.getLogger("jujubepass.forwarding.paces")

# A reported slowdown expires after this time, in which the engine may recover.
_EXPIRY_SECONDS = 6.0
_NORMAL = 1.0
# Smaller slowdowns are noise between batch steps.
_MIN_SLOWDOWN = 1.5
_MAX_DOUBLINGS = 3


@attrs.define(kw_only=True)
class SlowdownTracker:
    """Track the slowdown of each engine and when it was last probed."""

    _reports: dict[ids.BackendServerId, tuple[float, float]] = attrs.field(
        factory=dict, init=False
    )
    _normal_reports: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    """Reports of normal speed in a row."""
    _probed_at: dict[ids.BackendServerId, float] = attrs.field(factory=dict, init=False)

    def record_slowdown(
        self, name: ids.BackendServerId, slowdown: float, now: float
    ) -> None:
        """Store the slowdown that an engine reported."""
        if slowdown < _MIN_SLOWDOWN:
            self._normal_reports[name] += 1
        else:
            self._normal_reports.pop(name, None)
        was_slow = self.get_slowdown(name, now) > _NORMAL
        self._reports[name] = slowdown, now
        if was_slow != (slowdown >= _MIN_SLOWDOWN):
            _LOGGER.info(
                "engine slowdown changed", extra={"backend": name, "pace": slowdown}
            )

    def get_slowdown(self, name: ids.BackendServerId, now: float) -> float:
        """Return an engine's slowdown factor; 1.0 is normal speed."""
        slowdown, reported_at = self._reports.get(name, (_NORMAL, now))
        if slowdown < _MIN_SLOWDOWN or now - reported_at > _EXPIRY_SECONDS:
            return _NORMAL
        return slowdown

    def start_probe(
        self, name: ids.BackendServerId, now: float, interval_seconds: float
    ) -> bool:
        """Return whether to probe an engine now; if so, record the probe.

        The interval doubles with each report of normal speed in a row.
        """
        doublings = min(self._normal_reports[name], _MAX_DOUBLINGS)
        interval_seconds *= 2.0**doublings
        if now - self._probed_at.get(name, float("-inf")) < interval_seconds:
            return False
        self._probed_at[name] = now
        return True

    def list_slow(self, now: float) -> list[ids.BackendServerId]:
        """Return the engines that are slow now."""
        return [
            name for name in self._reports if self.get_slowdown(name, now) > _NORMAL
        ]
