"""Blackboard area of leaving backend servers; written by its controller."""

import enum

import attrs

from jujubepass import ids


class DepartureSource(enum.Enum):
    """Name who said that a backend server is leaving."""

    LIST = "list"
    OPERATOR = "operator"
    ITSELF = "itself"


@attrs.frozen(kw_only=True)
class Departure:
    """Hold that a backend server is leaving, by whose word and since when."""

    backend: ids.BackendServerId
    source: DepartureSource
    since: float
    incarnation: str = ""


@attrs.define(kw_only=True)
class DepartureArea:
    """Hold every word that a backend server is leaving."""

    words: dict[tuple[ids.BackendServerId, DepartureSource], Departure] = attrs.field(
        factory=dict
    )

    def is_leaving(self, backend: ids.BackendServerId) -> bool:
        """Tell whether anybody's word says that a backend server is leaving."""
        return any((backend, source) in self.words for source in DepartureSource)

    def list_own_word(self, oldest: float) -> list[Departure]:
        """List what backend servers said of themselves, the newest first."""
        own = [
            departure
            for (_, source), departure in self.words.items()
            if source is DepartureSource.ITSELF and departure.since >= oldest
        ]
        return sorted(own, key=lambda departure: -departure.since)
