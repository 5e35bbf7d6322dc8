"""Simulated failure domain: places, and nodes that queue requests on one late view."""

import collections
import heapq
import random

import attrs

from jujubepass.capacity import view
from jujubepass.shortage import entries, queue

VIEW_SECONDS = 0.25
STEP_SECONDS = 0.05
FIRST_EVENT_SECONDS = 0.1
SECONDS_LEFT = 20.0
STARTED, REFUSED = entries.State.STARTED, entries.State.REFUSED
NO_DEMAND = view.Demand(
    waiting=(0.0,) * 10, arrivals_per_second=(0.0,) * 10, ends_per_second=0.0, nodes=1
)


def make_entry(now, priority=0, account="a", kind=entries.Entry, **fields):
    goal = 1.0 if priority == 2 else 0.5
    fields = {
        "request": "r",
        "arrived_at": now,
        "deadline": now + SECONDS_LEFT,
        "goal_seconds": goal,
        "caller_timeout_seconds": 4.0 * goal,
        **fields,
    }
    return kind(priority=priority, account=account, **fields)


@attrs.frozen(kw_only=True)
class Load:
    """Requests a second of one priority and account, in a span of time."""

    rate: float
    priority: int
    account: str = "a"
    began_at: float = 0.0
    end_at: float = 10.0
    ignores_times: bool = False
    """Whether refused callers come back at once, and again and again."""


@attrs.define(kw_only=True, eq=False)
class Arrival(entries.Entry):
    load: Load
    tries: int
    first_at: float


@attrs.define(eq=False)
class Node:
    queue: queue.Queue
    running: int = 0
    shown: list = attrs.field(factory=lambda: [0, 0])


@attrs.define(kw_only=True, slots=False)
class Domain:
    """Run loads on nodes; each sees the whole as it was one interval ago."""

    nodes: int
    places: float
    loads: tuple
    seed: int = 1
    losses: tuple = ()
    """Times and numbers of places from then on."""
    counted_from: float = 0.0
    """Time before which requests that arrive are not counted, such as a burst's."""
    now: float = 0.0
    counts: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    """Requests by (priority, account), counted by what became of them."""
    most_running: float = 0.0
    idle: list = attrs.field(factory=list)
    waits: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    """Seconds between arrival and start, by priority."""
    started: list = attrs.field(factory=list)
    """Times of all starts."""
    events: list = attrs.field(factory=list)
    shared: collections.deque = attrs.field(factory=collections.deque)

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        self.members = [
            Node(queue.Queue(random_source=random.Random(self.seed * 1_000 + number)))
            for number in range(self.nodes)
        ]
        self.recent = collections.deque()
        self.number = 0
        for load in self.loads:
            now = load.began_at
            while (now := now + self.random.expovariate(load.rate)) < load.end_at:
                self.schedule(now, "arrive", load, 0, now)

    def schedule(self, at, kind, *details):
        self.number += 1
        heapq.heappush(self.events, (at, self.number, kind, details))

    def run(self, seconds):
        tick = 0
        while self.now < seconds:
            while self.events and self.events[0][0] <= self.now:
                _, _, kind, details = heapq.heappop(self.events)
                getattr(self, f"_{kind}")(*details)
            for at, places in self.losses:
                self.places = places if abs(self.now - at) < 1e-6 else self.places
            steps = round(VIEW_SECONDS / STEP_SECONDS)
            if tick % steps == 0:
                self._publish()
            for number, node in enumerate(self.members):
                if number % steps == tick % steps:
                    self._show(node)
                elif node.queue.waiting:
                    self._apply(node, node.queue.decide(self.now))
            self._measure()
            tick += 1
            self.now += STEP_SECONDS
        return self

    def _publish(self):
        """Keep the state that nodes see one interval later."""
        while self.recent and self.recent[0][0] < self.now - 1.0:
            self.recent.popleft()
        arrivals, waiting = [0.0] * 10, [0.0] * 10
        for _, priority in self.recent:
            if priority is not None:
                arrivals[priority] += 1.0
        for node in self.members:
            for each in node.queue.waiting:
                waiting[each.priority] += 1.0
            node.shown = [*node.shown[-1:], node.running]
        demand = view.Demand(
            waiting=tuple(waiting),
            arrivals_per_second=tuple(arrivals),
            ends_per_second=float(sum(level is None for _, level in self.recent)),
            nodes=self.nodes,
        )
        self.shared.append((demand, self.count_running(), self.places, self.now))
        while len(self.shared) > 2:
            self.shared.popleft()

    def _show(self, node):
        demand, running, places, at = self.shared[0]
        free = places - (running - node.shown[0] + node.running)
        known = queue.Known(demand=demand, free=free, total=places, version=at)
        node.queue.update(known, self.now)
        self._apply(node, node.queue.decide(self.now))

    def _arrive(self, load, tries, first_at):
        node = self.random.choice(self.members)
        self.recent.append((self.now, load.priority))
        entry = make_entry(
            self.now,
            load.priority,
            load.account,
            Arrival,
            deadline=first_at + SECONDS_LEFT,
            load=load,
            tries=tries,
            first_at=first_at,
        )
        self._find_counts(entry)["arrived"] += not tries
        self._apply(node, node.queue.enter(entry, self.now))

    def _apply(self, node, changed):
        for entry in changed:
            load = entry.load
            counts = self._find_counts(entry)
            if entry.state is STARTED:
                node.queue.confirm_start(entry, self.now)
                node.running += 1
                counts["served"] += 1
                counts["ahead"] += entry.is_ahead
                self.started.append(self.now)
                self.waits[load.priority].append(self.now - entry.arrived_at)
                self.schedule(
                    self.now + self.random.uniform(1.0, 3.0), "end", node, entry
                )
                continue
            counts["refused"] += 1
            retry = 0.05 if load.ignores_times else entry.retry_after_seconds
            if (entry.tries == 0 or load.ignores_times) and entry.tries < 20:
                self.schedule(
                    self.now + retry, "arrive", load, entry.tries + 1, entry.first_at
                )

    def _find_counts(self, entry):
        if entry.first_at < self.counted_from:
            return collections.Counter()
        return self.counts[entry.load.priority, entry.load.account]

    def _end(self, node, entry):
        node.running -= 1
        self.recent.append((self.now, None))
        node.queue.end_start(entry)
        self._apply(node, node.queue.decide(self.now))

    def count_running(self):
        return sum(node.running for node in self.members)

    def count_waiting(self):
        return sum(len(node.queue.waiting) for node in self.members)

    def _measure(self):
        running = self.count_running()
        self.most_running = max(self.most_running, running)
        # Idle beyond what waits; the first views show nothing yet.
        self.idle.append(min(self.places - running, self.count_waiting()))

    def find_fraction(self, *, priority=None, account=None):
        """Return the fraction of requests that were served."""
        found = collections.Counter()
        for (level, name), counts in self.counts.items():
            if priority in (None, level) and account in (None, name):
                found += counts
        return found["served"] / max(1, found["arrived"])
