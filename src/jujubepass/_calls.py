"""Controller that runs calls that may not be repeated, at most once."""

import collections.abc

import attrs

from jujubepass import (
    _answer_messages,
    _backend_area,
    _blackboard,
    _call_area,
    _call_messages,
    _dispatch,
    _store_messages,
    counters,
    ids,
    reasons,
)

_RETRY_SECONDS = 1.0


@attrs.define(kw_only=True)
class _Call:
    arrived: _call_messages.CallArrived
    backend: _backend_area.BackendServer
    row_version: int = 0

    @property
    def key(self) -> str:
        """Name the call's row in the table."""
        return f"call/{self.arrived.account}/{self.arrived.key}"

    @property
    def attempt(self) -> ids.AttemptId:
        """Name the only attempt of this call."""
        return ids.AttemptId(self.arrived.request)


@attrs.define(kw_only=True)
class CallController:
    """Journal each call in the table before it is sent."""

    blackboard: _blackboard.Blackboard
    counters: counters.Counters
    _calls: dict[ids.RequestId, _Call] = attrs.field(factory=dict, init=False)
    _operations: dict[_store_messages.OperationId, _Call] = attrs.field(
        factory=dict, init=False
    )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _call_messages.CallArrived: self.start,
            _store_messages.Transacted: self.go_on,
            _store_messages.TransactionConflicted: self.answer_from_row,
            _store_messages.TransactionUnsent: self.refuse_without_store,
            _store_messages.TransactionUnclear: self.give_up_unclear,
            _call_messages.CallAnswered: self.finish,
            _call_messages.CallUnsent: self.finish_unsent,
            _call_messages.CallUnclear: self.finish_unclear,
        }

    def start(
        self, event: _call_messages.CallArrived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Claim an admitted call in the table."""
        if event.request not in self.blackboard.limits.admitted:
            return ()
        backends = self.blackboard.backends.list_service(event.service)
        if not backends:
            return (_refuse(event, reasons.RefusalReason.BACKEND_UNAVAILABLE),)
        call = _Call(arrived=event, backend=backends[0])
        return (self._write(call, _call_area.CallState.DISPATCHED),)

    def _write(
        self,
        call: _Call,
        state: _call_area.CallState,
        answer: _call_messages.CallAnswered | None = None,
    ) -> _store_messages.Transact:
        operation = _store_messages.OperationId(f"{call.attempt}/{state.value}")
        self._operations[operation] = call
        value = {
            "state": state.value,
            "digest": call.arrived.body_digest,
            "attempt": call.attempt,
            "backend": call.backend.vm.name,
        }
        if answer is not None:
            value["status"] = str(answer.status)
            value["body"] = answer.body
        condition = _store_messages.Condition(key=call.key, version=call.row_version)
        return _store_messages.Transact(
            operation=operation,
            conditions=(condition,),
            writes=(_store_messages.Write(key=call.key, value=value),),
        )

    def go_on(
        self, event: _store_messages.Transacted, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Send the call once its row is known to be written."""
        call = self._operations.pop(event.operation, None)
        if call is None or call.row_version:
            return ()
        call.row_version = event.versions[call.key]
        arrived = call.arrived
        self._calls[arrived.request] = call
        return (
            _call_messages.SendCall(
                request=arrived.request,
                attempt=call.attempt,
                backend=ids.BackendServerId(call.backend.vm.name),
                address=call.backend.vm.address,
                path=arrived.path,
                body=arrived.body,
                key=arrived.key,
                fencing=ids.FencingNumber(call.row_version),
                timeout_seconds=max(0.1, arrived.deadline - now),
            ),
        )

    def answer_from_row(
        self, event: _store_messages.TransactionConflicted, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Answer from what another attempt of the same key left."""
        call = self._operations.pop(event.operation, None)
        if call is None or call.row_version:
            return ()
        row = event.rows[0].value
        if row["digest"] != call.arrived.body_digest:
            reason = reasons.RefusalReason.IDEMPOTENCY_KEY_REUSED
            return (_refuse(call.arrived, reason),)
        if row["state"] == _call_area.CallState.DONE.value:
            return (
                _call_messages.AnswerCall(
                    request=call.arrived.request,
                    status=int(row["status"]),
                    body=row["body"],
                    backend=ids.BackendServerId(row["backend"]),
                ),
            )
        return (_refuse(call.arrived, reasons.RefusalReason.OUTCOME_UNKNOWN),)

    def refuse_without_store(
        self, event: _store_messages.TransactionUnsent, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Refuse a call whose claim certainly was not written."""
        call = self._operations.pop(event.operation, None)
        if call is None or call.row_version:
            return ()
        return (_refuse(call.arrived, reasons.RefusalReason.STORE_UNAVAILABLE),)

    def give_up_unclear(
        self, event: _store_messages.TransactionUnclear, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Say that the outcome is unknown; nothing was sent."""
        call = self._operations.pop(event.operation, None)
        if call is None or call.row_version:
            return ()
        return (_refuse(call.arrived, reasons.RefusalReason.OUTCOME_UNKNOWN),)

    def finish(
        self, event: _call_messages.CallAnswered, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Answer the caller and keep the answer for the same key."""
        call = self._calls.pop(event.request, None)
        if call is None:
            return ()
        return (
            self._write(call, _call_area.CallState.DONE, event),
            _call_messages.AnswerCall(
                request=event.request,
                status=event.status,
                body=event.body,
                backend=ids.BackendServerId(call.backend.vm.name),
            ),
        )

    def finish_unsent(
        self, event: _call_messages.CallUnsent, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Say that the call was not run."""
        call = self._calls.pop(event.request, None)
        if call is None:
            return ()
        reason = reasons.RefusalReason.BACKEND_UNAVAILABLE
        return (
            self._write(call, _call_area.CallState.NOT_RUN),
            _refuse(call.arrived, reason),
        )

    def finish_unclear(
        self, event: _call_messages.CallUnclear, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Say that the outcome is unknown."""
        call = self._calls.pop(event.request, None)
        if call is None:
            return ()
        reason = reasons.RefusalReason.OUTCOME_UNKNOWN
        return (
            self._write(call, _call_area.CallState.UNKNOWN),
            _refuse(call.arrived, reason),
        )


def _refuse(
    event: _call_messages.CallArrived, reason: reasons.RefusalReason
) -> _answer_messages.Refuse:
    return _answer_messages.Refuse(
        request=event.request,
        reason=reason,
        detail=reason.value.replace("_", " "),
        retry_after_seconds=_RETRY_SECONDS,
    )
