"""Router nodes that share a retry allowance and engines, with a simulated clock."""

import itertools
import random

from jujubepass import ids
from jujubepass.forwarding import board, retry_allowance
from jujubepass.limits import _retry_budget

TICK_SECONDS = 0.1
MAX_ATTEMPTS = 5


class RouterNode:
    """Assemble one node's blackboard and the retry budget of one service."""

    def __init__(self, *, name, domain="a"):
        self.blackboard = board.Blackboard(
            node=ids.NodeId(name), failure_domain=ids.FailureDomainId(domain)
        )
        self.allowance = retry_allowance.RetryAllowance(blackboard=self.blackboard)
        self.budget = None

    def tick(self, now):
        bounds = self.allowance.find_bounds(now)
        if self.budget is None:
            self.budget = _retry_budget.RetryBudget(bounds=bounds)
        self.budget.bounds = bounds

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
        self.nodes = []
        self.requests = []
        self.retries = []
        for _ in range(count):
            self.add_node()

    @property
    def bounds(self):
        return self.nodes[0].blackboard.bounds

    def add_node(self):
        node = RouterNode(name=f"n{len(self.nodes)}")
        self.nodes.append(node)
        return node

    def run(self, seconds, *, requests_per_second, fails):
        """Spread requests unevenly over the nodes, as a balancer that hashes does."""
        weights = [1.0 + (number % 4) for number in range(len(self.nodes))]
        carried = 0.0
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            carried += requests_per_second * TICK_SECONDS
            arrivals = self.random_source.choices(
                range(len(self.nodes)), weights=weights, k=int(carried)
            )
            carried -= int(carried)
            counts = [0] * len(self.nodes)
            for number in arrivals:
                counts[number] += 1
            retries = 0
            for node, count in zip(self.nodes, counts, strict=True):
                node.tick(self.now)
                retries += node.serve(count, self.now, fails=fails)
            self.requests.append(len(arrivals))
            self.retries.append(retries)

    def find_excess(self):
        """Return the most retries over the allowance in any window, and its start.

        A window's requests are those in it, in the one before or half a window before,
        whichever are most.
        """
        ticks = round(self.bounds.retry_window_seconds / TICK_SECONDS)
        requests = [0, *itertools.accumulate(self.requests)]
        retries = [0, *itertools.accumulate(self.retries)]
        last = len(self.requests)

        def count(sums, first):
            return sums[min(last, first + ticks)] - sums[max(0, first)]

        worst = (float("-inf"), 0.0)
        for first in range(last):
            counted = max(
                count(requests, first - back) for back in (0, ticks // 2, ticks)
            )
            allowed = self.bounds.retry_share * counted + self.bounds.retry_slack
            worst = max(worst, (count(retries, first) - allowed, first * TICK_SECONDS))
        return worst
