"""Waiting for pipelines, and for permits of their first engines."""

import functools

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import (
    admission,
    clocks,
    declarations,
    engine_choice,
    exchange,
    pacing,
    permits,
    pipelines,
    stream_progress,
    stream_refusals,
    stream_timeouts,
    watched_streams,
)
from jujubepass.quarantine import guard
from jujubepass.shortage import entries as shortage_entries
from jujubepass.shortage import gate

# Aliases, because fields have the same names as the modules.
_Guard = guard.Guard
_Pacing = pacing.Pacing

# Share of the stall time-out that a request waits for the repair of a pipeline.
_PIPELINE_WAIT_SHARE = 0.6
_PIPELINE_POLL_INTERVAL_SECONDS = 0.05


@attrs.define(kw_only=True)
class PipelineClaims:
    """Find model requests a pipeline whose first engine takes them."""

    choice: engine_choice.EngineChoice
    permits: permits.Permits
    guard: _Guard
    pacing: _Pacing | None = None
    shortage: gate.Gate = attrs.field(factory=gate.Gate)

    def record_arrival(self, admitted: exchange.Admitted) -> None:
        """Count a request that has arrived; the queue counts those that enter it."""
        if not self.shortage.uses_view(admitted.service):
            self.choice.record_arrival(admitted.service, admitted.priority)

    async def wait_for_pipeline(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        progress: stream_progress.Progress,
    ) -> pipelines.Pipeline | admission.Refusal | None:
        """Return a pipeline that has a place, or the refusal for want of places."""
        if progress.entry is None:
            progress.entry = self.shortage.make_entry(
                request, admitted, is_resumed=progress.answer.last_id is not None
            )
        entry = progress.entry
        while True:
            pipeline = await self._find_pipeline(admitted, progress)
            if pipeline is None or entry is None or progress.has_place:
                return pipeline
            if progress.runs or progress.answer.events:
                self.shortage.start_unqueued(entry)
                return pipeline
            choose = functools.partial(self._choose_now, admitted, progress)
            found = await self.shortage.claim(entry, pipeline, choose)
            if entry.state is shortage_entries.State.REFUSED:
                return stream_refusals.refuse_shortage(entry.retry_after_seconds)
            if found is not None:
                return found
            await trio.sleep(_PIPELINE_POLL_INTERVAL_SECONDS)

    async def _find_pipeline(
        self, admitted: exchange.Admitted, progress: stream_progress.Progress
    ) -> pipelines.Pipeline | None:
        """Return a pipeline, or wait for the repair of one while it may be used."""
        wait_seconds = _PIPELINE_WAIT_SHARE * stream_timeouts.compute_caller_timeout(
            admitted.route
        )
        until = clocks.read_boot_clock() + wait_seconds
        while True:
            now = clocks.read_boot_clock()
            if self.guard.refuse(progress.guarded, now) is not None:
                return None
            if now < until and not self.guard.is_ready(now):
                await trio.sleep(_PIPELINE_POLL_INTERVAL_SECONDS)
                continue
            service = admitted.service
            entries = self._find_entries(admitted, progress)
            pipeline = self._choose(admitted, progress, entries, now)
            if pipeline is not None or now >= until:
                return pipeline
            if self._is_limited(service, now):
                return None
            end = self.choice.find_end_of_silence(service, now)
            if end is not None and end > until and not progress.answer.events:
                return None
            await trio.sleep(_PIPELINE_POLL_INTERVAL_SECONDS)

    def _choose_now(
        self, admitted: exchange.Admitted, progress: stream_progress.Progress
    ) -> pipelines.Pipeline | None:
        now = clocks.read_boot_clock()
        if self.guard.refuse(progress.guarded, now) is not None:
            return None
        entries = self._find_entries(admitted, progress)
        return self._choose(admitted, progress, entries, now)

    def _choose(
        self,
        admitted: exchange.Admitted,
        progress: stream_progress.Progress,
        entries: set[ids.BackendServerId] | None,
        now: float,
    ) -> pipelines.Pipeline | None:
        """Return a pipeline whose first engine takes requests now or within a wait."""
        closed = self.permits.list_closed(now)
        pipeline = self._choose_open(admitted, progress, entries, closed, now)
        if pipeline is not None or not closed:
            return pipeline
        longest_wait = self._find_longest_wait(admitted, progress, now)
        closed = {
            name for name in closed if self.permits.find_wait(name, now) > longest_wait
        }
        return self._choose_open(admitted, progress, entries, closed, now)

    def _choose_open(
        self,
        admitted: exchange.Admitted,
        progress: stream_progress.Progress,
        entries: set[ids.BackendServerId] | None,
        closed: set[ids.BackendServerId],
        now: float,
    ) -> pipelines.Pipeline | None:
        service, avoided = admitted.service, progress.avoided
        choose = functools.partial(self.choice.choose, service, now, closed=closed)
        paced = self._list_paced(service, now)
        pipeline = choose(avoided, entries, paced=paced)
        if pipeline is None and paced:
            # An engine without places starts a pipeline where nothing else is left.
            pipeline = choose(avoided, entries)
        if pipeline is None and avoided:
            pipeline = choose(entries=entries)
        return pipeline

    def _list_paced(
        self, service: declarations.Service, now: float
    ) -> set[ids.BackendServerId]:
        if self.pacing is None:
            return set()
        return self.pacing.list_closed(service.name, self.choice.running, now)

    def _is_limited(self, service: declarations.Service, now: float) -> bool:
        """Return whether only request limits keep pipelines from being used."""
        closed = self.permits.list_closed(now)
        return bool(closed) and self.choice.choose(service, now) is not None

    def _find_entries(
        self, admitted: exchange.Admitted, progress: stream_progress.Progress
    ) -> set[ids.BackendServerId] | None:
        """Return the allowed first engines once the route's attempts are used up."""
        running = self.choice.filter_listed(progress.entries)
        return running if len(running) >= admitted.route.max_attempts else None

    async def claim_permit(
        self,
        admitted: exchange.Admitted,
        pipeline: pipelines.Pipeline,
        progress: stream_progress.Progress,
    ) -> pipelines.Pipeline | None:
        """Get a permit of the first engine; return the pipeline to use, if any."""
        first = pipeline.stages[0].engine
        if not self.permits.is_limited(first):
            return pipeline
        now = clocks.read_boot_clock()
        if self.permits.find_wait(first, now) == 0.0:
            claim = await self.permits.claim(first)
            return pipeline if claim.is_granted else None
        longest_wait = self._find_longest_wait(admitted, progress, now)
        claim = await self.permits.claim(first, longest_wait)
        if not claim.is_granted:
            return None
        # Engines of the pipeline may have changed meanwhile.
        now = clocks.read_boot_clock()
        service, avoided = admitted.service, progress.avoided
        return self.choice.choose(service, now, avoided, {first})

    def record_data(self, stream: watched_streams.WatchedStream) -> None:
        """Record that events of a stream came, and the time of the first one."""
        is_first = not stream.has_begun
        if is_first:
            self.choice.record_prefilled(stream.pipeline)
        stream.record_data()
        if is_first and self.pacing is not None:
            seconds = stream.first_data_at - stream.began_at
            self.pacing.record_first_event(stream.pipeline, seconds)

    def record_rejected(self, engine: ids.BackendServerId) -> None:
        """Record that an engine rejected a request for lack of room."""
        if self.pacing is not None:
            self.pacing.record_rejected(engine)

    def refuse_full(self, progress: stream_progress.Progress) -> admission.Refusal:
        """Return the refusal of a request that full engines rejected."""
        return stream_refusals.refuse_full(self.shortage.find_retry(progress.entry))

    def refuse_without_pipeline(self, admitted: exchange.Admitted) -> admission.Refusal:
        """Return the refusal of a request that has no pipeline."""
        now = clocks.read_boot_clock()
        closed = self.permits.list_closed(now)
        if closed:
            pipeline = self.choice.choose(admitted.service, now)
            if pipeline is not None and pipeline.stages[0].engine in closed:
                first = pipeline.stages[0].engine
                seconds = self.permits.assign_return(first, now)
                return stream_refusals.refuse_limited(seconds)
        end = self.choice.find_end_of_silence(admitted.service, now)
        if end is None:
            return stream_refusals.NO_PIPELINE
        return stream_refusals.refuse_silent(end - now)

    def _find_longest_wait(
        self,
        admitted: exchange.Admitted,
        progress: stream_progress.Progress,
        now: float,
    ) -> float:
        """Return how long the request may wait for a permit, in seconds."""
        if progress.answer.events:
            return permits.RESUMED_WAIT_SECONDS
        return permits.find_longest_wait(
            admitted.route, admitted.priority, progress.deadline - now
        )
