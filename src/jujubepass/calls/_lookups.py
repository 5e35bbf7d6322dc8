"""Controller that sends lookups, hedges slow ones and retries failed ones."""

import collections
import collections.abc
import heapq
import itertools

import attrs

from jujubepass import counters, ids, reasons
from jujubepass.answers import _answer_messages
from jujubepass.calls import (
    _call_area,
    _call_messages,
    _latency_window,
    _service_balance,
)
from jujubepass.limits import _retry_budget
from jujubepass.nodes import _blackboard, _dispatch, _node_messages

_SERVER_ERROR = 500
_MAX_ATTEMPTS = 3
_RETRY_AFTER_SECONDS = 1.0

Commands = collections.abc.Sequence[_dispatch.Command]
_Reason = reasons.RefusalReason


@attrs.define(kw_only=True)
class LookupController:
    """Send, hedge and retry lookups; write the lookups in progress."""

    blackboard: _blackboard.Blackboard
    counters: counters.Counters
    balance: _service_balance.ServiceBalance
    _budgets: dict[ids.ServiceId, _retry_budget.RetryBudget] = attrs.field(
        factory=lambda: collections.defaultdict(_retry_budget.RetryBudget), init=False
    )
    latencies: _latency_window.LatencyWindow = attrs.field(
        factory=lambda: _latency_window.LatencyWindow(
            initial_seconds=0.1, min_seconds=0.02
        )
    )
    _hedges: list[tuple[float, int, ids.RequestId]] = attrs.field(
        factory=list, init=False
    )
    _sequence: collections.abc.Iterator[int] = attrs.field(
        factory=itertools.count, init=False
    )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.hedge,
            _call_messages.LookupArrived: self.start,
            _call_messages.CallAnswered: self.answer,
            _call_messages.CallUnsent: self.retry,
            _call_messages.CallUnclear: self.retry,
            _answer_messages.CallerLeft: self.cancel,
        }

    def start(
        self, event: _call_messages.LookupArrived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Send an admitted lookup."""
        if event.request not in self.blackboard.limits.admitted:
            return ()
        self._budgets[event.service].count_attempt(now)
        lookup = _call_area.Lookup(arrival=event, started_at=now)
        self.blackboard.calls.lookups[event.request] = lookup
        commands = self._send(lookup, now)
        if not commands:
            return self._refuse(lookup, _Reason.BACKEND_UNAVAILABLE, now)
        hedge_at = now + self.latencies.get_hedge_delay()
        heapq.heappush(self._hedges, (hedge_at, next(self._sequence), event.request))
        return commands

    def _send(self, lookup: _call_area.Lookup, now: float) -> Commands:
        """Send one attempt, preferably to a server that was not tried yet."""
        arrival = lookup.arrival
        service = arrival.service
        backend = self.balance.choose(service, now, exclude=lookup.tried_backends)
        backend = backend or self.balance.choose(service, now)
        if backend is None or now >= arrival.deadline:
            return ()
        name = ids.BackendServerId(backend.vm.name)
        attempt = ids.AttemptId(f"{arrival.request}/{lookup.sent_count}")
        lookup.sent_count += 1
        lookup.tried_backends.add(name)
        lookup.attempts[attempt] = name
        lookup.sent_at[attempt] = now
        self.balance.begin_attempt(name, now)
        return (
            _call_messages.SendLookup(
                request=arrival.request,
                attempt=attempt,
                backend=name,
                address=backend.vm.address,
                path=arrival.path,
                timeout_seconds=arrival.deadline - now,
            ),
        )

    def hedge(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterator[_dispatch.Command]:
        """Send a second attempt of lookups that exceed the hedging delay."""
        while self._hedges and self._hedges[0][0] <= now:
            request = heapq.heappop(self._hedges)[2]
            lookup = self.blackboard.calls.lookups.get(request)
            if lookup is None or lookup.sent_count > 1:
                continue
            if not self._budgets[lookup.arrival.service].spend(now):
                continue
            self.counters.count_retry(reasons.RetryReason.LOOKUP_HEDGED)
            yield from self._send(lookup, now)

    def answer(
        self, event: _call_messages.CallAnswered, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Answer the caller and cancel other attempts; retry after a server error."""
        lookup = self.blackboard.calls.lookups.get(event.request)
        if lookup is None or event.attempt not in lookup.attempts:
            return ()
        if event.status >= _SERVER_ERROR:
            return self._retry(lookup, event.attempt, now)
        backend = lookup.attempts[event.attempt]
        self.latencies.add(now - lookup.sent_at[event.attempt])
        self.balance.record_success(backend, now)
        self._end_attempt(lookup, event.attempt)
        answer = _call_messages.AnswerCall(
            request=event.request,
            status=event.status,
            body=event.body,
            backend=backend,
        )
        return (answer, *self._drop(lookup))

    def _end_attempt(self, lookup: _call_area.Lookup, attempt: ids.AttemptId) -> None:
        self.balance.end_attempt(lookup.attempts.pop(attempt))

    def _drop(self, lookup: _call_area.Lookup) -> list[_dispatch.Command]:
        """Remove a lookup and cancel the attempts that still run."""
        self.blackboard.calls.lookups.pop(lookup.arrival.request, None)
        running = list(lookup.attempts)
        for attempt in running:
            self._end_attempt(lookup, attempt)
        return [_call_messages.CancelLookup(attempt=attempt) for attempt in running]

    def retry(
        self,
        event: _call_messages.CallUnsent | _call_messages.CallUnclear,
        now: float,
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Retry a lookup whose attempt got no answer."""
        lookup = self.blackboard.calls.lookups.get(event.request)
        if lookup is None or event.attempt not in lookup.attempts:
            return ()
        return self._retry(lookup, event.attempt, now)

    def _retry(
        self, lookup: _call_area.Lookup, attempt: ids.AttemptId, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Retry within the budget unless another attempt still runs."""
        self.balance.record_failure(lookup.attempts[attempt], now)
        self._end_attempt(lookup, attempt)
        if lookup.attempts:
            return ()
        if lookup.sent_count >= _MAX_ATTEMPTS:
            return self._refuse(lookup, _Reason.BACKEND_UNAVAILABLE, now)
        if not self._budgets[lookup.arrival.service].spend(now):
            return self._refuse(lookup, _Reason.RETRY_BUDGET_SPENT, now)
        self.counters.count_retry(reasons.RetryReason.LOOKUP_FAILED)
        commands = self._send(lookup, now)
        return commands or self._refuse(lookup, _Reason.BACKEND_UNAVAILABLE, now)

    def _refuse(
        self, lookup: _call_area.Lookup, reason: reasons.RefusalReason, now: float
    ) -> Commands:
        arrival = lookup.arrival
        wait_seconds = self.balance.predict_wait_seconds(arrival.service, now)
        refusal = _answer_messages.Refuse(
            request=arrival.request,
            reason=reason,
            detail=f"No backend server of {arrival.service} answered.",
            retry_after_seconds=max(_RETRY_AFTER_SECONDS, wait_seconds),
        )
        return (refusal, *self._drop(lookup))

    def cancel(
        self, event: _answer_messages.CallerLeft, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Cancel a lookup whose caller has disconnected."""
        lookup = self.blackboard.calls.lookups.get(event.request)
        return () if lookup is None else self._drop(lookup)
