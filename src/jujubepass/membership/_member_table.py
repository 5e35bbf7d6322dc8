"""Table of the other nodes: merges what is heard, told and listed of them."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_messages
from jujubepass.membership import (
    _membership_area,
    _membership_messages,
    _neighbours,
    _rumours,
)
from jujubepass.nodes import _blackboard, _node_messages
from jujubepass.transport import _http_client

_State = _membership_area.PeerState
_ACCUSERS_NEEDED = 2
_FORGET_SECONDS = 60.0


@attrs.define(kw_only=True)
class MemberTable:
    """Change the membership area; keep what is to be told of the changes."""

    area: _membership_area.MembershipArea
    identity: _blackboard.Identity
    dead_seconds: float
    sequence: int = attrs.field(default=0, init=False)
    rumours: _rumours.Rumours = attrs.field(factory=_rumours.Rumours, init=False)
    _is_stale: bool = attrs.field(default=True, init=False)
    _digest: int = attrs.field(default=0, init=False)
    _offers: dict[ids.NodeId, tuple[ids.NodeId, ...]] = attrs.field(
        factory=dict, init=False
    )

    @property
    def place(self) -> _membership_messages.Place | None:
        """Return where this node stands."""
        if self.identity.address is None:
            return None
        return _membership_messages.Place(
            address=self.identity.address,
            region=self.identity.region,
            failure_domain=self.identity.failure_domain,
        )

    def describe_self(self, leaving: bool) -> _membership_messages.NodeRow:
        """Return the row of this node."""
        return _membership_messages.NodeRow(
            node=self.identity.node,
            incarnation=self.identity.incarnation,
            sequence=self.sequence,
            leaving=leaving,
            place=self.place,
        )

    def announce_self(self) -> None:
        """Have every neighbour told of this node."""
        self._note_change(self.identity.node)

    def _note_change(self, node: ids.NodeId, told_by: ids.NodeId | None = None) -> None:
        self._is_stale = True
        self.rumours.add(node, told_by)

    def compute_digest(self, leaving: bool) -> int:
        """Digest who lives, this node included."""
        if self._is_stale:
            self._digest = self.area.compute_digest()
        own = self.describe_self(leaving)
        return self._digest ^ _membership_area.hash_member(own)

    def join_list(
        self,
        listed: collections.abc.Mapping[ids.NodeId, _backend_messages.Vm],
        now: float,
    ) -> None:
        """Take over the platform's list, which lags: heartbeats weigh more."""
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
        peer = _membership_area.Peer(node=node, address=address, watched_since=now)
        self.area.peers[node] = peer
        return peer

    def hear(self, heartbeat: _membership_messages.Heartbeat, now: float) -> bool:
        """Take over a peer's own word; return whether it was believed."""
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
        self._believe(peer, heartbeat, leaving, now)
        return True

    def _is_superseded(
        self, peer: _membership_area.Peer, incarnation: str, now: float
    ) -> bool:
        forgotten = peer.state is _State.DEAD and now - peer.died_at > _FORGET_SECONDS
        return incarnation < peer.incarnation and not forgotten

    def _believe(
        self,
        peer: _membership_area.Peer,
        heartbeat: _membership_messages.Heartbeat,
        leaving: bool,
        now: float,
    ) -> None:
        was_member = peer.is_member
        restarted = peer.incarnation != heartbeat.incarnation
        newer = restarted or heartbeat.sequence > peer.sequence
        # A peer that was believed dead is told so, and refutes it everywhere.
        revived = peer.state is _State.DEAD
        if newer:
            peer.accusers = frozenset()
            peer.sequence = heartbeat.sequence
        peer.accusers -= {self.identity.node}
        peer.incarnation = heartbeat.incarnation
        peer.heard_at = now
        peer.state = _State.LEAVING if leaving else _State.ALIVE
        if newer or revived or was_member != peer.is_member:
            self._note_change(peer.node)

    def merge(
        self, row: _membership_messages.NodeRow, told_by: ids.NodeId, now: float
    ) -> None:
        """Take over what a peer says of a third node, unless it is older news."""
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
        known = (peer.incarnation, peer.sequence)
        told = (row.incarnation, row.sequence)
        if told < known:
            return
        if told > known:
            self._renew(peer, row)
        elif row.leaving and peer.state is not _State.LEAVING:
            peer.state = _State.LEAVING
        elif row.accusers <= peer.accusers:
            return
        self._note_change(row.node, told_by)
        peer.accusers |= row.accusers
        self._weigh_accusers(peer, now)

    def _refute(self, row: _membership_messages.NodeRow) -> None:
        mine = row.incarnation == self.identity.incarnation
        if mine and row.accusers and row.sequence >= self.sequence:
            self.sequence = row.sequence + 1
            self.area.refutations += 1
            self._note_change(self.identity.node)

    def _renew(
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

    def _weigh_accusers(self, peer: _membership_area.Peer, now: float) -> None:
        is_dead = peer.state is _State.DEAD
        judges = 1 + sum(
            other.is_member for other in self.area.peers.values() if other is not peer
        )
        enough = len(peer.accusers) >= min(_ACCUSERS_NEEDED, judges)
        alone_long = (
            self.identity.node in peer.accusers
            and now - peer.accused_at >= self.dead_seconds
        )
        if not is_dead and (enough or alone_long):
            peer.state = _State.DEAD
            peer.died_at = now
            self._is_stale = True

    def judge(self, now: float, suspect_seconds: float) -> list[_http_client.Address]:
        """Judge the silence of neighbours; return addresses that are gone for good."""
        if self._is_stale:
            self._choose_neighbours(now)
        for node in self.area.neighbours:
            peer = self.area.peers[node]
            if peer.state is not _State.DEAD:
                self._judge_silence(peer, now, suspect_seconds)
        gone = [
            peer
            for peer in self.area.peers.values()
            if peer.state is _State.DEAD
            and not peer.listed
            and now - peer.died_at > _FORGET_SECONDS
        ]
        for peer in gone:
            del self.area.peers[peer.node]
        if gone:
            self._choose_neighbours(now)
        return [peer.address for peer in gone]

    def _judge_silence(
        self, peer: _membership_area.Peer, now: float, suspect_seconds: float
    ) -> None:
        silence = now - max(peer.heard_at, peer.watched_since)
        if silence < suspect_seconds:
            return
        if peer.state is not _State.LEAVING:
            peer.state = _State.SUSPECT
        if silence < self.dead_seconds:
            return
        if self.identity.node not in peer.accusers:
            peer.accusers |= {self.identity.node}
            peer.accused_at = now
            self._note_change(peer.node)
        self._weigh_accusers(peer, now)

    def forget_silence(self, now: float) -> None:
        """Judge nobody for silence before now; withdraw this node's accusations."""
        for peer in self.area.peers.values():
            peer.watched_since = now
            if peer.state is not _State.DEAD:
                peer.accusers -= {self.identity.node}
            if peer.state in (_State.ALIVE, _State.SUSPECT):
                peer.state = _State.UNKNOWN

    def confirm_unknown(self) -> None:
        """Believe alive whom a peer with the same view believes alive."""
        for node, peer in self.area.peers.items():
            watched = node in self.area.neighbours
            if peer.state is _State.UNKNOWN and peer.incarnation and not watched:
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
        # The dead that are still listed are tried on, so that a partition heals.
        chosen |= self._choose_dead_to_try(len(members))
        for node in chosen - self.area.neighbours:
            self.area.peers[node].watched_since = now
        self.area.neighbours = chosen

    def _choose_dead_to_try(self, members: int) -> frozenset[ids.NodeId]:
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
        """Return the rows for one heartbeat: news first, then offered rows."""
        news = self.rumours.take(neighbour, self.area.neighbours)
        room = _rumours.ROWS_PER_HEARTBEAT - len(news)
        offered = self._offers.pop(neighbour, ())[:room]
        rows = [self._describe(node, leaving) for node in (*news, *offered)]
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
            accusers=frozenset(sorted(peer.accusers)[:_ACCUSERS_NEEDED]),
            place=None if peer.listed else _place_of(peer),
        )

    def offer_rows(self, neighbour: ids.NodeId, start: int) -> int:
        """Put the next rows in order before a neighbour; return where to go on."""
        nodes = sorted((*self.area.peers, self.identity.node))
        start = start if start < len(nodes) else 0
        end = start + _rumours.ROWS_PER_HEARTBEAT
        self._offers[neighbour] = tuple(nodes[start:end])
        return end


def _place_of(peer: _membership_area.Peer) -> _membership_messages.Place:
    return _membership_messages.Place(
        address=peer.address, region=peer.region, failure_domain=peer.failure_domain
    )
