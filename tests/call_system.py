"""Deterministic simulation of nodes and callers around the call controllers."""

import collections
import itertools

import attrs

from jujubepass.answers import _answer_messages
from jujubepass.backends import _backend_area, _backend_messages
from jujubepass.calls import _call_messages
from jujubepass.membership import _membership_area
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.storage import _store_messages
from tests import call_model

PAUSE_SECONDS = 0.25


class Counts(collections.Counter):
    """Counters that the controllers under test increment."""

    def count_retry(self, reason):
        self[reason.value] += 1

    def count_unknown_outcome(self, cause):
        self[f"unknown: {cause.value}"] += 1


class Node:
    """Simulated node; while it is paused, its steps are postponed."""

    def __init__(self, *, system, name, incarnation):
        self.system = system
        self.name = name
        self.alive = True
        self.paused_until = 0.0
        self.heartbeats_lost_until = 0.0
        self.disconnected_until = 0.0
        identity = _blackboard.Identity(
            node=name,
            incarnation=f"{name}-{incarnation}",
            region="r",
            failure_domain="a",
        )
        self.blackboard = _blackboard.Blackboard(identity=identity)
        self.blackboard.node.state = _node_messages.NodeState.READY
        self._list_services(system.services, system.capabilities)
        controllers = system.make_controllers(
            blackboard=self.blackboard, counters=system.counts
        )
        self.dispatcher = _dispatch.Dispatcher(
            controllers=controllers, pause_seconds=PAUSE_SECONDS
        )
        self.post(
            _call_messages.WallClockRead(
                seconds=call_model.WALL_START + system.world.now
            )
        )
        self._tick()

    def _list_services(self, services, capabilities):
        for name in services:
            vm = _backend_messages.Vm(
                name=name,
                role=_backend_messages.VmRole.SERVICE,
                address=call_model.ADDRESS,
                region="r",
                failure_domain="a",
                state=_backend_messages.VmState.LIVE,
                service=call_model.SERVICE,
                checks_fencing=capabilities.checks_fencing,
                answers_outcomes=capabilities.answers_outcomes,
            )
            backend = _backend_area.BackendServer(vm=vm)
            self.blackboard.backends.services[name] = backend

    def _tick(self):
        if self.alive:
            self.post(_node_messages.Tick())
            self.system.world.call_later(call_model.TICK_SECONDS, self._tick)

    def is_paused(self):
        return self.system.world.now < self.paused_until

    def run_when_awake(self, step, *arguments):
        """Run a step now or when the pause ends; a dead node drops it."""
        if not self.alive:
            return
        if self.is_paused():
            seconds_left = self.paused_until - self.system.world.now
            self.system.world.call_later(
                seconds_left, self.run_when_awake, step, *arguments
            )
        else:
            step(*arguments)

    def post(self, event):
        self.run_when_awake(self._dispatch, event)

    def _dispatch(self, event):
        commands = self.dispatcher.dispatch(event, self.system.world.now)
        for command in commands:
            self.system.crash_or_pause(self)
            self._start(command)

    def _start(self, command):
        if isinstance(command, _answer_messages.Refuse | _call_messages.AnswerCall):
            if self.alive:
                self.system.world.call_later(
                    0.001, self.system.receive_reply, command, self
                )
            return
        pause = self.system.world.random.uniform(0.0, 0.002)
        checked_early = self.system.world.random.random() < 0.3
        execute = self._execute if checked_early else self._check_and_execute
        if checked_early and not self._may_send(command):
            execute = self._check_and_execute
        self.system.world.call_later(pause, self.run_when_awake, execute, command)

    def _may_send(self, command):
        send_before = getattr(command, "send_before", float("inf"))
        return self.system.world.now < send_before

    def _check_and_execute(self, command):
        if self._may_send(command):
            self._execute(command)
            return
        unsent = _call_messages.CallUnsent(
            request=command.request, attempt=command.attempt, detail="window"
        )
        self.post(unsent)

    def _execute(self, command):
        table = self.system.table
        if self.system.world.now < self.disconnected_until:
            self._fail_disconnected(command)
        elif isinstance(command, _store_messages.Transact):
            table.transact(command, self.post)
        elif isinstance(command, _store_messages.ReadRows | _store_messages.ScanRows):
            table.read(command, self.post)
        elif isinstance(command, _call_messages.SendCall):
            self.system.services[command.backend].send(command, self.post)
        elif isinstance(command, _call_messages.AskOutcome):
            name = self.system.find_queried_backend(self, command)
            self.system.services[name].query_outcome(command, self.post)

    def _fail_disconnected(self, command):
        """Report a time-out for a command of a disconnected node."""
        names = {"detail": "cut off"}
        if isinstance(command, _call_messages.SendCall | _call_messages.AskOutcome):
            names |= {"request": command.request, "attempt": command.attempt}
        else:
            names["operation"] = command.operation
        event_type = {
            _call_messages.SendCall: _call_messages.CallUnclear,
            _call_messages.AskOutcome: _call_messages.OutcomeUntold,
            _store_messages.Transact: _store_messages.TransactionUnclear,
        }.get(type(command), _store_messages.ReadFailed)
        timeout = call_model.TABLE_TIMEOUT_SECONDS
        self.system.world.call_later(timeout, self.post, event_type(**names))


@attrs.define(kw_only=True)
class Request:
    """Request of a caller and its outcome."""

    name: str
    key: str
    node: str
    sent_at: float
    outcome: str = "none"
    answered_at: float = float("inf")
    body: str = ""


class System:
    """Nodes, services, table and callers of one simulated run."""

    def __init__(
        self,
        *,
        seed,
        capabilities,
        make_controllers,
        node_count=3,
        key_count=6,
        faulty=True,
    ):
        self.world = call_model.World(seed=seed)
        self.world.faulty = faulty
        self.capabilities = capabilities
        self.make_controllers = make_controllers
        self.counts = Counts()
        self.table = call_model.Table(world=self.world)
        self.services = {
            name: call_model.Service(world=self.world, capabilities=capabilities)
            for name in ("bookings-1", "bookings-2")
        }
        self.requests = {}
        self.nodes = {}
        self.incarnations = itertools.count()
        self.names = [f"n{index}" for index in range(node_count)]
        for name in self.names:
            self.start_node(name)
        self.last_heartbeats = {}
        self._send_heartbeats()
        for index in range(key_count):
            start = self.world.random.uniform(0.0, call_model.FAULT_SECONDS - 2.0)
            self.world.call_later(start, self._send_first_requests, f"k{index}")
        for _ in range(self.world.random.randint(1, 4) if faulty else 0):
            at = self.world.random.uniform(0.0, call_model.FAULT_SECONDS)
            self.world.call_later(at, self._inject_fault)

    def start_node(self, name):
        incarnation = next(self.incarnations)
        self.nodes[name] = Node(system=self, name=name, incarnation=incarnation)

    def find_queried_backend(self, node, command):
        """Return the queried backend server; all of them share one address."""
        for call in node.blackboard.calls.open.values():
            if call.attempt == command.attempt:
                return call.backend
        return "bookings-1"

    def _send_heartbeats(self):
        now = self.world.now
        for node in self.nodes.values():
            is_silenced = node.is_paused() or now < node.heartbeats_lost_until
            if node.alive and not is_silenced:
                self.last_heartbeats[node.name] = (
                    now,
                    node.blackboard.identity.incarnation,
                )
        for node in self.nodes.values():
            peers = node.blackboard.membership.peers
            for name, (heartbeat_at, incarnation) in self.last_heartbeats.items():
                if name == node.name:
                    continue
                states = _membership_area.PeerState
                dead = now - heartbeat_at > call_model.DEAD_SECONDS
                peers[name] = _membership_area.Peer(
                    node=name,
                    address=call_model.ADDRESS,
                    incarnation=incarnation,
                    state=states.DEAD if dead else states.ALIVE,
                )
        self.world.call_later(0.25, self._send_heartbeats)

    def crash_or_pause(self, node):
        """Kill or pause a node at random just before one of its commands."""
        if self.world.happens(0.006) and node.alive:
            self._kill(node)
        elif self.world.happens(0.008) and not node.is_paused():
            self._pause(node)

    def _kill(self, node):
        node.alive = False
        delay = self.world.random.uniform(0.5, 4.0)
        self.world.call_later(delay, self.start_node, node.name)

    def _pause(self, node):
        length = self.world.random.choice((0.3, 2.0, 4.5))
        node.paused_until = self.world.now + length

    def _inject_fault(self):
        draw = self.world.random.randrange(6)
        node = self.nodes[self.world.random.choice(self.names)]
        until = self.world.now + self.world.random.uniform(0.2, 2.5)
        if draw == 0:
            self.table.down_until = until
        elif draw == 1:
            service = self.world.random.choice(list(self.services.values()))
            service.down_until = until
        elif draw == 2 and node.alive:
            self._kill(node)
        elif draw == 3:
            node.heartbeats_lost_until = until + call_model.DEAD_SECONDS
        elif draw == 4:
            node.disconnected_until = until
        else:
            self._pause(node)

    def _send_first_requests(self, key):
        self.send_request(key)
        if self.world.random.random() < 0.3:
            self.send_request(key)

    def send_request(self, key, *, body="", node=None, account=call_model.ACCOUNT):
        """Send a request with a key to a live node."""
        up = [each for each in self.nodes.values() if each.alive]
        if not up:
            self.world.call_later(0.5, self.send_request, key)
            return None
        node = node or self.world.random.choice(up)
        name = f"r{len(self.requests)}"
        now = self.world.now
        request = Request(name=name, key=key, node=node.name, sent_at=now)
        self.requests[name] = request
        node.blackboard.limits.admitted[name] = call_model.ACCOUNT
        event = _call_messages.CallArrived(
            request=name,
            account=account,
            service=call_model.SERVICE,
            key=key,
            path="/visits",
            body=body,
            body_digest=f"digest of {body}",
            deadline=now + call_model.REQUEST_SECONDS,
        )
        node.post(event)
        self.world.call_later(call_model.REQUEST_SECONDS + 0.5, self._time_out, request)
        return request

    def _time_out(self, request):
        """Apply the caller's own time-out."""
        if request.outcome == "none":
            request.outcome = "gone"
            self._retry_request(request)

    def receive_reply(self, reply, node):
        request = self.requests[reply.request]
        if request.outcome != "none":
            return
        request.answered_at = self.world.now
        if isinstance(reply, _call_messages.AnswerCall):
            request.outcome = "done"
            request.body = reply.body
        elif reply.reason.code == "outcome_unknown":
            request.outcome = "unknown"
            self._retry_request(request)
        else:
            request.outcome = "not run"
            request.body = reply.reason.code
            if self.world.random.random() < 0.3:
                self._retry_request(request)

    def _retry_request(self, request):
        request_count = sum(each.key == request.key for each in self.requests.values())
        if request_count < 12:
            delay = self.world.random.uniform(0.1, 1.5)
            self.world.call_later(delay, self.send_request, request.key)

    def run(self):
        """Run with faults, then without faults until every call is resolved."""
        self.world.run_until(call_model.FAULT_SECONDS)
        self.world.faulty = False
        self.table.down_until = 0.0
        for node in self.nodes.values():
            node.disconnected_until = 0.0
        for service in self.services.values():
            service.down_until = 0.0
        self.world.run_until(call_model.FAULT_SECONDS + call_model.SETTLING_SECONDS)
        last = {request.key: request for request in self.requests.values()}
        for request in last.values():
            if request.outcome not in ("done", "not run"):
                self.send_request(request.key)
        self.world.run_until(self.world.now + call_model.REQUEST_SECONDS + 1.0)
        return self

    def list_runs(self, key):
        name = f"{call_model.ACCOUNT}:{key}"
        runs = []
        for service in self.services.values():
            runs += service.runs[name] + service.runs[key]
        return runs
