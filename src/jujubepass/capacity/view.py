"""What all nodes run on engines, and who waits for places; see docs/design/load.md."""

import collections.abc
import typing

import attrs

from jujubepass import ids

PRIORITIES = 10
"""Number of priorities; 0 is the most urgent one."""


@attrs.frozen(kw_only=True)
class EngineUse:
    """Describe the requests of all nodes on one engine."""

    running: float
    prefilling: float
    """Requests among them whose prompt is being read."""


@attrs.frozen(kw_only=True)
class Demand:
    """Describe the requests of all nodes of this failure domain."""

    waiting: tuple[float, ...]
    """Requests that wait for a place, by priority."""
    arrivals_per_second: tuple[float, ...]
    """Requests that arrive, by priority."""
    ends_per_second: float
    """Streams that end and leave their place to others."""
    nodes: int
    """Nodes whose reports are counted."""


@attrs.frozen(kw_only=True)
class DomainLine:
    """Describe the room of another failure domain."""

    domain: ids.FailureDomainId
    free_places: float
    waiting: tuple[float, ...]
    """Requests that wait for a place there, by priority."""
    age_seconds: float


class View(typing.Protocol):
    """Tell what is known of the requests of all nodes; None if it is unknown."""

    def find_use(self, engine: ids.BackendServerId, now: float) -> EngineUse | None:
        """Return the requests on an engine."""

    def is_full(self, engine: ids.BackendServerId, now: float) -> bool:
        """Return whether an engine has just rejected a request for lack of room."""

    def find_demand(self, now: float) -> Demand | None:
        """Return what arrives, waits and ends in this failure domain."""

    def list_domains(self, now: float) -> collections.abc.Sequence[DomainLine]:
        """Return the lines of the other failure domains."""


class Recorder(typing.Protocol):
    """Take what this node does, to be shared with the other nodes."""

    def record_start(
        self, engines: collections.abc.Collection[ids.BackendServerId]
    ) -> None:
        """Count a request on its engines, in the prefill phase."""

    def record_prefilled(
        self, engines: collections.abc.Collection[ids.BackendServerId]
    ) -> None:
        """Record that the engines have read a request's prompt."""

    def record_end(
        self,
        engines: collections.abc.Collection[ids.BackendServerId],
        *,
        was_prefilled: bool,
    ) -> None:
        """Remove a request from the counts of its engines."""

    def record_arrival(self, priority: int) -> None:
        """Count a request that has arrived."""

    def record_waiting(self, priority: int, change: int) -> None:
        """Change the number of requests that wait here for a place."""

    def record_full(self, engine: ids.BackendServerId, now: float) -> None:
        """Record that an engine has rejected a request for lack of room."""

    def set_free_places(self, places: float) -> None:
        """Set the free places of this failure domain, as far as known here."""
