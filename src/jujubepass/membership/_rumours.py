"""Queue of news about nodes that heartbeats carry on in bounded rows."""

import collections.abc
import itertools

import attrs

from jujubepass import ids

ROWS_PER_HEARTBEAT = 6


@attrs.define(kw_only=True)
class Rumours:
    """Hand out whom to tell of, the oldest news first, once to each neighbour."""

    _told: dict[ids.NodeId, set[ids.NodeId]] = attrs.field(factory=dict, init=False)

    def add(self, node: ids.NodeId, told_by: ids.NodeId | None = None) -> None:
        """Tell every neighbour of a node's change, but for who told of it."""
        self._told.pop(node, None)
        self._told[node] = set() if told_by is None else {told_by}

    def take(
        self,
        neighbour: ids.NodeId,
        neighbours: collections.abc.Set[ids.NodeId],
    ) -> list[ids.NodeId]:
        """Return whom to tell a neighbour of now."""
        pending = (node for node, told in self._told.items() if neighbour not in told)
        chosen = list(itertools.islice(pending, ROWS_PER_HEARTBEAT))
        for node in chosen:
            self._told[node].add(neighbour)
            if neighbours <= self._told[node]:
                del self._told[node]
        return chosen
