"""Blackboard area of the nodes, written by the membership controller."""

import enum
import zlib

import attrs

from jujubepass import ids
from jujubepass.membership import _membership_messages
from jujubepass.transport import _http_client

_NEVER = float("-inf")
_UNKNOWN_REGION = ids.RegionId("")
_UNKNOWN_DOMAIN = ids.FailureDomainId("")


class PeerState(enum.Enum):
    """Enumerate the states that a node assigns to another node."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@attrs.define(kw_only=True)
class Peer:
    """Describe another node as seen by this node."""

    node: ids.NodeId
    address: _http_client.Address
    region: ids.RegionId = _UNKNOWN_REGION
    failure_domain: ids.FailureDomainId = _UNKNOWN_DOMAIN
    listed: bool = False
    incarnation: str = ""
    sequence: int = 0
    state: PeerState = PeerState.UNKNOWN
    accusers: frozenset[ids.NodeId] = frozenset()
    accused_at: float = _NEVER
    heartbeat_at: float = _NEVER
    monitored_since: float = _NEVER
    died_at: float = _NEVER
    configuration_number: ids.ChangeNumber = ids.ChangeNumber(0)
    configuration_digest: str = ""

    @property
    def is_member(self) -> bool:
        """Return whether the node takes part in the work: neither dead nor leaving."""
        return self.state not in (PeerState.DEAD, PeerState.LEAVING)


@attrs.define(kw_only=True)
class MembershipArea:
    """Describe the other nodes and this node's neighbours."""

    peers: dict[ids.NodeId, Peer] = attrs.field(factory=dict)
    neighbours: frozenset[ids.NodeId] = frozenset()
    refutations: int = 0
    ignored_heartbeats: int = 0

    def count_live_nodes(self) -> int:
        """Count the nodes that are neither dead nor leaving, including this node."""
        return 1 + sum(peer.is_member for peer in self.peers.values())

    def is_live(self, node: ids.NodeId, incarnation: str) -> bool:
        """Return whether another node's process is not known to be dead."""
        peer = self.peers.get(node)
        if peer is None or peer.incarnation != incarnation:
            return False
        return peer.state is not PeerState.DEAD

    def list_members(self) -> list[ids.NodeId]:
        """Return the other nodes that are neither dead nor leaving."""
        return [node for node, peer in self.peers.items() if peer.is_member]

    def compute_digest(self) -> int:
        """Return the digest of the live nodes; equal views have equal digests."""
        digest = 0
        for node, peer in self.peers.items():
            if peer.incarnation and peer.state is not PeerState.DEAD:
                row = _membership_messages.NodeRow(
                    node=node,
                    incarnation=peer.incarnation,
                    sequence=peer.sequence,
                    leaving=peer.state is PeerState.LEAVING,
                )
                digest ^= hash_member(row)
        return digest


def hash_member(row: _membership_messages.NodeRow) -> int:
    """Hash the fields of a row that converge to the same values on all nodes."""
    text = f"{row.node}/{row.incarnation}/{row.sequence}/{row.leaving}"
    return zlib.crc32(text.encode())
