"""Naive policies for calls, to compare with: what each of them leaves out is named."""

import collections.abc

import attrs

from jujubepass import counters, ids, reasons
from jujubepass.calls import _call_area, _call_messages, _call_steps, _calls
from jujubepass.nodes import _blackboard, _dispatch
from jujubepass.storage import _store_writer

TRIES = 3
TRY_SECONDS = 0.8


@attrs.define(kw_only=True)
class NaiveCallController:
    """Keep no journal; repeat what was not answered; then call it not run."""

    blackboard: _blackboard.Blackboard
    counters: counters.Counters
    _calls: dict = attrs.field(factory=dict, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _call_messages.CallArrived: self.start,
            _call_messages.CallAnswered: self.finish,
            _call_messages.CallUnsent: self.repeat,
            _call_messages.CallUnclear: self.repeat,
        }

    def start(self, event, now):
        """Send at once."""
        self._calls[event.request] = [event, 0]
        return self._send(event, 0, now)

    def _send(self, event, tried, now):
        backends = self.blackboard.backends.list_service(event.service)
        backend = backends[tried % len(backends)]
        command = _call_messages.SendCall(
            request=event.request,
            attempt=ids.AttemptId(f"{event.request}/{tried}"),
            backend=ids.BackendServerId(backend.vm.name),
            address=backend.vm.address,
            path=event.path,
            body=event.body,
            key=event.key,
            fencing=ids.FencingNumber(tried),
            timeout_seconds=TRY_SECONDS,
            send_before=float("inf"),
        )
        return (command,)

    def finish(self, event, now):
        """Pass the answer on."""
        call = self._calls.pop(event.request, None)
        if call is None:
            return ()
        if event.status != 200:
            self._calls[event.request] = call
            return self.repeat(event, now)
        answer = _call_messages.AnswerCall(
            request=event.request,
            status=event.status,
            body=event.body,
            backend=ids.BackendServerId(""),
        )
        return (answer,)

    def repeat(self, event, now):
        """Send again without asking what became of the last attempt."""
        call = self._calls.get(event.request)
        if call is None:
            return ()
        call[1] += 1
        if call[1] < TRIES:
            return self._send(call[0], call[1], now)
        del self._calls[event.request]
        reason = reasons.RefusalReason.BACKEND_UNAVAILABLE
        return (_call_steps.make_refusal(event.request, reason),)


class UnfencedSteps(_call_steps.CallSteps):
    """Trust an ABSENT answer without having fenced the older attempt."""

    def settle(self, call, now):
        """Ask without a fencing number."""
        call.attempt = ids.AttemptId(f"{call.attempt}/asked")
        self.by_attempt[call.attempt] = call
        call.fencing = ids.FencingNumber(0)
        return self.ask(call, now)

    def go_on_after_outcome(self, call, event, now):
        """Send again after ABSENT."""
        if event.state is _call_messages.OutcomeState.ABSENT and call.waiters:
            call.written_at = now
            return self.send(call, now)
        return super().go_on_after_outcome(call, event, now)


class HopefulCallController(_calls.CallController):
    """Take an unclear write for written."""

    def _go_on_opening(self, call, outcome, now):
        unclear = outcome.state is _store_writer.WriteState.UNCLEAR
        if unclear and call.step is _call_area.CallStep.OPENING:
            return self._go_on_written(call, call.version + 1, now)
        return super()._go_on_opening(call, outcome, now)


class PessimisticCallController(_calls.CallController):
    """Call an attempt without an answer not run."""

    def settle(self, event, now):
        """Refuse at once."""
        call = self._find_sent(event.attempt)
        if call is None:
            return ()
        reason = reasons.RefusalReason.BACKEND_UNAVAILABLE
        state = _call_area.CallState.NOT_RUN
        return [
            *self.steps.refuse(call, reason),
            *self.steps.close(call, state, now),
        ]
