"""Installation of accepted changes in order of their numbers."""

import collections.abc
import logging

import attrs

from jujubepass import declarations, ids
from jujubepass.configuration import (
    _configuration_area,
    _configuration_digest,
    _configuration_messages,
    _declaration_changes,
)

_LOGGER = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class Installer:
    """Install changes in the configuration area, whose only writer it is."""

    area: _configuration_area.ConfigurationArea

    def install(
        self, entries: collections.abc.Iterable[_configuration_messages.Entry]
    ) -> list[_configuration_messages.Entry]:
        """Install the entries that directly follow the number in force; return them."""
        installed = []
        for entry in sorted(entries, key=lambda entry: entry.number):
            if entry.number == self.area.number + 1 and self._install(entry):
                installed.append(entry)
        return installed

    def _install(self, entry: _configuration_messages.Entry) -> bool:
        area = self.area
        digest = _configuration_digest.update_digest(
            area.digest, area.sections, entry.delta
        )
        if digest != entry.digest:
            area.digest_mismatches += 1
            _LOGGER.error("digest mismatch; change %d not installed", entry.number)
            return False
        area.declared = self._update(area.declared, area.sections, entry.delta)
        for title, section in entry.delta.items():
            if section is None:
                area.sections.pop(title, None)
            else:
                area.sections[title] = section
        area.digest = digest
        area.number = entry.number
        area.recent.append(entry)
        return True

    def install_snapshot(
        self,
        number: ids.ChangeNumber,
        digest: str,
        sections: _configuration_messages.Sections,
    ) -> bool:
        """Install all sections of a snapshot above the number in force."""
        area = self.area
        if number <= area.number:
            return False
        found = _configuration_digest.update_digest(
            _configuration_digest.EMPTY, {}, sections
        )
        if found != digest:
            area.digest_mismatches += 1
            _LOGGER.error("digest mismatch; snapshot %d not installed", number)
            return False
        area.declared = self._update(declarations.Declarations(), {}, sections)
        area.sections = dict(sections)
        area.digest = digest
        area.number = number
        area.recent.clear()
        return True

    def record_installation(self, now: float, *, caught_up: bool) -> None:
        """Record an installation and whether the newest number is in force."""
        self.area.installed_at = now
        self.area.caught_up = caught_up

    def record_advertised_number(self, number: ids.ChangeNumber) -> None:
        """Record a number that a peer advertised if it is the highest so far."""
        self.area.highest_advertised = max(self.area.highest_advertised, number)

    def record_confirmed(
        self, names: collections.abc.Iterable[ids.NodeId], number: ids.ChangeNumber
    ) -> None:
        """Record the highest number that each node confirmed to this node."""
        confirmed = self.area.confirmed
        for name in names:
            confirmed[name] = max(confirmed.get(name, number), number)

    def record_store_state(self, *, answers: bool) -> None:
        """Record whether the store answers."""
        self.area.store_answers = answers

    @staticmethod
    def _update(
        declared: declarations.Declarations,
        sections: _configuration_messages.Sections,
        delta: _configuration_messages.Delta,
    ) -> declarations.Declarations:
        update = _declaration_changes.update_declarations(
            declared, sections, delta, accepted=True
        )
        for problem in update.problems:
            _LOGGER.error("invalid section skipped: %s", problem)
        return update.declared
