"""Weighted fair queues of model requests that wait for the engines."""

import collections
import heapq
import typing

import attrs

from jujubepass import ids
from jujubepass.answers import _answer_messages


@attrs.frozen(kw_only=True)
class Entry:
    """Hold a waiting request with its cost in tokens."""

    event: _answer_messages.PromptArrived
    cost: float
    weight: float
    queued_at: float


class FairQueue(typing.Protocol):
    """Choose which waiting request goes to the engines next."""

    cost: float

    def push(self, entry: Entry) -> None:
        """Add a request."""

    def pop(self) -> Entry | None:
        """Take the next request, or None when none waits."""

    def remove(self, event: _answer_messages.PromptArrived) -> Entry | None:
        """Take a request out without serving it."""

    def predict_cost_ahead(self, account: ids.AccountId, weight: float) -> float:
        """Predict how much cost is served before a request that is added now."""

    def __len__(self) -> int:
        """Count the waiting requests."""


@attrs.define(kw_only=True)
class _Backlog:
    weight: float
    start_tag: float
    cost: float = 0.0
    requests: collections.OrderedDict[ids.RequestId, Entry] = attrs.field(
        factory=collections.OrderedDict
    )


class StartTimeFairQueue:
    """Serve accounts by weight: start-time fair queueing over costs.

    The account with the least service so far, per weight, goes next; one that was idle
    starts level with the account being served, so it neither saves up nor waits.
    """

    def __init__(self) -> None:
        self.cost = 0.0
        self._now_tag = 0.0
        self._order = 0
        self._count = 0
        self._weights = 0.0
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
            start_tag = max(self._now_tag, self._finish_tags.get(account, 0.0))
            backlog = _Backlog(weight=entry.weight, start_tag=start_tag)
            self._backlogs[account] = backlog
            self._weights += backlog.weight
            self._add_to_heap(account, start_tag)
        backlog.requests[entry.event.request] = entry
        backlog.cost += entry.cost
        self.cost += entry.cost
        self._count += 1

    def _add_to_heap(self, account: ids.AccountId, start_tag: float) -> None:
        self._order += 1
        heapq.heappush(self._heap, (start_tag, self._order, account))

    def pop(self) -> Entry | None:
        """Take the next request, or None when none waits."""
        while self._heap:
            start_tag, _, account = heapq.heappop(self._heap)
            backlog = self._backlogs.get(account)
            if backlog is None or backlog.start_tag != start_tag:
                continue
            _, entry = backlog.requests.popitem(last=False)
            self._now_tag = start_tag
            backlog.start_tag = start_tag + entry.cost / backlog.weight
            self._finish_tags[account] = backlog.start_tag
            self._take_out(account, backlog, entry)
            if backlog.requests:
                self._add_to_heap(account, backlog.start_tag)
            return entry
        return None

    def remove(self, event: _answer_messages.PromptArrived) -> Entry | None:
        """Take a request out without serving it."""
        backlog = self._backlogs.get(event.account)
        entry = backlog.requests.pop(event.request, None) if backlog else None
        if backlog is not None and entry is not None:
            self._take_out(event.account, backlog, entry)
        return entry

    def _take_out(
        self, account: ids.AccountId, backlog: _Backlog, entry: Entry
    ) -> None:
        backlog.cost -= entry.cost
        self.cost -= entry.cost
        self._count -= 1
        if not backlog.requests:
            del self._backlogs[account]
            self._weights -= backlog.weight
        if not self._backlogs:
            self.cost = self._weights = 0.0
            self._forget_idle()

    def _forget_idle(self) -> None:
        """Forget accounts whose service no longer delays them."""
        self._heap.clear()
        self._finish_tags = {
            account: tag
            for account, tag in self._finish_tags.items()
            if tag > self._now_tag
        }

    def predict_cost_ahead(self, account: ids.AccountId, weight: float) -> float:
        """Predict how much cost is served before a request that is added now."""
        backlog = self._backlogs.get(account)
        own = backlog.cost if backlog else 0.0
        debt = self._finish_tags.get(account, 0.0) - self._now_tag
        if backlog is None and debt > 0.0:
            own = debt * weight
        weights = self._weights if backlog else self._weights + weight
        return min(self.cost, own * weights / weight)
