"""Progress of a request to a plain service, and refusals that follow from it."""

import attrs

from jujubepass import ids, reasons
from jujubepass.event_streams import answer
from jujubepass.forwarding import admission, stream_refusals
from jujubepass.quarantine import guard

FULL_RETRY_SECONDS = 0.3
"""Time in which a full backend server processes a part of its queue."""
# Time in which the list shows a replacement for a failed backend server.
_ABSENT_RETRY_SECONDS = 1.0

# Alias, because a field has the same name as the module.
_EventAnswer = answer.EventAnswer


@attrs.define(kw_only=True)
class Progress:
    """Track the attempts of one request."""

    answer: _EventAnswer
    guarded: guard.GuardedRequest
    tried: set[ids.BackendServerId] = attrs.field(factory=set)
    sent_to: set[ids.BackendServerId] = attrs.field(factory=set)
    """Servers of all attempts, those that may be tried again too."""
    runs: int = 0
    began_at: float = 0.0
    """Boot-clock time at which the attempt in use began."""
    may_have_run: bool = False
    is_sent: bool = False
    """Whether an attempt is in progress that may run."""
    full: bool = False

    @property
    def is_retry(self) -> bool:
        """Return whether the request has been sent before."""
        return self.may_have_run or bool(self.tried)

    def make_refusal(self, refusal: admission.Refusal) -> admission.Refusal:
        """Return the refusal, or OUTCOME_UNKNOWN if the request may have run."""
        if self.may_have_run:
            return admission.Refusal(reason=reasons.RefusalReason.OUTCOME_UNKNOWN)
        return refusal

    def record_attempt(self, name: ids.BackendServerId) -> bool:
        """Record an attempt; return whether the server got the request before."""
        is_again = name in self.sent_to
        self.is_sent = True
        self.tried.add(name)
        self.sent_to.add(name)
        return is_again

    def record_run(self) -> None:
        """Record that an attempt broke that may have run."""
        self.may_have_run = True
        self.runs += 1
        self.answer.record_broken_run()

    def may_run_again(self, has_begun: bool) -> bool:
        """Return whether a further run can serve a caller that has what was sent."""
        return self.answer.can_resume and (self.answer.events > 0 or not has_begun)

    def reset(self) -> None:
        """Allow attempts at backend servers that were tried before."""
        self.tried.clear()
        self.full = False

    def refuse_expired(self) -> admission.Refusal:
        """Return the refusal when the time left does not suffice."""
        if self.may_have_run or self.tried:
            return admission.Refusal(reason=reasons.RefusalReason.DEADLINE_PASSED)
        return admission.Refusal(
            reason=reasons.RefusalReason.DEADLINE_UNREACHABLE,
            retry_after_seconds=FULL_RETRY_SECONDS,
        )

    def refuse_stopped(self) -> admission.Refusal:
        """Return the refusal when the node has no time left for an answer."""
        if self.may_have_run or self.is_sent:
            return stream_refusals.OUTCOME_UNKNOWN
        return stream_refusals.STOPPING

    def refuse_none_left(
        self, silence_seconds: float | None = None
    ) -> admission.Refusal:
        """Return the refusal when no server takes the request now."""
        if self.may_have_run:
            return admission.Refusal(reason=reasons.RefusalReason.OUTCOME_UNKNOWN)
        seconds = _ABSENT_RETRY_SECONDS
        if silence_seconds is not None:
            seconds = max(FULL_RETRY_SECONDS, silence_seconds)
        elif self.full:
            seconds = FULL_RETRY_SECONDS
        return admission.Refusal(
            reason=reasons.RefusalReason.BACKEND_UNAVAILABLE,
            retry_after_seconds=seconds,
        )

    def refuse_limited(self, seconds: float) -> admission.Refusal:
        """Return the refusal while the servers take no more requests a second."""
        if self.may_have_run:
            return admission.Refusal(reason=reasons.RefusalReason.OUTCOME_UNKNOWN)
        return admission.Refusal(
            reason=reasons.RefusalReason.BACKEND_LIMITED, retry_after_seconds=seconds
        )
