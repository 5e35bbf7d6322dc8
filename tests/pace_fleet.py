"""Model of the nodes of one failure domain and of the servers that they use."""

import collections
import functools
import random

import attrs

from jujubepass.capacity import view
from jujubepass.pace import controller

TICK_SECONDS = 0.01
VIEW_SECONDS = 0.25
FULL_SECONDS = 0.25
# Failure domains by the number of nodes of a deployment.
DOMAINS = {9: 3, 83: 3, 195: 5, 700: 34}


@attrs.define(kw_only=True)
class Server:
    """Model a server: places, warm-up, rejections."""

    name: str
    slots: int = 16
    seconds: float = 0.1
    """Time of a response without load once it is warm."""
    expected_seconds: float = 0.1
    """Time of a response that is expected of it."""
    started: float = -100.0
    warm_seconds: float = 0.0
    cold_part: float = 1.0
    """Part of the slots that it has when it starts."""
    cold_slowdown: float = 1.0
    rejects_cold: bool = False
    slow_part: float = 2.0
    """Part of its slots above which responses take three times as long."""
    is_up: bool = True
    running: list = attrs.field(factory=list)

    def find_warmth(self, now):
        """Return how warm it is, from 0 to 1."""
        if self.warm_seconds == 0.0:
            return 1.0
        return min(1.0, (now - self.started) / self.warm_seconds)

    def find_capacity(self, now):
        """Return how many requests it accepts now."""
        warmth = self.find_warmth(now)
        if self.rejects_cold:
            return self.slots if warmth >= 1.0 else 0
        return int(self.slots * (self.cold_part + (1.0 - self.cold_part) * warmth))

    def accept(self, node, now, draw):
        """Accept a request, or return False."""
        if len(self.running) >= self.find_capacity(now):
            return False
        seconds = self.seconds * (0.8 + 0.4 * draw)
        seconds *= 1.0 + (self.cold_slowdown - 1.0) * (1.0 - self.find_warmth(now))
        if len(self.running) >= self.slow_part * self.slots:
            seconds *= 3.0
        self.running.append((now + seconds, now, node))
        return True


@attrs.define(kw_only=True)
class NodeView:
    """What one node knows of the others, a report and a view late."""

    fleet: "Fleet"
    index: int
    phase: float
    snapshot: dict = attrs.field(factory=dict)
    full_until: dict = attrs.field(factory=dict)

    def find_use(self, engine, now):
        """Return the requests on a server."""
        if not self.fleet.has_view:
            return None
        total, own = self.snapshot.get(engine, (0, 0))
        running = max(0, total - own) + self.fleet.own[self.index][engine]
        return view.EngineUse(running=running, prefilling=0.0)

    def is_full(self, engine, now):
        """Return whether a server has just rejected a request."""
        return self.fleet.now < self.full_until.get(engine, -1.0)


@attrs.frozen(kw_only=True)
class Rank:
    """Give a node its rank in an order that differs by server."""

    index: int
    nodes: int

    def count_nodes(self):
        """Return the number of nodes."""
        return self.nodes

    def find_rank(self, server, started_at):
        """Return the node's rank in the order for a server's run."""
        return _order_nodes(self.nodes, server, started_at)[self.index]


@functools.cache
def _order_nodes(nodes, server, started_at):
    return random.Random(f"{server}/{started_at}").sample(range(nodes), nodes)


@attrs.define(kw_only=True)
class Fleet:
    """Run nodes of one domain with requests that arrive at random nodes."""

    nodes: int
    servers: list
    load: float = 0.6
    """Requests in progress per slot of all servers, if none is rejected."""
    policy: str = "pace"
    has_view: bool = True
    ramp_seconds: float = 3.0
    seed: int = 1
    now: float = 0.0
    paces: list = attrs.field(init=False)
    views: list = attrs.field(init=False)
    own: list = attrs.field(init=False)
    clocks: list = attrs.field(init=False)
    random: object = attrs.field(init=False)
    listed_at: dict = attrs.field(factory=dict)
    """Times by server and node at which a node lists a run."""
    events: list = attrs.field(factory=list)
    """Time, kind and server of each arrival, rejection, answer and cut."""
    suspected: dict = attrs.field(factory=dict)
    history: collections.deque = attrs.field(init=False)
    samples: list = attrs.field(factory=list)
    pending_full: list = attrs.field(factory=list)
    refused: int = 0
    watched: str = ""
    """Server whose places are sampled."""
    granted: list = attrs.field(factory=list)
    """Time, requests in progress and mean places of the watched server."""
    returned_at: float = 0.0
    able_at: float = 0.0
    """Time from which the returned server can run requests."""

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        self.own = [collections.Counter() for _ in range(self.nodes)]
        self.views = [
            NodeView(fleet=self, index=i, phase=self.random.random() * VIEW_SECONDS)
            for i in range(self.nodes)
        ]
        # Nodes have no common clock.
        self.clocks = [self.random.random() * 1_000.0 for _ in range(self.nodes)]
        self.paces = [
            controller.Pace(domain=Rank(index=i, nodes=self.nodes), view=self.views[i])
            for i in range(self.nodes)
        ]
        self.history = collections.deque(maxlen=int(VIEW_SECONDS / TICK_SECONDS))
        for pace in self.paces:
            for server in self.servers:
                pace.record_listed(server.name, 0, True, 0.0)

    def read_clock(self, node):
        """Return the time on a node's clock."""
        return self.now + self.clocks[node]

    def find_server(self, name):
        """Return a server by its name."""
        return next(each for each in self.servers if each.name == name)

    def restart(self, name, **changes):
        """Start a new run of a server, which nodes list within half a second."""
        server = self.find_server(name)
        server.is_up, server.started = True, self.now
        for key, value in changes.items():
            setattr(server, key, value)
        for index in range(self.nodes):
            delay = self.random.random() * 0.5
            self.listed_at[name, index] = self.now + delay

    def stop(self, name):
        """End a server's run; its requests are cut and nodes drop it from the list."""
        server = self.find_server(name)
        server.is_up = False
        for _, _, node in server.running:
            self.own[node][name] -= 1
            self.paces[node].record_failed(name, self.read_clock(node))
            self.events.append((self.now, "cut", name))
        server.running = []
        for index in range(self.nodes):
            self.listed_at[name, index] = float("inf")

    def run(self, seconds):
        """Let time pass."""
        rate = self.load * sum(each.slots / each.seconds for each in self.servers)
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            self._list_runs()
            self._complete()
            self._share_views()
            self._sample_places()
            expected = rate * TICK_SECONDS
            arrivals = int(expected) + (self.random.random() < expected % 1.0)
            for _ in range(arrivals):
                self._forward(self.random.randrange(self.nodes))

    def _list_runs(self):
        for (name, index), at in list(self.listed_at.items()):
            if at <= self.now:
                started = int(self.find_server(name).started * 1000)
                now = self.read_clock(index)
                self.paces[index].record_listed(name, started, False, now)

    def _complete(self):
        for server in self.servers:
            left = []
            for each in server.running:
                ends, began, node = each
                if ends > self.now:
                    left.append(each)
                    continue
                self.own[node][server.name] -= 1
                self.events.append((self.now, "answer", server.name))
                self.paces[node].record_answer(
                    server.name,
                    self.now - began,
                    server.expected_seconds,
                    self.read_clock(node),
                )
            server.running = left

    def _share_views(self):
        counts = {each.name: len(each.running) for each in self.servers}
        self.samples.append((self.now, counts))
        self.history.append((counts, [dict(each) for each in self.own]))
        old_counts, old_own = self.history[0]
        for each in self.views:
            if (self.now + each.phase) % VIEW_SECONDS < TICK_SECONDS:
                own = old_own[each.index]
                each.snapshot = {
                    name: (count, own.get(name, 0))
                    for name, count in old_counts.items()
                }
        self.pending_full = [
            full for full in self.pending_full if not self._spread_full(*full)
        ]

    def _sample_places(self):
        """Sample the watched server until the first node ends its slow start."""
        if not self.watched or self.policy != "pace":
            return
        if any(pace.ended for pace in self.paces):
            return
        found = [
            pace.read_places(self.watched, self.read_clock(node))
            for node, pace in enumerate(self.paces)
        ]
        found = [each for each in found if each is not None]
        if found:
            running = len(self.find_server(self.watched).running)
            self.granted.append((self.now, running, sum(found) / len(found)))

    def _spread_full(self, at, name):
        """Tell all nodes of a rejection a tenth of a second ago."""
        if self.now < at + 0.1:
            return False
        for each in self.views:
            each.full_until[name] = at + FULL_SECONDS
        return True

    def _forward(self, node):
        tried = set()
        for _ in range(3):
            server = self._choose(node, tried)
            if server is None:
                break
            tried.add(server.name)
            self.events.append((self.now, "arrival", server.name))
            if self.policy == "pace" and not self._may_send(node, server):
                self.events.append((self.now, "forced", server.name))
            if server.accept(node, self.now, self.random.random()):
                self.own[node][server.name] += 1
                return
            self.events.append((self.now, "rejection", server.name))
            self.paces[node].record_rejected(server.name, self.read_clock(node))
            self.suspected[node, server.name] = self.now + FULL_SECONDS
            self.pending_full.append((self.now, server.name))
        self.refused += 1

    def _choose(self, node, tried):
        usable = [
            each
            for each in self.servers
            if each.name not in tried
            and each.is_up
            and self.listed_at.get((each.name, node), 0.0) <= self.now
            and self.suspected.get((node, each.name), -1.0) <= self.now
        ]
        allowed = [each for each in usable if self._may_send(node, each)]
        return min(
            allowed or usable,
            key=lambda each: self._rank(node, each),
            default=None,
        )

    def _rank(self, node, server):
        """Rank servers as plain services do: by the node's own requests."""
        own = self.own[node][server.name]
        return own * self.nodes >= server.slots, own, self.random.random()

    def _may_send(self, node, server):
        own = self.own[node][server.name]
        if self.policy == "pace":
            now = self.read_clock(node)
            return self.paces[node].may_send(server.name, own, server.slots, now)
        if self.policy == "flood" or server.started < 0.0:
            return True
        age = self.now - server.started
        part = min(1.0, age / self.ramp_seconds)
        use = self.views[node].find_use(server.name, self.now)
        running = own * self.nodes if use is None else use.running
        share = self.random.random() < part
        return share and (part == 1.0 or running + 1 <= max(2.0, part * server.slots))

    def count(self, kind, name, since, until):
        """Count events of a kind at a server."""
        return sum(
            event == kind and server == name and since <= at < until
            for at, event, server in self.events
        )

    def find_share(self, name, since, until):
        """Return a server's requests in progress by the mean of the other servers'."""
        found = [counts for at, counts in self.samples if since <= at < until]
        others = [each.name for each in self.servers if each.name != name]
        total = sum(counts[each] for counts in found for each in others)
        return sum(counts[name] for counts in found) / max(1, total / len(others))
