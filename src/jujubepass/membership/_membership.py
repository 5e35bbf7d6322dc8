"""Controller that merges the platform's list of nodes with heartbeats."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_messages
from jujubepass.membership import _member_table, _membership_messages, _neighbours
from jujubepass.nodes import _blackboard, _dispatch, _node_messages

_MAX_HEARTBEATS_PER_SECOND = 8.0
_CHECKS_PER_HEARTBEAT = 4.0
_HEARTBEATS_PER_PLACE = 8
_MISMATCHES_BEFORE_REPAIR = 8
_MAX_DEPARTURE_ROWS = 8
_DEPARTURE_RETENTION_SECONDS = 30.0


@attrs.frozen(kw_only=True)
class MembershipTiming:
    """Configure the heartbeat interval and the timeouts of failure detection."""

    heartbeat_seconds: float
    suspect_seconds: float
    dead_seconds: float


@attrs.define(kw_only=True)
class MembershipController:
    """Exchange heartbeats and update the membership area."""

    blackboard: _blackboard.Blackboard
    timing: MembershipTiming
    _table: _member_table.MemberTable = attrs.field(init=False)
    _sent_at: float = attrs.field(default=float("-inf"), init=False)
    _checked_at: float = attrs.field(default=float("-inf"), init=False)
    _heartbeat_count: int = attrs.field(default=0, init=False)
    _place_sent_at: dict[ids.NodeId, int] = attrs.field(factory=dict, init=False)
    _mismatches: dict[ids.NodeId, int] = attrs.field(factory=dict, init=False)
    _repair_positions: dict[ids.NodeId, int] = attrs.field(factory=dict, init=False)

    @_table.default
    def _make_table(self) -> _member_table.MemberTable:
        return _member_table.MemberTable(
            area=self.blackboard.membership,
            identity=self.blackboard.identity,
            dead_seconds=self.timing.dead_seconds,
        )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.handle_tick,
            _node_messages.PauseDetected: self.reset_detection,
            _node_messages.StopRequested: self.announce_leaving,
            _backend_messages.VmsListed: self.apply_vm_list,
            _membership_messages.HeartbeatReceived: self.apply_heartbeat,
        }

    def handle_tick(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterator[_dispatch.Command]:
        """Detect failed neighbours and send the heartbeats that are due."""
        period = self.timing.heartbeat_seconds
        if now - self._checked_at >= period / _CHECKS_PER_HEARTBEAT:
            self._checked_at = now
            yield from self._detect_failures(now)
        area = self.blackboard.membership
        if len(area.peers) >= _neighbours.FULL_MESH_NODES:
            period = max(period, len(area.neighbours) / _MAX_HEARTBEATS_PER_SECOND)
        if now - self._sent_at >= period:
            yield from self._send(now)

    def _detect_failures(
        self, now: float
    ) -> collections.abc.Iterator[_dispatch.Command]:
        for address in self._table.detect_failures(now, self.timing.suspect_seconds):
            yield _membership_messages.ForgetPeer(address=address)

    def _send(self, now: float) -> collections.abc.Iterator[_dispatch.Command]:
        self._sent_at = now
        self._heartbeat_count += 1
        area = self.blackboard.membership
        leaving = _node_messages.is_leaving(self.blackboard.node.state)
        digest = self._table.compute_digest(leaving)
        departures = self._list_departures(now)
        for node in sorted(area.neighbours):
            peer = area.peers[node]
            yield _membership_messages.SendHeartbeat(
                peer=node,
                address=peer.address,
                heartbeat=self._describe(node, leaving, digest, departures),
            )

    def _describe(
        self,
        neighbour: ids.NodeId,
        leaving: bool,
        digest: int,
        departures: tuple[_membership_messages.DepartureRow, ...],
    ) -> _membership_messages.Heartbeat:
        identity = self.blackboard.identity
        configuration = self.blackboard.configuration
        return _membership_messages.Heartbeat(
            node=identity.node,
            incarnation=identity.incarnation,
            state=self.blackboard.node.state,
            configuration_number=configuration.number,
            configuration_digest=configuration.digest,
            sequence=self._table.sequence,
            members_digest=digest,
            place=self._choose_place(neighbour),
            nodes=self._table.list_rows(neighbour, leaving),
            departures=departures,
        )

    def _choose_place(self, neighbour: ids.NodeId) -> _membership_messages.Place | None:
        """Return this node's place if a heartbeat to a neighbour has to contain it."""
        sent_at = self._place_sent_at.get(neighbour)
        if (
            sent_at is not None
            and self._heartbeat_count - sent_at < _HEARTBEATS_PER_PLACE
        ):
            return None
        self._place_sent_at[neighbour] = self._heartbeat_count
        return self._table.place

    def _list_departures(
        self, now: float
    ) -> tuple[_membership_messages.DepartureRow, ...]:
        departures = self.blackboard.departures.list_self_reported(
            now - _DEPARTURE_RETENTION_SECONDS
        )
        return tuple(
            _membership_messages.DepartureRow(
                backend=departure.backend,
                incarnation=departure.incarnation,
                age_seconds=round(now - departure.since, 2),
            )
            for departure in departures[:_MAX_DEPARTURE_ROWS]
        )

    def announce_leaving(
        self, event: _node_messages.StopRequested, now: float
    ) -> collections.abc.Iterator[_dispatch.Command]:
        """Notify the neighbours at once that this node is leaving."""
        self._table.announce_self()
        yield from self._send(now)

    def reset_detection(
        self, event: _node_messages.PauseDetected, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Restart failure detection; this process was paused and read no heartbeats."""
        self._table.reset_detection(now)
        self._sent_at = float("-inf")
        return ()

    def apply_vm_list(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Apply the platform's list of nodes."""
        listed = {
            ids.NodeId(vm.name): vm
            for vm in event.vms
            if vm.role is _backend_messages.VmRole.NODE
        }
        self._table.apply_vm_list(listed, now)
        return ()

    def apply_heartbeat(
        self, event: _membership_messages.HeartbeatReceived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Apply a peer's heartbeat and its rows about other nodes."""
        heartbeat = event.heartbeat
        if not self._table.apply_heartbeat(heartbeat, now):
            return ()
        for row in heartbeat.nodes:
            self._table.merge_row(row, heartbeat.node, now)
        self._compare_digest(heartbeat)
        return ()

    def _compare_digest(self, heartbeat: _membership_messages.Heartbeat) -> None:
        """Queue repair rows for a neighbour while its digest differs."""
        node = heartbeat.node
        leaving = _node_messages.is_leaving(self.blackboard.node.state)
        if heartbeat.members_digest == self._table.compute_digest(leaving):
            self._mismatches.pop(node, None)
            self._table.mark_unknown_alive()
            return
        self._mismatches[node] = self._mismatches.get(node, 0) + 1
        if self._mismatches[node] >= _MISMATCHES_BEFORE_REPAIR:
            start = self._repair_positions.get(node, 0)
            self._repair_positions[node] = self._table.queue_repair_rows(node, start)
