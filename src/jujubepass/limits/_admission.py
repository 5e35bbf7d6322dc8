"""Admission of model requests to the engines: fair queues and early refusal."""

import collections.abc
import heapq

import attrs

from jujubepass import declarations, ids, reasons
from jujubepass.answers import _answer_messages
from jujubepass.limits import _capacity, _fairness, _limit_messages
from jujubepass.nodes import _blackboard, _dispatch

_PROMPT_WORDS_PER_COST = 16.0
_LEAST_WEIGHT = 0.01
_MAX_PRIORITY = 9
_SLOTS_PERIOD_SECONDS = 0.25
_RETRY_SECONDS = 1.0
_WAIT_MARGIN = 1.3

MakeQueue = collections.abc.Callable[[], _fairness.FairQueue]


def compute_cost(event: _answer_messages.PromptArrived, tokens: int) -> float:
    """Return a request's cost, in generated tokens."""
    return tokens + len(event.prompt) / _PROMPT_WORDS_PER_COST


def compute_weight(account: declarations.Account) -> float:
    """Return an account's part of the engines; each step up of the number halves it."""
    priority = min(max(account.priority, 0), _MAX_PRIORITY)
    return float(max(_LEAST_WEIGHT, account.weight) * 2.0 ** (1 - priority))


@attrs.define(kw_only=True)
class _Running:
    event: _answer_messages.PromptArrived
    started_at: float


@attrs.define(kw_only=True)
class Admission:
    """Let as many model requests to the engines as have places there.

    The rest wait in a fair queue a model, for as long as their deadlines can be met.
    """

    blackboard: _blackboard.Blackboard
    make_queue: MakeQueue = _fairness.StartTimeFairQueue
    early_refusal: bool = True
    maximum_queued: int = 2_000
    _queues: dict[ids.ModelId, _fairness.FairQueue] = attrs.field(
        factory=dict, init=False
    )
    _queued: dict[ids.RequestId, _answer_messages.PromptArrived] = attrs.field(
        factory=dict, init=False
    )
    _expiries: list[tuple[float, ids.RequestId]] = attrs.field(factory=list, init=False)
    _running: dict[ids.RequestId, _Running] = attrs.field(factory=dict, init=False)
    _counts: dict[ids.ModelId, int] = attrs.field(factory=dict, init=False)
    _service: dict[ids.ModelId, _capacity.ServiceTime] = attrs.field(
        factory=dict, init=False
    )
    _places: dict[ids.ModelId, int] = attrs.field(factory=dict, init=False)
    _slots_at: float = attrs.field(default=float("-inf"), init=False)

    def arrive(
        self, event: _answer_messages.PromptArrived, now: float
    ) -> _answer_messages.Refuse | None:
        """Start a request, queue it, or return its refusal."""
        self._refresh_places(now)
        queue = self._queues.get(event.model)
        if not queue and self._has_place(event.model):
            self._start(event, now)
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
        ahead = queue.predict_cost_ahead(event.account, weight)
        wait = self._predict_wait(event.model, ahead)
        if len(self._queued) >= self.maximum_queued:
            return refuse(event, reasons.RefusalReason.NODE_OVERLOADED, wait)
        service = self._get_service(event.model).predict_longest(cost)
        latest = now + wait * _WAIT_MARGIN + service
        if self.early_refusal and latest > event.deadline:
            reason = reasons.RefusalReason.DEADLINE_UNREACHABLE
            return refuse(event, reason, max(_RETRY_SECONDS, wait))
        entry = _fairness.Entry(event=event, cost=cost, weight=weight, queued_at=now)
        queue.push(entry)
        self._queued[event.request] = event
        latest_start = event.deadline - service
        heapq.heappush(self._expiries, (latest_start, event.request))
        self._publish()
        return None

    def _predict_wait(self, model: ids.ModelId, cost_ahead: float) -> float:
        """Predict when a place is free for a request behind this much cost."""
        seconds = self._get_service(model).predict_seconds(cost_ahead)
        return seconds / max(1, self._places.get(model, 1))

    def _get_service(self, model: ids.ModelId) -> _capacity.ServiceTime:
        return self._service.setdefault(model, _capacity.ServiceTime())

    def _has_place(self, model: ids.ModelId) -> bool:
        places = self._places.get(model)
        return places is None or self._counts.get(model, 0) < places

    def _refresh_places(self, now: float) -> None:
        if now < self._slots_at + _SLOTS_PERIOD_SECONDS:
            return
        self._slots_at = now
        nodes = self.blackboard.membership.count_live_nodes()
        self._places.clear()
        for model, capacity in _capacity.read_capacities(self.blackboard).items():
            own = self._counts.get(model, 0)
            self._places[model] = _capacity.divide_slots(capacity.slots, own, nodes)
            self._get_service(model).expect(capacity.token_seconds)

    def _start(self, event: _answer_messages.PromptArrived, now: float) -> None:
        self._running[event.request] = _Running(event=event, started_at=now)
        self._counts[event.model] = self._counts.get(event.model, 0) + 1
        self.blackboard.limits.admitted[event.request] = event.account

    def finish_engines(self, event: _answer_messages.AttemptEnded, now: float) -> None:
        """Free a place and learn the service time when engines end a whole answer."""
        running = self._running.get(event.request)
        answer = self.blackboard.answers.answers.get(event.request)
        if running is None or answer is None or answer.epoch != event.epoch:
            return
        if answer.is_cut_short(event.end):
            return
        cost = compute_cost(running.event, max(1, len(answer.sent)))
        seconds = now - running.started_at
        self._get_service(running.event.model).add(seconds, cost)
        self._leave_engines(event.request)

    def _leave_engines(self, request: ids.RequestId) -> None:
        running = self._running.pop(request, None)
        if running is not None:
            self._counts[running.event.model] -= 1

    def forget(self, request: ids.RequestId) -> None:
        """Drop a request that ended, wherever it is."""
        self._leave_engines(request)
        event = self._queued.pop(request, None)
        if event is not None:
            self._queues[event.model].remove(event)
            self._publish()

    def start_queued(self, now: float) -> collections.abc.Iterator[_dispatch.Command]:
        """Let waiting requests to places that are free."""
        self._refresh_places(now)
        yield from self._refuse_expired(now)
        for model, queue in self._queues.items():
            while queue and self._has_place(model):
                entry = queue.pop()
                assert entry is not None
                del self._queued[entry.event.request]
                yield self._start_in_time(entry, now)
                self._publish()

    def _start_in_time(
        self, entry: _fairness.Entry, now: float
    ) -> _limit_messages.StartQueued | _answer_messages.Refuse:
        """Start a request, or refuse it when it has become too late for it."""
        event = entry.event
        service = self._get_service(event.model).predict_longest(entry.cost)
        if self.early_refusal and now + service > event.deadline:
            return self._refuse_late(event)
        self._start(event, now)
        return _limit_messages.StartQueued(event=event)

    def _refuse_late(
        self, event: _answer_messages.PromptArrived
    ) -> _answer_messages.Refuse:
        wait = self._predict_wait(event.model, self._queues[event.model].cost)
        reason = reasons.RefusalReason.DEADLINE_UNREACHABLE
        return refuse(event, reason, max(_RETRY_SECONDS, wait))

    def _refuse_expired(
        self, now: float
    ) -> collections.abc.Iterator[_answer_messages.Refuse]:
        """Refuse what can no longer be whole in time, before it takes a place."""
        while self._expiries and self._expiries[0][0] <= now:
            _, request = heapq.heappop(self._expiries)
            event = self._queued.get(request)
            if event is None:
                continue
            self.forget(request)
            yield self._refuse_late(event)

    def _publish(self) -> None:
        area = self.blackboard.limits
        area.queued = len(self._queued)
        area.queued_cost = sum(queue.cost for queue in self._queues.values())


def refuse(
    event: _limit_messages.Arrival,
    reason: reasons.RefusalReason,
    retry_after_seconds: float,
) -> _answer_messages.Refuse:
    """Write a final refusal of a request that was not run."""
    return _answer_messages.Refuse(
        request=event.request,
        reason=reason,
        detail=f"Not run: {reason.value.replace('_', ' ')}.",
        retry_after_seconds=retry_after_seconds,
    )
