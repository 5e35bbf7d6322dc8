r"""Splits an event stream into whole events.

splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2") -> [Event(identity="1", ...)]
"""

import re
import typing

import attrs

from jujubepass import _decoding
from jujubepass.transport import _http_client

ENDED_INSIDE_EVENT = "stream ended inside an event"
# An event has about two tokens.
_MAX_EVENT_BYTES = 262_144
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


@attrs.frozen(kw_only=True)
class Event:
    """Describe one unchanged event; its id is empty if it has none."""

    identity: str
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Return whether all lines of the event are comments, which clients ignore."""
        lines = self.data.splitlines()
        return all(not line or line.startswith(b":") for line in lines)


@attrs.define(kw_only=True)
class EventSplitter:
    """Split a byte stream into events, buffering an incomplete one."""

    _pending: bytes = b""

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._pending)

    def feed(self, data: bytes) -> list[Event]:
        """Add data from the stream and return the events completed by it.

        Raises InterruptedAnswerError if an incomplete event is too large.
        """
        pending = self._pending + data
        events = []
        start = 0
        for end in _END.finditer(pending):
            events.append(_read_event(pending[start : end.end()]))
            start = end.end()
        self._pending = pending[start:]
        if len(self._pending) > _MAX_EVENT_BYTES:
            raise _http_client.InterruptedAnswerError(
                f"event exceeds {_MAX_EVENT_BYTES} bytes"
            )
        return events


def _read_event(data: bytes) -> Event:
    found = _ID.search(data)
    identity = found.group(1).decode("latin-1").strip() if found else ""
    return Event(identity=identity, data=data)


def is_later(identity: str, last: str | None) -> bool:
    """Return whether an event follows the last one that was forwarded."""
    if last is None or not identity:
        return True
    number, last_number = map(_decoding.parse_digits, (identity, last))
    if number is not None and last_number is not None:
        return number > last_number
    return identity != last


class Source(typing.Protocol):
    """Deliver the body of an answer."""

    async def receive(self) -> bytes:
        """Wait for data; return b"" at the end."""


@attrs.frozen(kw_only=True)
class CheckedSource:
    """Deliver a body of events unchanged, and an end inside an event as an error."""

    source: Source
    _splitter: EventSplitter = attrs.field(factory=EventSplitter, init=False)

    async def receive(self) -> bytes:
        """Wait for data; raises InterruptedAnswerError at an end inside an event."""
        data = await self.source.receive()
        if data:
            self._splitter.feed(data)
        elif self._splitter.has_partial:
            raise _http_client.InterruptedAnswerError(ENDED_INSIDE_EVENT)
        return data
