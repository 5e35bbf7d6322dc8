"""Simulation of leases and orders, with faults of the table and of engines."""

import random

from jujubepass import declarations, ids
from jujubepass.backends import _backend_area, _backend_messages
from jujubepass.leases import _lease_rows, _leases
from jujubepass.membership import _membership_area
from jujubepass.nodes import _blackboard, _dispatch, _node_messages, _node_state
from jujubepass.orders import _order_area, _order_messages, _orders
from jujubepass.storage import _store_messages
from jujubepass.transport import _http_client

TICK_SECONDS = 0.1
TIMING = _leases.LeaseTiming(lease_seconds=10.0, margin_seconds=2.0)
MODEL = ids.ModelId("m")
LEASE = ids.LeaseId("orders/r")
ADDRESS = _http_client.Address(host="10.0.0.3", port=1)
WANTED = _order_area.Deployment(model=MODEL, version="2", first_layer=0, end_layer=8)
OLD = _order_area.Deployment(model=MODEL, version="1", first_layer=0, end_layer=8)


class Engine:
    """Simulated engine; refuses old fencing numbers if `checks` is set."""

    def __init__(self, *, checks):
        self.checks = checks
        self.fencing = 0
        self.wanted = OLD
        self.accepted = []

    def handle_order(self, order):
        if self.checks and order.fencing < self.fencing:
            return _order_messages.OrderRefused(engine=order.engine)
        self.fencing = max(self.fencing, order.fencing)
        self.wanted = order.wanted
        self.accepted.append(order.fencing)
        return _order_messages.OrderTaken(engine=order.engine)

    def report_state(self, name):
        return _order_messages.EngineStateRead(
            engine=name, wanted=self.wanted, actual=self.wanted, loading=False
        )


class Network:
    """Simulated nodes under one clock; their messages are lost or delayed."""

    def __init__(self, *, seed, checks=True, nodes=3, fault_rate=0.0):
        self.random = random.Random(seed)
        self.fault_rate = fault_rate
        self.now = 500.0
        self.rows = {}
        self.versions = 0
        self.table_down = False
        self.engines = {ids.BackendServerId("e1"): Engine(checks=checks)}
        self.blackboards = {}
        self.dispatchers = {}
        self.paused = set()
        self.in_flight = []
        self.overlaps = []
        self.sent_orders = []
        for index in range(nodes):
            self.start(f"n{index}", nodes)

    def start(self, name, nodes):
        identity = _blackboard.Identity(
            node=ids.NodeId(name),
            incarnation=f"{name}-{self.now}",
            region=ids.RegionId("r"),
            failure_domain=ids.FailureDomainId("d"),
        )
        board = _blackboard.Blackboard(identity=identity)
        board.node.state = _node_messages.NodeState.READY
        model = declarations.Model(name=MODEL, layers=8, version="2")
        board.configuration.declared = declarations.Declarations(models={MODEL: model})
        for engine in self.engines:
            board.deployments.declared[engine] = WANTED
            vm = _backend_messages.Vm(
                name=engine,
                role=_backend_messages.VmRole.ENGINE,
                address=ADDRESS,
                region=ids.RegionId("r"),
                failure_domain=ids.FailureDomainId("d"),
                state=_backend_messages.VmState.LIVE,
            )
            board.backends.engines[engine] = _backend_area.BackendServer(vm=vm)
        for index in range(nodes):
            if f"n{index}" != name:
                peer = _membership_area.Peer(
                    node=ids.NodeId(f"n{index}"),
                    address=ADDRESS,
                    state=_membership_area.PeerState.ALIVE,
                )
                board.membership.peers[peer.node] = peer
        self.blackboards[name] = board
        self.dispatchers[name] = _dispatch.Dispatcher(
            controllers=[
                _node_state.NodeController(blackboard=board),
                _leases.LeaseController(blackboard=board, timing=TIMING),
                _orders.OrderController(blackboard=board),
            ],
            pause_seconds=1.0,
        )

    def set_believed_state(self, node, state):
        """Set the membership state that all other nodes believe a node to be in."""
        for name, blackboard in self.blackboards.items():
            if name != node:
                blackboard.membership.peers[ids.NodeId(node)].state = state

    def post(self, name, event):
        for command in self.dispatchers[name].dispatch(event, self.now):
            self._execute(name, command)

    def _execute(self, name, command):
        due_at = self.now + self._draw_delay()
        lost = self.random.random() < self.fault_rate
        if isinstance(command, _order_messages.SendOrder):
            self.sent_orders.append((self.now, name, command.fencing))
        self.in_flight.append((due_at, name, command, lost))

    def _draw_delay(self):
        if self.random.random() < self.fault_rate:
            return self.random.uniform(0.5, 15.0)
        return 0.05

    def step(self):
        self.now += TICK_SECONDS
        due = [each for each in self.in_flight if each[0] <= self.now]
        self.in_flight = [each for each in self.in_flight if each[0] > self.now]
        for _, name, command, lost in due:
            if name not in self.dispatchers:
                continue
            event = command if isinstance(command, tuple) else None
            if event is None:
                answer = self._process(command, lost)
                self.in_flight.append((self.now, name, ("event", answer), False))
            elif name in self.paused:
                self.in_flight.append((self.now, name, event, False))
            else:
                self.post(name, event[1])
        for name in list(self.dispatchers):
            if name not in self.paused:
                self.post(name, _node_messages.Tick())
        users = [
            name
            for name in self.dispatchers
            if name not in self.paused
            and self.blackboards[name].leases.find_usable(LEASE, self.now)
        ]
        if len(users) > 1:
            self.overlaps.append((self.now, users))

    def _process(self, command, lost):
        if isinstance(command, _store_messages.Transact):
            return self._transact(command, lost)
        if isinstance(command, _store_messages.ReadRows):
            if lost or self.table_down:
                return _store_messages.ReadFailed(
                    operation=command.operation, detail="lost"
                )
            rows = {key: self.rows[key] for key in command.keys if key in self.rows}
            return _store_messages.RowsRead(operation=command.operation, rows=rows)
        if isinstance(command, _order_messages.ReadEngineState):
            return self.engines[command.engine].report_state(command.engine)
        answer = self.engines[command.engine].handle_order(command)
        return _order_messages.OrderUnclear(engine=command.engine) if lost else answer

    def _transact(self, command, lost):
        operation = command.operation
        if self.table_down:
            return _store_messages.TransactionUnsent(operation=operation, detail="down")
        unclear = _store_messages.TransactionUnclear(operation=operation, detail="lost")
        if lost and self.random.random() < 0.5:
            if self.random.random() < 0.5:
                due_at = self.now + self.random.uniform(0.1, 15.0)
                self.in_flight.append(
                    (due_at, next(iter(self.blackboards)), command, True)
                )
            return unclear
        (condition,), (write,) = command.conditions, command.writes
        row = self.rows.get(condition.key)
        if (row.version if row else 0) != condition.version:
            rows = (row,) if row else ()
            conflict = _store_messages.TransactionConflicted(
                operation=operation, rows=rows
            )
            return unclear if lost else conflict
        self.versions += 1
        self.rows[write.key] = _store_messages.VersionedRow(
            key=write.key, version=self.versions, value=write.value
        )
        done = _store_messages.Transacted(
            operation=operation, versions={write.key: self.versions}
        )
        return unclear if lost else done

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

    def find_holder(self):
        for name in self.dispatchers:
            if self.blackboards[name].leases.find_usable(LEASE, self.now):
                return name
        return None

    def read_lease(self):
        return _lease_rows.read_row(self.rows.get(_lease_rows.make_key(LEASE)))
