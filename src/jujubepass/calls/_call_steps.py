"""Steps of a call that may not be repeated, from its row to its answer."""

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
_SHORTEST_TIMEOUT_SECONDS = 0.1
_SETTLING_SHARE = 0.25
_LONGEST_SETTLING_SECONDS = 2.0
_RAN = 200

Commands = list[_dispatch.Command]
_Step = _call_area.CallStep
_State = _call_area.CallState


@attrs.define(kw_only=True)
class CallSteps:
    """Move open calls on; every send follows a write known to be this attempt's."""

    blackboard: _blackboard.Blackboard
    counters: counters.Counters
    journal: _call_journal.CallJournal
    balance: _service_balance.ServiceBalance
    _alarms: list[tuple[float, int, str]] = attrs.field(factory=list, init=False)
    _numbers: collections.abc.Iterator[int] = attrs.field(
        factory=itertools.count, init=False
    )
    by_attempt: dict[ids.AttemptId, _call_area.OpenCall] = attrs.field(
        factory=dict, init=False
    )
    resumed_at: float = attrs.field(default=float("-inf"), init=False)

    @property
    def open_calls(self) -> dict[str, _call_area.OpenCall]:
        """Return the calls this node works on, by row."""
        return self.blackboard.calls.open

    def wake_at(self, call: _call_area.OpenCall, at: float) -> None:
        """Look at a call again at a time."""
        heapq.heappush(self._alarms, (at, next(self._numbers), call.key))

    def take_due(self, now: float) -> list[_call_area.OpenCall]:
        """Return the calls to look at now, each once."""
        due: dict[str, _call_area.OpenCall] = {}
        while self._alarms and self._alarms[0][0] <= now:
            key = heapq.heappop(self._alarms)[2]
            if key in self.open_calls:
                due[key] = self.open_calls[key]
        return list(due.values())

    def retry_later(self, call: _call_area.OpenCall, now: float) -> None:
        """Repeat the step's question after a growing delay."""
        timing = self.journal.timing
        delay = timing.poll_seconds * 2.0 ** min(call.retries, 10)
        call.retries += 1
        call.retry_at = now + min(delay, timing.longest_poll_seconds)
        self.wake_at(call, call.retry_at)

    def add_waiter(
        self, call: _call_area.OpenCall, event: _call_messages.CallArrived
    ) -> None:
        """Answer one more request from this call."""
        call.arrived = call.arrived or event
        call.waiters[event.request] = event.deadline
        self.wake_at(call, event.deadline)

    def open(self, call: _call_area.OpenCall, now: float) -> Commands:
        """Write the row of a new attempt."""
        if call.arrived is None or not call.waiters:
            return self.close(call, _State.NOT_RUN, now)
        service = call.arrived.service
        backend = None
        if call.attempts < _MAX_ATTEMPTS:
            backend = self.balance.choose(service, now, avoid=call.refused_by)
        if backend is None:
            return self._go_on_without_backend(call, service, now)
        call.backend = ids.BackendServerId(backend.vm.name)
        return self._write_attempt(call, _Step.OPENING, now)

    def _go_on_without_backend(
        self, call: _call_area.OpenCall, service: ids.ServiceId, now: float
    ) -> Commands:
        """Refuse, but look first whether an earlier request left a row."""
        if call.row_state is None and not call.row_is_read:
            call.step = _Step.WAITING
            call.retry_at = now
            self.wake_at(call, now)
            return []
        reason = self._explain_no_backend(call, service)
        pause = max(_RETRY_AFTER_SECONDS, self.balance.find_pause(service, now))
        return [
            *self.refuse(call, reason, pause),
            *self.close(call, _State.NOT_RUN, now),
        ]

    def _explain_no_backend(
        self, call: _call_area.OpenCall, service: ids.ServiceId
    ) -> reasons.RefusalReason:
        if call.refused_by:
            return reasons.RefusalReason.BACKEND_REFUSED
        if self.blackboard.backends.list_service(service):
            return reasons.RefusalReason.CIRCUIT_OPEN
        return reasons.RefusalReason.BACKEND_UNAVAILABLE

    def _write_attempt(
        self, call: _call_area.OpenCall, step: _call_area.CallStep, now: float
    ) -> Commands:
        self.by_attempt.pop(call.attempt, None)
        call.attempts += 1
        name = call.arrived.request if call.arrived else next(self._numbers)
        owner = self.blackboard.identity.incarnation
        call.attempt = ids.AttemptId(f"{name}/{owner}/{call.attempts}")
        self.by_attempt[call.attempt] = call
        if step is _Step.OPENING:
            call.unsent.add(call.attempt)
        call.step = step
        call.may_be_written = False
        call.written_at = now
        call.retries = 0
        return list(self.journal.write(call, now))

    def send(self, call: _call_area.OpenCall, now: float) -> Commands:
        """Send the attempt whose row is known, inside its window."""
        if call.arrived is None or not call.waiters:
            return self.close(call, _State.NOT_RUN, now)
        send_before = call.written_at + self.journal.timing.send_window_seconds
        backend = self.blackboard.backends.services.get(call.backend)
        paused_since = call.written_at < self.resumed_at
        if now >= send_before or paused_since or backend is None:
            self.counters.count_retry(reasons.RetryReason.SEND_WINDOW_PASSED)
            return self.open(call, now)
        left = max(call.waiters.values()) - now
        settling = min(_LONGEST_SETTLING_SECONDS, _SETTLING_SHARE * left)
        call.step = _Step.SENDING
        call.unsent.discard(call.attempt)
        call.doubted = call.attempt
        self.balance.begin(call.backend, now)
        command = _call_messages.SendCall(
            request=call.arrived.request,
            attempt=call.attempt,
            backend=call.backend,
            address=backend.vm.address,
            path=call.arrived.path,
            body=call.arrived.body,
            key=call.backend_key,
            fencing=call.fencing,
            timeout_seconds=max(_SHORTEST_TIMEOUT_SECONDS, left - settling),
            send_before=send_before,
            reuse_connection=backend.vm.checks_fencing and backend.vm.answers_outcomes,
        )
        return [command]

    def settle(self, call: _call_area.OpenCall, now: float) -> Commands:
        """Find out what became of an attempt that may have run."""
        server = self.blackboard.backends.services.get(call.backend)
        if server is None:
            cause = reasons.UnknownCause.BACKEND_IS_GONE
            return [*self.refuse_unknown(call, cause), *self.drop(call, now)]
        if not server.vm.answers_outcomes:
            cause = reasons.UnknownCause.BACKEND_CANNOT_BE_ASKED
            return self.leave_unknown(call, cause, now)
        if server.vm.checks_fencing:
            return self._write_attempt(call, _Step.TAKING_OVER, now)
        self.by_attempt.pop(call.attempt, None)
        call.attempt = ids.AttemptId(f"{call.attempt}/asked")
        self.by_attempt[call.attempt] = call
        call.fencing = ids.FencingNumber(0)
        call.retries = 0
        return self.ask(call, now)

    def ask(self, call: _call_area.OpenCall, now: float) -> Commands:
        """Ask the backend server; a fencing number over 0 fences it first."""
        server = self.blackboard.backends.services.get(call.backend)
        if server is None:
            cause = reasons.UnknownCause.BACKEND_IS_GONE
            return [*self.refuse_unknown(call, cause), *self.drop(call, now)]
        call.step = _Step.ASKING
        call.retry_at = float("inf")
        command = _call_messages.AskOutcome(
            request=call.arrived.request if call.arrived else ids.RequestId(""),
            attempt=call.attempt,
            address=server.vm.address,
            key=call.backend_key,
            fencing=call.fencing,
        )
        return [command]

    def go_on_after_outcome(
        self, call: _call_area.OpenCall, event: _call_messages.OutcomeTold, now: float
    ) -> Commands:
        """Act on what the backend server knows of the call."""
        if event.state is _call_messages.OutcomeState.RUN:
            result = json.dumps(json.loads(event.body).get("result"))
            return self.finish(call, _RAN, result, now)
        if call.fencing:
            self.counters.count_retry(reasons.RetryReason.CALL_TAKEN_OVER)
            return self.send(call, now)
        return self.ask_again(call, reasons.UnknownCause.ABSENT_BUT_NOT_FENCED, now)

    def ask_again(
        self, call: _call_area.OpenCall, cause: reasons.UnknownCause, now: float
    ) -> Commands:
        """Ask later while a caller waits; else leave the outcome unknown."""
        call.doubt = cause
        if call.waiters:
            self.retry_later(call, now)
            return []
        return self.leave_unknown(call, cause, now)

    def finish(
        self, call: _call_area.OpenCall, status: int, body: str, now: float
    ) -> Commands:
        """Answer all who wait and keep the answer."""
        answers = self.answer(call, status, body)
        call.closing_status = status
        call.closing_body = _call_rows.bound_body(body)
        return [*answers, *self.close(call, _State.DONE, now)]

    def answer(
        self, call: _call_area.OpenCall, status: int, body: str | None
    ) -> Commands:
        """Answer all who wait."""
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
        """Refuse all who wait."""
        requests = list(call.waiters)
        call.waiters.clear()
        return [make_refusal(each, reason, retry_after_seconds) for each in requests]

    def refuse_unknown(
        self, call: _call_area.OpenCall, cause: reasons.UnknownCause
    ) -> Commands:
        """Tell all who wait that the outcome is unknown."""
        for _ in call.waiters:
            self.counters.count_unknown(cause)
        return self.refuse(call, reasons.RefusalReason.OUTCOME_UNKNOWN)

    def leave_unknown(
        self, call: _call_area.OpenCall, cause: reasons.UnknownCause, now: float
    ) -> Commands:
        """Keep that the outcome is unknown, for whoever asks next."""
        commands = self.refuse_unknown(call, cause)
        if call.row_state is _State.UNKNOWN:
            return [*commands, *self.drop(call, now)]
        return [*commands, *self.close(call, _State.UNKNOWN, now)]

    def close(
        self, call: _call_area.OpenCall, state: _call_area.CallState, now: float
    ) -> Commands:
        """Write the end; from here on this node never sends the call."""
        call.step = _Step.CLOSING
        call.closing_state = state
        call.closing_until = now + self.journal.timing.closing_seconds
        call.retries = 0
        if not call.version and not call.may_be_written:
            return self.drop(call, now)
        return list(self.journal.write(call, now))

    def drop(self, call: _call_area.OpenCall, now: float) -> Commands:
        """Forget a call; requests that came meanwhile start it anew."""
        self.open_calls.pop(call.key, None)
        self.by_attempt.pop(call.attempt, None)
        commands: Commands = []
        for event in call.later:
            commands += self.start(event, now)
        return commands

    def start(self, event: _call_messages.CallArrived, now: float) -> Commands:
        """Begin a call, or join the one with the same key."""
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
            return self.open(call, now)
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
        call.later.append(event)
        self.wake_at(call, event.deadline)
        return []


def make_refusal(
    request: ids.RequestId,
    reason: reasons.RefusalReason,
    retry_after_seconds: float = _RETRY_AFTER_SECONDS,
) -> _answer_messages.Refuse:
    """Make a refusal of one request."""
    return _answer_messages.Refuse(
        request=request,
        reason=reason,
        detail=_explain(reason),
        retry_after_seconds=retry_after_seconds,
    )


def _explain(reason: reasons.RefusalReason) -> str:
    text = reason.code.replace("_", " ")
    if reason is reasons.RefusalReason.OUTCOME_UNKNOWN:
        return f"{text}: send the same key again, or GET /v1/calls/KEY"
    if reason is reasons.RefusalReason.STORE_UNAVAILABLE:
        return f"{text}: not run; GET /v1/calls/KEY if the key was sent before"
    return text
