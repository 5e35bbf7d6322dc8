"""Gossip queue of membership updates, sent in a bounded number of rows."""

import collections.abc
import itertools

import attrs

from jujubepass import ids

ROWS_PER_HEARTBEAT = 6


@attrs.define(kw_only=True)
class GossipQueue:
    """Queue changed nodes, oldest first, for one gossip message per neighbour."""

    _sent_to: dict[ids.NodeId, set[ids.NodeId]] = attrs.field(factory=dict, init=False)

    def add(self, node: ids.NodeId, source: ids.NodeId | None = None) -> None:
        """Queue a changed node for every neighbour except the source of the change."""
        self._sent_to.pop(node, None)
        self._sent_to[node] = set() if source is None else {source}

    def take(
        self,
        neighbour: ids.NodeId,
        neighbours: collections.abc.Set[ids.NodeId],
    ) -> list[ids.NodeId]:
        """Return the nodes whose rows are due for a neighbour."""
        pending = (
            node
            for node, receivers in self._sent_to.items()
            if neighbour not in receivers
        )
        chosen = list(itertools.islice(pending, ROWS_PER_HEARTBEAT))
        for node in chosen:
            self._sent_to[node].add(neighbour)
            if neighbours <= self._sent_to[node]:
                del self._sent_to[node]
        return chosen
