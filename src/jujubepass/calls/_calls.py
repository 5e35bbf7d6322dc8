"""Controller that executes non-repeatable calls at most once."""

import collections.abc
import json

import attrs

from jujubepass import counters, ids, reasons
from jujubepass.calls import (
    _call_answers,
    _call_area,
    _call_messages,
    _call_rows,
    _call_steps,
)
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.storage import _store_health, _store_messages, _store_writer

_READ_PREFIX = "calls/read/"
_STATE_READ_PREFIX = "calls/ask/"
_MAX_KEYS_PER_READ = 100
_OK = 200

Commands = collections.abc.Iterable[_dispatch.Command]
_Step = _call_area.CallStep
_State = _call_area.CallState
_Reason = reasons.RefusalReason


@attrs.define(kw_only=True)
class CallController:
    """Write each call to the table before sending; resolve unclear outcomes."""

    blackboard: _blackboard.Blackboard
    counters: counters.Counters
    steps: _call_steps.CallSteps
    health: _store_health.StoreHealth
    _read_count: int = attrs.field(default=0, init=False)
    _pending_reads: dict[_store_messages.OperationId, tuple[str, ...]] = attrs.field(
        factory=dict, init=False
    )
    _state_reads: dict[_store_messages.OperationId, tuple[ids.RequestId, str]] = (
        attrs.field(factory=dict, init=False)
    )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.process_due_calls,
            _node_messages.PauseDetected: self.record_pause,
            _call_messages.WallClockRead: self.set_clock,
            _call_messages.CallArrived: self.start,
            _call_messages.CallAsked: self.read_state,
            _store_messages.Transacted: self.handle_write_outcome,
            _store_messages.TransactionConflicted: self.handle_write_outcome,
            _store_messages.TransactionUnsent: self.handle_write_outcome,
            _store_messages.TransactionUnclear: self.handle_write_outcome,
            _store_messages.RowsRead: self.handle_rows,
            _store_messages.ReadFailed: self.handle_failed_read,
            _call_messages.CallAnswered: self.finish,
            _call_messages.CallUnsent: self.retry_unsent,
            _call_messages.CallUnclear: self.handle_unclear,
            _call_messages.OutcomeTold: self.handle_outcome,
            _call_messages.OutcomeUntold: self.retry_query,
        }

    def record_pause(self, event: _node_messages.PauseDetected, now: float) -> Commands:
        """Record a pause; rows written before it no longer permit a send."""
        self.steps.resumed_at = now
        return ()

    def set_clock(self, event: _call_messages.WallClockRead, now: float) -> Commands:
        """Set the wall-clock time."""
        self.steps.journal.set_clock(event, now)
        return ()

    def start(self, event: _call_messages.CallArrived, now: float) -> Commands:
        """Start an admitted call, or refuse it while the table is unavailable."""
        if event.request not in self.blackboard.limits.admitted:
            return ()
        if self.blackboard.calls.store_is_down:
            reason = _Reason.STORE_UNAVAILABLE
            return (_call_steps.make_refusal(event.request, reason),)
        return self.steps.start(event, now)

    def process_due_calls(self, event: _node_messages.Tick, now: float) -> Commands:
        """Expire or retry the calls that are due."""
        commands: list[_dispatch.Command] = list(self.health.probe(now))
        to_read = []
        for call in self.steps.pop_due(now):
            commands += self._expire(call, now)
            if call.key not in self.steps.open_calls or now < call.retry_at:
                continue
            call.retry_at = float("inf")
            if call.step is _Step.WAITING:
                to_read.append(call.key)
            else:
                commands += self._repeat(call, now)
        for start in range(0, len(to_read), _MAX_KEYS_PER_READ):
            commands.append(self._read(to_read[start : start + _MAX_KEYS_PER_READ]))
        return commands

    def _read(self, keys: collections.abc.Iterable[str]) -> _store_messages.ReadRows:
        self._read_count += 1
        operation = _store_messages.OperationId(f"{_READ_PREFIX}{self._read_count}")
        self._pending_reads[operation] = tuple(keys)
        return _store_messages.ReadRows(operation=operation, keys=tuple(keys))

    def _repeat(self, call: _call_area.OpenCall, now: float) -> Commands:
        if call.step is _Step.QUERYING:
            return self.steps.query_outcome(call, now)
        if call.step is _Step.CLOSING and now > call.closing_until:
            return self.steps.drop(call, now)
        return self.steps.journal.write(call, now)

    def _expire(self, call: _call_area.OpenCall, now: float) -> list[_dispatch.Command]:
        """Refuse the requests whose deadline has passed."""
        overdue = [event for event in call.deferred if event.deadline <= now]
        call.deferred = [event for event in call.deferred if event.deadline > now]
        commands: list[_dispatch.Command] = [
            _call_steps.make_refusal(event.request, _Reason.STORE_UNAVAILABLE)
            for event in overdue
        ]
        expired = [each for each, deadline in call.waiters.items() if deadline <= now]
        for request in expired:
            del call.waiters[request]
            commands.append(
                _call_steps.make_refusal(request, self._choose_expiry_reason(call))
            )
        if expired and not call.waiters and call.step is _Step.WAITING:
            commands += self.steps.drop(call, now)
        return commands

    def _choose_expiry_reason(self, call: _call_area.OpenCall) -> reasons.RefusalReason:
        if call.step is _Step.OPENING or not call.version:
            row_may_exist = call.may_be_written or self.blackboard.calls.store_is_down
            if row_may_exist:
                return _Reason.STORE_UNAVAILABLE
            return _Reason.DEADLINE_UNREACHABLE
        cause = {
            _Step.WAITING: reasons.UnknownCause.OTHER_NODE_IS_BUSY,
            _Step.TAKING_OVER: reasons.UnknownCause.STORE_IS_SILENT,
        }.get(call.step, call.unknown_cause)
        self.counters.count_unknown_outcome(cause)
        return _Reason.OUTCOME_UNKNOWN

    def handle_write_outcome(
        self, event: _store_writer.TransactionEvent, now: float
    ) -> Commands:
        """Continue each call according to the outcome of its row's write."""
        if isinstance(event, _store_messages.TransactionUnsent):
            self.health.record_refusal(now)
        elif isinstance(event, _store_messages.TransactionUnclear):
            self.health.record_unclear_write(now)
        else:
            self.health.record_success()
        outcomes, started = self.steps.journal.writer.complete(event)
        commands: list[_dispatch.Command] = list(started)
        for outcome in outcomes:
            call = self.steps.open_calls[outcome.key]
            if call.step is _Step.CLOSING:
                commands += self._handle_closing_outcome(call, outcome, now)
            else:
                commands += self._handle_opening_outcome(call, outcome, now)
        return commands

    def _handle_opening_outcome(
        self,
        call: _call_area.OpenCall,
        outcome: _store_writer.WriteOutcome,
        now: float,
    ) -> Commands:
        if outcome.state is _store_writer.WriteState.WRITTEN:
            return self._handle_written(call, outcome.version, now)
        if outcome.row is not None:
            return self._handle_conflict(call, outcome.row, now)
        unclear = outcome.state is _store_writer.WriteState.UNCLEAR
        if unclear:
            call.may_be_written = True
            self.counters.count_retry(reasons.RetryReason.TABLE_AMBIGUOUS)
        opening = call.step is _Step.OPENING
        if opening and not (call.may_be_written and call.waiters):
            return [
                *self.steps.refuse(call, _Reason.STORE_UNAVAILABLE),
                *self.steps.close(call, _State.NOT_RUN, now),
            ]
        if not call.waiters:
            return self.steps.drop(call, now)
        self.steps.schedule_retry(call, now)
        return ()

    def _handle_written(
        self, call: _call_area.OpenCall, version: int, now: float
    ) -> Commands:
        call.version = version
        call.fencing = ids.FencingNumber(version)
        call.row_state = _State.DISPATCHED
        call.may_be_written = False
        if call.step is _Step.OPENING:
            return self.steps.send(call, now)
        return self.steps.query_outcome(call, now)

    def _handle_conflict(
        self,
        call: _call_area.OpenCall,
        stored: _store_messages.VersionedRow,
        now: float,
    ) -> Commands:
        call.may_be_written = False
        if not stored.version:
            call.version = 0
            return self.steps.open_attempt(call, now)
        row = _call_rows.read_value(stored.value)
        if row.attempt == call.attempt and row.state is _State.DISPATCHED:
            return self._handle_written(call, stored.version, now)
        self.counters.count_retry(reasons.RetryReason.TABLE_CONFLICT)
        return self.handle_existing_row(call, row, stored.version, now)

    def _handle_closing_outcome(
        self,
        call: _call_area.OpenCall,
        outcome: _store_writer.WriteOutcome,
        now: float,
    ) -> Commands:
        if outcome.state is _store_writer.WriteState.WRITTEN:
            return self.steps.drop(call, now)
        if outcome.row is None:
            self.steps.schedule_retry(call, now)
            return ()
        if not outcome.row.version:
            return self.steps.drop(call, now)
        row = _call_rows.read_value(outcome.row.value)
        open_states = (_State.DISPATCHED, _State.UNKNOWN)
        own_write = row.attempt in call.not_run_attempts and row.state in open_states
        done = call.closing_state is _State.DONE and row.state is not _State.DONE
        if not (own_write or done):
            return self.steps.drop(call, now)
        call.version = outcome.row.version
        return self.steps.journal.write(call, now)

    def handle_existing_row(
        self,
        call: _call_area.OpenCall,
        row: _call_rows.CallRow,
        version: int,
        now: float,
    ) -> Commands:
        """Continue a call according to the row of another attempt."""
        if row.digest != call.digest:
            refusals = self.steps.refuse(call, _Reason.IDEMPOTENCY_KEY_REUSED)
            return [*refusals, *self.steps.drop(call, now)]
        call.version = version
        call.row_state = row.state
        call.backend = row.backend
        if row.state is _State.DONE:
            answers = self.steps.answer(call, row.status, row.body)
            return [*answers, *self.steps.drop(call, now)]
        if row.state is _State.NOT_RUN or row.attempt in call.not_run_attempts:
            return self.steps.open_attempt(call, now)
        call.uncertain_attempt = row.attempt
        abandoned = self.steps.journal.is_abandoned(row, now)
        if row.state is _State.UNKNOWN or abandoned:
            return self.steps.resolve_outcome(call, now)
        call.step = _Step.WAITING
        self.steps.schedule_retry(call, now)
        return ()

    def handle_rows(self, event: _store_messages.RowsRead, now: float) -> Commands:
        """Continue the calls whose rows were read."""
        self.health.record_probe(event, now)
        if event.operation in self._state_reads:
            return self._answer_state(event)
        commands: list[_dispatch.Command] = []
        for key in self._pending_reads.pop(event.operation, ()):
            call = self.steps.open_calls.get(key)
            if call is None or call.step is not _Step.WAITING:
                continue
            stored = event.rows.get(key)
            if stored is None:
                call.version = 0
                call.row_is_read = True
                commands += self.steps.open_attempt(call, now)
            else:
                row = _call_rows.read_value(stored.value)
                commands += self.handle_existing_row(call, row, stored.version, now)
        return commands

    def handle_failed_read(
        self, event: _store_messages.ReadFailed, now: float
    ) -> Commands:
        """Retry the failed reads of calls; refuse a state query."""
        self.health.record_probe(event, now)
        for key in self._pending_reads.pop(event.operation, ()):
            if key in self.steps.open_calls:
                self.steps.schedule_retry(self.steps.open_calls[key], now)
        state_read = self._state_reads.pop(event.operation, None)
        if state_read is None:
            return ()
        return (_call_steps.make_refusal(state_read[0], _Reason.STORE_UNAVAILABLE),)

    def finish(self, event: _call_messages.CallAnswered, now: float) -> Commands:
        """Answer the caller, or handle a refusal or an unclear answer."""
        call = self._find_sending_call(event.attempt)
        if call is None:
            return ()
        self.steps.balance.end_attempt(call.backend)
        self.steps.balance.record_success(call.backend, now)
        result = _call_answers.classify_answer(event)
        if result is _call_answers.AttemptResult.RUN:
            return self.steps.finish(call, event.status, event.body, now)
        if result is _call_answers.AttemptResult.REFUSED:
            self.counters.count_retry(reasons.RetryReason.CALL_REFUSED)
            call.refused_by.add(call.backend)
            call.not_run_attempts.add(call.attempt)
            return self.steps.open_attempt(call, now)
        if result is _call_answers.AttemptResult.OLD_FENCING:
            call.step = _Step.WAITING
            self.steps.schedule_retry(call, now)
            return ()
        return self.steps.resolve_outcome(call, now)

    def _find_sending_call(self, attempt: ids.AttemptId) -> _call_area.OpenCall | None:
        call = self.steps.by_attempt.get(attempt)
        return call if call is not None and call.step is _Step.SENDING else None

    def retry_unsent(self, event: _call_messages.CallUnsent, now: float) -> Commands:
        """Write another attempt after one that was definitely not sent."""
        call = self._find_sending_call(event.attempt)
        if call is None:
            return ()
        self.steps.balance.end_attempt(call.backend)
        call.not_run_attempts.add(call.attempt)
        in_time = now < call.written_at + self.steps.journal.timing.send_window_seconds
        if in_time:
            self.steps.balance.record_failure(call.backend, now)
            self.counters.count_retry(reasons.RetryReason.CONNECT_FAILED)
            call.refused_by.add(call.backend)
        else:
            self.counters.count_retry(reasons.RetryReason.SEND_WINDOW_PASSED)
        return self.steps.open_attempt(call, now)

    def handle_unclear(self, event: _call_messages.CallUnclear, now: float) -> Commands:
        """Resolve the outcome of an attempt without an answer."""
        call = self._find_sending_call(event.attempt)
        if call is None:
            return ()
        self.steps.balance.end_attempt(call.backend)
        self.steps.balance.record_failure(call.backend, now)
        return self.steps.resolve_outcome(call, now)

    def handle_outcome(self, event: _call_messages.OutcomeTold, now: float) -> Commands:
        """Continue a call according to the outcome reported by its server."""
        call = self.steps.by_attempt.get(event.attempt)
        if call is None or call.step is not _Step.QUERYING:
            return ()
        self.steps.balance.record_success(call.backend, now)
        return self.steps.handle_outcome(call, event, now)

    def retry_query(self, event: _call_messages.OutcomeUntold, now: float) -> Commands:
        """Query the outcome again while a caller waits."""
        call = self.steps.by_attempt.get(event.attempt)
        if call is None or call.step is not _Step.QUERYING:
            return ()
        cause = reasons.UnknownCause.BACKEND_IS_SILENT
        return self.steps.retry_query(call, cause, now)

    def read_state(self, event: _call_messages.CallAsked, now: float) -> Commands:
        """Read the row for an admitted state query."""
        if event.request not in self.blackboard.limits.admitted:
            return ()
        operation = _store_messages.OperationId(f"{_STATE_READ_PREFIX}{event.request}")
        key = _call_rows.make_row_key(event.account, event.key)
        self._state_reads[operation] = (event.request, key)
        return (_store_messages.ReadRows(operation=operation, keys=(key,)),)

    def _answer_state(self, event: _store_messages.RowsRead) -> Commands:
        request, key = self._state_reads.pop(event.operation)
        stored = event.rows.get(key)
        state: dict[str, object] = {"state": "absent"}
        backend = ids.BackendServerId("")
        if stored is not None:
            row = _call_rows.read_value(stored.value)
            backend = row.backend
            state = {"state": row.state.value, "backend": backend}
            if row.state is _State.DONE:
                state |= {"status": row.status, "body": row.body}
        return (
            _call_messages.AnswerCall(
                request=request, status=_OK, body=json.dumps(state), backend=backend
            ),
        )
