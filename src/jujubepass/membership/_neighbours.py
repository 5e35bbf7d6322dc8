"""Choice of the neighbours with which a node exchanges heartbeats."""

import collections.abc
import hashlib

import attrs

from jujubepass import ids

FULL_MESH_NODES = 16
_NEIGHBOURS_PER_DIRECTION = 1


@attrs.frozen(kw_only=True)
class Member:
    """Describe a node by the fields that the choice depends on."""

    node: ids.NodeId
    region: ids.RegionId
    failure_domain: ids.FailureDomainId


def choose_neighbours(
    own: Member, others: collections.abc.Sequence[Member]
) -> frozenset[ids.NodeId]:
    """Choose all nodes in a small system, or else the adjacent nodes on three rings.

    The rings are the own failure domain, the own region and all nodes, each in its
    own order. Nodes that see the same members choose each other.
    """
    if len(others) < FULL_MESH_NODES:
        return frozenset(member.node for member in others)
    domain = [each for each in others if each.failure_domain == own.failure_domain]
    region = [each for each in others if each.region == own.region]
    chosen = _choose_on_ring("failure domain", own, domain)
    chosen |= _choose_on_ring("region", own, region)
    return chosen | _choose_on_ring("all", own, others)


def _choose_on_ring(
    ring: str, own: Member, others: collections.abc.Sequence[Member]
) -> frozenset[ids.NodeId]:
    def hash_node(node: ids.NodeId) -> bytes:
        """Return the sort key of a node on the ring."""
        return hashlib.blake2b(f"{ring}/{node}".encode(), digest_size=8).digest()

    nodes = sorted([own.node, *(member.node for member in others)], key=hash_node)
    index = nodes.index(own.node)
    steps = [
        *range(-_NEIGHBOURS_PER_DIRECTION, 0),
        *range(1, _NEIGHBOURS_PER_DIRECTION + 1),
    ]
    found = {nodes[(index + step) % len(nodes)] for step in steps}
    return frozenset(found - {own.node})
