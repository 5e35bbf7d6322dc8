"""Sending of one attempt to a backend server, up to the start of its answer."""

import collections.abc
import contextlib
import logging

import attrs

from jujubepass.forwarding import clocks, exchange, server_signals, stream_refusals
from jujubepass.transport import _http_client

_LOGGER = logging.getLogger(__name__)

_FIRST_FAILING = 500


class AttemptError(Exception):
    """Signal that an attempt has no usable answer."""


class NotRunError(AttemptError):
    """Signal that the backend server certainly did not run the request."""

    def __init__(
        self,
        *,
        detail: str,
        head: exchange.AnswerHead | None = None,
        has_ended: bool = False,
    ) -> None:
        super().__init__(detail)
        self.head = head
        self.has_ended = has_ended
        """Whether nothing listens at the server's address."""


class OutcomeUnknownError(AttemptError):
    """Signal that the backend server may have run the request."""


class FailureResponseError(OutcomeUnknownError):
    """Signal a complete answer that reports a failure."""


@attrs.frozen(kw_only=True)
class Sender:
    """Send attempts over the connections of one client."""

    client: _http_client.Client
    wire: exchange.Wire
    signals: server_signals.ServerSignals

    @contextlib.asynccontextmanager
    async def open(
        self,
        request: exchange.CallerRequest,
        attempt: exchange.Attempt,
        address: _http_client.Address,
    ) -> collections.abc.AsyncIterator[
        tuple[exchange.AnswerHead, _http_client.StreamedAnswer]
    ]:
        """Send an attempt once and yield its answer; raises AttemptError.

        A failure while the answer is being read also raises OutcomeUnknownError.
        """
        started_at = self.signals.find_run(attempt.backend)
        sent_at = clocks.read_boot_clock()
        self.signals.limits.record_attempt(request.request_id, attempt.backend, sent_at)
        try:
            async with self.client.open(
                request.method,
                address,
                request.target,
                body=request.body,
                headers=self.wire.write_request(request, attempt),
                fresh=attempt.fresh,
                once=True,
            ) as answer:
                head = self.wire.read_answer(
                    request, answer.status, answer.fields, is_first=answer.is_first
                )
                if head.kind is not exchange.AnswerKind.MISMATCHED:
                    self.signals.record(attempt.backend, started_at, head)
                self._record_pace(attempt, head, sent_at)
                _check_run(head)
                yield head, answer
        except _http_client.NotSentError as error:
            self.signals.record_failed(attempt.backend)
            has_ended = isinstance(error, _http_client.RefusedConnectionError)
            raise NotRunError(detail=str(error), has_ended=has_ended) from error
        except _http_client.ClientError as error:
            self.signals.record_failed(attempt.backend)
            raise OutcomeUnknownError(str(error)) from error

    def _record_pace(
        self, attempt: exchange.Attempt, head: exchange.AnswerHead, sent_at: float
    ) -> None:
        """Record how a plain server answered; an error shows nothing of its load."""
        if attempt.pipeline is not None:
            return
        if head.kind is exchange.AnswerKind.NOT_RUN:
            if stream_refusals.is_for_room(head):
                self.signals.record_rejected(attempt.backend)
        elif head.kind is exchange.AnswerKind.RAN and head.status < _FIRST_FAILING:
            seconds = clocks.read_boot_clock() - sent_at
            self.signals.record_answer(attempt.backend, seconds)


def _check_run(head: exchange.AnswerHead) -> None:
    """Raise AttemptError unless the answer is that of a run."""
    if head.kind is exchange.AnswerKind.NOT_RUN:
        detail = f"answered {head.status} without running the request"
        raise NotRunError(detail=detail, head=head)
    if head.kind is not exchange.AnswerKind.RAN:
        raise OutcomeUnknownError(f"{head.kind.value} answer {head.status}")
