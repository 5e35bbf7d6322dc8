"""Handling of requests to plain services, some of which may not be repeated."""

import collections
import collections.abc
import functools
import logging

import attrs
import trio

from jujubepass import ids, reasons
from jujubepass.event_streams import answer, server_run
from jujubepass.forwarding import (
    admission,
    attempt_limit,
    backends,
    clocks,
    exchange,
    permits,
    replies,
    sending,
    service_choice,
    service_progress,
    stopping,
    suspicion,
)
from jujubepass.limits import _retry_budget
from jujubepass.quarantine import guard

_LOGGER = logging.getLogger(__name__)

# Minimum time left for a first attempt; with less the answer would be too late.
_MIN_REMAINING_SECONDS = 0.02
_READY_POLL_INTERVAL_SECONDS = 0.05

# Alias, because a field has the same name as the module.
_Guard = guard.Guard


@attrs.define(kw_only=True)
class ServiceExchange:
    """Send a request to backend servers until one of them has answered."""

    sender: sending.Sender
    admission_control: admission.Admission
    choice: service_choice.ServiceChoice
    permits: permits.Permits
    guard: _Guard
    suspects: suspicion.Suspects
    budgets: collections.defaultdict[ids.ServiceId, _retry_budget.RetryBudget]
    count_retry: collections.abc.Callable[[reasons.RetryReason], None]
    answers: stopping.RunningAnswers = attrs.field(factory=stopping.RunningAnswers)
    run_times: stopping.RunTimes = attrs.field(factory=stopping.RunTimes)

    async def serve(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        reply: replies.Reply,
    ) -> None:
        """Serve one request before its deadline."""
        progress = service_progress.Progress(
            answer=answer.EventAnswer(last_id=request.resume_after),
            guarded=guard.track(request, admitted),
        )
        budget = self.budgets[admitted.service.name]
        budget.count_attempt(request.arrived_at)
        with self.answers.limit(admitted.deadline):
            refusal = await self._try_each(request, admitted, reply, progress)
            if refusal is not None:
                self.guard.return_trial(progress.guarded)
                await reply.end(refusal)
            return
        refusal = progress.refuse_expired()
        if self.answers.ends_before(admitted.deadline):
            refusal = progress.refuse_stopped()
        if not progress.is_sent:
            self.guard.return_trial(progress.guarded)
        await reply.end(refusal)

    async def _try_each(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        reply: replies.Reply,
        progress: service_progress.Progress,
    ) -> admission.Refusal | None:
        """Return why the answer is not complete, or None if it is."""
        while True:
            backend = await self._choose_backend(request, admitted, progress)
            now = clocks.read_boot_clock()
            if isinstance(backend, admission.Refusal):
                if not _may_wait(admitted, progress, now):
                    return backend
                progress.reset()
                await trio.sleep(service_progress.FULL_RETRY_SECONDS)
                continue
            is_again = progress.record_attempt(backend.name)
            progress.began_at = now
            reply.record_attempt(backend.name)
            last = progress.runs + 1 >= admitted.route.max_attempts
            may_retry = self._make_retry_check(admitted, progress, last=last)
            limit = server_run.make_limit(admitted.route, may_retry)
            try:
                with self.guard.watch(progress.guarded, (backend.name,)):
                    await self._send(
                        request, admitted, backend, reply, progress, limit, is_again
                    )
                self.guard.record_proof(progress.guarded)
                return None
            except sending.NotRunError as error:
                self._record_not_run(backend, error, progress, now)
            except sending.OutcomeUnknownError as error:
                self._record_outcome_unknown(request, backend, error, progress)
                if last or not self._may_run_again(admitted, reply, progress):
                    return progress.refuse_none_left()

    def _may_run_again(
        self,
        admitted: exchange.Admitted,
        reply: replies.Reply,
        progress: service_progress.Progress,
    ) -> bool:
        """Return whether another run may follow a broken one, and count that."""
        has_begun = reply.started
        if not admitted.route.is_repeatable or not progress.may_run_again(has_begun):
            return False
        self.count_retry(
            reasons.RetryReason.STREAM_CUT
            if progress.answer.events
            else reasons.RetryReason.LOOKUP_FAILED
        )
        return True

    async def _choose_backend(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        progress: service_progress.Progress,
    ) -> backends.Backend | admission.Refusal:
        """Return a backend server that may run the request, or why there is none."""
        while not self.guard.is_ready(clocks.read_boot_clock()):
            await trio.sleep(_READY_POLL_INTERVAL_SECONDS)
        refusal = self.guard.refuse(progress.guarded, clocks.read_boot_clock())
        if refusal is not None:
            return progress.make_refusal(refusal)
        backend = await self._claim_backend(request, admitted, progress)
        if isinstance(backend, admission.Refusal):
            return backend
        refusal = await self.guard.claim(progress.guarded, has_server=True)
        return backend if refusal is None else progress.make_refusal(refusal)

    async def _claim_backend(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        progress: service_progress.Progress,
    ) -> backends.Backend | admission.Refusal:
        """Return a backend server that takes the request now, or why there is none."""
        waits: dict[ids.BackendServerId, float] = {}
        while True:
            now = clocks.read_boot_clock()
            refusal = self._check_admission(request, progress, now)
            if refusal is not None:
                return refusal
            service = admitted.service.name
            backend = self.choice.choose(service, progress.tried | waits.keys(), now)
            if backend is None:
                break
            refusal = self._check_bounds(admitted, progress, now)
            if refusal is not None:
                return refusal
            if not self.permits.is_limited(backend.name):
                return self._spend_retry(admitted, progress) or backend
            claim = await self.permits.claim(backend.name)
            if claim.is_granted:
                return self._confirm(request, admitted, progress, backend.name)
            waits[backend.name] = claim.wait_seconds
        if waits:
            return await self._wait_for_permit(request, admitted, progress, waits)
        end = self.choice.find_end_of_silence(admitted.service.name, now)
        return progress.refuse_none_left(end - now if end else None)

    async def _wait_for_permit(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        progress: service_progress.Progress,
        waits: collections.abc.Mapping[ids.BackendServerId, float],
    ) -> backends.Backend | admission.Refusal:
        """Wait for the first permit where no server takes a request at once."""
        name = min(waits, key=waits.__getitem__)
        remaining_seconds = admitted.deadline - clocks.read_boot_clock()
        claim = await self.permits.claim(
            name,
            permits.find_longest_wait(
                admitted.route, admitted.priority, remaining_seconds
            ),
        )
        if not claim.is_granted:
            now = clocks.read_boot_clock()
            return progress.refuse_limited(self.permits.assign_return(name, now))
        return self._confirm(request, admitted, progress, name)

    def _confirm(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        progress: service_progress.Progress,
        name: ids.BackendServerId,
    ) -> backends.Backend | admission.Refusal:
        """Return a server with a permit if the request may still be sent to it."""
        now = clocks.read_boot_clock()
        backend = self.choice.find_open(admitted.service.name, name, now)
        if backend is None:
            return progress.refuse_none_left()
        return (
            self._check_admission(request, progress, now)
            or self._check_bounds(admitted, progress, now)
            or self._spend_retry(admitted, progress)
            or backend
        )

    def _check_admission(
        self,
        request: exchange.CallerRequest,
        progress: service_progress.Progress,
        now: float,
    ) -> admission.Refusal | None:
        """Return why a request that has not run is no longer admitted, or None."""
        # What may have run is completed as it was admitted.
        if progress.may_have_run:
            return None
        checked = self.admission_control.admit(request, now)
        return checked if isinstance(checked, admission.Refusal) else None

    def _check_bounds(
        self,
        admitted: exchange.Admitted,
        progress: service_progress.Progress,
        now: float,
    ) -> admission.Refusal | None:
        """Return why time or retries do not suffice for an attempt, or None."""
        if admitted.deadline - now < _MIN_REMAINING_SECONDS:
            return progress.refuse_expired()
        predicted = self.run_times.find_longest(admitted.service.name, now)
        if not self.answers.may_end(now, admitted.deadline, predicted):
            return progress.refuse_stopped()
        budget = self.budgets[admitted.service.name]
        if progress.is_retry and budget.predict_wait_seconds(now) > 0.0:
            budget.spend(now)
            return progress.refuse_none_left()
        return None

    def _spend_retry(
        self, admitted: exchange.Admitted, progress: service_progress.Progress
    ) -> admission.Refusal | None:
        """Spend a retry if the attempt is one; return the refusal if there is none."""
        now = clocks.read_boot_clock()
        if progress.is_retry and not self.budgets[admitted.service.name].spend(now):
            return progress.refuse_none_left()
        return None

    def _make_retry_check(
        self,
        admitted: exchange.Admitted,
        progress: service_progress.Progress,
        *,
        last: bool,
    ) -> collections.abc.Callable[[], bool]:
        """Return what tells whether another attempt may follow the next one."""
        if last or not admitted.route.is_repeatable:
            return attempt_limit.never
        return functools.partial(self._may_retry, admitted, progress)

    def _may_retry(
        self, admitted: exchange.Admitted, progress: service_progress.Progress
    ) -> bool:
        """Return whether another attempt would be sent now."""
        now = clocks.read_boot_clock()
        service = admitted.service.name
        tried = progress.tried | self.permits.list_closed(now)
        return (
            progress.answer.can_resume
            and admitted.deadline - now >= _MIN_REMAINING_SECONDS
            and self.choice.choose(service, tried, now) is not None
            and self.budgets[service].predict_wait_seconds(now) == 0.0
        )

    def _record_outcome_unknown(
        self,
        request: exchange.CallerRequest,
        backend: backends.Backend,
        error: sending.OutcomeUnknownError,
        progress: service_progress.Progress,
    ) -> None:
        progress.record_run()
        if isinstance(error, sending.FailureResponseError):
            self.guard.record_proof(progress.guarded)
        else:
            self.guard.record_break(progress.guarded, {backend.name})
            reason = suspicion.SuspicionReason.INTERRUPTED
            self.suspects.suspect(backend.name, reason, clocks.read_boot_clock())
        _LOGGER.info(
            "attempt ended",
            extra={
                "request": request.request_id,
                "request_digest": self.guard.find_digest(progress.guarded),
                "backend": backend.name,
                "outcome": "unclear",
                "seconds": round(clocks.read_boot_clock() - progress.began_at, 3),
                "detail": str(error),
            },
        )

    def _record_not_run(
        self,
        backend: backends.Backend,
        error: sending.NotRunError,
        progress: service_progress.Progress,
        now: float,
    ) -> None:
        progress.is_sent = False
        if error.head is None:
            reason = suspicion.SuspicionReason.UNREACHABLE
            self.suspects.suspect(backend.name, reason, now)
            if error.has_ended:
                self.guard.record_refused_connection(progress.guarded, backend.name)
            self.count_retry(reasons.RetryReason.CONNECT_FAILED)
        else:
            self.guard.record_refusal(progress.guarded)
            progress.full = True
            self.count_retry(reasons.RetryReason.CALL_REFUSED)
        _LOGGER.info(
            "backend server did not run the request",
            extra={"backend": backend.name, "detail": str(error)},
        )

    async def _send(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        backend: backends.Backend,
        reply: replies.Reply,
        progress: service_progress.Progress,
        limit: attempt_limit.AttemptLimit,
        is_again: bool,
    ) -> None:
        """Send one attempt and forward its answer; raises sending.AttemptError."""
        now = clocks.read_boot_clock()
        account = admitted.account
        attempt = exchange.Attempt(
            backend=backend.name,
            account=account.name if account else None,
            priority=admitted.priority,
            remaining_seconds=admitted.deadline - now,
            resume_after=progress.answer.last_id,
            fresh=not admitted.route.is_repeatable or is_again,
        )

        progress.answer.begin_run()
        run = server_run.ServerRun(
            route=admitted.route, answer=progress.answer, reply=reply, limit=limit
        )

        async def forward() -> None:
            """Send the attempt and forward its answer."""
            async with self.sender.open(request, attempt, backend.address) as start:
                await run.forward(*start)

        with self.choice.count(backend.name), self.run_times.measure(backend.service):
            await limit.run(forward)
        self.suspects.clear(backend.name)


def _may_wait(
    admitted: exchange.Admitted, progress: service_progress.Progress, now: float
) -> bool:
    """Return whether a request that may have run waits for servers that were full."""
    seconds = service_progress.FULL_RETRY_SECONDS + _MIN_REMAINING_SECONDS
    return (
        progress.may_have_run
        and progress.full
        and admitted.route.is_repeatable
        and admitted.deadline - now >= seconds
    )
