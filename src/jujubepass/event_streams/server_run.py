"""Forwarding of a plain server's answer, as events or as a whole."""

import collections.abc

import attrs

from jujubepass.event_streams import answer, events, observers, relay
from jujubepass.forwarding import (
    attempt_limit,
    declarations,
    exchange,
    replies,
    sending,
    stream_timeouts,
)

# Aliases, because fields have the same names as the modules.
_EventAnswer = answer.EventAnswer

# Answers up to this size are read completely before they are forwarded, so that a
# failed lookup can be retried; larger ones are streamed.
_MAX_BUFFERED_BYTES = 65_536
_OK = 200
_FIRST_FAILING_STATUS = 500


@attrs.frozen(kw_only=True)
class ServerRun:
    """Forward the answer of one run of a request."""

    route: declarations.Route
    answer: _EventAnswer
    reply: replies.Reply
    limit: attempt_limit.AttemptLimit

    async def forward(self, head: exchange.AnswerHead, source: events.Source) -> None:
        """Forward an answer to its end; raises sending.OutcomeUnknownError."""
        content_type = answer.read_content_type(head.fields)
        try:
            if self.reply.started:
                self.answer.check_resumed(head.status, content_type)
            if self._is_stream(head, content_type):
                observer = observers.ServerObserver(limit=self.limit)
                run = relay.Relay(
                    answer=self.answer, caller=self.reply, observer=observer
                )
                await run.run(head, source)
                return
        except answer.BrokenRunError as error:
            raise sending.OutcomeUnknownError(str(error)) from error
        if head.status == _OK and answer.is_event_stream(content_type):
            source = events.CheckedSource(source=source)
        await self._forward_body(head, source)

    def _is_stream(self, head: exchange.AnswerHead, content_type: str) -> bool:
        """Return whether the caller waits for each event."""
        return (
            self.route.repeat_policy is declarations.RepeatPolicy.STREAM
            and head.status == _OK
            and (not content_type or answer.is_event_stream(content_type))
        )

    async def _forward_body(
        self, head: exchange.AnswerHead, source: events.Source
    ) -> None:
        body, is_complete = await _read_body(source, _MAX_BUFFERED_BYTES)
        self.limit.is_answered = True
        if head.status >= _FIRST_FAILING_STATUS and self.limit.may_retry():
            raise sending.FailureResponseError(f"answered {head.status}")
        if is_complete:
            await self.reply.send_complete(head, body)
            return
        await self.reply.start(head)
        await self.reply.write(body)
        while data := await source.receive():
            await self.reply.write(data)
        await self.reply.finish()


def make_limit(
    route: declarations.Route, may_retry: collections.abc.Callable[[], bool]
) -> attempt_limit.AttemptLimit:
    """Return the time limit of an attempt; a stream's holds for each pause."""
    seconds = attempt_limit.LOOKUP_SECONDS
    if route.repeat_policy is declarations.RepeatPolicy.STREAM:
        seconds = stream_timeouts.make_stall_timeouts(route).gap_timeout_seconds
    return attempt_limit.AttemptLimit(may_retry=may_retry, seconds=seconds)


async def _read_body(source: events.Source, limit: int) -> tuple[bytes, bool]:
    """Read up to a limit; also return whether the body is complete."""
    received = bytearray()
    while len(received) <= limit:
        data = await source.receive()
        if not data:
            return bytes(received), True
        received += data
    return bytes(received), False
