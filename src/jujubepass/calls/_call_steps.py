"""State machine of a non-repeatable call, from its row to its answer."""

import collections.abc
import heapq
import itertools
import json

import attrs

from jujubepass import counters, ids, reasons
from jujubepass.answers import _answer_messages
from jujubepass.calls import (
    _call_area,
    _call_journal,
    _call_messages,
    _call_rows,
    _service_balance,
)
from jujubepass.nodes import _blackboard, _dispatch

_MAX_ATTEMPTS = 4
_RETRY_AFTER_SECONDS = 1.0
_MIN_TIMEOUT_SECONDS = 0.1
_RESOLUTION_SHARE = 0.25
_MAX_RESOLUTION_SECONDS = 2.0
_OK = 200

Commands = list[_dispatch.Command]
_Step = _call_area.CallStep
_State = _call_area.CallState


@attrs.define(kw_only=True)
class CallSteps:
    """Advance calls; send each attempt only after its row is confirmed written."""

    blackboard: _blackboard.Blackboard
    counters: counters.Counters
    journal: _call_journal.CallJournal
    balance: _service_balance.ServiceBalance
    _wakeups: list[tuple[float, int, str]] = attrs.field(factory=list, init=False)
    _sequence: collections.abc.Iterator[int] = attrs.field(
        factory=itertools.count, init=False
    )
    by_attempt: dict[ids.AttemptId, _call_area.OpenCall] = attrs.field(
        factory=dict, init=False
    )
    resumed_at: float = attrs.field(default=float("-inf"), init=False)

    @property
    def open_calls(self) -> dict[str, _call_area.OpenCall]:
        """Return this node's calls in progress by row key."""
        return self.blackboard.calls.open

    def schedule_wakeup(self, call: _call_area.OpenCall, at: float) -> None:
        """Schedule a call to be processed again at a time."""
        heapq.heappush(self._wakeups, (at, next(self._sequence), call.key))

    def pop_due(self, now: float) -> list[_call_area.OpenCall]:
        """Remove the wake-ups that are due; return their calls, each once."""
        due: dict[str, _call_area.OpenCall] = {}
        while self._wakeups and self._wakeups[0][0] <= now:
            key = heapq.heappop(self._wakeups)[2]
            if key in self.open_calls:
                due[key] = self.open_calls[key]
        return list(due.values())

    def schedule_retry(self, call: _call_area.OpenCall, now: float) -> None:
        """Schedule the current step again with exponential backoff."""
        timing = self.journal.timing
        delay = timing.initial_poll_seconds * 2.0 ** min(call.retries, 10)
        call.retries += 1
        call.retry_at = now + min(delay, timing.max_poll_seconds)
        self.schedule_wakeup(call, call.retry_at)

    def add_waiter(
        self, call: _call_area.OpenCall, event: _call_messages.CallArrived
    ) -> None:
        """Add a request that this call's outcome will answer."""
        call.arrival = call.arrival or event
        call.waiters[event.request] = event.deadline
        self.schedule_wakeup(call, event.deadline)

    def open_attempt(self, call: _call_area.OpenCall, now: float) -> Commands:
        """Choose a backend server and write the row of a new attempt."""
        if call.arrival is None or not call.waiters:
            return self.close(call, _State.NOT_RUN, now)
        service = call.arrival.service
        backend = None
        if call.attempts < _MAX_ATTEMPTS:
            backend = self.balance.choose(service, now, exclude=call.refused_by)
        if backend is None:
            return self._handle_no_backend(call, service, now)
        call.backend = ids.BackendServerId(backend.vm.name)
        return self._write_attempt(call, _Step.OPENING, now)

    def _handle_no_backend(
        self, call: _call_area.OpenCall, service: ids.ServiceId, now: float
    ) -> Commands:
        """Refuse the call, but first read whether an earlier request left a row."""
        if call.row_state is None and not call.row_is_read:
            call.step = _Step.WAITING
            call.retry_at = now
            self.schedule_wakeup(call, now)
            return []
        reason = self._choose_refusal_reason(call, service)
        retry_after_seconds = max(
            _RETRY_AFTER_SECONDS, self.balance.predict_wait_seconds(service, now)
        )
        return [
            *self.refuse(call, reason, retry_after_seconds),
            *self.close(call, _State.NOT_RUN, now),
        ]

    def _choose_refusal_reason(
        self, call: _call_area.OpenCall, service: ids.ServiceId
    ) -> reasons.RefusalReason:
        if call.refused_by:
            return reasons.RefusalReason.BACKEND_REFUSED
        if self.blackboard.backends.list_service_backends(service):
            return reasons.RefusalReason.CIRCUIT_OPEN
        return reasons.RefusalReason.BACKEND_UNAVAILABLE

    def _write_attempt(
        self, call: _call_area.OpenCall, step: _call_area.CallStep, now: float
    ) -> Commands:
        self.by_attempt.pop(call.attempt, None)
        call.attempts += 1
        name = call.arrival.request if call.arrival else next(self._sequence)
        incarnation = self.blackboard.identity.incarnation
        call.attempt = ids.AttemptId(f"{name}/{incarnation}/{call.attempts}")
        self.by_attempt[call.attempt] = call
        if step is _Step.OPENING:
            call.not_run_attempts.add(call.attempt)
        call.step = step
        call.may_be_written = False
        call.written_at = now
        call.retries = 0
        return list(self.journal.write(call, now))

    def send(self, call: _call_area.OpenCall, now: float) -> Commands:
        """Send the attempt whose row is written, or open a new one if too late."""
        if call.arrival is None or not call.waiters:
            return self.close(call, _State.NOT_RUN, now)
        send_before = call.written_at + self.journal.timing.send_window_seconds
        backend = self.blackboard.backends.services.get(call.backend)
        paused_since = call.written_at < self.resumed_at
        if now >= send_before or paused_since or backend is None:
            self.counters.count_retry(reasons.RetryReason.SEND_WINDOW_PASSED)
            return self.open_attempt(call, now)
        seconds_left = max(call.waiters.values()) - now
        resolution_seconds = min(
            _MAX_RESOLUTION_SECONDS, _RESOLUTION_SHARE * seconds_left
        )
        call.step = _Step.SENDING
        call.not_run_attempts.discard(call.attempt)
        call.uncertain_attempt = call.attempt
        self.balance.begin_attempt(call.backend, now)
        command = _call_messages.SendCall(
            request=call.arrival.request,
            attempt=call.attempt,
            backend=call.backend,
            address=backend.vm.address,
            path=call.arrival.path,
            body=call.arrival.body,
            key=call.backend_key,
            fencing=call.fencing,
            timeout_seconds=max(
                _MIN_TIMEOUT_SECONDS, seconds_left - resolution_seconds
            ),
            send_before=send_before,
            reuse_connection=backend.vm.checks_fencing and backend.vm.answers_outcomes,
        )
        return [command]

    def resolve_outcome(self, call: _call_area.OpenCall, now: float) -> Commands:
        """Resolve an attempt that may have run; fence it first if the server can."""
        server = self.blackboard.backends.services.get(call.backend)
        if server is None:
            cause = reasons.UnknownCause.BACKEND_IS_GONE
            return [*self.refuse_as_unknown(call, cause), *self.drop(call, now)]
        if not server.vm.answers_outcomes:
            cause = reasons.UnknownCause.BACKEND_CANNOT_BE_ASKED
            return self.close_as_unknown(call, cause, now)
        if server.vm.checks_fencing:
            return self._write_attempt(call, _Step.TAKING_OVER, now)
        self.by_attempt.pop(call.attempt, None)
        call.attempt = ids.AttemptId(f"{call.attempt}/asked")
        self.by_attempt[call.attempt] = call
        call.fencing = ids.FencingNumber(0)
        call.retries = 0
        return self.query_outcome(call, now)

    def query_outcome(self, call: _call_area.OpenCall, now: float) -> Commands:
        """Query the outcome; a fencing number above 0 blocks older attempts first."""
        server = self.blackboard.backends.services.get(call.backend)
        if server is None:
            cause = reasons.UnknownCause.BACKEND_IS_GONE
            return [*self.refuse_as_unknown(call, cause), *self.drop(call, now)]
        call.step = _Step.QUERYING
        call.retry_at = float("inf")
        command = _call_messages.AskOutcome(
            request=call.arrival.request if call.arrival else ids.RequestId(""),
            attempt=call.attempt,
            address=server.vm.address,
            key=call.backend_key,
            fencing=call.fencing,
        )
        return [command]

    def handle_outcome(
        self, call: _call_area.OpenCall, event: _call_messages.OutcomeTold, now: float
    ) -> Commands:
        """Finish, resend or query again, depending on the reported outcome."""
        if event.state is _call_messages.OutcomeState.RUN:
            result = json.dumps(json.loads(event.body).get("result"))
            return self.finish(call, _OK, result, now)
        if call.fencing:
            self.counters.count_retry(reasons.RetryReason.CALL_TAKEN_OVER)
            return self.send(call, now)
        return self.retry_query(call, reasons.UnknownCause.ABSENT_BUT_NOT_FENCED, now)

    def retry_query(
        self, call: _call_area.OpenCall, cause: reasons.UnknownCause, now: float
    ) -> Commands:
        """Query again later while a caller waits; else store the outcome as unknown."""
        call.unknown_cause = cause
        if call.waiters:
            self.schedule_retry(call, now)
            return []
        return self.close_as_unknown(call, cause, now)

    def finish(
        self, call: _call_area.OpenCall, status: int, body: str, now: float
    ) -> Commands:
        """Answer all waiting requests and store the answer."""
        answers = self.answer(call, status, body)
        call.closing_status = status
        call.closing_body = _call_rows.get_storable_body(body)
        return [*answers, *self.close(call, _State.DONE, now)]

    def answer(
        self, call: _call_area.OpenCall, status: int, body: str | None
    ) -> Commands:
        """Answer all waiting requests."""
        if body is None:
            return self.refuse(call, reasons.RefusalReason.ANSWER_NOT_KEPT)
        requests = list(call.waiters)
        call.waiters.clear()
        return [
            _call_messages.AnswerCall(
                request=request, status=status, body=body, backend=call.backend
            )
            for request in requests
        ]

    def refuse(
        self,
        call: _call_area.OpenCall,
        reason: reasons.RefusalReason,
        retry_after_seconds: float = _RETRY_AFTER_SECONDS,
    ) -> Commands:
        """Refuse all waiting requests."""
        requests = list(call.waiters)
        call.waiters.clear()
        return [make_refusal(each, reason, retry_after_seconds) for each in requests]

    def refuse_as_unknown(
        self, call: _call_area.OpenCall, cause: reasons.UnknownCause
    ) -> Commands:
        """Refuse all waiting requests because the outcome is unknown."""
        for _ in call.waiters:
            self.counters.count_unknown_outcome(cause)
        return self.refuse(call, reasons.RefusalReason.OUTCOME_UNKNOWN)

    def close_as_unknown(
        self, call: _call_area.OpenCall, cause: reasons.UnknownCause, now: float
    ) -> Commands:
        """Refuse waiting requests and store that the outcome is unknown."""
        commands = self.refuse_as_unknown(call, cause)
        if call.row_state is _State.UNKNOWN:
            return [*commands, *self.drop(call, now)]
        return [*commands, *self.close(call, _State.UNKNOWN, now)]

    def close(
        self, call: _call_area.OpenCall, state: _call_area.CallState, now: float
    ) -> Commands:
        """Write the final row; after this, this node never sends the call."""
        call.step = _Step.CLOSING
        call.closing_state = state
        call.closing_until = now + self.journal.timing.closing_timeout_seconds
        call.retries = 0
        if not call.version and not call.may_be_written:
            return self.drop(call, now)
        return list(self.journal.write(call, now))

    def drop(self, call: _call_area.OpenCall, now: float) -> Commands:
        """Remove a call and start the requests that arrived while it closed."""
        self.open_calls.pop(call.key, None)
        self.by_attempt.pop(call.attempt, None)
        commands: Commands = []
        for event in call.deferred:
            commands += self.start(event, now)
        return commands

    def start(self, event: _call_messages.CallArrived, now: float) -> Commands:
        """Start a call, or join the call in progress with the same key."""
        key = _call_rows.make_row_key(event.account, event.key)
        call = self.open_calls.get(key)
        if call is None:
            call = _call_area.OpenCall(
                key=key,
                digest=event.body_digest,
                backend_key=_call_rows.make_backend_key(event.account, event.key),
            )
            self.open_calls[key] = call
            self.add_waiter(call, event)
            return self.open_attempt(call, now)
        if call.digest != event.body_digest:
            reason = reasons.RefusalReason.IDEMPOTENCY_KEY_REUSED
            return [make_refusal(event.request, reason)]
        closing = call.step is _Step.CLOSING
        if closing or (call.step is _Step.OPENING and not call.waiters):
            return self._join_closing(call, event)
        self.add_waiter(call, event)
        return []

    def _join_closing(
        self, call: _call_area.OpenCall, event: _call_messages.CallArrived
    ) -> Commands:
        done = call.closing_state is _State.DONE
        if call.step is _Step.CLOSING and done:
            call.waiters[event.request] = event.deadline
            return self.answer(call, call.closing_status, call.closing_body)
        call.deferred.append(event)
        self.schedule_wakeup(call, event.deadline)
        return []


def make_refusal(
    request: ids.RequestId,
    reason: reasons.RefusalReason,
    retry_after_seconds: float = _RETRY_AFTER_SECONDS,
) -> _answer_messages.Refuse:
    """Make the refusal of one request."""
    return _answer_messages.Refuse(
        request=request,
        reason=reason,
        detail=_make_detail(reason),
        retry_after_seconds=retry_after_seconds,
    )


def _make_detail(reason: reasons.RefusalReason) -> str:
    text = reason.code.replace("_", " ")
    if reason is reasons.RefusalReason.OUTCOME_UNKNOWN:
        return f"{text}: send the same key again, or GET /v1/calls/KEY"
    if reason is reasons.RefusalReason.STORE_UNAVAILABLE:
        return f"{text}: not run; GET /v1/calls/KEY if the key was sent before"
    return text
