"""Forwarding of one run's events to the caller as they arrive."""

import typing

import attrs
import trio

from jujubepass.event_streams import answer, events
from jujubepass.forwarding import exchange

# Aliases, because fields have the same names as the modules.
_EventAnswer = answer.EventAnswer


class Caller(typing.Protocol):
    """Send an answer to the caller."""

    @property
    def started(self) -> bool:
        """Return whether the start of the answer has been sent."""

    async def start(self, head: exchange.AnswerHead) -> None:
        """Send the start of the answer."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Send the end of the body."""


class Observer(typing.Protocol):
    """Follow the progress of a run."""

    def record_events(self) -> None:
        """Record that events arrived, which the caller may be slow to take."""

    def record_first_event(self) -> None:
        """Record that the caller is about to get the first event."""

    def record_forwarded(self) -> None:
        """Record that the caller took all events so far."""

    def record_end(self) -> None:
        """Record that the run has completed the answer."""


@attrs.frozen(kw_only=True)
class Relay:
    """Forward the events of one run."""

    answer: _EventAnswer
    caller: Caller
    observer: Observer

    async def run(self, head: exchange.AnswerHead, source: events.Source) -> None:
        """Forward a run to its end; raises answer.BrokenRunError.

        What interrupts the source is raised unchanged.
        """
        self.answer.open_body(answer.read_content_type(head.fields))
        while data := await source.receive():
            # A cancellation in the middle of an event would leave a part of it behind.
            await trio.lowlevel.checkpoint_if_cancelled()
            found, fault = self.answer.feed(data)
            # Bytes that complete no event are no progress, and may come without end.
            if not found and fault is None:
                continue
            self.observer.record_events()
            await self._forward(found, head)
            self.observer.record_forwarded()
            if fault is not None:
                raise fault
        self.answer.check_end()
        self.observer.record_end()
        if not self.caller.started:
            await self.caller.start(head)
        await self.caller.finish()

    async def _forward(
        self, found: list[events.Event], head: exchange.AnswerHead
    ) -> None:
        new = self.answer.select_new(found)
        if not new:
            return
        if not self.caller.started:
            self.observer.record_first_event()
            await self.caller.start(head)
        self.answer.record_forwarded(new)
        await self.caller.write(b"".join(each.data for each in new))
