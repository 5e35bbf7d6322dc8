"""Handling of model requests, whose answer may need several pipelines."""

import collections
import collections.abc
import contextlib
import functools
import random

import attrs
import trio

from jujubepass import ids, reasons
from jujubepass.event_streams import answer, observers, relay
from jujubepass.forwarding import (
    admission,
    attempt_log,
    clocks,
    engine_choice,
    exchange,
    pipeline_claims,
    pipelines,
    replies,
    sending,
    stall_watch,
    stopping,
    stream_progress,
    stream_refusals,
    stream_timeouts,
    suspicion,
    watched_streams,
)
from jujubepass.limits import _retry_budget
from jujubepass.quarantine import guard
from jujubepass.transport import _http_client

# Alias, because a field has the same name as the module.
_Guard = guard.Guard

_PIPELINE_POLL_INTERVAL_SECONDS = 0.05


@attrs.define(kw_only=True)
class StreamExchange:
    """Run a request on a pipeline, and resume after the last event on another."""

    sender: sending.Sender
    admission_control: admission.Admission
    choice: engine_choice.EngineChoice
    claims: pipeline_claims.PipelineClaims
    suspects: suspicion.Suspects
    stalls: stall_watch.StallWatch
    guard: _Guard
    budgets: collections.defaultdict[ids.ServiceId, _retry_budget.RetryBudget]
    count_retry: collections.abc.Callable[[reasons.RetryReason], None]
    observe_first_event: collections.abc.Callable[[float], None]
    answers: stopping.RunningAnswers = attrs.field(factory=stopping.RunningAnswers)
    token_times: stopping.TokenTimes = attrs.field(factory=stopping.TokenTimes)
    random_source: random.Random = attrs.field(factory=random.Random)

    async def serve(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        reply: replies.Reply,
    ) -> None:
        """Serve one request before its deadline."""
        progress = stream_progress.Progress(
            answer=answer.EventAnswer(last_id=request.resume_after),
            deadline=admitted.deadline,
            guarded=guard.track(request, admitted),
        )
        self.budgets[admitted.service.name].count_attempt(request.arrived_at)
        self.claims.record_arrival(admitted)
        with self.answers.limit(admitted.deadline):
            try:
                refusal = await self._run(request, admitted, reply, progress)
            finally:
                self.claims.shortage.release(progress.entry)
            if refusal is not None:
                self.guard.return_trial(progress.guarded)
                await reply.end(refusal)
            return
        is_stopping = self.answers.ends_before(admitted.deadline)
        refusal = progress.refuse_expired(is_stopping=is_stopping)
        if not progress.is_sent:
            self.guard.return_trial(progress.guarded)
        await reply.end(refusal)

    async def _run(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        reply: replies.Reply,
        progress: stream_progress.Progress,
    ) -> admission.Refusal | None:
        """Return why the answer is incomplete, or None if it is complete."""
        while True:
            pipeline = await self._prepare_attempt(request, admitted, progress)
            if isinstance(pipeline, admission.Refusal):
                if stream_refusals.is_temporary(pipeline) and reply.started:
                    # The caller still waits, so that a stall does not end the answer.
                    await trio.sleep(_PIPELINE_POLL_INTERVAL_SECONDS)
                    continue
                return progress.make_refusal(pipeline)
            try:
                is_new = not progress.runs and request.resume_after is None
                tokens = request.max_answer_tokens if is_new else 0
                with self.token_times.measure(admitted.service.name, tokens):
                    await self._run_attempt(
                        request, admitted, pipeline, reply, progress
                    )
                return None
            except sending.NotRunError as error:
                progress.is_sent = False
                self._record_refusal(request, pipeline, error, progress)
                if not progress.has_refusals_left and not reply.started:
                    refusal = self.claims.refuse_full(progress)
                    return progress.make_refusal(refusal)
                await trio.sleep(progress.draw_delay(self.random_source))
            except (
                sending.OutcomeUnknownError,
                stream_progress.PipelineFailedError,
                answer.BrokenRunError,
            ) as error:
                progress.is_sent = False
                self._record_failure(request, pipeline, error, progress)
                if not (admitted.route.is_repeatable and progress.may_run_again):
                    return stream_refusals.OUTCOME_UNKNOWN

    async def _prepare_attempt(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        progress: stream_progress.Progress,
    ) -> pipelines.Pipeline | admission.Refusal:
        """Return a pipeline that takes the request now, or why there is none."""
        while True:
            found = await self.claims.wait_for_pipeline(request, admitted, progress)
            if isinstance(found, admission.Refusal):
                return found
            refusal = await self.guard.claim(progress.guarded, has_server=bool(found))
            if refusal is None:
                refusal = self._check_attempt(request, admitted, found, progress)
            if refusal is not None or found is None:
                return refusal or self.claims.refuse_without_pipeline(admitted)
            pipeline = await self.claims.claim_permit(admitted, found, progress)
            if pipeline is None:
                continue
            if self.claims.permits.is_limited(pipeline.stages[0].engine):
                # The request has waited for the permit.
                refusal = self._check_attempt(request, admitted, pipeline, progress)
                if refusal is not None:
                    return refusal
            if progress.is_retry:
                now = clocks.read_boot_clock()
                if not self.budgets[admitted.service.name].spend(now):
                    return stream_refusals.BUDGET_SPENT
            return pipeline

    def _check_attempt(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        pipeline: pipelines.Pipeline | None,
        progress: stream_progress.Progress,
    ) -> admission.Refusal | None:
        """Return why the attempt must not be sent now, or None."""
        now = clocks.read_boot_clock()
        # What has run is completed as it was admitted: a refusal would lose its answer.
        if not progress.runs:
            checked = self.admission_control.admit(request, now)
            if isinstance(checked, admission.Refusal):
                return checked
        if pipeline is None:
            return self.claims.refuse_without_pipeline(admitted)
        predicted = self.token_times.predict(
            admitted.service.name, request.max_answer_tokens, pipeline.step_seconds
        )
        may_end = self.answers.may_end(now, progress.deadline, predicted)
        # A caller that has a part of the answer may get a short rest.
        if not may_end and not progress.answer.events:
            return stream_refusals.STOPPING
        budget = self.budgets[admitted.service.name]
        if progress.is_retry and budget.predict_wait_seconds(now) > 0.0:
            budget.spend(now)
            return stream_refusals.BUDGET_SPENT
        return None

    def _may_retry(
        self, admitted: exchange.Admitted, progress: stream_progress.Progress
    ) -> bool:
        """Return whether the request may run once more after the run in use."""
        if not progress.would_have_runs_left():
            return False
        budget = self.budgets[admitted.service.name]
        return budget.predict_wait_seconds(clocks.read_boot_clock()) == 0.0

    async def _run_attempt(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        pipeline: pipelines.Pipeline,
        reply: replies.Reply,
        progress: stream_progress.Progress,
    ) -> None:
        """Run the rest of the answer on one pipeline; raises what ended it early."""
        first = pipeline.stages[0]
        progress.answer.begin_run()
        now = clocks.read_boot_clock()
        attempt = exchange.Attempt(
            backend=first.engine,
            account=admitted.account.name if admitted.account else None,
            priority=admitted.priority,
            remaining_seconds=progress.deadline - now,
            pipeline=pipeline,
            resume_after=progress.answer.last_id,
            fresh=not admitted.route.is_repeatable or first.engine in progress.sent_to,
        )
        progress.sent_to.add(first.engine)
        progress.is_sent = True
        reply.record_attempt(first.engine)
        with self._watch(request, admitted, pipeline, progress) as stream:
            self.choice.record_start(pipeline)
            self.choice.record_spill(pipeline, now)
            try:
                with self.guard.watch(
                    progress.guarded, pipeline.engines, scope=stream.scope
                ):
                    await self._relay(request, attempt, stream, reply, progress)
            finally:
                # The stream may have moved to another pipeline in the meantime.
                self.choice.record_end(stream.pipeline, was_prefilled=stream.has_begun)
        if stream.scope.cancelled_caught:
            raise stream_progress.PipelineFailedError(stream.reason)

    @contextlib.contextmanager
    def _watch(
        self,
        request: exchange.CallerRequest,
        admitted: exchange.Admitted,
        pipeline: pipelines.Pipeline,
        progress: stream_progress.Progress,
    ) -> collections.abc.Iterator[watched_streams.WatchedStream]:
        """Watch an attempt for stalls, which may move it or end it early."""
        watching = self.stalls.watch(
            pipeline,
            request.request_id,
            stream_timeouts.make_stall_timeouts(admitted.route),
            is_repeatable=admitted.route.is_repeatable,
        )
        with watching as stream:
            stream.may_retry = functools.partial(self._may_retry, admitted, progress)
            stream.may_move = functools.partial(self.guard.may_move, progress.guarded)
            stream.on_move = functools.partial(self.guard.record_move, progress.guarded)
            yield stream

    async def _relay(
        self,
        request: exchange.CallerRequest,
        attempt: exchange.Attempt,
        stream: watched_streams.WatchedStream,
        reply: replies.Reply,
        progress: stream_progress.Progress,
    ) -> None:
        address = stream.pipeline.stages[0].address
        async with self.sender.open(request, attempt, address) as (head, source):
            await self._receive_answer(head, source, stream, reply, progress, request)

    async def _receive_answer(
        self,
        head: exchange.AnswerHead,
        source: _http_client.StreamedAnswer,
        stream: watched_streams.WatchedStream,
        reply: replies.Reply,
        progress: stream_progress.Progress,
        request: exchange.CallerRequest,
    ) -> None:
        if reply.started:
            content_type = answer.read_content_type(head.fields)
            progress.answer.check_resumed(head.status, content_type)
        if head.status != _OK:
            body = await source.receive_all()
            stream.is_forwarding = True
            await reply.send_complete(head, body.body)
            return
        observer = observers.PipelineObserver(
            claims=self.claims,
            guard=self.guard,
            stream=stream,
            progress=progress,
            source=source,
            arrived_at=request.arrived_at,
            observe_first_event=self.observe_first_event,
        )
        run = relay.Relay(answer=progress.answer, caller=reply, observer=observer)
        await run.run(head, source)

    def _record_refusal(
        self,
        request: exchange.CallerRequest,
        pipeline: pipelines.Pipeline,
        error: sending.NotRunError,
        progress: stream_progress.Progress,
    ) -> None:
        """Avoid the engine that could not run its stage."""
        now = clocks.read_boot_clock()
        stage = pipeline.stages[0]
        reason = suspicion.SuspicionReason.UNREACHABLE
        if error.head is not None:
            self.guard.record_refusal(progress.guarded)
            at_fault = error.head.at_fault
            reason = suspicion.SuspicionReason.FULL
            stage = next(
                (each for each in pipeline.stages if each.address == at_fault), stage
            )
            if stream_refusals.is_for_room(error.head):
                self.choice.record_full(stage.engine, now)
                self.claims.record_rejected(stage.engine)
            # The engine may also be dead; its report shows that.
            self.stalls.schedule_probe(stage.engine)
        elif error.has_ended:
            self.guard.record_refused_connection(progress.guarded, stage.engine)
        self.suspects.suspect(stage.engine, reason, now)
        progress.record_refusal(stage.engine)
        # The place that the request waited for was none.
        self.claims.shortage.release(progress.entry, is_free=False)
        self.count_retry(reasons.RetryReason.ENGINE_FULL)
        detail = f"{stage.engine}: {error}"
        attempt_log.log_not_run(
            request, pipeline, detail, events=progress.answer.events
        )

    def _record_failure(
        self,
        request: exchange.CallerRequest,
        pipeline: pipelines.Pipeline,
        error: Exception,
        progress: stream_progress.Progress,
    ) -> None:
        """Avoid the suspected engines, or the whole pipeline if there are none."""
        progress.record_run()
        first = pipeline.stages[0].engine
        # Its entry may have lapsed meanwhile, and may come back.
        run = progress.guarded.server_runs.get(first)
        if run is not None:
            progress.entries[first] = run.started_at
        now = clocks.read_boot_clock()
        suspected = {
            name for name in pipeline.engines if self.suspects.is_suspected(name, now)
        }
        self.guard.record_break(progress.guarded, {first} | suspected)
        progress.avoided |= suspected or pipeline.engines
        self.count_retry(reasons.RetryReason.STREAM_CUT)
        attempt_log.log_broken(
            request,
            pipeline,
            str(error),
            events=progress.answer.events,
            run_events=progress.answer.run_events,
        )


_OK = 200
