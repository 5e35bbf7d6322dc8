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
    backend_list,
    backends,
    board,
    clocks,
    exchange,
    replies,
    sending,
    silences,
    suspicion,
)
from jujubepass.limits import _retry_budget

_LOGGER = logging.getLogger(__name__)

# Answers up to this size are read completely before they are forwarded, so that a
# failed lookup can be retried; larger ones are streamed.
_MAX_BUFFERED_BYTES = 65_536
# A lookup without an answer after this time is sent to another backend server. It is
# three times the latency goal of lookups (150 ms).
_LOOKUP_SECONDS = 0.45
# Minimum time left for a first attempt; with less the answer would be too late.
_MIN_REMAINING_SECONDS = 0.02
# Time in which a full backend server processes a part of its queue.
_FULL_RETRY_SECONDS = 0.3
# Time in which the list shows a replacement for a failed backend server.
_ABSENT_RETRY_SECONDS = 1.0
_FIRST_FAILING_STATUS = 500


@attrs.define(kw_only=True)
class ServiceChoice:
    """Choose a service's backend server by suspicion, distance and load."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    silences: silences.Silences
    running: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter
    )

    def choose(
        self,
        service: ids.ServiceId,
        tried: collections.abc.Set[ids.BackendServerId],
        now: float,
    ) -> backends.Backend | None:
        """Return the backend server for the next attempt, or None."""
        ready = [
            each
            for each in backend_list.list_ready(self.blackboard.backends, service)
            if each.name not in tried and not self.silences.is_closed(each.name, now)
        ]
        return min(ready, key=lambda each: self._rank(each, now), default=None)

    def find_end_of_silence(self, service: ids.ServiceId, now: float) -> float | None:
        """Return when the first silent server of a service takes requests again."""
        ready = backend_list.list_ready(self.blackboard.backends, service)
        names = [each.name for each in ready]
        if not all(self.silences.is_closed(name, now) for name in names):
            return None
        return self.silences.find_end(names, now)

    def _rank(self, backend: backends.Backend, now: float) -> tuple[bool, bool, int]:
        suspect = self.suspects.is_suspected(backend.name, now)
        remote = backend.failure_domain != self.blackboard.failure_domain
        running = self.running[backend.name]
        # A full server in this failure domain ranks behind a remote one with free
        # slots.
        return suspect, remote and running < backend.slots, running


@attrs.define(kw_only=True)
class _Progress:
    """Track the attempts of one request."""

    tried: set[ids.BackendServerId] = attrs.field(factory=set)
    runs: int = 0
    may_have_run: bool = False
    full: bool = False

    def reset(self) -> None:
        """Allow attempts at backend servers that were tried before."""
        self.tried.clear()
        self.full = False


@attrs.define(kw_only=True)
class ServiceExchange:
    """Send a request to backend servers until one of them has answered."""

    sender: sending.Sender
    admission_control: admission.Admission
    choice: ServiceChoice
    suspects: suspicion.Suspects
    budgets: collections.defaultdict[ids.ServiceId, _retry_budget.RetryBudget]
    count_retry: collections.abc.Callable[[reasons.RetryReason], None]

    async def serve(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        reply: replies.Reply,
    ) -> None:
        """Serve one request before its deadline."""
        progress = _Progress()
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
            now = clocks.read_boot_clock()
            backend = self._choose(request, admitted, progress, now)
            if isinstance(backend, admission.Refusal):
                if not _may_wait(admitted, progress, now):
                    return backend
                progress.reset()
                await trio.sleep(_FULL_RETRY_SECONDS)
                continue
            progress.tried.add(backend.name)
            reply.record_attempt(backend.name)
            last = progress.runs + 1 >= route.max_attempts
            may_retry = _never
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

    def _choose(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        progress: _Progress,
        now: float,
    ) -> backends.Backend | admission.Refusal:
        """Return the backend server for an attempt, or why it must not be sent."""
        # What may have run is completed as it was admitted.
        if not progress.may_have_run:
            checked = self.admission_control.admit(request, now)
            if isinstance(checked, admission.Refusal):
                return checked
        backend = self.choice.choose(admitted.service.name, progress.tried, now)
        if backend is None:
            end = self.choice.find_end_of_silence(admitted.service.name, now)
            return _refuse_none_left(progress, end - now if end else None)
        if admitted.deadline - now < _MIN_REMAINING_SECONDS:
            return _refuse_expired(progress)
        is_retry = progress.may_have_run or bool(progress.tried)
        if is_retry and not self.budgets[admitted.service.name].spend(now):
            return _refuse_none_left(progress)
        return backend

    def _may_retry(self, admitted: exchange.Admitted, progress: _Progress) -> bool:
        """Return whether another attempt would be sent now."""
        now = clocks.read_boot_clock()
        service = admitted.service.name
        return (
            admitted.deadline - now >= _MIN_REMAINING_SECONDS
            and self.choice.choose(service, progress.tried, now) is not None
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
        _log_attempt(request, backend, "unclear", str(error))

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

        async def forward(limit: _AttemptLimit) -> None:
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
            await _AttemptLimit(may_retry=may_retry).run(forward)
        finally:
            self.choice.running[backend.name] -= 1
        self.suspects.clear(backend.name)


@attrs.define(kw_only=True)
class _AttemptLimit:
    """Interrupt an attempt that is late once another one would be sent."""

    may_retry: collections.abc.Callable[[], bool]
    is_answered: bool = False
    """Whether the answer has been read, so that the attempt goes on to its end."""

    async def run(
        self,
        send: collections.abc.Callable[
            ["_AttemptLimit"], collections.abc.Awaitable[None]
        ],
    ) -> None:
        """Send an attempt within the limit; raises sending.AttemptError."""
        if self.may_retry is _never:
            await send(self)
            return
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as scope:
                nursery.start_soon(self._watch, scope)
                try:
                    await send(self)
                except Exception as error:
                    # Raised below, as the nursery would wrap it in a group.
                    failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if scope.cancelled_caught:
            raise sending.OutcomeUnknownError(f"no answer within {_LOOKUP_SECONDS:g} s")

    async def _watch(self, scope: trio.CancelScope) -> None:
        while True:
            await trio.sleep(_LOOKUP_SECONDS)
            if not self.is_answered and self.may_retry():
                scope.cancel()


def _may_wait(admitted: exchange.Admitted, progress: _Progress, now: float) -> bool:
    """Return whether a request that may have run waits for servers that were full."""
    seconds = _FULL_RETRY_SECONDS + _MIN_REMAINING_SECONDS
    return (
        progress.may_have_run
        and progress.full
        and admitted.route.is_repeatable
        and admitted.deadline - now >= seconds
    )


def _never() -> bool:
    return False


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


def _log_attempt(
    request: exchange.CallerRequest,
    backend: backends.Backend,
    outcome: str,
    detail: str,
) -> None:
    _LOGGER.info(
        "attempt ended",
        extra={
            "request": request.request_id,
            "backend": backend.name,
            "outcome": outcome,
            "detail": detail,
        },
    )
