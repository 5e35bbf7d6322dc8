"""Network of membership controllers in one process, with an injected clock."""

import random

from jujubepass import ids
from jujubepass.backends import _backend_messages
from jujubepass.membership import _membership, _membership_area, _membership_messages
from jujubepass.nodes import _blackboard, _dispatch, _node_messages, _node_state
from jujubepass.transport import _http_client, _peer_codec

TICK_SECONDS = 0.125
PAUSE_SECONDS = 1.0
FRAME_BYTES = 4
FIRST = "019a00000000aaaaaaaa"
SECOND = "019a00000001aaaaaaaa"
TIMING = _membership.MembershipTiming(
    heartbeat_seconds=0.5, suspect_seconds=2.0, dead_seconds=5.0
)


class Network:
    """Deliver heartbeats one tick later, and inject faults of nodes and links."""

    def __init__(self, *, nodes, regions=1, domains=3, seed=0, loss=0.0, sampled=0):
        self.random = random.Random(seed)
        self.loss = loss
        self.sampled = sampled
        self.now = 1000.0
        self.dispatchers = {}
        self.boards = {}
        self.paused = set()
        self.cuts = set()
        self.pending = []
        self.sent_bytes = 0
        self.sent_messages = 0
        self.vms = {}
        for index in range(nodes):
            domain = index % domains
            name = f"node-{index}"
            self.vms[name] = _backend_messages.Vm(
                name=name,
                role=_backend_messages.VmRole.NODE,
                address=_http_client.Address(host="10.0.0.1", port=1000 + index),
                region=ids.RegionId(f"region-{domain % regions}"),
                failure_domain=ids.FailureDomainId(f"domain-{domain}"),
                state=_backend_messages.VmState.LIVE,
            )
        self.names = {vm.address: name for name, vm in self.vms.items()}

    def start(self, name, incarnation=FIRST, listed=None, acquainted=False):
        vm = self.vms[name]
        identity = _blackboard.Identity(
            node=ids.NodeId(name),
            incarnation=incarnation,
            region=vm.region,
            failure_domain=vm.failure_domain,
            address=vm.address,
        )
        board = _blackboard.Blackboard(identity=identity)
        board.node.state = _node_messages.NodeState.READY
        self.boards[name] = board
        controllers = [
            _node_state.NodeController(blackboard=board),
            _membership.MembershipController(blackboard=board, timing=TIMING),
        ]
        self.dispatchers[name] = _dispatch.Dispatcher(
            controllers=controllers, pause_seconds=PAUSE_SECONDS
        )
        if acquainted:
            self._acquaint(board)
        self.list_vms(name, self.vms if listed is None else listed)

    def start_all(self, acquainted=False):
        for name in self.vms:
            self.start(name, acquainted=acquainted)

    def _acquaint(self, board):
        """Add the other nodes as alive peers, as after a long run."""
        for name, vm in self.vms.items():
            if name != board.identity.node:
                board.membership.peers[name] = _membership_area.Peer(
                    node=ids.NodeId(name),
                    address=vm.address,
                    incarnation=FIRST,
                    state=_membership_area.PeerState.ALIVE,
                    monitored_since=self.now,
                )

    def list_vms(self, name, listed):
        vms = tuple(self.vms[each] for each in listed)
        self.post(name, _backend_messages.VmsListed(vms=vms, age_seconds=0.0))

    def kill(self, name):
        del self.dispatchers[name]

    def cut(self, first, second):
        self.cuts |= {(first, second), (second, first)}

    def post(self, name, event):
        commands = self.dispatchers[name].dispatch(event, self.now)
        for command in commands:
            if isinstance(command, _membership_messages.SendHeartbeat):
                self._send(name, command)
        return commands

    def _send(self, sender, command):
        receiver = self.names[command.address]
        event = _membership_messages.HeartbeatReceived(heartbeat=command.heartbeat)
        self.sent_messages += 1
        if self.sampled and self.sent_messages % self.sampled == 0:
            data = _peer_codec.encode_command(command)
            self.sent_bytes += self.sampled * (len(data) + FRAME_BYTES)
            event = _peer_codec.decode_event(data)
        if (sender, receiver) in self.cuts or self.random.random() < self.loss:
            return
        self.pending.append((receiver, event))

    def step(self):
        self.now += TICK_SECONDS
        arrived, self.pending = self.pending, []
        deferred = []
        for receiver, event in arrived:
            if receiver in self.paused:
                deferred.append((receiver, event))
            elif receiver in self.dispatchers:
                self.post(receiver, event)
        self.pending += deferred
        for name in list(self.dispatchers):
            if name not in self.paused:
                self.post(name, _node_messages.Tick())

    def run(self, seconds):
        for _ in range(round(seconds / TICK_SECONDS)):
            self.step()

    def run_until(self, condition, limit):
        start = self.now
        while not condition():
            if self.now - start > limit:
                return None
            self.step()
        return self.now - start

    def see(self, viewer, name):
        return self.boards[viewer].membership.peers[name].state

    def agree(self, states, name):
        """Return whether all other running nodes have `name` in one of the states."""
        return all(
            self.see(viewer, name) in states
            for viewer in self.dispatchers
            if viewer != name
        )
