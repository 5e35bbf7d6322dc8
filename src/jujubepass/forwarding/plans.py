"""Plans: the layers that each engine of a service is to hold."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends


@attrs.frozen(kw_only=True)
class Placement:
    """Assign a span to an engine, as a member of a chain that holds all layers."""

    span: backends.Span
    chain: int
    """Number of the chain; -1 for engines outside the chains."""


@attrs.frozen(kw_only=True)
class Plan:
    """Describe the placements of one service and their author."""

    service: ids.ServiceId
    version: int
    """Version of the plan's row in the store."""
    revision: int
    author: ids.NodeId
    placements: collections.abc.Mapping[ids.BackendServerId, Placement]
    excluded: collections.abc.Mapping[ids.BackendServerId, int]
    """Failed runs of engines, by their start in Unix milliseconds."""

    def excludes(self, engine: backends.Backend) -> bool:
        """Return whether an engine's present run has failed."""
        return self.excluded.get(engine.name) == engine.started_at
