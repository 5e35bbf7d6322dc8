"""Progress of one model request over its attempts."""

import random

import attrs

from jujubepass import ids
from jujubepass.event_streams import answer
from jujubepass.forwarding import admission, stream_refusals
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

# Alias, because a field has the same name as the module.
_EventAnswer = answer.EventAnswer


class PipelineFailedError(Exception):
    """Signal that a run was given up because its pipeline has stalled."""


@attrs.define(kw_only=True)
class Progress:
    """Track the progress of one answer."""

    answer: _EventAnswer
    deadline: float
    guarded: guard.GuardedRequest
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
    def may_run_again(self) -> bool:
        """Return whether the request may run again after the runs that broke."""
        return self.answer.can_resume and self.fruitless_runs < _MAX_FRUITLESS_RUNS

    @property
    def has_refusals_left(self) -> bool:
        """Return whether another attempt may follow the refused ones."""
        return self.refusals < _MAX_REFUSALS

    def would_have_runs_left(self) -> bool:
        """Return whether the request may run again if the run in use broke now."""
        has_runs_left = self._count_fruitless_runs() < _MAX_FRUITLESS_RUNS
        return self.answer.can_resume and has_runs_left

    def record_run(self) -> None:
        """Record that the run in use broke."""
        self.fruitless_runs = self._count_fruitless_runs()
        self.runs += 1
        self.answer.record_broken_run()
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

    def record_refusal(self, engine: ids.BackendServerId) -> None:
        """Record that an engine did not run its stage."""
        self.refusals += 1
        self.refusals_in_row += 1
        self.avoided.add(engine)

    def draw_delay(self, random_source: random.Random) -> float:
        """Return the delay after a refused attempt, in seconds."""
        doublings = self.refusals_in_row - (1 if self.answer.events else 2)
        if doublings < 0:
            return 0.0
        seconds = _MIN_REFUSED_DELAY_SECONDS * 2.0**doublings
        seconds = min(seconds, _MAX_REFUSED_DELAY_SECONDS)
        return seconds * random_source.uniform(0.5, 1.0)

    def _count_fruitless_runs(self) -> int:
        return 1 if self.answer.run_events else self.fruitless_runs + 1
