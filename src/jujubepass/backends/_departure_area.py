"""Blackboard area of departures; written by the departure controller."""

import enum

import attrs

from jujubepass import ids


class DepartureSource(enum.Enum):
    """Enumerate the sources that can report a backend server as leaving."""

    LIST = "list"
    OPERATOR = "operator"
    ITSELF = "itself"


@attrs.frozen(kw_only=True)
class Departure:
    """Describe a report that a backend server is leaving, by source and time."""

    backend: ids.BackendServerId
    source: DepartureSource
    since: float
    incarnation: str = ""


@attrs.define(kw_only=True)
class DepartureArea:
    """Store the departures of backend servers, one for each source."""

    records: dict[tuple[ids.BackendServerId, DepartureSource], Departure] = attrs.field(
        factory=dict
    )

    def is_leaving(self, backend: ids.BackendServerId) -> bool:
        """Return whether any source reports a backend server as leaving."""
        return any((backend, source) in self.records for source in DepartureSource)

    def list_self_reported(self, min_since: float) -> list[Departure]:
        """List departures that backend servers reported themselves, newest first."""
        self_reported = [
            departure
            for (_, source), departure in self.records.items()
            if source is DepartureSource.ITSELF and departure.since >= min_since
        ]
        return sorted(self_reported, key=lambda departure: -departure.since)
