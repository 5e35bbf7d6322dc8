"""Weighted fair queues of model requests that wait for engines."""

import collections
import heapq
import typing

import attrs

from jujubepass import ids
from jujubepass.answers import _answer_messages


@attrs.frozen(kw_only=True)
class Entry:
    """Describe a queued request with its cost in tokens."""

    event: _answer_messages.PromptArrived
    cost: float
    weight: float
    queued_at: float


class FairQueue(typing.Protocol):
    """Queue requests and decide which one is admitted next."""

    cost: float

    def push(self, entry: Entry) -> None:
        """Add a request."""

    def pop(self) -> Entry | None:
        """Remove and return the next request, or None when the queue is empty."""

    def remove(self, event: _answer_messages.PromptArrived) -> Entry | None:
        """Remove a request without serving it."""

    def predict_cost_ahead(self, account: ids.AccountId, weight: float) -> float:
        """Predict the cost that is served before a request that is added now."""

    def __len__(self) -> int:
        """Return the number of queued requests."""


@attrs.define(kw_only=True)
class _Backlog:
    weight: float
    start_tag: float
    cost: float = 0.0
    requests: collections.OrderedDict[ids.RequestId, Entry] = attrs.field(
        factory=collections.OrderedDict
    )


class StartTimeFairQueue:
    """Serve accounts by weight with start-time fair queueing over costs.

    The account with the least service per weight is served next. An account that was
    idle starts at the current virtual time, so that idle time earns no credit.
    """

    def __init__(self) -> None:
        self.cost = 0.0
        self._virtual_time = 0.0
        self._sequence = 0
        self._count = 0
        self._total_weight = 0.0
        self._finish_tags: dict[ids.AccountId, float] = {}
        self._backlogs: dict[ids.AccountId, _Backlog] = {}
        self._heap: list[tuple[float, int, ids.AccountId]] = []

    def __len__(self) -> int:
        return self._count

    def push(self, entry: Entry) -> None:
        """Add a request."""
        account = entry.event.account
        backlog = self._backlogs.get(account)
        if backlog is None:
            start_tag = max(self._virtual_time, self._finish_tags.get(account, 0.0))
            backlog = _Backlog(weight=entry.weight, start_tag=start_tag)
            self._backlogs[account] = backlog
            self._total_weight += backlog.weight
            self._add_to_heap(account, start_tag)
        backlog.requests[entry.event.request] = entry
        backlog.cost += entry.cost
        self.cost += entry.cost
        self._count += 1

    def _add_to_heap(self, account: ids.AccountId, start_tag: float) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (start_tag, self._sequence, account))

    def pop(self) -> Entry | None:
        """Remove and return the next request, or None when the queue is empty."""
        while self._heap:
            start_tag, _, account = heapq.heappop(self._heap)
            backlog = self._backlogs.get(account)
            if backlog is None or backlog.start_tag != start_tag:
                continue
            _, entry = backlog.requests.popitem(last=False)
            self._virtual_time = start_tag
            backlog.start_tag = start_tag + entry.cost / backlog.weight
            self._finish_tags[account] = backlog.start_tag
            self._remove_entry(account, backlog, entry)
            if backlog.requests:
                self._add_to_heap(account, backlog.start_tag)
            return entry
        return None

    def remove(self, event: _answer_messages.PromptArrived) -> Entry | None:
        """Remove a request without serving it."""
        backlog = self._backlogs.get(event.account)
        entry = backlog.requests.pop(event.request, None) if backlog else None
        if backlog is not None and entry is not None:
            self._remove_entry(event.account, backlog, entry)
        return entry

    def _remove_entry(
        self, account: ids.AccountId, backlog: _Backlog, entry: Entry
    ) -> None:
        backlog.cost -= entry.cost
        self.cost -= entry.cost
        self._count -= 1
        if not backlog.requests:
            del self._backlogs[account]
            self._total_weight -= backlog.weight
        if not self._backlogs:
            self.cost = self._total_weight = 0.0
            self._prune_finish_tags()

    def _prune_finish_tags(self) -> None:
        """Remove finish tags that no longer delay their accounts."""
        self._heap.clear()
        self._finish_tags = {
            account: tag
            for account, tag in self._finish_tags.items()
            if tag > self._virtual_time
        }

    def predict_cost_ahead(self, account: ids.AccountId, weight: float) -> float:
        """Predict the cost that is served before a request that is added now."""
        backlog = self._backlogs.get(account)
        own_cost = backlog.cost if backlog else 0.0
        excess_service = self._finish_tags.get(account, 0.0) - self._virtual_time
        if backlog is None and excess_service > 0.0:
            own_cost = excess_service * weight
        total_weight = self._total_weight if backlog else self._total_weight + weight
        return min(self.cost, own_cost * total_weight / weight)
