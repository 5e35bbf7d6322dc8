"""Deterministic model of nodes and callers around the call controllers."""

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
    """Count what controllers count."""

    def count_retry(self, reason):
        self[reason.value] += 1

    def count_unknown(self, cause):
        self[f"unknown: {cause.value}"] += 1


class Node:
    """Run controllers; a paused node does later what it was about to do."""

    def __init__(self, *, system, name, incarnation):
        self.system = system
        self.name = name
        self.alive = True
        self.paused_until = 0.0
        self.unheard_until = 0.0
        self.cut_until = 0.0
        identity = _blackboard.Identity(
            node=name,
            incarnation=f"{name}-{incarnation}",
            region="r",
            failure_domain="a",
        )
        self.blackboard = _blackboard.Blackboard(identity=identity)
        self.blackboard.node.state = _node_messages.NodeState.READY
        self._list_services(system.services, system.kind)
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

    def _list_services(self, services, kind):
        for name in services:
            vm = _backend_messages.Vm(
                name=name,
                role=_backend_messages.VmRole.SERVICE,
                address=call_model.ADDRESS,
                region="r",
                failure_domain="a",
                state=_backend_messages.VmState.LIVE,
                service=call_model.SERVICE,
                checks_fencing=kind.checks_fencing,
                answers_outcomes=kind.answers_outcomes,
            )
            backend = _backend_area.BackendServer(vm=vm)
            self.blackboard.backends.services[name] = backend

    def _tick(self):
        if self.alive:
            self.post(_node_messages.Tick())
            self.system.world.after(call_model.TICK_SECONDS, self._tick)

    def is_paused(self):
        return self.system.world.now < self.paused_until

    def run_or_wait(self, step, *arguments):
        """Do a step now, or when the node goes on; a dead node does nothing."""
        if not self.alive:
            return
        if self.is_paused():
            left = self.paused_until - self.system.world.now
            self.system.world.after(left, self.run_or_wait, step, *arguments)
        else:
            step(*arguments)

    def post(self, event):
        self.run_or_wait(self._dispatch, event)

    def _dispatch(self, event):
        commands = self.dispatcher.dispatch(event, self.system.world.now)
        for command in commands:
            self.system.crash_or_pause_at(self)
            self._start(command)

    def _start(self, command):
        if isinstance(command, _answer_messages.Refuse | _call_messages.AnswerCall):
            if self.alive:
                self.system.world.after(0.001, self.system.take_reply, command, self)
            return
        pause = self.system.world.random.uniform(0.0, 0.002)
        checked_early = self.system.world.random.random() < 0.3
        late = self._execute if checked_early else self._check_and_execute
        if checked_early and not self._may_send(command):
            late = self._check_and_execute
        self.system.world.after(pause, self.run_or_wait, late, command)

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
        if self.system.world.now < self.cut_until:
            self._lose(command)
        elif isinstance(command, _store_messages.Transact):
            table.transact(command, self.post)
        elif isinstance(command, _store_messages.ReadRows | _store_messages.ScanRows):
            table.read(command, self.post)
        elif isinstance(command, _call_messages.SendCall):
            self.system.services[command.backend].send(command, self.post)
        elif isinstance(command, _call_messages.AskOutcome):
            name = self.system.find_asked(self, command)
            self.system.services[name].ask(command, self.post)

    def _lose(self, command):
        """Tell what a node sees that is cut off: nothing, until its timeouts."""
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
        self.system.world.after(timeout, self.post, event_type(**names))


@attrs.define(kw_only=True)
class Request:
    """Hold one request of a caller and what it was told."""

    name: str
    key: str
    node: str
    asked_at: float
    verdict: str = "none"
    told_at: float = float("inf")
    body: str = ""


class System:
    """Hold nodes, services, the table and callers of one run."""

    def __init__(
        self,
        *,
        seed,
        kind,
        make_controllers,
        node_count=3,
        key_count=6,
        faulty=True,
    ):
        self.world = call_model.World(seed=seed)
        self.world.faulty = faulty
        self.kind = kind
        self.make_controllers = make_controllers
        self.counts = Counts()
        self.table = call_model.Table(world=self.world)
        self.services = {
            name: call_model.Service(world=self.world, kind=kind)
            for name in ("bookings-1", "bookings-2")
        }
        self.requests = {}
        self.nodes = {}
        self.incarnations = itertools.count()
        self.names = [f"n{index}" for index in range(node_count)]
        for name in self.names:
            self.start_node(name)
        self.heard = {}
        self._beat()
        for index in range(key_count):
            start = self.world.random.uniform(0.0, call_model.FAULT_SECONDS - 2.0)
            self.world.after(start, self._begin_key, f"k{index}")
        for _ in range(self.world.random.randint(1, 4) if faulty else 0):
            at = self.world.random.uniform(0.0, call_model.FAULT_SECONDS)
            self.world.after(at, self._break_something)

    def start_node(self, name):
        incarnation = next(self.incarnations)
        self.nodes[name] = Node(system=self, name=name, incarnation=incarnation)

    def find_asked(self, node, command):
        """The model's servers share one address: find the row's backend server."""
        for call in node.blackboard.calls.open.values():
            if call.attempt == command.attempt:
                return call.backend
        return "bookings-1"

    def _beat(self):
        now = self.world.now
        for node in self.nodes.values():
            silent = node.is_paused() or now < node.unheard_until
            if node.alive and not silent:
                self.heard[node.name] = now, node.blackboard.identity.incarnation
        for node in self.nodes.values():
            peers = node.blackboard.membership.peers
            for name, (heard_at, incarnation) in self.heard.items():
                if name == node.name:
                    continue
                states = _membership_area.PeerState
                dead = now - heard_at > call_model.DEAD_SECONDS
                peers[name] = _membership_area.Peer(
                    node=name,
                    address=call_model.ADDRESS,
                    incarnation=incarnation,
                    state=states.DEAD if dead else states.ALIVE,
                )
        self.world.after(0.25, self._beat)

    def crash_or_pause_at(self, node):
        """Kill or pause a node just before one of its commands."""
        if self.world.happens(0.006) and node.alive:
            self._kill(node)
        elif self.world.happens(0.008) and not node.is_paused():
            self._pause(node)

    def _kill(self, node):
        node.alive = False
        delay = self.world.random.uniform(0.5, 4.0)
        self.world.after(delay, self.start_node, node.name)

    def _pause(self, node):
        length = self.world.random.choice((0.3, 2.0, 4.5))
        node.paused_until = self.world.now + length

    def _break_something(self):
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
            node.unheard_until = until + call_model.DEAD_SECONDS
        elif draw == 4:
            node.cut_until = until
        else:
            self._pause(node)

    def _begin_key(self, key):
        self.ask(key)
        if self.world.random.random() < 0.3:
            self.ask(key)

    def ask(self, key, *, body="", node=None, account=call_model.ACCOUNT):
        """Send a request for a key at a node that takes connections."""
        up = [each for each in self.nodes.values() if each.alive]
        if not up:
            self.world.after(0.5, self.ask, key)
            return None
        node = node or self.world.random.choice(up)
        name = f"r{len(self.requests)}"
        now = self.world.now
        request = Request(name=name, key=key, node=node.name, asked_at=now)
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
        self.world.after(call_model.REQUEST_SECONDS + 0.5, self._give_up, request)
        return request

    def _give_up(self, request):
        """The caller's own timeout."""
        if request.verdict == "none":
            request.verdict = "gone"
            self._ask_again(request)

    def take_reply(self, reply, node):
        request = self.requests[reply.request]
        if request.verdict != "none":
            return
        request.told_at = self.world.now
        if isinstance(reply, _call_messages.AnswerCall):
            request.verdict = "done"
            request.body = reply.body
        elif reply.reason.code == "outcome_unknown":
            request.verdict = "unknown"
            self._ask_again(request)
        else:
            request.verdict = "not run"
            request.body = reply.reason.code
            if self.world.random.random() < 0.3:
                self._ask_again(request)

    def _ask_again(self, request):
        asked = sum(each.key == request.key for each in self.requests.values())
        if asked < 12:
            delay = self.world.random.uniform(0.1, 1.5)
            self.world.after(delay, self.ask, request.key)

    def run(self):
        """Run with faults, then without until all is settled."""
        self.world.run_until(call_model.FAULT_SECONDS)
        self.world.faulty = False
        self.table.down_until = 0.0
        for node in self.nodes.values():
            node.cut_until = 0.0
        for service in self.services.values():
            service.down_until = 0.0
        self.world.run_until(call_model.FAULT_SECONDS + call_model.SETTLING_SECONDS)
        last = {request.key: request for request in self.requests.values()}
        for request in last.values():
            if request.verdict not in ("done", "not run"):
                self.ask(request.key)
        self.world.run_until(self.world.now + call_model.REQUEST_SECONDS + 1.0)
        return self

    def list_runs(self, key):
        name = f"{call_model.ACCOUNT}:{key}"
        runs = []
        for service in self.services.values():
            runs += service.runs[name] + service.runs[key]
        return runs
