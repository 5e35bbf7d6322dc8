"""Controller that installs the newest configuration."""

import logging

import attrs

from jujubepass.forwarding import board, declarations, feeds

_LOGGER = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class ConfigurationController:
    """Update the configuration area; its version never decreases."""

    area: board.ConfigurationArea

    def apply(
        self, changes: feeds.Changes[declarations.Declarations], now: float
    ) -> None:
        """Install a newer configuration and record when it was confirmed up to date."""
        self.area.confirmed_at = max(self.area.confirmed_at, changes.confirmed_at)
        for declared in changes.items.values():
            if declared is None:
                continue
            before = self.area.declarations
            if before is not None and declared.version <= before.version:
                continue
            self.area.declarations = declared
            _LOGGER.info(
                "configuration in force",
                extra={
                    "version": declared.version,
                    "before": before.version if before else None,
                    "routes": len(declared.routes),
                    "age_seconds": round(now - changes.confirmed_at, 3),
                },
            )
