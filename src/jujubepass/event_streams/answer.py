"""State of one answer of events over all runs that it takes."""

import collections.abc

import attrs

from jujubepass.event_streams import events

# Aliases, because fields have the same names as the module and its classes.
_Event = events.Event
_EventSplitter = events.EventSplitter

_OK = 200
_EVENT_STREAM = "text/event-stream"
# Runs that end without a further event before the answer counts as complete: a server
# that fails may end its answer so.
_MIN_EMPTY_RUNS = 2


class BrokenRunError(Exception):
    """Signal that an answer cannot continue with the run in use."""


@attrs.define(kw_only=True)
class EventAnswer:
    """Track which events of an answer were forwarded, and whether it is complete."""

    last_id: str | None = None
    """Id of the last event that the caller has; None without one."""
    events: int = attrs.field(default=0, init=False)
    content_type: str = attrs.field(default="", init=False)
    """Content type of the run that the answer began with, and of each further one."""
    _events_before_run: int = attrs.field(default=0, init=False)
    _splitter: _EventSplitter | None = attrs.field(default=None, init=False)
    _is_cut: bool = attrs.field(default=False, init=False)
    """Whether a run ended inside an event, so that there is a further one."""
    _empty_runs: int = attrs.field(default=0, init=False)
    """Runs that ended well without a further event of an answer that has begun."""
    _has_lost_place: bool = attrs.field(default=False, init=False)

    @property
    def run_events(self) -> int:
        """Return the number of events of the run in use."""
        return self.events - self._events_before_run

    @property
    def can_resume(self) -> bool:
        """Return whether a further run can go on without repeating an event."""
        return not self._has_lost_place

    def begin_run(self) -> None:
        """Count events for a run that is about to be sent."""
        self._events_before_run = self.events

    def check_resumed(self, status: int, content_type: str) -> None:
        """Raise BrokenRunError unless an answer may go on with one of this start.

        The body of an error must not get into an answer that has begun.
        """
        if status != _OK:
            raise BrokenRunError(f"answered {status} when resumed")
        if content_type != self.content_type:
            raise BrokenRunError(f"resumed with content type {content_type!r:.80}")

    def open_body(self, content_type: str) -> None:
        """Expect the events of the run in use."""
        self.content_type = content_type
        self._splitter = _EventSplitter()

    def feed(self, data: bytes) -> tuple[list[_Event], BrokenRunError | None]:
        """Return the events that data completes, up to one that cannot be resumed.

        In an answer whose events have ids, one without is an error of the server.
        Raises InterruptedAnswerError if an incomplete event is too large.
        """
        assert self._splitter is not None
        found = self._splitter.feed(data)
        if not self._events_before_run or self.last_id is None:
            return found, None
        for number, each in enumerate(found):
            if not each.identity and not each.is_comment:
                error = BrokenRunError("event without an id in a resumed answer")
                return found[:number], error
        return found, None

    def select_new(self, found: collections.abc.Iterable[_Event]) -> list[_Event]:
        """Return the events that the caller does not have."""
        return [each for each in found if events.is_later(each.identity, self.last_id)]

    def record_forwarded(self, new: collections.abc.Sequence[_Event]) -> None:
        """Record events that the caller is being sent."""
        self.events += len(new)
        self.last_id = new[-1].identity or self.last_id
        # Without an id, a further run would begin with what the caller has.
        has_content = any(not each.is_comment for each in new)
        is_lost = self._has_lost_place or has_content
        self._has_lost_place = self.last_id is None and is_lost

    def record_broken_run(self) -> None:
        """Record that the run in use broke."""
        if self.run_events:
            self._is_cut = False
        if self._splitter is not None:
            self._is_cut |= self._splitter.has_partial
            self._splitter = None

    def check_end(self) -> None:
        """Raise BrokenRunError if the run in use has ended too early."""
        if self._splitter is not None and self._splitter.has_partial:
            raise BrokenRunError(events.ENDED_INSIDE_EVENT)
        if not self._events_before_run or self.run_events:
            return
        self._empty_runs += 1
        if self._is_cut or self._empty_runs < _MIN_EMPTY_RUNS:
            raise BrokenRunError("resumed answer without a further event")


def read_content_type(
    fields: collections.abc.Iterable[tuple[str, str]],
) -> str:
    """Return the content type of an answer without its parameters."""
    content_type = dict(fields).get("content-type", "")
    return content_type.partition(";")[0].strip().lower()


def is_event_stream(content_type: str) -> bool:
    """Return whether a body of this type consists of events."""
    return content_type == _EVENT_STREAM
