"""Controller that carries model requests over routes, replacing what fails."""

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
_KEEPS_CACHE = frozenset({_Fault.FULL, _Fault.LEAVING, _Fault.REFUSED})
_GAP_WEIGHT = 0.2


@attrs.define(kw_only=True)
class AnswerController:
    """Start, watch, replace and end attempts; write the answer area."""

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
            _answer_messages.CallerLeft: self.abandon,
            _answer_messages.EngineProbed: self._watch.settle,
            _limit_messages.RequestEnded: self.forget_arrival,
            _node_messages.Tick: self.replace_stalled,
        }

    def _find_answer(self, request: ids.RequestId) -> _answer_area.Answer | None:
        return self.attempts.blackboard.answers.answers.get(request)

    def start(
        self, event: _answer_messages.PromptArrived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Route an admitted request."""
        board = self.attempts.blackboard
        arrived_at = self._arrived_at.setdefault(event.request, now)
        if event.request not in board.limits.admitted:
            return ()
        model = board.configuration.declared.models[event.model]
        answer = _answer_area.Answer(
            arrived=event,
            arrived_at=arrived_at,
            layers=model.layers,
            blocks=_prefixes.hash_blocks(event.model, event.prompt),
        )
        board.answers.answers[event.request] = answer
        commands = self.attempts.start_first(answer, now)
        if event.request in board.answers.answers:
            self._watch.watch(answer)
        return commands

    def deliver(
        self, event: _answer_messages.TokensArrived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Pass on the tokens that are the answer's next ones."""
        counters = self.attempts.counters
        answer = self._find_answer(event.request)
        if answer is None or event.attempt_epoch != answer.epoch:
            for _ in event.tokens:
                counters.count_drop(reasons.DropReason.OLD_EPOCH)
            return ()
        texts, gap = self._take_tokens(answer, event.tokens, now)
        commands: list[_dispatch.Command] = []
        if texts:
            self._note_progress(answer, len(texts), now)
            commands.append(
                _answer_messages.DeliverTokens(
                    request=event.request, tokens=tuple(texts)
                )
            )
        if gap:
            commands += self._replace_after_gap(answer, now)
        return commands

    def _take_tokens(
        self,
        answer: _answer_area.Answer,
        tokens: collections.abc.Iterable[_answer_messages.Token],
        now: float,
    ) -> tuple[list[str], bool]:
        """Return the texts of the next tokens, and whether one was missing."""
        texts = []
        gap = False
        for token in tokens:
            reason = _receipts.find_drop_reason(answer, token)
            if reason is None:
                answer.sent.append(token.text)
                answer.attempt_next_position = token.position + 1
                texts.append(token.text)
                continue
            self.attempts.counters.count_drop(reason)
            gap = gap or reason in _receipts.GAPS
            if _receipts.is_repeated_work(answer, token, reason):
                answer.attempt_next_position += 1
                answer.progress_at = now
        return texts, gap

    def _note_progress(
        self, answer: _answer_area.Answer, count: int, now: float
    ) -> None:
        counters = self.attempts.counters
        counters.count_tokens(count)
        before = answer.last_token_at
        if answer.is_recovering:
            answer.is_recovering = False
            started_at = answer.arrived_at if before is None else before
            counters.observe_recovery(now - started_at)
            running = len(self.attempts.blackboard.answers.answers)
            self.attempts.budget.refund_progress(running)
        if before is None:
            counters.observe_first_token(now - answer.arrived_at)
        else:
            counters.observe_between_tokens((now - before) / count)
        if answer.attempt_has_token:
            gap = (now - answer.progress_at) / count
            answer.gap_seconds += _GAP_WEIGHT * (gap - answer.gap_seconds)
        answer.attempt_has_token = True
        answer.fruitless_attempts = 0
        answer.progress_at = now
        answer.last_token_at = now

    def _replace_after_gap(
        self, answer: _answer_area.Answer, now: float
    ) -> list[_dispatch.Command]:
        """Try the same engines once after a gap; then avoid the first one."""
        self._doubt(answer, answer.stages[0].engine, now)
        return self.attempts.replace(answer, reasons.RetryReason.TOKEN_GAP, now)

    def _doubt(
        self, answer: _answer_area.Answer, engine: ids.BackendServerId, now: float
    ) -> None:
        """Count an unclear fault; avoid an engine at its second one."""
        if not answer.attempt_has_token and engine not in answer.retried:
            self.attempts.count_fault(engine, now, is_certain=False)
        if engine in answer.retried:
            self.attempts.avoid_if_possible(answer, (engine,), now)
        answer.retried.add(engine)

    def end(
        self, event: _answer_messages.AttemptEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """End the answer when its current attempt has ended with every token."""
        answer = self._find_answer(event.request)
        if answer is None or event.epoch != answer.epoch:
            return ()
        if answer.is_cut_short(event.end):
            return self._replace_after_gap(answer, now)
        return self.attempts.finish(answer, event.end)

    def replace_failed(
        self, event: _answer_messages.AttemptFailed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Go on over another route after a failed attempt."""
        answer = self._find_answer(event.request)
        if answer is None or event.epoch != answer.epoch:
            return ()
        if answer.tokens_left <= 0:
            return self.attempts.finish(answer, _answer_messages.AnswerEnd.LENGTH)
        if event.engine is not None:
            self._blame(answer, event.fault, event.engine, now)
        return self.attempts.replace(answer, _RETRY_REASONS[event.fault], now)

    def _blame(
        self,
        answer: _answer_area.Answer,
        fault: _answer_messages.AttemptFault,
        engine: ids.BackendServerId,
        now: float,
    ) -> None:
        if fault in _KEEPS_CACHE:
            answer.avoided_at[engine] = now
        elif fault is _Fault.STREAM_CUT:
            self._doubt(answer, engine, now)
        elif fault is not _Fault.OLD_EPOCH:
            is_certain = fault is _Fault.NOT_CONNECTED
            self.attempts.blame(answer, engine, now, is_certain=is_certain)

    def replace_stalled(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Deal with answers that are silent or slow, or whose deadline has passed."""
        return self._watch.check_due(now)

    def forget_arrival(
        self, event: _limit_messages.RequestEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Forget when a request came, which may have waited in a queue."""
        self._arrived_at.pop(event.request, None)
        return ()

    def abandon(
        self, event: _answer_messages.CallerLeft, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Stop work for a caller that left."""
        answer = self._find_answer(event.request)
        if answer is None:
            return ()
        return self.attempts.abandon(answer)
