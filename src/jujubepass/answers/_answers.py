"""Controller that runs model requests over routes and replaces failed attempts."""

import collections.abc

import attrs

from jujubepass import ids, reasons
from jujubepass.answers import (
    _answer_area,
    _answer_messages,
    _attempts,
    _receipts,
    _stall_watch,
)
from jujubepass.limits import _limit_messages
from jujubepass.nodes import _dispatch, _node_messages
from jujubepass.routing import _prefixes

_Fault = _answer_messages.AttemptFault

_RETRY_REASONS = {
    _Fault.NOT_CONNECTED: reasons.RetryReason.CONNECT_FAILED,
    _Fault.FULL: reasons.RetryReason.ENGINE_FULL,
    _Fault.LEAVING: reasons.RetryReason.ENGINE_LEAVING,
    _Fault.REFUSED: reasons.RetryReason.ENGINE_FULL,
    _Fault.OLD_EPOCH: reasons.RetryReason.OLD_EPOCH,
    _Fault.STAGE_FAILED: reasons.RetryReason.STAGE_FAILED,
    _Fault.STREAM_CUT: reasons.RetryReason.STREAM_CUT,
}
_CACHE_PRESERVING_FAULTS = frozenset({_Fault.FULL, _Fault.LEAVING, _Fault.REFUSED})
_INTERVAL_SAMPLE_WEIGHT = 0.2


@attrs.define(kw_only=True)
class AnswerController:
    """Start, monitor, replace and end attempts.

    This controller writes the answer area of the blackboard.
    """

    attempts: _attempts.Attempts
    _watch: _stall_watch.StallWatch = attrs.field(init=False)
    _arrived_at: dict[ids.RequestId, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._watch = _stall_watch.StallWatch(attempts=self.attempts)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _answer_messages.PromptArrived: self.start,
            _answer_messages.TokensArrived: self.deliver,
            _answer_messages.AttemptEnded: self.end,
            _answer_messages.AttemptFailed: self.replace_failed,
            _answer_messages.CallerLeft: self.cancel,
            _answer_messages.EngineProbed: self._watch.record_probe_result,
            _limit_messages.RequestEnded: self.remove_arrival,
            _node_messages.Tick: self.check_stalls,
        }

    def _get_answer(self, request: ids.RequestId) -> _answer_area.Answer | None:
        return self.attempts.blackboard.answers.answers.get(request)

    def start(
        self, event: _answer_messages.PromptArrived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Start the first attempt of an admitted request."""
        blackboard = self.attempts.blackboard
        arrived_at = self._arrived_at.setdefault(event.request, now)
        if event.request not in blackboard.limits.admitted:
            return ()
        model = blackboard.configuration.declared.models[event.model]
        answer = _answer_area.Answer(
            arrived=event,
            arrived_at=arrived_at,
            layers=model.layers,
            blocks=_prefixes.hash_blocks(event.model, event.prompt),
        )
        blackboard.answers.answers[event.request] = answer
        commands = self.attempts.start_first(answer, now)
        if event.request in blackboard.answers.answers:
            self._watch.schedule_first_check(answer)
        return commands

    def deliver(
        self, event: _answer_messages.TokensArrived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Deliver the tokens that continue the answer and drop all others."""
        counters = self.attempts.counters
        answer = self._get_answer(event.request)
        if answer is None or event.attempt_epoch != answer.epoch:
            for _ in event.tokens:
                counters.count_dropped_token(reasons.DropReason.OLD_EPOCH)
            return ()
        texts, gap = self._accept_tokens(answer, event.tokens, now)
        commands: list[_dispatch.Command] = []
        if texts:
            self._record_progress(answer, len(texts), now)
            commands.append(
                _answer_messages.DeliverTokens(
                    request=event.request, tokens=tuple(texts)
                )
            )
        if gap:
            commands += self._replace_after_gap(answer, now)
        return commands

    def _accept_tokens(
        self,
        answer: _answer_area.Answer,
        tokens: collections.abc.Iterable[_answer_messages.Token],
        now: float,
    ) -> tuple[list[str], bool]:
        """Return the texts of accepted tokens, and whether a gap was found."""
        texts = []
        gap = False
        for token in tokens:
            reason = _receipts.find_drop_reason(answer, token)
            if reason is None:
                answer.sent.append(token.text)
                answer.attempt_next_position = token.position + 1
                texts.append(token.text)
                continue
            self.attempts.counters.count_dropped_token(reason)
            gap = gap or reason in _receipts.GAP_REASONS
            if _receipts.is_regenerated(answer, token, reason):
                answer.attempt_next_position += 1
                answer.last_progress_at = now
        return texts, gap

    def _record_progress(
        self, answer: _answer_area.Answer, count: int, now: float
    ) -> None:
        counters = self.attempts.counters
        counters.count_tokens(count)
        previous_token_at = answer.last_token_at
        if answer.is_recovering:
            answer.is_recovering = False
            started_at = (
                answer.arrived_at if previous_token_at is None else previous_token_at
            )
            counters.observe_recovery(now - started_at)
            running = len(self.attempts.blackboard.answers.answers)
            self.attempts.budget.refund(running)
        if previous_token_at is None:
            counters.observe_first_token(now - answer.arrived_at)
        else:
            counters.observe_between_tokens((now - previous_token_at) / count)
        if answer.attempt_has_token:
            gap = (now - answer.last_progress_at) / count
            answer.mean_interval_seconds += _INTERVAL_SAMPLE_WEIGHT * (
                gap - answer.mean_interval_seconds
            )
        answer.attempt_has_token = True
        answer.attempts_without_token = 0
        answer.last_progress_at = now
        answer.last_token_at = now

    def _replace_after_gap(
        self, answer: _answer_area.Answer, now: float
    ) -> list[_dispatch.Command]:
        """Replace the attempt after a token gap.

        The same engines are retried once; after a second gap the first one is avoided.
        """
        self._record_uncertain_fault(answer, answer.stages[0].engine, now)
        return self.attempts.replace(answer, reasons.RetryReason.TOKEN_GAP, now)

    def _record_uncertain_fault(
        self, answer: _answer_area.Answer, engine: ids.BackendServerId, now: float
    ) -> None:
        """Record a fault of uncertain origin; avoid the engine from its second one."""
        if not answer.attempt_has_token and engine not in answer.retried_engines:
            self.attempts.count_fault(engine, now, is_certain=False)
        if engine in answer.retried_engines:
            self.attempts.avoid_if_possible(answer, (engine,), now)
        answer.retried_engines.add(engine)

    def end(
        self, event: _answer_messages.AttemptEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Finish the answer if its current attempt delivered every token."""
        answer = self._get_answer(event.request)
        if answer is None or event.epoch != answer.epoch:
            return ()
        if answer.is_truncated(event.end):
            return self._replace_after_gap(answer, now)
        return self.attempts.finish(answer, event.end)

    def replace_failed(
        self, event: _answer_messages.AttemptFailed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Replace a failed attempt by one over another route."""
        answer = self._get_answer(event.request)
        if answer is None or event.epoch != answer.epoch:
            return ()
        if answer.tokens_left <= 0:
            return self.attempts.finish(answer, _answer_messages.AnswerEnd.LENGTH)
        if event.engine is not None:
            self._record_fault(answer, event.fault, event.engine, now)
        return self.attempts.replace(answer, _RETRY_REASONS[event.fault], now)

    def _record_fault(
        self,
        answer: _answer_area.Answer,
        fault: _answer_messages.AttemptFault,
        engine: ids.BackendServerId,
        now: float,
    ) -> None:
        if fault in _CACHE_PRESERVING_FAULTS:
            answer.avoided_at[engine] = now
        elif fault is _Fault.STREAM_CUT:
            self._record_uncertain_fault(answer, engine, now)
        elif fault is not _Fault.OLD_EPOCH:
            is_certain = fault is _Fault.NOT_CONNECTED
            self.attempts.record_fault(answer, engine, now, is_certain=is_certain)

    def check_stalls(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Handle answers that are stalled, slow or past their deadline."""
        return self._watch.check_due(now)

    def remove_arrival(
        self, event: _limit_messages.RequestEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Remove the arrival time of a request, which may have been queued."""
        self._arrived_at.pop(event.request, None)
        return ()

    def cancel(
        self, event: _answer_messages.CallerLeft, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Cancel the answer of a caller that stopped waiting."""
        answer = self._get_answer(event.request)
        if answer is None:
            return ()
        return self.attempts.cancel(answer)
