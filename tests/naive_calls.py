"""Faulty call policies, each with one safeguard left out, to validate the tests."""

import collections.abc

import attrs

from jujubepass import counters, ids, reasons
from jujubepass.calls import _call_area, _call_messages, _call_steps, _calls
from jujubepass.nodes import _blackboard, _dispatch
from jujubepass.storage import _store_writer

MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT_SECONDS = 0.8


@attrs.define(kw_only=True)
class NaiveCallController:
    """Send without a journal, retry unanswered attempts, then refuse as not run."""

    blackboard: _blackboard.Blackboard
    counters: counters.Counters
    _calls: dict = attrs.field(factory=dict, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _call_messages.CallArrived: self.start,
            _call_messages.CallAnswered: self.finish,
            _call_messages.CallUnsent: self.retry,
            _call_messages.CallUnclear: self.retry,
        }

    def start(self, event, now):
        """Send the first attempt immediately."""
        self._calls[event.request] = [event, 0]
        return self._send(event, 0, now)

    def _send(self, event, attempt_number, now):
        backends = self.blackboard.backends.list_service_backends(event.service)
        backend = backends[attempt_number % len(backends)]
        command = _call_messages.SendCall(
            request=event.request,
            attempt=ids.AttemptId(f"{event.request}/{attempt_number}"),
            backend=ids.BackendServerId(backend.vm.name),
            address=backend.vm.address,
            path=event.path,
            body=event.body,
            key=event.key,
            fencing=ids.FencingNumber(attempt_number),
            timeout_seconds=ATTEMPT_TIMEOUT_SECONDS,
            send_before=float("inf"),
        )
        return (command,)

    def finish(self, event, now):
        """Forward the answer to the caller, or retry after an error status."""
        call = self._calls.pop(event.request, None)
        if call is None:
            return ()
        if event.status != 200:
            self._calls[event.request] = call
            return self.retry(event, now)
        answer = _call_messages.AnswerCall(
            request=event.request,
            status=event.status,
            body=event.body,
            backend=ids.BackendServerId(""),
        )
        return (answer,)

    def retry(self, event, now):
        """Send again without querying the outcome of the last attempt."""
        call = self._calls.get(event.request)
        if call is None:
            return ()
        call[1] += 1
        if call[1] < MAX_ATTEMPTS:
            return self._send(call[0], call[1], now)
        del self._calls[event.request]
        reason = reasons.RefusalReason.BACKEND_UNAVAILABLE
        return (_call_steps.make_refusal(event.request, reason),)


class UnfencedSteps(_call_steps.CallSteps):
    """Trust an ABSENT outcome without fencing the older attempt first."""

    def resolve_outcome(self, call, now):
        """Query the outcome without a fencing number."""
        call.attempt = ids.AttemptId(f"{call.attempt}/asked")
        self.by_attempt[call.attempt] = call
        call.fencing = ids.FencingNumber(0)
        return self.query_outcome(call, now)

    def handle_outcome(self, call, event, now):
        """Send again after an ABSENT outcome."""
        if event.state is _call_messages.OutcomeState.ABSENT and call.waiters:
            call.written_at = now
            return self.send(call, now)
        return super().handle_outcome(call, event, now)


class AssumeWrittenCallController(_calls.CallController):
    """Treat an unclear write as written."""

    def _handle_opening_outcome(self, call, outcome, now):
        unclear = outcome.state is _store_writer.WriteState.UNCLEAR
        if unclear and call.step is _call_area.CallStep.OPENING:
            return self._handle_written(call, call.version + 1, now)
        return super()._handle_opening_outcome(call, outcome, now)


class AssumeNotRunCallController(_calls.CallController):
    """Treat an attempt without an answer as not run."""

    def handle_unclear(self, event, now):
        """Refuse the call immediately."""
        call = self._find_sending_call(event.attempt)
        if call is None:
            return ()
        reason = reasons.RefusalReason.BACKEND_UNAVAILABLE
        state = _call_area.CallState.NOT_RUN
        return [
            *self.steps.refuse(call, reason),
            *self.steps.close(call, state, now),
        ]
