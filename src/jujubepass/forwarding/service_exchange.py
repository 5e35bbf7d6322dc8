"""Handling of requests to plain services, some of which may not be repeated."""

import collections
import collections.abc
import functools
import logging

import attrs
import trio

from jujubepass import ids, reasons
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
    suspicion,
)
from jujubepass.limits import _retry_budget
from jujubepass.quarantine import fingerprints

_LOGGER = logging.getLogger(__name__)

# Answers up to this size are read completely before they are forwarded, so that a
# failed lookup can be retried; larger ones are streamed.
_MAX_BUFFERED_BYTES = 65_536
# Minimum time left for a first attempt; with less the answer would be too late.
_MIN_REMAINING_SECONDS = 0.02
# Time in which a full backend server processes a part of its queue.
_FULL_RETRY_SECONDS = 0.3
# Time in which the list shows a replacement for a failed backend server.
_ABSENT_RETRY_SECONDS = 1.0
_FIRST_FAILING_STATUS = 500

# Alias, because a field has the same name as the module.
_Fingerprints = fingerprints.Fingerprints


@attrs.define(kw_only=True)
class _Progress:
    """Track the attempts of one request."""

    identity: fingerprints.Identity
    tried: set[ids.BackendServerId] = attrs.field(factory=set)
    runs: int = 0
    began_at: float = 0.0
    """Boot-clock time at which the attempt in use began."""
    may_have_run: bool = False
    full: bool = False

    @property
    def is_retry(self) -> bool:
        """Return whether the request has been sent before."""
        return self.may_have_run or bool(self.tried)

    def reset(self) -> None:
        """Allow attempts at backend servers that were tried before."""
        self.tried.clear()
        self.full = False


@attrs.define(kw_only=True)
class ServiceExchange:
    """Send a request to backend servers until one of them has answered."""

    sender: sending.Sender
    admission_control: admission.Admission
    choice: service_choice.ServiceChoice
    permits: permits.Permits
    suspects: suspicion.Suspects
    budgets: collections.defaultdict[ids.ServiceId, _retry_budget.RetryBudget]
    count_retry: collections.abc.Callable[[reasons.RetryReason], None]
    fingerprints: _Fingerprints = attrs.field(factory=_Fingerprints)

    async def serve(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        reply: replies.Reply,
    ) -> None:
        """Serve one request before its deadline."""
        account = admitted.account
        progress = _Progress(
            identity=fingerprints.Identity(
                host=request.host,
                target=request.target,
                account=account.name if account is not None else "",
                body=request.body,
            )
        )
        budget = self.budgets[admitted.service.name]
        budget.count_attempt(request.arrived_at)
        with clocks.move_on_at(admitted.deadline):
            refusal = await self._try_each(request, admitted, reply, progress)
            if refusal is not None:
                await reply.refuse(refusal)
            return
        if reply.started:
            reply.abort(reasons.RefusalReason.DEADLINE_PASSED)
        else:
            await reply.refuse(_refuse_expired(progress))

    async def _try_each(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        reply: replies.Reply,
        progress: _Progress,
    ) -> admission.Refusal | None:
        """Return why the request was not served, or None if it was."""
        route = admitted.route
        while True:
            backend = await self._claim_backend(request, admitted, progress)
            now = clocks.read_boot_clock()
            if isinstance(backend, admission.Refusal):
                if not _may_wait(admitted, progress, now):
                    return backend
                progress.reset()
                await trio.sleep(_FULL_RETRY_SECONDS)
                continue
            progress.tried.add(backend.name)
            progress.began_at = now
            reply.record_attempt(backend.name)
            last = progress.runs + 1 >= route.max_attempts
            may_retry = attempt_limit.never
            if route.is_repeatable and not last:
                may_retry = functools.partial(self._may_retry, admitted, progress)
            try:
                await self._send(request, admitted, backend, reply, may_retry)
                return None
            except sending.NotRunError as error:
                self._record_not_run(backend, error, progress, now)
            except sending.OutcomeUnknownError as error:
                self._record_outcome_unknown(request, backend, error, progress)
                if reply.started:
                    reply.abort(reasons.RefusalReason.OUTCOME_UNKNOWN)
                    return None
                if not route.is_repeatable or last:
                    return _refuse_none_left(progress)
                self.count_retry(reasons.RetryReason.LOOKUP_FAILED)

    async def _claim_backend(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        progress: _Progress,
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
        return _refuse_none_left(progress, end - now if end else None)

    async def _wait_for_permit(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        progress: _Progress,
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
            return _refuse_limited(progress, self.permits.assign_return(name, now))
        return self._confirm(request, admitted, progress, name)

    def _confirm(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        progress: _Progress,
        name: ids.BackendServerId,
    ) -> backends.Backend | admission.Refusal:
        """Return a server with a permit if the request may still be sent to it."""
        now = clocks.read_boot_clock()
        backend = self.choice.find_open(admitted.service.name, name, now)
        if backend is None:
            return _refuse_none_left(progress)
        return (
            self._check_admission(request, progress, now)
            or self._check_bounds(admitted, progress, now)
            or self._spend_retry(admitted, progress)
            or backend
        )

    def _check_admission(
        self, request: exchange.CallerRequest, progress: _Progress, now: float
    ) -> admission.Refusal | None:
        """Return why a request that has not run is no longer admitted, or None."""
        # What may have run is completed as it was admitted.
        if progress.may_have_run:
            return None
        checked = self.admission_control.admit(request, now)
        return checked if isinstance(checked, admission.Refusal) else None

    def _check_bounds(
        self, admitted: exchange.Admitted, progress: _Progress, now: float
    ) -> admission.Refusal | None:
        """Return why time or retries do not suffice for an attempt, or None."""
        if admitted.deadline - now < _MIN_REMAINING_SECONDS:
            return _refuse_expired(progress)
        budget = self.budgets[admitted.service.name]
        if progress.is_retry and budget.predict_wait_seconds(now) > 0.0:
            budget.spend(now)
            return _refuse_none_left(progress)
        return None

    def _spend_retry(
        self, admitted: exchange.Admitted, progress: _Progress
    ) -> admission.Refusal | None:
        """Spend a retry if the attempt is one; return the refusal if there is none."""
        now = clocks.read_boot_clock()
        if progress.is_retry and not self.budgets[admitted.service.name].spend(now):
            return _refuse_none_left(progress)
        return None

    def _may_retry(self, admitted: exchange.Admitted, progress: _Progress) -> bool:
        """Return whether another attempt would be sent now."""
        now = clocks.read_boot_clock()
        service = admitted.service.name
        tried = progress.tried | self.permits.list_closed(now)
        return (
            admitted.deadline - now >= _MIN_REMAINING_SECONDS
            and self.choice.choose(service, tried, now) is not None
            and self.budgets[service].predict_wait_seconds(now) == 0.0
        )

    def _record_outcome_unknown(
        self,
        request: exchange.CallerRequest,
        backend: backends.Backend,
        error: sending.OutcomeUnknownError,
        progress: _Progress,
    ) -> None:
        progress.may_have_run = True
        progress.runs += 1
        if not isinstance(error, sending.FailureResponseError):
            reason = suspicion.SuspicionReason.INTERRUPTED
            self.suspects.suspect(backend.name, reason, clocks.read_boot_clock())
        _LOGGER.info(
            "attempt ended",
            extra={
                "request": request.request_id,
                "request_digest": self.fingerprints.make_digest(progress.identity),
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
        progress: _Progress,
        now: float,
    ) -> None:
        if error.head is None:
            reason = suspicion.SuspicionReason.UNREACHABLE
            self.suspects.suspect(backend.name, reason, now)
            self.count_retry(reasons.RetryReason.CONNECT_FAILED)
        else:
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
        may_retry: collections.abc.Callable[[], bool],
    ) -> None:
        """Send one attempt and forward its answer; raises sending.AttemptError."""
        now = clocks.read_boot_clock()
        account = admitted.account
        attempt = exchange.Attempt(
            backend=backend.name,
            account=account.name if account else None,
            priority=admitted.priority,
            remaining_seconds=admitted.deadline - now,
            fresh=not admitted.route.is_repeatable,
        )

        async def forward(limit: attempt_limit.AttemptLimit) -> None:
            """Send the attempt and forward its answer."""
            async with self.sender.open(request, attempt, backend.address) as start:
                head, answer = start
                body, is_complete = await _read_body(answer, _MAX_BUFFERED_BYTES)
                limit.is_answered = True
                if head.status >= _FIRST_FAILING_STATUS and may_retry():
                    raise sending.FailureResponseError(f"answered {head.status}")
                if is_complete:
                    await reply.send_complete(head, body)
                else:
                    await _relay(head, body, answer, reply)

        self.choice.running[backend.name] += 1
        try:
            await attempt_limit.AttemptLimit(may_retry=may_retry).run(forward)
        finally:
            self.choice.running[backend.name] -= 1
        self.suspects.clear(backend.name)


def _may_wait(admitted: exchange.Admitted, progress: _Progress, now: float) -> bool:
    """Return whether a request that may have run waits for servers that were full."""
    seconds = _FULL_RETRY_SECONDS + _MIN_REMAINING_SECONDS
    return (
        progress.may_have_run
        and progress.full
        and admitted.route.is_repeatable
        and admitted.deadline - now >= seconds
    )


async def _read_body(answer: object, limit: int) -> tuple[bytes, bool]:
    """Read up to a limit; also return whether the body is complete."""
    received = bytearray()
    while len(received) <= limit:
        chunk = await answer.receive()  # type: ignore[attr-defined]
        if not chunk:
            return bytes(received), True
        received += chunk
    return bytes(received), False


async def _relay(
    head: exchange.AnswerHead, begun: bytes, answer: object, reply: replies.Reply
) -> None:
    await reply.start(head)
    await reply.write(begun)
    while chunk := await answer.receive():  # type: ignore[attr-defined]
        await reply.write(chunk)
    await reply.finish()


def _refuse_expired(progress: _Progress) -> admission.Refusal:
    if progress.may_have_run or progress.tried:
        return admission.Refusal(reason=reasons.RefusalReason.DEADLINE_PASSED)
    return admission.Refusal(
        reason=reasons.RefusalReason.DEADLINE_UNREACHABLE,
        retry_after_seconds=_FULL_RETRY_SECONDS,
    )


def _refuse_none_left(
    progress: _Progress, silence_seconds: float | None = None
) -> admission.Refusal:
    if progress.may_have_run:
        return admission.Refusal(reason=reasons.RefusalReason.OUTCOME_UNKNOWN)
    seconds = _ABSENT_RETRY_SECONDS
    if silence_seconds is not None:
        seconds = max(_FULL_RETRY_SECONDS, silence_seconds)
    elif progress.full:
        seconds = _FULL_RETRY_SECONDS
    return admission.Refusal(
        reason=reasons.RefusalReason.BACKEND_UNAVAILABLE, retry_after_seconds=seconds
    )


def _refuse_limited(progress: _Progress, seconds: float) -> admission.Refusal:
    if progress.may_have_run:
        return admission.Refusal(reason=reasons.RefusalReason.OUTCOME_UNKNOWN)
    return admission.Refusal(
        reason=reasons.RefusalReason.BACKEND_LIMITED, retry_after_seconds=seconds
    )
