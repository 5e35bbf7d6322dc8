"""Era of the store: how often it has returned from an older copy."""

import logging

import attrs

from jujubepass import _decoding

_LOGGER = logging.getLogger(__name__)


class OutdatedEraError(Exception):
    """Signal an answer of an era that has ended."""


@attrs.define(kw_only=True)
class EraTracker:
    """Follow the store's era through its answers."""

    era: int = attrs.field(default=0, init=False)
    changes: int = attrs.field(default=0, init=False)
    invalid: int = attrs.field(default=0, init=False)
    """Answers whose era was missing, unreadable or had ended."""
    _is_known: bool = attrs.field(default=False, init=False)

    def observe(self, text: str | None) -> int:
        """Return an answer's era; raise OutdatedEraError if it has ended.

        An answer without a readable era counts as one of the current era.
        """
        if text is None and not self._is_known:
            return self.era
        era = _decoding.parse_digits(text)
        if era is None:
            self._reject("answer of the store without a readable era", text)
            return self.era
        if era < self.era:
            self._reject("answer of an earlier era of the store", text)
            raise OutdatedEraError(f"answer of era {era} in era {self.era}")
        if self._is_known and era > self.era:
            self.changes += 1
            _LOGGER.warning(
                "store returned from an older copy",
                extra={"era": era, "before": self.era},
            )
        self._is_known = True
        self.era = era
        return era

    def count(self) -> dict[str, int]:
        """Return how often the era changed, and was missing or invalid."""
        return {"changed": self.changes, "invalid": self.invalid}

    def _reject(self, message: str, text: str | None) -> None:
        self.invalid += 1
        _LOGGER.warning(
            message, extra={"text": (text or "")[:40], "current_era": self.era}
        )
