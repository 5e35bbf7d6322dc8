"""Progress of one model request over its attempts."""

import random

import attrs

from jujubepass import ids
from jujubepass.forwarding import admission, events, exchange, stream_refusals
from jujubepass.quarantine import guard
from jujubepass.shortage import entries as shortage_entries

# Maximum number of refused attempts before the request itself is refused.
_MAX_REFUSALS = 4
# Maximum runs of one request since its last event, including those whose engine has
# ended. After this many lost pipelines, further runs would use up the retry budget of
# other requests.
_MAX_FRUITLESS_RUNS = 4
# Delay after a refused attempt; it doubles with each refusal in a row. A request that
# has not begun tries one other pipeline at once, as its first event is due soon.
_MIN_REFUSED_DELAY_SECONDS = 0.05
_MAX_REFUSED_DELAY_SECONDS = 0.8


# Aliases, because a field has the same name as the module.
_Event = events.Event
_EventSplitter = events.EventSplitter

_OK = 200
# Runs that end without a further event before the answer counts as complete: an engine
# that fails may end its answer so.
_MIN_EMPTY_RUNS = 2


class PipelineFailedError(Exception):
    """Signal that an answer cannot continue on its pipeline."""


@attrs.define(kw_only=True)
class Progress:
    """Track the progress of one answer."""

    last_id: str | None
    deadline: float
    guarded: guard.GuardedRequest
    events: int = 0
    events_before_run: int = 0
    runs: int = 0
    is_sent: bool = False
    """Whether an attempt is in progress that may run."""
    fruitless_runs: int = 0
    """Runs without a new event since the last one with any."""
    refusals: int = 0
    refusals_in_row: int = 0
    avoided: set[ids.BackendServerId] = attrs.field(factory=set)
    sent_to: set[ids.BackendServerId] = attrs.field(factory=set)
    """First engines of all attempts."""
    entries: dict[ids.BackendServerId, int] = attrs.field(factory=dict)
    """First engines of this request's pipelines, with the engines' start times."""

    entry: shortage_entries.Entry | None = None
    """Entry at the queue for places; None if the service has none."""
    content_type: str = ""
    """Content type of the run that the answer began with, and of each further one."""
    splitter: _EventSplitter | None = None
    """Splitter of the run in use, or of the last one."""
    is_cut: bool = False
    """Whether a run ended inside an event, so that there is a further one."""
    empty_runs: int = 0
    """Runs that ended well without a further event of an answer that has begun."""

    @property
    def run_events(self) -> int:
        """Return the number of events of the run in use."""
        return self.events - self.events_before_run

    @property
    def has_place(self) -> bool:
        """Return whether the request holds the place that it waited for."""
        return (
            self.entry is not None
            and self.entry.state is shortage_entries.State.STARTED
        )

    @property
    def is_retry(self) -> bool:
        """Return whether the request has been sent before."""
        return self.runs + self.refusals > 0

    @property
    def has_runs_left(self) -> bool:
        """Return whether the request may run again after the runs that broke."""
        return self.fruitless_runs < _MAX_FRUITLESS_RUNS

    @property
    def has_refusals_left(self) -> bool:
        """Return whether another attempt may follow the refused ones."""
        return self.refusals < _MAX_REFUSALS

    def would_have_runs_left(self) -> bool:
        """Return whether the request may run again if the run in use broke now."""
        return self._count_fruitless_runs() < _MAX_FRUITLESS_RUNS

    def record_run(self) -> None:
        """Record that the run in use broke."""
        self.fruitless_runs = self._count_fruitless_runs()
        self.runs += 1
        if self.run_events:
            self.is_cut = False
        if self.splitter is not None:
            self.is_cut |= self.splitter.has_partial
            self.splitter = None
        self.refusals_in_row = 0

    def make_refusal(self, refusal: admission.Refusal) -> admission.Refusal:
        """Return the refusal, or OUTCOME_UNKNOWN if an attempt has run."""
        return stream_refusals.OUTCOME_UNKNOWN if self.runs else refusal

    def refuse_expired(self, *, is_stopping: bool) -> admission.Refusal:
        """Return the refusal when no time is left for the rest of the answer."""
        if not is_stopping:
            return stream_refusals.EXPIRED
        if self.is_sent or self.runs:
            return stream_refusals.OUTCOME_UNKNOWN
        return stream_refusals.STOPPING

    def check_resumed(self, head: exchange.AnswerHead) -> None:
        """Raise PipelineFailedError unless an answer may go on with one of this start.

        The body of an error must not get into an answer that has begun.
        """
        if head.status != _OK:
            raise PipelineFailedError(f"answered {head.status} when resumed")
        content_type = read_content_type(head)
        if content_type != self.content_type:
            raise PipelineFailedError(f"resumed with content type {content_type!r:.80}")

    def select_events(
        self, found: list[_Event]
    ) -> tuple[list[_Event], PipelineFailedError | None]:
        """Return the events before one that cannot be of a resumed answer, if any.

        In an answer whose events have ids, one without is an error of the engine.
        """
        if not self.events_before_run or self.last_id is None:
            return found, None
        for number, each in enumerate(found):
            if not each.identity and not each.is_comment:
                error = PipelineFailedError("event without an id in a resumed answer")
                return found[:number], error
        return found, None

    def check_end(self) -> None:
        """Raise PipelineFailedError if the run in use has ended too early."""
        if self.splitter is not None and self.splitter.has_partial:
            raise PipelineFailedError("stream ended inside an event")
        if not self.events_before_run or self.run_events:
            return
        self.empty_runs += 1
        if self.is_cut or self.empty_runs < _MIN_EMPTY_RUNS:
            raise PipelineFailedError("resumed answer without a further event")

    def record_refusal(self, engine: ids.BackendServerId) -> None:
        """Record that an engine did not run its stage."""
        self.refusals += 1
        self.refusals_in_row += 1
        self.avoided.add(engine)

    def draw_delay(self, random_source: random.Random) -> float:
        """Return the delay after a refused attempt, in seconds."""
        doublings = self.refusals_in_row - (1 if self.events else 2)
        if doublings < 0:
            return 0.0
        seconds = _MIN_REFUSED_DELAY_SECONDS * 2.0**doublings
        seconds = min(seconds, _MAX_REFUSED_DELAY_SECONDS)
        return seconds * random_source.uniform(0.5, 1.0)

    def _count_fruitless_runs(self) -> int:
        return 1 if self.run_events else self.fruitless_runs + 1


def read_content_type(head: exchange.AnswerHead) -> str:
    """Return the content type of an answer without its parameters."""
    content_type = dict(head.fields).get("content-type", "")
    return content_type.partition(";")[0].strip().lower()
