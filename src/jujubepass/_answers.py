"""Controller that carries model requests over routes, replacing what fails."""

import collections.abc

import attrs

from jujubepass import (
    _answer_area,
    _answer_messages,
    _blackboard,
    _dispatch,
    _node_messages,
    _routes,
    counters,
    ids,
    reasons,
)

_RETRY_REASONS = {
    _answer_messages.AttemptFault.NOT_CONNECTED: reasons.RetryReason.CONNECT_FAILED,
    _answer_messages.AttemptFault.REFUSED: reasons.RetryReason.ENGINE_FULL,
    _answer_messages.AttemptFault.OLD_EPOCH: reasons.RetryReason.OLD_EPOCH,
    _answer_messages.AttemptFault.STAGE_FAILED: reasons.RetryReason.STAGE_FAILED,
    _answer_messages.AttemptFault.STREAM_CUT: reasons.RetryReason.STREAM_CUT,
}
_NO_ROUTE_RETRY_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class AnswerTiming:
    """Set when an attempt counts as stalled."""

    stall_seconds: float


@attrs.define(kw_only=True)
class AnswerController:
    """Start, watch, replace and end attempts; write the answer area."""

    blackboard: _blackboard.Blackboard
    routes: _routes.RoutePolicy
    timing: AnswerTiming
    counters: counters.Counters

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _answer_messages.PromptArrived: self.start,
            _answer_messages.TokensArrived: self.deliver,
            _answer_messages.AttemptEnded: self.end,
            _answer_messages.AttemptFailed: self.replace_failed,
            _answer_messages.CallerLeft: self.abandon,
            _node_messages.Tick: self.replace_stalled,
        }

    def start(
        self, event: _answer_messages.PromptArrived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Route an admitted request."""
        if event.request not in self.blackboard.limits.admitted:
            return ()
        model = self.blackboard.configuration.declared.models[event.model]
        answer = _answer_area.Answer(arrived=event, layers=model.layers)
        self.blackboard.answers.answers[event.request] = answer
        return self._start_attempt(answer, now)

    def _start_attempt(
        self, answer: _answer_area.Answer, now: float
    ) -> list[_dispatch.Command]:
        arrived = answer.arrived
        request = _routes.RouteRequest(
            model=arrived.model,
            layers=answer.layers,
            prompt=arrived.prompt,
            tokens_left=arrived.max_tokens - len(answer.sent),
            avoided=frozenset(answer.avoided),
        )
        route = self.routes.plan_route(request, self.blackboard, now)
        if route is None:
            return self._give_up(answer)
        answer.epoch = ids.Epoch(answer.epoch + 1)
        answer.stages = route.stages
        answer.expected_receipts = tuple(
            (stage.engine, stage.first_layer, stage.end_layer) for stage in route.stages
        )
        answer.progress_at = now + route.first_token_seconds
        self._count_dispatch(answer, now)
        return [
            _answer_messages.StartAttempt(
                request=arrived.request,
                epoch=answer.epoch,
                model=arrived.model,
                prompt=arrived.prompt,
                sent=tuple(answer.sent),
                max_tokens=arrived.max_tokens,
                priority=arrived.priority,
                deadline_seconds=arrived.deadline - now,
                stages=route.stages,
            )
        ]

    def _count_dispatch(self, answer: _answer_area.Answer, now: float) -> None:
        area = self.blackboard.answers
        for stage in answer.stages:
            area.running[stage.engine] += 1
            sent = area.dispatched_at[stage.engine]
            sent.append(now)
            engine = self.blackboard.backends.engines.get(stage.engine)
            while engine is not None and sent and sent[0] <= engine.reported_at:
                sent.popleft()

    def _give_up(self, answer: _answer_area.Answer) -> list[_dispatch.Command]:
        self._forget(answer)
        return [
            _answer_messages.Refuse(
                request=answer.arrived.request,
                reason=reasons.RefusalReason.NO_ROUTE,
                detail="No route of live engines covers every layer of the model.",
                retry_after_seconds=_NO_ROUTE_RETRY_SECONDS,
            )
        ]

    def _forget(self, answer: _answer_area.Answer) -> None:
        area = self.blackboard.answers
        area.answers.pop(answer.arrived.request, None)
        self._release_stages(answer)

    def _release_stages(self, answer: _answer_area.Answer) -> None:
        for stage in answer.stages:
            self.blackboard.answers.running[stage.engine] -= 1
        answer.stages = ()

    def deliver(
        self, event: _answer_messages.TokensArrived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Pass on the tokens that are the answer's next ones."""
        answer = self.blackboard.answers.answers.get(event.request)
        if answer is None or event.attempt_epoch != answer.epoch:
            for _ in event.tokens:
                self.counters.count_drop(reasons.DropReason.OLD_EPOCH)
            return ()
        texts = []
        for token in event.tokens:
            reason = _find_drop_reason(answer, token)
            if reason is not None:
                self.counters.count_drop(reason)
                continue
            answer.sent.append(token.text)
            texts.append(token.text)
        if not texts:
            return ()
        answer.progress_at = now
        self.counters.count_tokens(len(texts))
        return (
            _answer_messages.DeliverTokens(request=event.request, tokens=tuple(texts)),
        )

    def end(
        self, event: _answer_messages.AttemptEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """End the answer when its current attempt has ended."""
        answer = self.blackboard.answers.answers.get(event.request)
        if answer is None or event.epoch != answer.epoch:
            return ()
        stages = answer.stages
        self._forget(answer)
        return (
            _answer_messages.FinishAnswer(request=event.request, end=event.end),
            _answer_messages.ReleaseCache(request=event.request, stages=stages),
        )

    def replace_failed(
        self, event: _answer_messages.AttemptFailed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Go on over another route after a failed attempt."""
        answer = self.blackboard.answers.answers.get(event.request)
        if answer is None or event.epoch != answer.epoch:
            return ()
        if event.engine is not None:
            answer.avoided.add(event.engine)
        return self._replace(answer, _RETRY_REASONS[event.fault], now)

    def _replace(
        self,
        answer: _answer_area.Answer,
        reason: reasons.RetryReason,
        now: float,
    ) -> list[_dispatch.Command]:
        self.counters.count_retry(reason)
        cancel = _answer_messages.CancelAttempt(
            request=answer.arrived.request, epoch=answer.epoch, stages=answer.stages
        )
        self._release_stages(answer)
        return [cancel, *self._start_attempt(answer, now)]

    def replace_stalled(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Replace attempts that gave no token in time."""
        commands: list[_dispatch.Command] = []
        for answer in list(self.blackboard.answers.answers.values()):
            if now - answer.progress_at > self.timing.stall_seconds:
                answer.avoided.update(stage.engine for stage in answer.stages)
                reason = reasons.RetryReason.STAGE_STALLED
                commands += self._replace(answer, reason, now)
        return commands

    def abandon(
        self, event: _answer_messages.CallerLeft, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Stop work for a caller that left."""
        answer = self.blackboard.answers.answers.get(event.request)
        if answer is None:
            return ()
        stages = answer.stages
        self._forget(answer)
        return (
            _answer_messages.CancelAttempt(
                request=event.request, epoch=answer.epoch, stages=stages
            ),
            _answer_messages.ReleaseCache(request=event.request, stages=stages),
        )


def _find_drop_reason(
    answer: _answer_area.Answer, token: _answer_messages.Token
) -> reasons.DropReason | None:
    if token.epoch != answer.epoch:
        return reasons.DropReason.OLD_EPOCH
    if token.position < len(answer.sent):
        return reasons.DropReason.DUPLICATE_TOKEN
    if token.position > len(answer.sent):
        return reasons.DropReason.POSITION_GAP
    if token.receipts != answer.expected_receipts:
        return reasons.DropReason.LAYER_GAP
    return None
