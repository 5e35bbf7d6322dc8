"""Controller that joins the platform's node list with heartbeats."""

import collections.abc

import attrs

from jujubepass import (
    _backend_messages,
    _blackboard,
    _dispatch,
    _membership_area,
    _membership_messages,
    _node_messages,
    ids,
)


@attrs.frozen(kw_only=True)
class MembershipTiming:
    """Set how often heartbeats go out and when silence counts."""

    heartbeat_seconds: float
    suspect_seconds: float
    dead_seconds: float


@attrs.define(kw_only=True)
class MembershipController:
    """Write the membership area."""

    blackboard: _blackboard.Blackboard
    timing: MembershipTiming
    _sent_at: float = attrs.field(default=float("-inf"), init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.beat,
            _backend_messages.VmsListed: self.join_list,
            _membership_messages.HeartbeatReceived: self.keep_heartbeat,
        }

    def beat(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterator[_dispatch.Command]:
        """Send heartbeats that are due and judge silence."""
        for peer in self.blackboard.membership.peers.values():
            self._judge(peer, now)
        if now - self._sent_at < self.timing.heartbeat_seconds:
            return
        self._sent_at = now
        for peer in self.blackboard.membership.peers.values():
            yield _membership_messages.SendHeartbeat(
                peer=peer.node,
                address=peer.address,
                heartbeat=self._describe(),
            )

    def _judge(self, peer: _membership_area.Peer, now: float) -> None:
        silence = now - peer.heard_at
        if peer.state is _membership_area.PeerState.LEAVING:
            return
        if silence >= self.timing.dead_seconds:
            peer.state = _membership_area.PeerState.DEAD
        elif silence >= self.timing.suspect_seconds:
            peer.state = _membership_area.PeerState.SUSPECT

    def _describe(self) -> _membership_messages.Heartbeat:
        identity = self.blackboard.identity
        configuration = self.blackboard.configuration
        return _membership_messages.Heartbeat(
            node=identity.node,
            incarnation=identity.incarnation,
            state=self.blackboard.node.state,
            configuration_number=configuration.number,
            configuration_digest=configuration.digest,
        )

    def join_list(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over the platform's list of nodes."""
        peers = self.blackboard.membership.peers
        listed = {
            ids.NodeId(vm.name): vm
            for vm in event.vms
            if vm.role is _backend_messages.VmRole.NODE
        }
        listed.pop(self.blackboard.identity.node, None)
        for name in [name for name in peers if name not in listed]:
            del peers[name]
        for name, vm in listed.items():
            peer = peers.get(name)
            if peer is None or peer.address != vm.address:
                peers[name] = _membership_area.Peer(
                    node=name, address=vm.address, heard_at=now
                )
        return ()

    def keep_heartbeat(
        self, event: _membership_messages.HeartbeatReceived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over what a peer says of itself."""
        heartbeat = event.heartbeat
        peer = self.blackboard.membership.peers.get(heartbeat.node)
        if peer is None:
            return ()
        peer.heard_at = now
        peer.incarnation = heartbeat.incarnation
        peer.configuration_number = heartbeat.configuration_number
        peer.configuration_digest = heartbeat.configuration_digest
        leaving = heartbeat.state is _node_messages.NodeState.STOPPING
        peer.state = (
            _membership_area.PeerState.LEAVING
            if leaving
            else _membership_area.PeerState.ALIVE
        )
        return ()
