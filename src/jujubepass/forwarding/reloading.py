"""Controller that applies changed settings at run time."""

import collections.abc
import logging

import attrs
import returns.result

from jujubepass.forwarding import board, settings
from jujubepass.telemetry import _logs

_LOGGER = logging.getLogger(__name__)

# The platform may change the file without a signal; a change must be applied within two
# seconds.
_CHECK_INTERVAL_SECONDS = 1.0
# Sections that take effect at run time; the others are used only at start.
_RELOADABLE = frozenset(("bounds", "log"))
_LOG_FORMAT = "log.format"


@attrs.define(kw_only=True)
class SettingsController:
    """Update the blackboard's bounds; settings with an error change nothing."""

    blackboard: board.Blackboard
    source: settings.Source
    in_force: settings.Settings
    _stamp: object = attrs.field(init=False)
    _checked_at: float = attrs.field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        self._stamp = self.source.read_stamp()

    def check(self, now: float) -> bool:
        """Reload the settings if they have changed; return whether any took effect."""
        if now - self._checked_at < _CHECK_INTERVAL_SECONDS:
            return False
        self._checked_at = now
        stamp = self.source.read_stamp()
        return stamp != self._stamp and self.reload()

    def reload(self) -> bool:
        """Reload the settings; return whether any changes took effect."""
        self._stamp = self.source.read_stamp()
        read = self.source.read()
        if isinstance(read, returns.result.Failure):
            for problem in read.failure().problems:
                _LOGGER.error(
                    "settings not taken over",
                    extra={
                        "section": problem.section,
                        "key": problem.key,
                        "problem": problem.what,
                        "allowed": problem.allowed,
                    },
                )
            return False
        return self._apply_settings(read.unwrap())

    def _apply_settings(self, found: settings.Settings) -> bool:
        different = list(_list_differences(self.in_force, found))
        changed = [each for each in different if _is_reloadable(each)]
        _LOGGER.info(
            "settings in force",
            extra={
                "changed": changed,
                "needs_restart": [each for each in different if each not in changed],
            },
        )
        self.in_force = attrs.evolve(
            self.in_force,
            bounds=found.bounds,
            log=attrs.evolve(self.in_force.log, level=found.log.level),
        )
        self.blackboard.bounds = found.bounds
        _logs.set_level(found.log.level)
        return bool(changed)


def _is_reloadable(name: str) -> bool:
    return name.partition(".")[0] in _RELOADABLE and name != _LOG_FORMAT


def _list_differences(
    before: settings.Settings, after: settings.Settings
) -> collections.abc.Iterator[str]:
    """Yield the section and key of each difference."""
    for section in attrs.fields(settings.Settings):
        old, new = getattr(before, section.name), getattr(after, section.name)
        for key in attrs.fields(type(old)):
            if getattr(old, key.name) != getattr(new, key.name):
                yield f"{section.name}.{key.name}"
