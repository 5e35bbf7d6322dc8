"""Plans: which layers each engine of a service is to hold."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends


@attrs.frozen(kw_only=True)
class Placement:
    """Give one run of an engine a span, as part of a chain that holds all layers."""

    span: backends.Span
    chain: int
    """Number of the chain; engines beside the chains have -1."""


@attrs.frozen(kw_only=True)
class Plan:
    """Hold the placements of one service and who decided on them."""

    service: ids.ServiceId
    version: int
    """Version of the plan's row in the store."""
    revision: int
    author: ids.NodeId
    placements: collections.abc.Mapping[ids.BackendServerId, Placement]
    excluded: collections.abc.Mapping[ids.BackendServerId, int]
    """Runs of engines that failed, by their start in Unix milliseconds."""
