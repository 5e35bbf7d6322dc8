"""Checks of the parts of model requests, and what their runs tell of these parts."""

import collections.abc
import typing

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    admission,
    board,
    clocks,
    pipelines,
    prompt_parts,
    quarantine,
    stream_refusals,
)
from jujubepass.transport import _http_client

# A run that goes on for this long after its first data is sound: a part of a prompt
# that crashes engines does so as they begin to write.
_PROOF_SECONDS = 1.0
# Maximum runs of one request under which an engine has ended.
_MAX_SUSPECTED_RUNS = 2

# Alias, because a field has the same name as the module.
_Quarantine = quarantine.Quarantine


class Trials(typing.Protocol):
    """Claim the trials of parts of prompts in quarantine."""

    async def claim_trial(
        self,
        service: ids.ServiceId,
        parts: collections.abc.Iterable[ids.PromptPartId],
    ) -> bool:
        """Claim the trial of a part for one request; return whether it is its own."""


@attrs.define(kw_only=True)
class RequestParts:
    """Track the parts of one request and its runs."""

    service: ids.ServiceId
    parts: tuple[ids.PromptPartId, ...]
    runs: int = 0
    """Runs that have ended."""
    engine_runs: dict[ids.BackendServerId, prompt_parts.EngineRun] = attrs.field(
        factory=dict
    )
    """Runs of the engines of the pipeline in use."""
    is_proven: bool = False
    """Whether the run in use has outlasted the time in which a part crashes it."""
    was_proven: bool = False
    """Whether the last run that broke had outlasted that time."""
    unproven: set[prompt_parts.EngineRun] = attrs.field(factory=set)
    """Runs of engines on which the request broke before it was proven."""
    has_trial: bool = False
    """Whether the request may run once in spite of a part in quarantine."""


@attrs.frozen(kw_only=True)
class PartGuard:
    """Keep parts in quarantine from engines and report runs to the quarantine."""

    area: board.BackendArea
    quarantine: _Quarantine
    trials: Trials
    schedule_probe: collections.abc.Callable[[ids.BackendServerId], None]

    def is_ready(self, request: RequestParts, now: float) -> bool:
        """Return whether the rows were read, or could not be read for some time."""
        return not request.parts or self.quarantine.is_ready(now)

    def refuse(self, request: RequestParts, now: float) -> admission.Refusal | None:
        """Return the refusal of parts for which no trial is due, or None."""
        # Its prompt has run well, whatever ended other engines meanwhile.
        if request.was_proven:
            return None
        if request.runs >= _MAX_SUSPECTED_RUNS and self._has_ended_engine(request, now):
            return stream_refusals.OUTCOME_UNKNOWN
        wait = self.quarantine.find_wait(request.service, request.parts, now)
        if wait is None or (request.has_trial and not request.runs):
            return None
        if wait > 0.0 or request.runs:
            return stream_refusals.refuse_quarantined(wait)
        return None

    def _has_ended_engine(self, request: RequestParts, now: float) -> bool:
        """Return whether an engine has ended under unproven parts of a request."""
        return any(
            map(self.quarantine.ends.has_ended, request.unproven)
        ) and not self.quarantine.is_proven(request.service, request.parts, now)

    async def claim(
        self, request: RequestParts, *, has_pipeline: bool
    ) -> admission.Refusal | None:
        """Claim a trial if one is needed; return why not to run it, or None."""
        now = clocks.read_boot_clock()
        refusal = self.refuse(request, now)
        wait = self.quarantine.find_wait(request.service, request.parts, now)
        is_admitted = request.has_trial or request.was_proven
        if refusal is not None or wait is None or is_admitted:
            return refusal
        if not has_pipeline:
            return None
        if not await self.trials.claim_trial(request.service, request.parts):
            return stream_refusals.refuse_quarantined(wait)
        request.has_trial = True
        return None

    def return_trial(self, request: RequestParts) -> None:
        """Return the trial of a request that was refused without a run."""
        if request.has_trial and not request.runs:
            now = clocks.read_boot_clock()
            self.quarantine.return_trial(request.service, request.parts, now)

    def record_start(self, request: RequestParts, pipeline: pipelines.Pipeline) -> None:
        """Record which runs of engines an attempt uses."""
        listed = self.area.listed
        request.is_proven = False
        request.engine_runs = {
            name: prompt_parts.EngineRun(
                engine=name, started_at=listed[name].started_at
            )
            for name in pipeline.engines
            if name in listed
        }

    def record_data(self, request: RequestParts, *, lasted_seconds: float) -> None:
        """Record data of a run that came some time after its first data."""
        if not request.is_proven and lasted_seconds >= _PROOF_SECONDS:
            self._record_proof(request)

    def record_end(
        self, request: RequestParts, answer: _http_client.StreamedAnswer
    ) -> None:
        """Record a complete answer, if it differs from one whose connection ended."""
        has_length = (
            "content-length" in answer.headers or "transfer-encoding" in answer.headers
        )
        if not request.is_proven and has_length:
            self._record_proof(request)

    def _record_proof(self, request: RequestParts) -> None:
        request.is_proven = True
        now = clocks.read_boot_clock()
        self.quarantine.record_proof(request.service, request.parts, now)

    def record_break(
        self,
        request: RequestParts,
        engines: collections.abc.Set[ids.BackendServerId],
    ) -> None:
        """Record that a run broke, for which one of these engines may have ended."""
        request.runs += 1
        request.was_proven = request.is_proven
        if request.is_proven:
            return
        runs = {run for name, run in request.engine_runs.items() if name in engines}
        request.unproven |= runs
        now = clocks.read_boot_clock()
        self.quarantine.record_break(request.service, request.parts, runs, now)
        for run in runs:
            self.schedule_probe(run.engine)

    def record_refused_connection(
        self, request: RequestParts, engine: ids.BackendServerId
    ) -> None:
        """Record that nothing listens at the address of an engine in use."""
        run = request.engine_runs.get(engine)
        if run is not None:
            now = clocks.read_boot_clock()
            self.quarantine.record_end(engine, run.started_at, now)
