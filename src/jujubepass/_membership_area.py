"""Blackboard area of the nodes; written by the membership controller."""

import enum

import attrs

from jujubepass import _http_client, ids


class PeerState(enum.Enum):
    """Name what this node believes of another."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@attrs.define(kw_only=True)
class Peer:
    """Hold what is known of another node."""

    node: ids.NodeId
    address: _http_client.Address
    incarnation: str = ""
    state: PeerState = PeerState.SUSPECT
    heard_at: float = float("-inf")
    configuration_number: ids.ChangeNumber = ids.ChangeNumber(0)
    configuration_digest: str = ""


@attrs.define(kw_only=True)
class MembershipArea:
    """Hold the other nodes."""

    peers: dict[ids.NodeId, Peer] = attrs.field(factory=dict)

    def count_live_nodes(self) -> int:
        """Count the nodes believed alive, this one included."""
        alive = (PeerState.ALIVE, PeerState.SUSPECT)
        return 1 + sum(peer.state in alive for peer in self.peers.values())
