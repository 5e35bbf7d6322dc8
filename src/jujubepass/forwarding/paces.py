"""How much slower than usual engines say they are."""

import logging

import attrs

from jujubepass import ids

_LOGGER = logging.getLogger(__name__)

# A pace counts until the engine had time to recover and was not asked again.
_KEPT_SECONDS = 6.0
# Pause between two questions to one engine about its pace.
_PAUSE_SECONDS = 2.0
_USUAL = 1.0
# Differences below this are noise between passes.
_SLOW = 1.5


@attrs.define(kw_only=True)
class Paces:
    """Keep the paces that engines reported, and whom to ask next."""

    _paces: dict[ids.BackendServerId, tuple[float, float]] = attrs.field(
        factory=dict, init=False
    )
    _asked_at: dict[ids.BackendServerId, float] = attrs.field(factory=dict, init=False)

    def note_pace(self, name: ids.BackendServerId, pace: float, now: float) -> None:
        """Keep what an engine reported."""
        was_slow = self.find_pace(name, now) > _USUAL
        self._paces[name] = pace, now
        if was_slow != (pace >= _SLOW):
            _LOGGER.info("engine's pace", extra={"backend": name, "pace": pace})

    def find_pace(self, name: ids.BackendServerId, now: float) -> float:
        """Return how many times slower than usual an engine is."""
        pace, noted_at = self._paces.get(name, (_USUAL, now))
        if pace < _SLOW or now - noted_at > _KEPT_SECONDS:
            return _USUAL
        return pace

    def take_question(self, name: ids.BackendServerId, now: float) -> bool:
        """Tell whether an engine is to be asked now, and note that it is."""
        if now - self._asked_at.get(name, float("-inf")) < _PAUSE_SECONDS:
            return False
        self._asked_at[name] = now
        return True

    def list_slow(self, now: float) -> list[ids.BackendServerId]:
        """Return the engines that are held for slow now."""
        return [name for name in self._paces if self.find_pace(name, now) > _USUAL]
