"""Division of a server's places among the nodes of a failure domain."""

import hashlib
import math
import typing

import attrs

from jujubepass import ids
from jujubepass.forwarding import board

# An offer goes to other nodes once all nodes know who took it.
_TURN_SECONDS = 0.5
_MAX_RANKS = 4_096


class Domain(typing.Protocol):
    """Tell which of the nodes of its failure domain this node is."""

    def count_nodes(self) -> int:
        """Return the number of nodes, including this one."""

    def find_rank(self, server: ids.BackendServerId, started_at: int) -> int:
        """Return this node's rank in the order for a server's run, from 0."""


@attrs.define(kw_only=True)
class MemberDomain:
    """Derive the ranks of nodes from their rows, which all nodes read alike."""

    blackboard: board.Blackboard
    _ranks: dict[tuple[ids.BackendServerId, int], int] = attrs.field(
        factory=dict, init=False
    )
    _neighbors: object = attrs.field(default=None, init=False)
    """Rows that the ranks have been derived from."""

    def count_nodes(self) -> int:
        """Return the number of nodes, including this one."""
        return max(1, len(self.blackboard.members.neighbors))

    def find_rank(self, server: ids.BackendServerId, started_at: int) -> int:
        """Return this node's rank in the order for a server's run, from 0."""
        neighbors = self.blackboard.members.neighbors
        if neighbors is not self._neighbors or len(self._ranks) >= _MAX_RANKS:
            self._ranks.clear()
            self._neighbors = neighbors
        rank = self._ranks.get((server, started_at))
        if rank is None:
            own = _hash_rank(server, started_at, self.blackboard.node)
            rank = sum(
                _hash_rank(server, started_at, each.node) < own for each in neighbors
            )
            self._ranks[server, started_at] = rank
        return rank


def _hash_rank(server: ids.BackendServerId, started_at: int, node: ids.NodeId) -> bytes:
    data = f"pace/{server}/{started_at}/{node}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()


def divide(places: float, nodes: int, rank: int) -> int:
    """Return the places of one node; those of all nodes add up to all places."""
    each, rest = divmod(math.floor(places), max(1, nodes))
    return each + (rank < rest)


def is_offered(
    free_places: float, offers: float, nodes: int, rank: int, now: float
) -> bool:
    """Return whether a node may take one of the places that others leave unused.

    Each free place belongs to one node and is offered to `offers - 1` others. The offer
    goes round, so that it reaches nodes that have requests.
    """
    offered = min(nodes, int(math.floor(free_places) * (offers - 1.0)))
    if offered <= 0:
        return False
    first = int(now / _TURN_SECONDS) * offered
    return (rank - first) % nodes < offered
