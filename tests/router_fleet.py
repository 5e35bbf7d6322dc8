"""Router nodes that share a retry allowance, with a simulated store and clock."""

import collections
import itertools
import random

from jujubepass import ids
from jujubepass.forwarding import board, feeds, members, retry_allowance
from jujubepass.limits import _retry_budget

TICK_SECONDS = 0.1
MAX_ATTEMPTS = 5
START_SECONDS = 16.0


class Table:
    """Store the rows of nodes with versions from one counter."""

    def __init__(self):
        self.rows = {}

    def write(self, member):
        self.rows[member.node] = member

    def read(self, now):
        return feeds.Changes(
            items=dict(self.rows), version=1, confirmed_at=now, is_complete=True
        )


class RouterNode:
    """Assemble one node's member controller and the retry budget of one service."""

    def __init__(self, *, name, table, now, first_start, offset):
        self.blackboard = board.Blackboard(
            node=ids.NodeId(name),
            failure_domain=ids.FailureDomainId("a"),
            is_first_start=first_start,
        )
        self.controller = members.MemberController(blackboard=self.blackboard)
        self.allowance = retry_allowance.RetryAllowance(blackboard=self.blackboard)
        self.budget = None
        self.weight = 1.0
        self.can_read = True
        self.can_write = True
        self.is_running = True
        self._table = table
        self._versions = itertools.count(1)
        self._read_at = self._renew_at = now + offset

    def tick(self, now):
        """Read and renew rows when due, and update the retry budget."""
        if now >= self._renew_at and self.can_write:
            self._renew(now)
        if now >= self._read_at and self.can_read:
            self._read_at = now + members.READ_INTERVAL_SECONDS
            self.controller.apply(self._table.read(now), now)
        bounds = self.allowance.find_bounds(now)
        if self.budget is None:
            self.budget = _retry_budget.RetryBudget(bounds=bounds)
        self.budget.bounds = bounds

    def _renew(self, now):
        seconds = self.controller.renewal_seconds
        self._renew_at = now + seconds
        self._table.write(
            members.Member(
                node=self.blackboard.node,
                version=next(self._versions),
                failure_domain=self.blackboard.failure_domain,
                renewal_seconds=seconds,
            )
        )
        self.controller.record_renewal(sent_at=now, committed_at=now, seconds=seconds)

    def serve(self, requests, now, *, fails):
        """Serve requests and return how many retries were sent."""
        sent = 0
        for _ in range(requests):
            self.budget.count_attempt(now)
            for _ in range(MAX_ATTEMPTS - 1 if fails else 0):
                if not self.budget.spend(now):
                    break
                sent += 1
        return sent


class RouterFleet:
    """Run nodes and record the requests and retries of each tick."""

    def __init__(self, *, count, seed=1):
        self.now = 1_000.0
        self.random_source = random.Random(seed)
        self.table = Table()
        self.nodes = []
        self.requests = []
        self.retries = []
        for _ in range(count):
            self.add_node(first_start=True)

    @property
    def bounds(self):
        return self.nodes[0].blackboard.bounds

    @property
    def running(self):
        return [each for each in self.nodes if each.is_running]

    def add_node(self, *, first_start=False):
        """Add a node; the balancer hashes, so that nodes get unequal shares."""
        node = RouterNode(
            name=f"n{len(self.nodes)}",
            table=self.table,
            now=self.now,
            first_start=first_start,
            offset=self.random_source.uniform(0.0, 0.5),
        )
        node.weight = 1.0 + len(self.nodes) % 4
        self.nodes.append(node)
        return node

    def restart_node(self, node):
        """Replace a node by a new process of the same name."""
        number = self.nodes.index(node)
        restarted = RouterNode(
            name=node.blackboard.node,
            table=self.table,
            now=self.now,
            first_start=False,
            offset=self.random_source.uniform(0.0, 0.5),
        )
        restarted.weight = node.weight
        self.nodes[number] = restarted

    def run(self, seconds, *, requests_per_second=0.0, fails=False):
        """Run all nodes for some seconds."""
        running = self.running
        weights = [each.weight for each in running]
        carried = 0.0
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            carried += requests_per_second * TICK_SECONDS
            arrivals = collections.Counter(
                self.random_source.choices(
                    range(len(running)), weights=weights, k=int(carried)
                )
            )
            carried -= int(carried)
            retries = 0
            for number, node in enumerate(running):
                node.tick(self.now)
                retries += node.serve(arrivals[number], self.now, fails=fails)
            self.requests.append(arrivals.total())
            self.retries.append(retries)

    def find_excess(self):
        """Return the most retries over the allowance in any window, and its start."""
        windows = self._list_windows()
        return max((sent - allowed, start) for start, sent, allowed in windows)

    def find_most_used(self):
        """Return the largest share of the allowance that a window has used."""
        return max(sent / allowed for _, sent, allowed in self._list_windows())

    def _list_windows(self):
        """Yield the start, the retries and the allowance of each window.

        A window's requests are those in it, in the one before or half a window before,
        whichever are most.
        """
        ticks = round(self.bounds.retry_window_seconds / TICK_SECONDS)
        requests = [0, *itertools.accumulate(self.requests)]
        retries = [0, *itertools.accumulate(self.retries)]
        last = len(self.requests)

        def count(sums, first):
            return sums[min(last, first + ticks)] - sums[max(0, first)]

        for first in range(last):
            counted = max(
                count(requests, first - back) for back in (0, ticks // 2, ticks)
            )
            allowed = self.bounds.retry_share * counted + self.bounds.retry_slack
            yield first * TICK_SECONDS, count(retries, first), allowed
