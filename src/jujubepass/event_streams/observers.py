"""Observers of runs: of pipelines of engines, and of servers of plain services."""

import collections.abc

import attrs

from jujubepass.forwarding import (
    attempt_limit,
    clocks,
    pipeline_claims,
    stream_progress,
    watched_streams,
)
from jujubepass.quarantine import guard
from jujubepass.transport import _http_client

# Alias, because a field has the same name as the module.
_Guard = guard.Guard


@attrs.frozen(kw_only=True)
class PipelineObserver:
    """Tell stall watch, quarantine, queue and measures of a pipeline's events."""

    claims: pipeline_claims.PipelineClaims
    guard: _Guard
    stream: watched_streams.WatchedStream
    progress: stream_progress.Progress
    source: _http_client.StreamedAnswer
    arrived_at: float
    observe_first_event: collections.abc.Callable[[float], None]

    def record_events(self) -> None:
        """Record that events arrived, which the caller may be slow to take."""
        stream = self.stream
        self.claims.record_data(stream)
        lasted_seconds = stream.last_data_at - stream.first_data_at
        self.guard.record_data(self.progress.guarded, lasted_seconds=lasted_seconds)
        stream.is_forwarding = True

    def record_first_event(self) -> None:
        """Record that the caller is about to get the first event."""
        self.observe_first_event(clocks.read_boot_clock() - self.arrived_at)
        self.claims.shortage.record_first_event(self.progress.entry)

    def record_forwarded(self) -> None:
        """Record that the caller took all events so far."""
        self.stream.record_forwarded()

    def record_end(self) -> None:
        """Record that the run has completed the answer."""
        self.stream.is_forwarding = True
        self.guard.record_end(self.progress.guarded, self.source)


@attrs.frozen(kw_only=True)
class ServerObserver:
    """Tell the time limit of an attempt of a plain server's events."""

    limit: attempt_limit.AttemptLimit

    def record_events(self) -> None:
        """Record that events arrived, which the caller may be slow to take."""
        self.limit.is_answered = True

    def record_first_event(self) -> None:
        """Record that the caller is about to get the first event."""

    def record_forwarded(self) -> None:
        """Wait for further events from now on."""
        self.limit.record_progress()

    def record_end(self) -> None:
        """Record that the run has completed the answer."""
        self.limit.is_answered = True
