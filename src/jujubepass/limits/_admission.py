"""Admission of model requests to engines, with fair queues and early refusal."""

import collections.abc
import heapq

import attrs

from jujubepass import declarations, ids, reasons
from jujubepass.answers import _answer_messages
from jujubepass.limits import _capacity, _fairness, _limit_messages
from jujubepass.nodes import _blackboard, _dispatch

# Processing this many prompt words costs as much as generating one token.
_PROMPT_WORDS_PER_GENERATED_TOKEN = 16.0
_MIN_WEIGHT = 0.01
_MAX_PRIORITY = 9
_SLOT_REFRESH_INTERVAL_SECONDS = 0.25
_MIN_RETRY_AFTER_SECONDS = 1.0
_WAIT_MARGIN_FACTOR = 1.3

MakeQueue = collections.abc.Callable[[], _fairness.FairQueue]


def compute_cost(event: _answer_messages.PromptArrived, tokens: int) -> float:
    """Return a request's cost in generated tokens."""
    return tokens + len(event.prompt) / _PROMPT_WORDS_PER_GENERATED_TOKEN


def compute_weight(account: declarations.Account) -> float:
    """Return an account's queueing weight; priority 0 is the highest.

    Each increase of the priority number by one halves the weight.
    """
    priority = min(max(account.priority, 0), _MAX_PRIORITY)
    return float(max(_MIN_WEIGHT, account.weight) * 2.0 ** (1 - priority))


@attrs.define(kw_only=True)
class _Running:
    event: _answer_messages.PromptArrived
    started_at: float


@attrs.define(kw_only=True)
class Admission:
    """Admit model requests to the engines while slots are free.

    Other requests wait in one fair queue per model and are refused as soon as their
    deadlines cannot be met.
    """

    blackboard: _blackboard.Blackboard
    make_queue: MakeQueue = _fairness.StartTimeFairQueue
    early_refusal: bool = True
    max_queued: int = 2_000
    _queues: dict[ids.ModelId, _fairness.FairQueue] = attrs.field(
        factory=dict, init=False
    )
    _queued: dict[ids.RequestId, _answer_messages.PromptArrived] = attrs.field(
        factory=dict, init=False
    )
    _latest_starts: list[tuple[float, ids.RequestId]] = attrs.field(
        factory=list, init=False
    )
    _running: dict[ids.RequestId, _Running] = attrs.field(factory=dict, init=False)
    _running_counts: dict[ids.ModelId, int] = attrs.field(factory=dict, init=False)
    _service_times: dict[ids.ModelId, _capacity.ServiceTime] = attrs.field(
        factory=dict, init=False
    )
    _slots: dict[ids.ModelId, int] = attrs.field(factory=dict, init=False)
    _slots_refreshed_at: float = attrs.field(default=float("-inf"), init=False)

    def admit_or_queue(
        self, event: _answer_messages.PromptArrived, now: float
    ) -> _answer_messages.Refuse | None:
        """Admit a request, queue it, or return its refusal."""
        self._refresh_slots(now)
        queue = self._queues.get(event.model)
        if not queue and self._has_free_slot(event.model):
            self._admit(event, now)
            return None
        if queue is None:
            queue = self._queues[event.model] = self.make_queue()
        return self._enqueue(queue, event, now)

    def _enqueue(
        self,
        queue: _fairness.FairQueue,
        event: _answer_messages.PromptArrived,
        now: float,
    ) -> _answer_messages.Refuse | None:
        account = self.blackboard.configuration.declared.accounts[event.account]
        weight = compute_weight(account)
        cost = compute_cost(event, event.max_tokens)
        cost_ahead = queue.predict_cost_ahead(event.account, weight)
        wait_seconds = self._predict_wait_seconds(event.model, cost_ahead)
        if len(self._queued) >= self.max_queued:
            return make_refusal(
                event, reasons.RefusalReason.NODE_OVERLOADED, wait_seconds
            )
        service_seconds = self._get_service_time(event.model).predict_upper_bound(cost)
        predicted_end = now + wait_seconds * _WAIT_MARGIN_FACTOR + service_seconds
        if self.early_refusal and predicted_end > event.deadline:
            reason = reasons.RefusalReason.DEADLINE_UNREACHABLE
            return make_refusal(
                event, reason, max(_MIN_RETRY_AFTER_SECONDS, wait_seconds)
            )
        entry = _fairness.Entry(event=event, cost=cost, weight=weight, queued_at=now)
        queue.push(entry)
        self._queued[event.request] = event
        latest_start = event.deadline - service_seconds
        heapq.heappush(self._latest_starts, (latest_start, event.request))
        self._update_area()
        return None

    def _predict_wait_seconds(self, model: ids.ModelId, cost_ahead: float) -> float:
        """Predict the wait for a slot behind queued requests of this cost."""
        seconds = self._get_service_time(model).predict_seconds(cost_ahead)
        return seconds / max(1, self._slots.get(model, 1))

    def _get_service_time(self, model: ids.ModelId) -> _capacity.ServiceTime:
        return self._service_times.setdefault(model, _capacity.ServiceTime())

    def _has_free_slot(self, model: ids.ModelId) -> bool:
        slots = self._slots.get(model)
        return slots is None or self._running_counts.get(model, 0) < slots

    def _refresh_slots(self, now: float) -> None:
        if now < self._slots_refreshed_at + _SLOT_REFRESH_INTERVAL_SECONDS:
            return
        self._slots_refreshed_at = now
        live_nodes = self.blackboard.membership.count_live_nodes()
        self._slots.clear()
        for model, capacity in _capacity.estimate_capacities(self.blackboard).items():
            own_running = self._running_counts.get(model, 0)
            self._slots[model] = _capacity.compute_node_slots(
                capacity.slots, own_running, live_nodes
            )
            self._get_service_time(model).set_prior(capacity.token_seconds)

    def _admit(self, event: _answer_messages.PromptArrived, now: float) -> None:
        self._running[event.request] = _Running(event=event, started_at=now)
        self._running_counts[event.model] = self._running_counts.get(event.model, 0) + 1
        self.blackboard.limits.admitted[event.request] = event.account

    def record_attempt_end(
        self, event: _answer_messages.AttemptEnded, now: float
    ) -> None:
        """Release the slot of a complete answer and record its service time."""
        running = self._running.get(event.request)
        answer = self.blackboard.answers.answers.get(event.request)
        if running is None or answer is None or answer.epoch != event.epoch:
            return
        if answer.is_truncated(event.end):
            return
        cost = compute_cost(running.event, max(1, len(answer.sent)))
        seconds = now - running.started_at
        self._get_service_time(running.event.model).record_sample(seconds, cost)
        self._release_slot(event.request)

    def _release_slot(self, request: ids.RequestId) -> None:
        running = self._running.pop(request, None)
        if running is not None:
            self._running_counts[running.event.model] -= 1

    def remove_request(self, request: ids.RequestId) -> None:
        """Remove a request that ended from its queue or its slot."""
        self._release_slot(request)
        event = self._queued.pop(request, None)
        if event is not None:
            self._queues[event.model].remove(event)
            self._update_area()

    def start_queued(self, now: float) -> collections.abc.Iterator[_dispatch.Command]:
        """Start queued requests in free slots and refuse expired ones."""
        self._refresh_slots(now)
        yield from self._refuse_expired(now)
        for model, queue in self._queues.items():
            while queue and self._has_free_slot(model):
                entry = queue.pop()
                assert entry is not None
                del self._queued[entry.event.request]
                yield self._start_or_refuse(entry, now)
                self._update_area()

    def _start_or_refuse(
        self, entry: _fairness.Entry, now: float
    ) -> _limit_messages.StartQueued | _answer_messages.Refuse:
        """Start a queued request, or refuse it when its deadline is out of reach."""
        event = entry.event
        service_seconds = self._get_service_time(event.model).predict_upper_bound(
            entry.cost
        )
        if self.early_refusal and now + service_seconds > event.deadline:
            return self._make_unreachable_refusal(event)
        self._admit(event, now)
        return _limit_messages.StartQueued(event=event)

    def _make_unreachable_refusal(
        self, event: _answer_messages.PromptArrived
    ) -> _answer_messages.Refuse:
        wait_seconds = self._predict_wait_seconds(
            event.model, self._queues[event.model].cost
        )
        reason = reasons.RefusalReason.DEADLINE_UNREACHABLE
        return make_refusal(event, reason, max(_MIN_RETRY_AFTER_SECONDS, wait_seconds))

    def _refuse_expired(
        self, now: float
    ) -> collections.abc.Iterator[_answer_messages.Refuse]:
        """Refuse queued requests that can no longer finish by their deadline."""
        while self._latest_starts and self._latest_starts[0][0] <= now:
            _, request = heapq.heappop(self._latest_starts)
            event = self._queued.get(request)
            if event is None:
                continue
            self.remove_request(request)
            yield self._make_unreachable_refusal(event)

    def _update_area(self) -> None:
        area = self.blackboard.limits
        area.queued = len(self._queued)
        area.queued_cost = sum(queue.cost for queue in self._queues.values())


def make_refusal(
    event: _limit_messages.Arrival,
    reason: reasons.RefusalReason,
    retry_after_seconds: float,
) -> _answer_messages.Refuse:
    """Return the final refusal of a request that was not run."""
    return _answer_messages.Refuse(
        request=event.request,
        reason=reason,
        detail=f"Not run: {reason.value.replace('_', ' ')}.",
        retry_after_seconds=retry_after_seconds,
    )
