"""Controller that joins the platform's node list with heartbeats."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_messages
from jujubepass.membership import _member_table, _membership_messages, _neighbours
from jujubepass.nodes import _blackboard, _dispatch, _node_messages

_HEARTBEATS_PER_SECOND = 8.0
_JUDGEMENTS_PER_HEARTBEAT = 4.0
_HEARTBEATS_PER_PLACE = 8
_HEARTBEATS_BEFORE_REPAIR = 8
_DEPARTURE_ROWS = 8
_DEPARTURE_ROW_SECONDS = 30.0


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
    _table: _member_table.MemberTable = attrs.field(init=False)
    _sent_at: float = attrs.field(default=float("-inf"), init=False)
    _judged_at: float = attrs.field(default=float("-inf"), init=False)
    _beats: int = attrs.field(default=0, init=False)
    _place_told: dict[ids.NodeId, int] = attrs.field(factory=dict, init=False)
    _mismatches: dict[ids.NodeId, int] = attrs.field(factory=dict, init=False)
    _repaired_up_to: dict[ids.NodeId, int] = attrs.field(factory=dict, init=False)

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
            _node_messages.Tick: self.beat,
            _node_messages.PauseDetected: self.forget_silence,
            _node_messages.StopRequested: self.announce_leaving,
            _backend_messages.VmsListed: self.join_list,
            _membership_messages.HeartbeatReceived: self.keep_heartbeat,
        }

    def beat(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterator[_dispatch.Command]:
        """Judge silence and send the heartbeats that are due."""
        period = self.timing.heartbeat_seconds
        if now - self._judged_at >= period / _JUDGEMENTS_PER_HEARTBEAT:
            self._judged_at = now
            yield from self._judge(now)
        area = self.blackboard.membership
        if len(area.peers) >= _neighbours.FULL_MESH_NODES:
            period = max(period, len(area.neighbours) / _HEARTBEATS_PER_SECOND)
        if now - self._sent_at >= period:
            yield from self._send(now)

    def _judge(self, now: float) -> collections.abc.Iterator[_dispatch.Command]:
        for address in self._table.judge(now, self.timing.suspect_seconds):
            yield _membership_messages.ForgetPeer(address=address)

    def _send(self, now: float) -> collections.abc.Iterator[_dispatch.Command]:
        self._sent_at = now
        self._beats += 1
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
            place=self._take_place(neighbour),
            nodes=self._table.list_rows(neighbour, leaving),
            departures=departures,
        )

    def _take_place(self, neighbour: ids.NodeId) -> _membership_messages.Place | None:
        """Return this node's place for the first heartbeat and some later ones."""
        told_at = self._place_told.get(neighbour)
        if told_at is not None and self._beats - told_at < _HEARTBEATS_PER_PLACE:
            return None
        self._place_told[neighbour] = self._beats
        return self._table.place

    def _list_departures(
        self, now: float
    ) -> tuple[_membership_messages.DepartureRow, ...]:
        news = self.blackboard.departures.list_own_word(now - _DEPARTURE_ROW_SECONDS)
        return tuple(
            _membership_messages.DepartureRow(
                backend=departure.backend,
                incarnation=departure.incarnation,
                age_seconds=round(now - departure.since, 2),
            )
            for departure in news[:_DEPARTURE_ROWS]
        )

    def announce_leaving(
        self, event: _node_messages.StopRequested, now: float
    ) -> collections.abc.Iterator[_dispatch.Command]:
        """Tell neighbours at once that this node leaves."""
        self._table.announce_self()
        yield from self._send(now)

    def forget_silence(
        self, event: _node_messages.PauseDetected, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Hold nothing against peers for the time that this process did not run."""
        self._table.forget_silence(now)
        self._sent_at = float("-inf")
        return ()

    def join_list(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over the platform's list of nodes."""
        listed = {
            ids.NodeId(vm.name): vm
            for vm in event.vms
            if vm.role is _backend_messages.VmRole.NODE
        }
        self._table.join_list(listed, now)
        return ()

    def keep_heartbeat(
        self, event: _membership_messages.HeartbeatReceived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over what a peer says of itself and of others."""
        heartbeat = event.heartbeat
        if not self._table.hear(heartbeat, now):
            return ()
        for row in heartbeat.nodes:
            self._table.merge(row, heartbeat.node, now)
        self._compare(heartbeat)
        return ()

    def _compare(self, heartbeat: _membership_messages.Heartbeat) -> None:
        """Send a neighbour rows, some at a time, while its view stays different."""
        node = heartbeat.node
        leaving = _node_messages.is_leaving(self.blackboard.node.state)
        if heartbeat.members_digest == self._table.compute_digest(leaving):
            self._mismatches.pop(node, None)
            self._table.confirm_unknown()
            return
        self._mismatches[node] = self._mismatches.get(node, 0) + 1
        if self._mismatches[node] >= _HEARTBEATS_BEFORE_REPAIR:
            start = self._repaired_up_to.get(node, 0)
            self._repaired_up_to[node] = self._table.offer_rows(node, start)
