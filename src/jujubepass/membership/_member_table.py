"""Table of the other nodes, merged from heartbeats, gossip and the VM list."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_messages
from jujubepass.membership import (
    _gossip,
    _membership_area,
    _membership_messages,
    _neighbours,
)
from jujubepass.nodes import _blackboard, _node_messages
from jujubepass.transport import _http_client

_State = _membership_area.PeerState
_MIN_ACCUSERS = 2
_DEAD_RETENTION_SECONDS = 60.0


@attrs.define(kw_only=True)
class MemberTable:
    """Update the membership area and queue the changes for gossip."""

    area: _membership_area.MembershipArea
    identity: _blackboard.Identity
    dead_seconds: float
    sequence: int = attrs.field(default=0, init=False)
    gossip: _gossip.GossipQueue = attrs.field(factory=_gossip.GossipQueue, init=False)
    _is_stale: bool = attrs.field(default=True, init=False)
    _digest: int = attrs.field(default=0, init=False)
    _repair_rows: dict[ids.NodeId, tuple[ids.NodeId, ...]] = attrs.field(
        factory=dict, init=False
    )

    @property
    def place(self) -> _membership_messages.Place | None:
        """Return the address, region and failure domain of this node."""
        if self.identity.address is None:
            return None
        return _membership_messages.Place(
            address=self.identity.address,
            region=self.identity.region,
            failure_domain=self.identity.failure_domain,
        )

    def describe_self(self, leaving: bool) -> _membership_messages.NodeRow:
        """Return this node's own row."""
        return _membership_messages.NodeRow(
            node=self.identity.node,
            incarnation=self.identity.incarnation,
            sequence=self.sequence,
            leaving=leaving,
            place=self.place,
        )

    def announce_self(self) -> None:
        """Queue this node's row for every neighbour."""
        self._record_change(self.identity.node)

    def _record_change(
        self, node: ids.NodeId, source: ids.NodeId | None = None
    ) -> None:
        self._is_stale = True
        self.gossip.add(node, source)

    def compute_digest(self, leaving: bool) -> int:
        """Return the digest of the live nodes, including this node."""
        if self._is_stale:
            self._digest = self.area.compute_digest()
        own = self.describe_self(leaving)
        return self._digest ^ _membership_area.hash_member(own)

    def apply_vm_list(
        self,
        listed: collections.abc.Mapping[ids.NodeId, _backend_messages.Vm],
        now: float,
    ) -> None:
        """Apply the platform's list of nodes.

        The list lags, so data from heartbeats takes precedence.
        """
        changed = False
        for node, vm in listed.items():
            if node == self.identity.node:
                continue
            peer = self.area.peers.get(node)
            if peer is None:
                peer = self._add(node, vm.address, now)
                changed = True
            elif not peer.incarnation:
                peer.address = vm.address
            peer.listed = True
            changed |= peer.failure_domain != vm.failure_domain
            peer.region = vm.region
            peer.failure_domain = vm.failure_domain
        for node in [node for node in self.area.peers if node not in listed]:
            peer = self.area.peers[node]
            peer.listed = False
            if not peer.incarnation:
                del self.area.peers[node]
                changed = True
        if changed:
            self._choose_neighbours(now)

    def _add(
        self, node: ids.NodeId, address: _http_client.Address, now: float
    ) -> _membership_area.Peer:
        peer = _membership_area.Peer(node=node, address=address, monitored_since=now)
        self.area.peers[node] = peer
        return peer

    def apply_heartbeat(
        self, heartbeat: _membership_messages.Heartbeat, now: float
    ) -> bool:
        """Apply a peer's heartbeat; return whether it was accepted."""
        peer = self.area.peers.get(heartbeat.node)
        if heartbeat.node == self.identity.node:
            return False
        if peer is None:
            if heartbeat.place is None:
                return False
            peer = self._add(heartbeat.node, heartbeat.place.address, now)
        elif self._is_superseded(peer, heartbeat.incarnation, now):
            self.area.ignored_heartbeats += 1
            return False
        if heartbeat.place is not None:
            peer.address = heartbeat.place.address
            peer.region = heartbeat.place.region
            peer.failure_domain = heartbeat.place.failure_domain
        peer.configuration_number = heartbeat.configuration_number
        peer.configuration_digest = heartbeat.configuration_digest
        leaving = _node_messages.is_leaving(heartbeat.state)
        self._record_heartbeat(peer, heartbeat, leaving, now)
        return True

    def _is_superseded(
        self, peer: _membership_area.Peer, incarnation: str, now: float
    ) -> bool:
        expired = (
            peer.state is _State.DEAD and now - peer.died_at > _DEAD_RETENTION_SECONDS
        )
        return incarnation < peer.incarnation and not expired

    def _record_heartbeat(
        self,
        peer: _membership_area.Peer,
        heartbeat: _membership_messages.Heartbeat,
        leaving: bool,
        now: float,
    ) -> None:
        was_member = peer.is_member
        restarted = peer.incarnation != heartbeat.incarnation
        newer = restarted or heartbeat.sequence > peer.sequence
        # The change is gossiped back to a peer that was marked dead, so that the peer
        # refutes it at all nodes.
        revived = peer.state is _State.DEAD
        if newer:
            peer.accusers = frozenset()
            peer.sequence = heartbeat.sequence
        peer.accusers -= {self.identity.node}
        peer.incarnation = heartbeat.incarnation
        peer.heartbeat_at = now
        peer.state = _State.LEAVING if leaving else _State.ALIVE
        if newer or revived or was_member != peer.is_member:
            self._record_change(peer.node)

    def merge_row(
        self, row: _membership_messages.NodeRow, source: ids.NodeId, now: float
    ) -> None:
        """Merge a peer's row about a third node unless the row is outdated."""
        if row.node == self.identity.node:
            self._refute(row)
            return
        peer = self.area.peers.get(row.node)
        if peer is None:
            if row.place is None or row.accusers:
                return
            peer = self._add(row.node, row.place.address, now)
            peer.region = row.place.region
            peer.failure_domain = row.place.failure_domain
        current = (peer.incarnation, peer.sequence)
        received = (row.incarnation, row.sequence)
        if received < current:
            return
        if received > current:
            self._apply_row(peer, row)
        elif row.leaving and peer.state is not _State.LEAVING:
            peer.state = _State.LEAVING
        elif row.accusers <= peer.accusers:
            return
        self._record_change(row.node, source)
        peer.accusers |= row.accusers
        self._check_accusations(peer, now)

    def _refute(self, row: _membership_messages.NodeRow) -> None:
        is_own = row.incarnation == self.identity.incarnation
        if is_own and row.accusers and row.sequence >= self.sequence:
            self.sequence = row.sequence + 1
            self.area.refutations += 1
            self._record_change(self.identity.node)

    def _apply_row(
        self, peer: _membership_area.Peer, row: _membership_messages.NodeRow
    ) -> None:
        if row.place is not None:
            peer.address = row.place.address
            peer.region = row.place.region
            peer.failure_domain = row.place.failure_domain
        peer.incarnation = row.incarnation
        peer.sequence = row.sequence
        peer.accusers = frozenset()
        peer.state = _State.LEAVING if row.leaving else _State.ALIVE

    def _check_accusations(self, peer: _membership_area.Peer, now: float) -> None:
        is_dead = peer.state is _State.DEAD
        voters = 1 + sum(
            other.is_member for other in self.area.peers.values() if other is not peer
        )
        has_quorum = len(peer.accusers) >= min(_MIN_ACCUSERS, voters)
        has_own_timeout = (
            self.identity.node in peer.accusers
            and now - peer.accused_at >= self.dead_seconds
        )
        if not is_dead and (has_quorum or has_own_timeout):
            peer.state = _State.DEAD
            peer.died_at = now
            self._is_stale = True

    def detect_failures(
        self, now: float, suspect_seconds: float
    ) -> list[_http_client.Address]:
        """Mark unresponsive neighbours; return the addresses of removed peers."""
        if self._is_stale:
            self._choose_neighbours(now)
        for node in self.area.neighbours:
            peer = self.area.peers[node]
            if peer.state is not _State.DEAD:
                self._detect_failure(peer, now, suspect_seconds)
        removed = [
            peer
            for peer in self.area.peers.values()
            if peer.state is _State.DEAD
            and not peer.listed
            and now - peer.died_at > _DEAD_RETENTION_SECONDS
        ]
        for peer in removed:
            del self.area.peers[peer.node]
        if removed:
            self._choose_neighbours(now)
        return [peer.address for peer in removed]

    def _detect_failure(
        self, peer: _membership_area.Peer, now: float, suspect_seconds: float
    ) -> None:
        idle_seconds = now - max(peer.heartbeat_at, peer.monitored_since)
        if idle_seconds < suspect_seconds:
            return
        if peer.state is not _State.LEAVING:
            peer.state = _State.SUSPECT
        if idle_seconds < self.dead_seconds:
            return
        if self.identity.node not in peer.accusers:
            peer.accusers |= {self.identity.node}
            peer.accused_at = now
            self._record_change(peer.node)
        self._check_accusations(peer, now)

    def reset_detection(self, now: float) -> None:
        """Restart failure detection now and withdraw this node's accusations."""
        for peer in self.area.peers.values():
            peer.monitored_since = now
            if peer.state is not _State.DEAD:
                peer.accusers -= {self.identity.node}
            if peer.state in (_State.ALIVE, _State.SUSPECT):
                peer.state = _State.UNKNOWN

    def mark_unknown_alive(self) -> None:
        """Mark unknown peers alive after a neighbour reported the same digest."""
        for node, peer in self.area.peers.items():
            monitored = node in self.area.neighbours
            if peer.state is _State.UNKNOWN and peer.incarnation and not monitored:
                peer.state = _State.ALIVE

    def _choose_neighbours(self, now: float) -> None:
        self._is_stale = False
        self._digest = self.area.compute_digest()
        own = _neighbours.Member(
            node=self.identity.node,
            region=self.identity.region,
            failure_domain=self.identity.failure_domain,
        )
        members = [
            _neighbours.Member(
                node=peer.node, region=peer.region, failure_domain=peer.failure_domain
            )
            for peer in self.area.peers.values()
            if peer.state is not _State.DEAD
        ]
        chosen = _neighbours.choose_neighbours(own, members)
        # Dead nodes that are still listed are contacted, so that a partition heals.
        chosen |= self._choose_dead_to_contact(len(members))
        for node in chosen - self.area.neighbours:
            self.area.peers[node].monitored_since = now
        self.area.neighbours = chosen

    def _choose_dead_to_contact(self, members: int) -> frozenset[ids.NodeId]:
        dead = sorted(
            peer.node
            for peer in self.area.peers.values()
            if peer.state is _State.DEAD and peer.listed
        )
        if members < _neighbours.FULL_MESH_NODES:
            return frozenset(dead[: _neighbours.FULL_MESH_NODES])
        after = [node for node in dead if node > self.identity.node] + dead
        return frozenset(after[:1])

    def list_rows(
        self, neighbour: ids.NodeId, leaving: bool
    ) -> tuple[_membership_messages.NodeRow, ...]:
        """Return the rows for one heartbeat: updates first, then repair rows."""
        updates = self.gossip.take(neighbour, self.area.neighbours)
        room = _gossip.ROWS_PER_HEARTBEAT - len(updates)
        repair_rows = self._repair_rows.pop(neighbour, ())[:room]
        rows = [self._describe(node, leaving) for node in (*updates, *repair_rows)]
        return tuple(row for row in rows if row is not None)

    def _describe(
        self, node: ids.NodeId, leaving: bool
    ) -> _membership_messages.NodeRow | None:
        if node == self.identity.node:
            return self.describe_self(leaving)
        peer = self.area.peers.get(node)
        if peer is None or not peer.incarnation:
            return None
        return _membership_messages.NodeRow(
            node=node,
            incarnation=peer.incarnation,
            sequence=peer.sequence,
            leaving=peer.state is _State.LEAVING,
            accusers=frozenset(sorted(peer.accusers)[:_MIN_ACCUSERS]),
            place=None if peer.listed else _make_place(peer),
        )

    def queue_repair_rows(self, neighbour: ids.NodeId, start: int) -> int:
        """Queue the next repair rows for a neighbour; return the next start index."""
        nodes = sorted((*self.area.peers, self.identity.node))
        start = start if start < len(nodes) else 0
        end = start + _gossip.ROWS_PER_HEARTBEAT
        self._repair_rows[neighbour] = tuple(nodes[start:end])
        return end


def _make_place(peer: _membership_area.Peer) -> _membership_messages.Place:
    return _membership_messages.Place(
        address=peer.address, region=peer.region, failure_domain=peer.failure_domain
    )
