"""Controller that runs calls that may not be repeated, at most once."""

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
_ASK_PREFIX = "calls/ask/"
_LARGEST_READ = 100
_OK = 200

Commands = collections.abc.Iterable[_dispatch.Command]
_Step = _call_area.CallStep
_State = _call_area.CallState
_Reason = reasons.RefusalReason


@attrs.define(kw_only=True)
class CallController:
    """Journal each call in the table before it is sent; settle what is unclear."""

    blackboard: _blackboard.Blackboard
    counters: counters.Counters
    steps: _call_steps.CallSteps
    health: _store_health.StoreHealth
    _reads: int = attrs.field(default=0, init=False)
    _reading: dict[_store_messages.OperationId, tuple[str, ...]] = attrs.field(
        factory=dict, init=False
    )
    _asked: dict[_store_messages.OperationId, tuple[ids.RequestId, str]] = attrs.field(
        factory=dict, init=False
    )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.look,
            _node_messages.PauseDetected: self.note_pause,
            _call_messages.WallClockRead: self.set_clock,
            _call_messages.CallArrived: self.start,
            _call_messages.CallAsked: self.read_state,
            _store_messages.Transacted: self.go_on_after_write,
            _store_messages.TransactionConflicted: self.go_on_after_write,
            _store_messages.TransactionUnsent: self.go_on_after_write,
            _store_messages.TransactionUnclear: self.go_on_after_write,
            _store_messages.RowsRead: self.go_on_after_read,
            _store_messages.ReadFailed: self.go_on_after_failed_read,
            _call_messages.CallAnswered: self.finish,
            _call_messages.CallUnsent: self.send_elsewhere,
            _call_messages.CallUnclear: self.settle,
            _call_messages.OutcomeTold: self.go_on_after_outcome,
            _call_messages.OutcomeUntold: self.ask_again,
        }

    def note_pause(self, event: _node_messages.PauseDetected, now: float) -> Commands:
        """Send nothing on a row from before a pause: write it anew first."""
        self.steps.resumed_at = now
        return ()

    def set_clock(self, event: _call_messages.WallClockRead, now: float) -> Commands:
        """Take over the time of day."""
        self.steps.journal.set_clock(event, now)
        return ()

    def start(self, event: _call_messages.CallArrived, now: float) -> Commands:
        """Start an admitted call, or refuse it while the table is down."""
        if event.request not in self.blackboard.limits.admitted:
            return ()
        if self.blackboard.calls.store_is_down:
            reason = _Reason.STORE_UNAVAILABLE
            return (_call_steps.make_refusal(event.request, reason),)
        return self.steps.start(event, now)

    def look(self, event: _node_messages.Tick, now: float) -> Commands:
        """Look at the calls whose time has come."""
        commands: list[_dispatch.Command] = list(self.health.probe(now))
        to_read = []
        for call in self.steps.take_due(now):
            commands += self._expire(call, now)
            if call.key not in self.steps.open_calls or now < call.retry_at:
                continue
            call.retry_at = float("inf")
            if call.step is _Step.WAITING:
                to_read.append(call.key)
            else:
                commands += self._repeat(call, now)
        for start in range(0, len(to_read), _LARGEST_READ):
            commands.append(self._read(to_read[start : start + _LARGEST_READ]))
        return commands

    def _read(self, keys: collections.abc.Iterable[str]) -> _store_messages.ReadRows:
        self._reads += 1
        operation = _store_messages.OperationId(f"{_READ_PREFIX}{self._reads}")
        self._reading[operation] = tuple(keys)
        return _store_messages.ReadRows(operation=operation, keys=tuple(keys))

    def _repeat(self, call: _call_area.OpenCall, now: float) -> Commands:
        if call.step is _Step.ASKING:
            return self.steps.ask(call, now)
        if call.step is _Step.CLOSING and now > call.closing_until:
            return self.steps.drop(call, now)
        return self.steps.journal.write(call, now)

    def _expire(self, call: _call_area.OpenCall, now: float) -> list[_dispatch.Command]:
        """Refuse the requests whose deadline has passed."""
        late = [event for event in call.later if event.deadline <= now]
        call.later = [event for event in call.later if event.deadline > now]
        commands: list[_dispatch.Command] = [
            _call_steps.make_refusal(event.request, _Reason.STORE_UNAVAILABLE)
            for event in late
        ]
        expired = [each for each, deadline in call.waiters.items() if deadline <= now]
        for request in expired:
            del call.waiters[request]
            commands.append(
                _call_steps.make_refusal(request, self._explain_expiry(call))
            )
        if expired and not call.waiters and call.step is _Step.WAITING:
            commands += self.steps.drop(call, now)
        return commands

    def _explain_expiry(self, call: _call_area.OpenCall) -> reasons.RefusalReason:
        if call.step is _Step.OPENING or not call.version:
            doubtful = call.may_be_written or self.blackboard.calls.store_is_down
            if doubtful:
                return _Reason.STORE_UNAVAILABLE
            return _Reason.DEADLINE_UNREACHABLE
        cause = {
            _Step.WAITING: reasons.UnknownCause.OTHER_NODE_IS_BUSY,
            _Step.TAKING_OVER: reasons.UnknownCause.STORE_IS_SILENT,
        }.get(call.step, call.doubt)
        self.counters.count_unknown(cause)
        return _Reason.OUTCOME_UNKNOWN

    def go_on_after_write(
        self, event: _store_writer.TransactionEvent, now: float
    ) -> Commands:
        """Act on what became of each call's row."""
        if isinstance(event, _store_messages.TransactionUnsent):
            self.health.note_refusal(now)
        elif isinstance(event, _store_messages.TransactionUnclear):
            self.health.note_silence(now)
        else:
            self.health.note_success()
        outcomes, started = self.steps.journal.writer.settle(event)
        commands: list[_dispatch.Command] = list(started)
        for outcome in outcomes:
            call = self.steps.open_calls[outcome.key]
            if call.step is _Step.CLOSING:
                commands += self._go_on_closing(call, outcome, now)
            else:
                commands += self._go_on_opening(call, outcome, now)
        return commands

    def _go_on_opening(
        self,
        call: _call_area.OpenCall,
        outcome: _store_writer.WriteOutcome,
        now: float,
    ) -> Commands:
        if outcome.state is _store_writer.WriteState.WRITTEN:
            return self._go_on_written(call, outcome.version, now)
        if outcome.row is not None:
            return self._go_on_conflicting(call, outcome.row, now)
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
        self.steps.retry_later(call, now)
        return ()

    def _go_on_written(
        self, call: _call_area.OpenCall, version: int, now: float
    ) -> Commands:
        call.version = version
        call.fencing = ids.FencingNumber(version)
        call.row_state = _State.DISPATCHED
        call.may_be_written = False
        if call.step is _Step.OPENING:
            return self.steps.send(call, now)
        return self.steps.ask(call, now)

    def _go_on_conflicting(
        self,
        call: _call_area.OpenCall,
        stored: _store_messages.VersionedRow,
        now: float,
    ) -> Commands:
        call.may_be_written = False
        if not stored.version:
            call.version = 0
            return self.steps.open(call, now)
        row = _call_rows.read_value(stored.value)
        if row.attempt == call.attempt and row.state is _State.DISPATCHED:
            return self._go_on_written(call, stored.version, now)
        self.counters.count_retry(reasons.RetryReason.TABLE_CONFLICT)
        return self.meet(call, row, stored.version, now)

    def _go_on_closing(
        self,
        call: _call_area.OpenCall,
        outcome: _store_writer.WriteOutcome,
        now: float,
    ) -> Commands:
        if outcome.state is _store_writer.WriteState.WRITTEN:
            return self.steps.drop(call, now)
        if outcome.row is None:
            self.steps.retry_later(call, now)
            return ()
        if not outcome.row.version:
            return self.steps.drop(call, now)
        row = _call_rows.read_value(outcome.row.value)
        open_states = (_State.DISPATCHED, _State.UNKNOWN)
        own_late_write = row.attempt in call.unsent and row.state in open_states
        done = call.closing_state is _State.DONE and row.state is not _State.DONE
        if not (own_late_write or done):
            return self.steps.drop(call, now)
        call.version = outcome.row.version
        return self.steps.journal.write(call, now)

    def meet(
        self,
        call: _call_area.OpenCall,
        row: _call_rows.CallRow,
        version: int,
        now: float,
    ) -> Commands:
        """Act on the row that another attempt left."""
        if row.digest != call.digest:
            refusals = self.steps.refuse(call, _Reason.IDEMPOTENCY_KEY_REUSED)
            return [*refusals, *self.steps.drop(call, now)]
        call.version = version
        call.row_state = row.state
        call.backend = row.backend
        if row.state is _State.DONE:
            answers = self.steps.answer(call, row.status, row.body)
            return [*answers, *self.steps.drop(call, now)]
        if row.state is _State.NOT_RUN or row.attempt in call.unsent:
            return self.steps.open(call, now)
        call.doubted = row.attempt
        abandoned = self.steps.journal.is_abandoned(row, now)
        if row.state is _State.UNKNOWN or abandoned:
            return self.steps.settle(call, now)
        call.step = _Step.WAITING
        self.steps.retry_later(call, now)
        return ()

    def go_on_after_read(self, event: _store_messages.RowsRead, now: float) -> Commands:
        """Act on the rows that calls wait for."""
        self.health.note_read(event, now)
        if event.operation in self._asked:
            return self._tell_state(event)
        commands: list[_dispatch.Command] = []
        for key in self._reading.pop(event.operation, ()):
            call = self.steps.open_calls.get(key)
            if call is None or call.step is not _Step.WAITING:
                continue
            stored = event.rows.get(key)
            if stored is None:
                call.version = 0
                call.row_is_read = True
                commands += self.steps.open(call, now)
            else:
                row = _call_rows.read_value(stored.value)
                commands += self.meet(call, row, stored.version, now)
        return commands

    def go_on_after_failed_read(
        self, event: _store_messages.ReadFailed, now: float
    ) -> Commands:
        """Refuse a question that could not be answered."""
        self.health.note_read(event, now)
        for key in self._reading.pop(event.operation, ()):
            if key in self.steps.open_calls:
                self.steps.retry_later(self.steps.open_calls[key], now)
        asked = self._asked.pop(event.operation, None)
        if asked is None:
            return ()
        return (_call_steps.make_refusal(asked[0], _Reason.STORE_UNAVAILABLE),)

    def finish(self, event: _call_messages.CallAnswered, now: float) -> Commands:
        """Answer the caller, or go on after a refusal or an unclear answer."""
        call = self._find_sent(event.attempt)
        if call is None:
            return ()
        self.steps.balance.end(call.backend)
        self.steps.balance.note_success(call.backend, now)
        meaning = _call_answers.read_meaning(event)
        if meaning is _call_answers.AnswerMeaning.RUN:
            return self.steps.finish(call, event.status, event.body, now)
        if meaning is _call_answers.AnswerMeaning.REFUSED:
            self.counters.count_retry(reasons.RetryReason.CALL_REFUSED)
            call.refused_by.add(call.backend)
            call.unsent.add(call.attempt)
            return self.steps.open(call, now)
        if meaning is _call_answers.AnswerMeaning.OLD_FENCING:
            call.step = _Step.WAITING
            self.steps.retry_later(call, now)
            return ()
        return self.steps.settle(call, now)

    def _find_sent(self, attempt: ids.AttemptId) -> _call_area.OpenCall | None:
        call = self.steps.by_attempt.get(attempt)
        return call if call is not None and call.step is _Step.SENDING else None

    def send_elsewhere(self, event: _call_messages.CallUnsent, now: float) -> Commands:
        """Write another attempt after one that certainly was not sent."""
        call = self._find_sent(event.attempt)
        if call is None:
            return ()
        self.steps.balance.end(call.backend)
        call.unsent.add(call.attempt)
        in_time = now < call.written_at + self.steps.journal.timing.send_window_seconds
        if in_time:
            self.steps.balance.note_failure(call.backend, now)
            self.counters.count_retry(reasons.RetryReason.CONNECT_FAILED)
            call.refused_by.add(call.backend)
        else:
            self.counters.count_retry(reasons.RetryReason.SEND_WINDOW_PASSED)
        return self.steps.open(call, now)

    def settle(self, event: _call_messages.CallUnclear, now: float) -> Commands:
        """Find out what became of an attempt without an answer."""
        call = self._find_sent(event.attempt)
        if call is None:
            return ()
        self.steps.balance.end(call.backend)
        self.steps.balance.note_failure(call.backend, now)
        return self.steps.settle(call, now)

    def go_on_after_outcome(
        self, event: _call_messages.OutcomeTold, now: float
    ) -> Commands:
        """Act on what the backend server knows of a call."""
        call = self.steps.by_attempt.get(event.attempt)
        if call is None or call.step is not _Step.ASKING:
            return ()
        self.steps.balance.note_success(call.backend, now)
        return self.steps.go_on_after_outcome(call, event, now)

    def ask_again(self, event: _call_messages.OutcomeUntold, now: float) -> Commands:
        """Ask again while a caller waits."""
        call = self.steps.by_attempt.get(event.attempt)
        if call is None or call.step is not _Step.ASKING:
            return ()
        cause = reasons.UnknownCause.BACKEND_IS_SILENT
        return self.steps.ask_again(call, cause, now)

    def read_state(self, event: _call_messages.CallAsked, now: float) -> Commands:
        """Read the row that a caller asks about, once the question is admitted."""
        if event.request not in self.blackboard.limits.admitted:
            return ()
        operation = _store_messages.OperationId(f"{_ASK_PREFIX}{event.request}")
        key = _call_rows.make_row_key(event.account, event.key)
        self._asked[operation] = (event.request, key)
        return (_store_messages.ReadRows(operation=operation, keys=(key,)),)

    def _tell_state(self, event: _store_messages.RowsRead) -> Commands:
        request, key = self._asked.pop(event.operation)
        stored = event.rows.get(key)
        told: dict[str, object] = {"state": "absent"}
        backend = ids.BackendServerId("")
        if stored is not None:
            row = _call_rows.read_value(stored.value)
            backend = row.backend
            told = {"state": row.state.value, "backend": backend}
            if row.state is _State.DONE:
                told |= {"status": row.status, "body": row.body}
        return (
            _call_messages.AnswerCall(
                request=request, status=_OK, body=json.dumps(told), backend=backend
            ),
        )
