"""Network of the controllers of the shared view, with an injected clock."""

import collections
import heapq
import itertools
import random

import attrs

from jujubepass import ids
from jujubepass.capacity import controller
from jujubepass.forwarding import backends, board, declarations, members
from jujubepass.transport import _http_client
from tests import small_fleet

HOP_SECONDS = (0.0003, 0.002)
SERVICE = small_fleet.SERVICE
# Failure domains and engines of deployments by their number of nodes.
SIZES = {9: (3, 40), 83: (3, 86), 195: (5, 600), 700: (34, 12_000)}
STAGES = 12
SLOTS = 24


def make_declarations(priorities=(0, 1, 2)):
    """Return declarations with an account for each priority."""
    declared = small_fleet.make_declarations()
    accounts = {
        f"key-{each}": declarations.Account(
            name=ids.AccountId(f"account-{each}"), priority=each
        )
        for each in priorities
    }
    service = declared.services[SERVICE]
    model = attrs.evolve(service.model, slots=SLOTS)
    return attrs.evolve(
        declared,
        accounts=accounts,
        services={SERVICE: attrs.evolve(service, model=model)},
    )


class CapacityNode:
    """Assemble one node's controller and the requests that it runs."""

    def __init__(self, *, network, row, process):
        self.network = network
        self.row = row
        self.name = row.node
        self.blackboard = board.Blackboard(
            node=row.node, failure_domain=row.failure_domain
        )
        self.blackboard.backends = network.backends
        self.blackboard.configuration.declarations = network.declarations
        network.apply_rows(self.blackboard)
        self.capacity = controller.CapacityController(
            blackboard=self.blackboard, token=row.token, process=process
        )
        self.running = []
        self.is_running = True
        self.frozen_until = float("-inf")
        self.queued = []

    @property
    def view(self):
        return self.capacity.view

    def start(self, engines, prefilled=True):
        self.running.append((engines, prefilled))
        self.capacity.recorder.record_start(engines)
        if prefilled:
            self.capacity.recorder.record_prefilled(engines)

    def end(self):
        engines, prefilled = self.running.pop(0)
        self.capacity.recorder.record_end(engines, was_prefilled=prefilled)


class Network:
    """Deliver datagrams after a hop, and inject faults of nodes and links.

    Of a large deployment, all nodes of the first failure domains run, and the
    collectors of the others.
    """

    def __init__(self, *, count, seed=1, loss=0.0, whole_domains=2, priorities=(0, 1)):
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 1_000.0
        self.cuts = set()
        self.events = []
        self.order = itertools.count()
        self.largest = 0
        self.datagrams = collections.Counter()
        self.sent_bytes = collections.Counter()
        self.received_bytes = collections.Counter()
        self.declarations = make_declarations(priorities)
        domains, engines = SIZES[count]
        self.backends = board.BackendArea()
        self._list_engines(domains, engines)
        self.rows = tuple(self._make_row(n, domains) for n in range(count))
        self.sizes = collections.Counter(each.failure_domain for each in self.rows)
        self.orders = {
            domain: members.order_domain(self.rows, domain) for domain in self.sizes
        }
        self.nodes = {}
        for row in self.rows:
            order = self.orders[row.failure_domain]
            number = int(row.failure_domain.removeprefix("d"))
            if number < whole_domains or row in order[:2]:
                self.start_node(row)

    def _list_engines(self, domains, engines):
        for number in range(engines):
            name = ids.BackendServerId(f"engine-{number}")
            self.backends.listed[name] = backends.Backend(
                name=name,
                service=SERVICE,
                address=_http_client.Address(host="10.1.0.1", port=1 + number),
                failure_domain=ids.FailureDomainId(f"d{number % domains}"),
                state=backends.BackendState.READY,
                started_at=1_700_000_000_000 + number,
                accelerator="l4",
            )
        self.backends.revision += 1

    def _make_row(self, number, domains):
        return members.Member(
            node=ids.NodeId(f"n{number}"),
            version=1,
            failure_domain=ids.FailureDomainId(f"d{number % domains}"),
            renewal_seconds=20.0,
            address=_http_client.Address(host="10.0.0.1", port=1 + number),
            token=f"token-{number}",
        )

    def apply_rows(self, blackboard):
        area = blackboard.members
        area.live = self.rows
        area.nodes = frozenset(each.node for each in self.rows)
        area.sizes = self.sizes
        area.neighbors = self.orders[blackboard.failure_domain]

    def start_node(self, row):
        node = CapacityNode(network=self, row=row, process=self.random.getrandbits(32))
        self.nodes[row.node] = node
        self._schedule(self.now + self.random.uniform(0.0, 0.3), "poll", node, None)

    def restart_node(self, name):
        row = self.nodes[name].row
        self.kill(name)
        self.start_node(row)

    def list_domain(self, number=0):
        """Return the running nodes of a failure domain, collectors first."""
        order = self.orders[ids.FailureDomainId(f"d{number}")]
        found = (self.nodes.get(each.node) for each in order)
        return [each for each in found if each is not None and each.is_running]

    def list_engines(self, number=0):
        domain = ids.FailureDomainId(f"d{number}")
        return [
            each.name
            for each in self.backends.listed.values()
            if each.failure_domain == domain
        ]

    def draw_engines(self, number=0):
        engines = self.list_engines(number)
        return frozenset(self.random.sample(engines, min(STAGES, len(engines))))

    def kill(self, name):
        self.nodes[name].is_running = False

    def freeze(self, name, seconds):
        self.nodes[name].frozen_until = self.now + seconds

    def cut(self, one, other):
        self.cuts |= {(one, other), (other, one)}

    def _schedule(self, at, kind, node, data):
        heapq.heappush(self.events, (at, next(self.order), kind, node, data))

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, kind, node, data = heapq.heappop(self.events)
            if not node.is_running:
                continue
            if node.frozen_until > self.now:
                self._schedule(node.frozen_until, kind, node, data)
            elif kind == "poll":
                self._poll(node)
            else:
                self.received_bytes[node.name] += len(data)
                node.capacity.receive(data, self.now)
                self._wake(node)
        self.now = end

    def _poll(self, node):
        for each in node.capacity.poll(self.now):
            self._send(node, each)
        delay = max(0.001, node.capacity.find_delay(self.now))
        self._schedule(self.now + delay, "poll", node, None)

    def _wake(self, node):
        """Poll at once if a datagram is due earlier than was told."""
        if node.capacity.find_delay(self.now) == 0.0:
            for each in node.capacity.poll(self.now):
                self._send(node, each)

    def poll_now(self, node):
        """Poll at once, as after a rejection."""
        self._wake(node)

    def _send(self, node, datagram):
        self.datagrams[node.name] += 1
        self.sent_bytes[node.name] += len(datagram.data)
        self.largest = max(self.largest, len(datagram.data))
        target = self.nodes.get(ids.NodeId(f"n{datagram.address.port - 1}"))
        if target is None or (node.name, target.name) in self.cuts:
            return
        if self.random.random() < self.loss:
            return
        at = self.now + self.random.uniform(*HOP_SECONDS)
        self._schedule(at, "receive", target, datagram.data)

    def count_use(self, engine):
        """Return the true numbers of requests running and being read."""
        found = [
            prefilled
            for node in self.nodes.values()
            if node.is_running
            for engines, prefilled in node.running
            if engine in engines
        ]
        return len(found), found.count(False)

    def find_wrong(self, node, engines):
        """Return the engines whose use a node knows wrongly, or not at all."""
        wrong = {}
        for engine in engines:
            use = node.view.find_use(engine, self.now)
            found = (use.running, use.prefilling) if use is not None else None
            if found != self.count_use(engine):
                wrong[engine] = found, self.count_use(engine)
        return wrong
