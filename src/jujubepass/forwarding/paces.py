"""Slowdown of engines, as given by their reports."""

import logging

import attrs

from jujubepass import ids

_LOGGER = logging.getLogger(__name__)

# A reported slowdown expires after this time, in which the engine may recover.
_KEPT_SECONDS = 6.0
# Interval between two probes of an engine for its slowdown.
_PAUSE_SECONDS = 2.0
_USUAL = 1.0
# Smaller slowdowns are noise between batch steps.
_SLOW = 1.5


@attrs.define(kw_only=True)
class Paces:
    """Track the slowdown of each engine and when it was last probed."""

    _paces: dict[ids.BackendServerId, tuple[float, float]] = attrs.field(
        factory=dict, init=False
    )
    _asked_at: dict[ids.BackendServerId, float] = attrs.field(factory=dict, init=False)

    def note_pace(self, name: ids.BackendServerId, pace: float, now: float) -> None:
        """Store the slowdown that an engine reported."""
        was_slow = self.find_pace(name, now) > _USUAL
        self._paces[name] = pace, now
        if was_slow != (pace >= _SLOW):
            _LOGGER.info("engine's pace", extra={"backend": name, "pace": pace})

    def find_pace(self, name: ids.BackendServerId, now: float) -> float:
        """Return an engine's slowdown factor; 1.0 is normal speed."""
        pace, noted_at = self._paces.get(name, (_USUAL, now))
        if pace < _SLOW or now - noted_at > _KEPT_SECONDS:
            return _USUAL
        return pace

    def take_question(self, name: ids.BackendServerId, now: float) -> bool:
        """Return whether to probe an engine now; if so, record the probe."""
        if now - self._asked_at.get(name, float("-inf")) < _PAUSE_SECONDS:
            return False
        self._asked_at[name] = now
        return True

    def list_slow(self, now: float) -> list[ids.BackendServerId]:
        """Return the engines that are slow now."""
        return [name for name in self._paces if self.find_pace(name, now) > _USUAL]
