"""Configuration controllers of several nodes with a store, links and one clock."""

import collections
import heapq
import itertools
import random

from jujubepass.backends import _backend_messages
from jujubepass.configuration import (
    _configuration,
    _configuration_installer,
    _configuration_messages,
    _configuration_peers,
    _configuration_proposals,
    _configuration_snapshots,
)
from jujubepass.membership import _membership_area, _membership_messages
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.storage import _object_messages, _store_messages
from jujubepass.transport import _http_client
from standins import table
from tests import configuration_links, configuration_store

STEP_SECONDS = 0.05
HEARTBEAT_SECONDS = 0.5
TABLE_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 2.0
SNAPSHOT_CHANGES = 5
MAX_RECENT_CHANGES = 3
FINAL_STATUSES = {409, 422}
"""Statuses of a change that is not applied and never will be."""
UNWRITTEN_STATUS = 503
"""Status of a node that wrote nothing; another node may have written the change."""

PeerCommand = (
    _configuration_messages.PushChanges,
    _configuration_messages.ConfirmChanges,
    _configuration_messages.AskChanges,
    _configuration_messages.AskPage,
    _configuration_messages.SendPage,
)
VERDICTS = (
    _configuration_messages.ChangeAccepted,
    _configuration_messages.ChangeRefused,
)
POSTED = (
    _configuration_messages.ChangeCommitted,
    _configuration_messages.ConfigurationInstalled,
)


class Node:
    """Run one process with its blackboard and its controllers."""

    def __init__(self, *, fleet, name, index):
        self.fleet, self.name, self.index = fleet, name, index
        self.address = _http_client.Address(host="127.0.0.1", port=1 + index)
        self.domain = f"d{index % 3}"
        self.alive = False
        self.paused = False
        self.cut = False
        self.muted = False
        self.incarnation = 0
        self.pending_events = []
        self.reached = 0

    def start(self):
        """Start a new process."""
        self.alive, self.paused, self.pending_events = True, False, []
        self.incarnation += 1
        self.highest = 0
        identity = _blackboard.Identity(
            node=self.name,
            incarnation=f"{self.name}/{self.incarnation}",
            region="r",
            failure_domain=self.domain,
        )
        self.board = _blackboard.Blackboard(identity=identity)
        self.board.configuration.recent = collections.deque(maxlen=MAX_RECENT_CHANGES)
        self.dispatcher = _dispatch.Dispatcher(controllers=self._make_controllers())
        self.fleet.schedule(self, STEP_SECONDS, self.fleet.list_vms())

    def _make_controllers(self):
        board = self.board
        installer = self.fleet.installer(area=board.configuration)
        return [
            _configuration.ConfigurationController(
                blackboard=board, installer=installer, poll_seconds=POLL_SECONDS
            ),
            self.fleet.proposals(blackboard=board, installer=installer),
            _configuration_snapshots.SnapshotController(
                blackboard=board,
                changes_per_snapshot=SNAPSHOT_CHANGES,
                kept_changes=MAX_RECENT_CHANGES,
            ),
            _configuration_peers.PeerConfigurationController(
                blackboard=board, installer=installer, address=self.address
            ),
        ]

    @property
    def area(self):
        """Return the configuration area."""
        return self.board.configuration

    def handle(self, event):
        """Dispatch an event and execute the resulting commands."""
        events = [event]
        while events:
            commands = self.dispatcher.dispatch(events.pop(0), self.fleet.now)
            self.fleet.check(self)
            self.fleet.check_confirmed(self)
            for command in commands:
                if isinstance(command, POSTED):
                    events.append(command)
                else:
                    self.fleet.execute(self, command)


class Fleet:
    """Run nodes against a store under faults and check the invariants."""

    def __init__(
        self,
        *,
        count=3,
        neighbours=None,
        installer=_configuration_installer.Installer,
        proposals=_configuration_proposals.ProposalController,
    ):
        self.installer, self.proposals = installer, proposals
        self.neighbours = neighbours or count
        self.now = 0.0
        self.random = random.Random(1)
        self.store = configuration_store.Store()
        self.queue = []
        self.sequence = itertools.count()
        self.digests = {0: "0" * 32}
        self.verdicts = {}
        self.proposed = {}
        self.proposal_counts = collections.Counter()
        self.lost_messages = 0
        self.heartbeats_sent_at = 0.0
        names = [f"n{index}" for index in range(count)]
        self.nodes = [
            Node(fleet=self, name=name, index=index) for index, name in enumerate(names)
        ]
        for node in self.nodes:
            node.start()

    def list_vms(self):
        """Return the platform's list of nodes as an event."""
        return _backend_messages.VmsListed(
            vms=tuple(
                _backend_messages.Vm(
                    name=node.name,
                    role=_backend_messages.VmRole.NODE,
                    address=node.address,
                    region="r",
                    failure_domain=node.domain,
                    state=_backend_messages.VmState.LIVE,
                )
                for node in self.nodes
            ),
            age_seconds=0.0,
        )

    def schedule(self, node, delay, event):
        """Deliver an event to a node's current process after a delay."""
        item = (self.now + delay, next(self.sequence), node, node.incarnation, event)
        heapq.heappush(self.queue, item)

    def run(self, seconds):
        """Advance the clock."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            while self.queue and self.queue[0][0] <= self.now:
                _, _, node, incarnation, event = heapq.heappop(self.queue)
                if callable(event):
                    event()
                elif node.alive and node.incarnation == incarnation:
                    self._deliver(node, event)
            self._send_heartbeats()
            for node in self.nodes:
                if node.alive and not node.paused:
                    node.handle(_node_messages.Tick())

    def _deliver(self, node, event):
        if node.paused:
            node.pending_events.append(event)
        else:
            node.handle(event)

    def resume(self, node):
        """Resume a paused process and deliver its pending events."""
        node.paused = False
        pending_events, node.pending_events = node.pending_events, []
        for event in pending_events:
            node.handle(event)

    def _send_heartbeats(self):
        if self.now - self.heartbeats_sent_at < HEARTBEAT_SECONDS:
            return
        self.heartbeats_sent_at = self.now
        for sender, receiver in itertools.permutations(self.nodes, 2):
            if not sender.alive or not receiver.alive:
                continue
            peers = receiver.board.membership.peers
            peer = peers.get(sender.name)
            if peer is None:
                peer = peers[sender.name] = _membership_area.Peer(
                    node=sender.name, address=sender.address
                )
            if sender.paused or sender.muted or sender.cut or receiver.cut:
                continue
            peer.state = _membership_area.PeerState.ALIVE
            if abs(sender.index - receiver.index) > self.neighbours:
                continue
            ready = sender.area.caught_up
            states = _node_messages.NodeState
            heartbeat = _membership_messages.Heartbeat(
                node=sender.name,
                incarnation=str(sender.incarnation),
                state=states.READY if ready else states.STARTING,
                configuration_number=sender.area.number,
                configuration_digest=sender.area.digest,
            )
            event = _membership_messages.HeartbeatReceived(heartbeat=heartbeat)
            self.schedule(receiver, STEP_SECONDS, event)

    def execute(self, node, command):
        """Execute a command."""
        if isinstance(command, PeerCommand):
            self._send(node, command)
        elif isinstance(command, VERDICTS):
            self.record_verdict(command.change, command)
        elif isinstance(command, _store_messages.Transact):
            self._transact(node, command)
        elif isinstance(command, _store_messages.ReadRows):
            self._read(node, command)
        elif isinstance(command, _store_messages.ScanRows):
            self._scan(node, command)
        else:
            self._use_object(node, command)

    def record_verdict(self, change, verdict):
        """Record the verdict on a change; an acceptance must not be contradicted."""
        previous = self.verdicts.get(change)
        if not isinstance(previous, _configuration_messages.ChangeAccepted):
            self.verdicts[change] = verdict
        elif isinstance(verdict, _configuration_messages.ChangeAccepted):
            assert verdict.number == previous.number, (previous, verdict)
        else:
            assert verdict.status not in FINAL_STATUSES, (previous, verdict)

    def _send(self, node, command):
        peer = next(each for each in self.nodes if each.name == command.peer)
        if node.muted or node.cut or peer.cut or not peer.alive:
            return
        if self.lost_messages:
            self.lost_messages -= 1
            return
        self.schedule(peer, STEP_SECONDS, configuration_links.make_event(node, command))

    def _is_unreachable(self, node):
        return self.store.down or node.cut

    def _transact(self, node, command):
        store, operation = self.store, command.operation
        unclear = _store_messages.TransactionUnclear(operation=operation, detail="")
        if self._is_unreachable(node):
            unsent = _store_messages.TransactionUnsent(operation=operation, detail="")
            self.schedule(node, STEP_SECONDS, unsent)
        elif store.lost_writes:
            store.lost_writes -= 1
            self.schedule(node, TABLE_TIMEOUT_SECONDS, unclear)
        elif store.delayed_writes:
            store.delayed_writes -= 1
            self.schedule(node, TABLE_TIMEOUT_SECONDS, unclear)
            delay = TABLE_TIMEOUT_SECONDS + self.random.uniform(0.0, 1.0)
            self.schedule(node, delay, lambda: store.transact(command))
        else:
            conflicts, versions = store.transact(command)
            answer = configuration_store.make_outcome(operation, conflicts, versions)
            if store.lost_answers:
                store.lost_answers -= 1
                self.schedule(node, TABLE_TIMEOUT_SECONDS, unclear)
            else:
                self.schedule(node, STEP_SECONDS, answer)

    def _read(self, node, command):
        if self._is_unreachable(node):
            event = _store_messages.ReadFailed(operation=command.operation, detail="")
        else:
            assert len(command.keys) <= table.MAX_TRANSACTION_ROWS
            rows = self.store.read(command.keys)
            event = configuration_store.make_rows(command.operation, rows)
        self.schedule(node, STEP_SECONDS, event)

    def _scan(self, node, command):
        rows, more = self.store.table.scan(command.prefix, command.after, command.limit)
        by_key = {row["key"]: row for row in rows}
        event = configuration_store.make_rows(command.operation, by_key, more)
        self.schedule(node, STEP_SECONDS, event)

    def _use_object(self, node, command):
        operation, objects = command.operation, self.store.objects
        event = _object_messages.ObjectFailed(operation=operation, detail="")
        if self._is_unreachable(node) or self.store.objects_down:
            pass
        elif isinstance(command, _object_messages.PutObject):
            objects[command.name] = command.data
            event = _object_messages.ObjectWritten(operation=operation)
        elif isinstance(command, _object_messages.DeleteObject):
            objects.pop(command.name, None)
            event = _object_messages.ObjectDeleted(operation=operation)
        elif command.name in objects:
            data = objects[command.name]
            event = _object_messages.ObjectRead(operation=operation, data=data)
        self.schedule(node, STEP_SECONDS, event)

    def propose(self, node, change, sections, base=None):
        """Propose a change at a node, or a known one again by its id."""
        base = node.area.number if base is None else base
        self.proposed.setdefault(change, (base, sections))
        self.proposal_counts[change] += 1
        base, sections = self.proposed[change]
        event = _configuration_messages.ChangeProposed(
            change=change, base=base, author=f"operator of {change}", sections=sections
        )
        self._deliver(node, event)

    def check(self, node):
        """Check that numbers never decrease and that each has one digest."""
        area = node.area
        assert area.number >= node.highest, (
            f"{node.name} went back from {node.highest} to {area.number}"
        )
        node.highest = area.number
        node.reached = max(node.reached, area.number)
        digest = self.digests.setdefault(area.number, area.digest)
        assert digest == area.digest, f"number {area.number} has two digests"

    def check_confirmed(self, node):
        """Check that no confirmed number is above what the peer has reached."""
        for peer in self.nodes if node.area.confirmed else ():
            confirmed = node.area.confirmed.get(peer.name, 0)
            assert confirmed <= peer.reached, f"{peer.name} confirmed too early"

    def heal(self, seconds=20.0):
        """End every fault, start and resume all nodes and advance the clock."""
        store = self.store
        store.down = False
        store.stale_reads = store.lost_answers = 0
        store.lost_writes = store.delayed_writes = self.lost_messages = 0
        for node in self.nodes:
            node.cut = False
            if not node.alive:
                node.start()
            if node.paused:
                self.resume(node)
        self.run(seconds)

    def _is_unwritten(self, change, verdict):
        return verdict.status == UNWRITTEN_STATUS and self.proposal_counts[change] == 1

    def check_end(self):
        """Check that exactly the accepted changes are in force on all nodes."""
        log = self.store.log
        head = max(log, default=0)
        assert sorted(log) == list(range(1, head + 1)), log
        for node in self.nodes:
            assert node.area.caught_up, node.name
            assert node.area.number == head, (node.name, node.area.number, head)
        first = self.nodes[0].area
        for node in self.nodes:
            assert node.area.digest == first.digest
            assert node.area.sections == first.sections
        for change, verdict in self.verdicts.items():
            if isinstance(verdict, _configuration_messages.ChangeAccepted):
                empty = verdict.number == self.proposed[change][0]
                assert empty or log[verdict.number] == change, (change, verdict)
            elif verdict.status in FINAL_STATUSES or self._is_unwritten(
                change, verdict
            ):
                assert change not in log.values(), (change, verdict)
