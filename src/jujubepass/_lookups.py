"""Controller that sends idempotent calls and repeats those that fail."""

import collections.abc

import attrs

from jujubepass import (
    _answer_messages,
    _backend_area,
    _blackboard,
    _call_area,
    _call_messages,
    _dispatch,
    counters,
    ids,
    reasons,
)

_SERVER_ERROR = 500
_UNAVAILABLE_RETRY_SECONDS = 1.0


@attrs.define(kw_only=True)
class LookupController:
    """Send lookups; write the lookups in progress."""

    blackboard: _blackboard.Blackboard
    counters: counters.Counters

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _call_messages.LookupArrived: self.start,
            _call_messages.CallAnswered: self.answer,
            _call_messages.CallUnsent: self.repeat,
            _call_messages.CallUnclear: self.repeat,
            _answer_messages.CallerLeft: self.abandon,
        }

    def start(
        self, event: _call_messages.LookupArrived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Send an admitted lookup."""
        if event.request not in self.blackboard.limits.admitted:
            return ()
        lookup = _call_area.Lookup(arrived=event)
        self.blackboard.calls.lookups[event.request] = lookup
        return self._send(lookup, now)

    def _send(
        self, lookup: _call_area.Lookup, now: float
    ) -> collections.abc.Sequence[_dispatch.Command]:
        arrived = lookup.arrived
        backend = self._choose(lookup)
        if backend is None or now >= arrived.deadline:
            del self.blackboard.calls.lookups[arrived.request]
            refusal = _answer_messages.Refuse(
                request=arrived.request,
                reason=reasons.RefusalReason.BACKEND_UNAVAILABLE,
                detail=f"No backend server of {arrived.service} answered.",
                retry_after_seconds=_UNAVAILABLE_RETRY_SECONDS,
            )
            return (refusal,)
        name = ids.BackendServerId(backend.vm.name)
        attempt = ids.AttemptId(f"{arrived.request}/{len(lookup.tried)}")
        lookup.tried.add(name)
        lookup.attempts[attempt] = name
        return (
            _call_messages.SendLookup(
                request=arrived.request,
                attempt=attempt,
                backend=name,
                address=backend.vm.address,
                path=arrived.path,
                timeout_seconds=arrived.deadline - now,
            ),
        )

    def _choose(self, lookup: _call_area.Lookup) -> _backend_area.BackendServer | None:
        for backend in self.blackboard.backends.list_service(lookup.arrived.service):
            if backend.vm.name not in lookup.tried:
                return backend
        return None

    def answer(
        self, event: _call_messages.CallAnswered, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Answer the caller, or repeat after a server error."""
        lookup = self.blackboard.calls.lookups.get(event.request)
        if lookup is None or event.attempt not in lookup.attempts:
            return ()
        if event.status >= _SERVER_ERROR:
            return self._repeat(lookup, now)
        del self.blackboard.calls.lookups[event.request]
        return (
            _call_messages.AnswerCall(
                request=event.request,
                status=event.status,
                body=event.body,
                backend=lookup.attempts[event.attempt],
            ),
        )

    def repeat(
        self,
        event: _call_messages.CallUnsent | _call_messages.CallUnclear,
        now: float,
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Repeat a lookup without an answer at another backend server."""
        lookup = self.blackboard.calls.lookups.get(event.request)
        if lookup is None or event.attempt not in lookup.attempts:
            return ()
        return self._repeat(lookup, now)

    def _repeat(
        self, lookup: _call_area.Lookup, now: float
    ) -> collections.abc.Sequence[_dispatch.Command]:
        self.counters.count_retry(reasons.RetryReason.LOOKUP_FAILED)
        return self._send(lookup, now)

    def abandon(
        self, event: _answer_messages.CallerLeft, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Forget a lookup whose caller left."""
        lookup = self.blackboard.calls.lookups.pop(event.request, None)
        if lookup is None:
            return ()
        return tuple(
            _call_messages.CancelLookup(attempt=attempt) for attempt in lookup.attempts
        )
