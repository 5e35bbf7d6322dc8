"""Start, replacement and end of the attempts of an answer."""

import collections.abc

import attrs

from jujubepass import counters, ids, reasons
from jujubepass.answers import _answer_area, _answer_budget, _answer_messages, _recovery
from jujubepass.calls import _breakers
from jujubepass.nodes import _blackboard, _dispatch
from jujubepass.routing import _engine_costs, _routes

_RETRY_AFTER_SECONDS = 1.0
_MAX_ATTEMPTS = 64
_MAX_ATTEMPTS_WITHOUT_TOKEN = 12
_DEADLINE_TOLERANCE_FACTOR = 0.8
_RECENT_FAULT_SECONDS = 1.0


@attrs.define(kw_only=True)
class Attempts:
    """Apply decisions about answers and return the resulting commands.

    This class writes the answer area of the blackboard.
    """

    blackboard: _blackboard.Blackboard
    routes: _routes.RoutePolicy
    recovery: _recovery.RecoveryPolicy
    counters: counters.Counters
    budget: _answer_budget.AnswerBudget = attrs.field(
        factory=_answer_budget.AnswerBudget, init=False
    )

    def plan_route(
        self,
        answer: _answer_area.Answer,
        now: float,
        *,
        only: frozenset[ids.BackendServerId] | None = None,
        ignores_breakers: bool = False,
    ) -> _routes.Route | None:
        """Plan a route for the rest of an answer, or return None."""
        sent = len(self.recovery.list_resumed_tokens(answer))
        request = _engine_costs.RouteRequest(
            model=answer.arrived.model,
            layers=answer.layers,
            prompt_tokens=len(answer.arrived.prompt),
            sent_tokens=sent,
            tokens_left=answer.arrived.max_tokens - sent,
            avoided=frozenset(answer.avoided_at),
            blocks=answer.blocks,
            holders=answer.holders,
            only=only,
            ignores_breakers=ignores_breakers,
        )
        return self.routes.plan_route(request, self.blackboard, now)

    def start_first(
        self, answer: _answer_area.Answer, now: float
    ) -> list[_dispatch.Command]:
        """Start the first attempt, or refuse an answer that would miss its deadline."""
        self.budget.record_request(len(self.blackboard.answers.answers))
        route = self.plan_route(answer, now)
        if route is None:
            return self.refuse_without_route(answer, now)
        seconds = route.predict_seconds(answer.tokens_left) * _DEADLINE_TOLERANCE_FACTOR
        if now + seconds > answer.arrived.deadline:
            return self.refuse(
                answer,
                reasons.RefusalReason.DEADLINE_UNREACHABLE,
                f"Not run: the answer would take about {seconds:.1f} s.",
                _RETRY_AFTER_SECONDS,
            )
        return [self.start(answer, route, now)]

    def start(
        self, answer: _answer_area.Answer, route: _routes.Route, now: float
    ) -> _dispatch.Command:
        """Start an attempt over a route."""
        arrived = answer.arrived
        answer.epoch = ids.Epoch(answer.epoch + 1)
        answer.attempts += 1
        answer.stages = route.stages
        answer.expected_receipts = tuple(
            (stage.engine, stage.first_layer, stage.end_layer) for stage in route.stages
        )
        answer.first_token_seconds = route.first_token_seconds
        answer.token_seconds = route.token_seconds
        answer.mean_interval_seconds = route.token_seconds
        answer.attempt_next_position = len(self.recovery.list_resumed_tokens(answer))
        answer.attempt_has_token = False
        answer.last_progress_at = now
        answer.probe = None
        self._record_dispatch(answer, now)
        return _answer_messages.StartAttempt(
            request=arrived.request,
            epoch=answer.epoch,
            model=arrived.model,
            prompt=arrived.prompt,
            sent=self.recovery.list_resumed_tokens(answer),
            max_tokens=arrived.max_tokens,
            priority=arrived.priority,
            deadline_seconds=arrived.deadline - now,
            stages=route.stages,
        )

    def _record_dispatch(self, answer: _answer_area.Answer, now: float) -> None:
        area = self.blackboard.answers
        for stage in answer.stages:
            answer.holders[stage.engine] = stage
            area.running[stage.engine] += 1
            area.dispatched_at[stage.engine].append(now)
            breaker = area.breakers.get(stage.engine)
            if breaker is not None:
                breaker.record_dispatch(now)

    def replace(
        self,
        answer: _answer_area.Answer,
        reason: reasons.RetryReason,
        now: float,
    ) -> list[_dispatch.Command]:
        """Cancel the current attempt and resume over the best remaining route."""
        if now >= answer.arrived.deadline:
            return self.end_at_deadline(answer)
        if not answer.attempt_has_token:
            answer.attempts_without_token += 1
        if self._has_no_retries_left(answer):
            return self.refuse(
                answer,
                reasons.RefusalReason.RETRY_BUDGET_SPENT,
                f"The answer broke off ({reason.value}), and retries are used up.",
                _RETRY_AFTER_SECONDS,
            )
        route = self.plan_route(answer, now) or self._plan_with_excluded(answer, now)
        if route is None:
            return self.refuse_without_route(answer, now)
        self.counters.count_retry(reason)
        return self.move(answer, route, now)

    def _has_no_retries_left(self, answer: _answer_area.Answer) -> bool:
        if answer.attempts_without_token >= _MAX_ATTEMPTS_WITHOUT_TOKEN:
            return True
        return answer.attempts >= _MAX_ATTEMPTS or not self.budget.spend()

    def _plan_with_excluded(
        self, answer: _answer_area.Answer, now: float
    ) -> _routes.Route | None:
        """Plan a route with engines that were excluded from the first choice.

        Engines with older faults are admitted first, then those whose circuit breaker
        was opened by other answers.
        """
        since = now - _RECENT_FAULT_SECONDS
        avoided = answer.avoided_at
        answer.avoided_at = {name: at for name, at in avoided.items() if at > since}
        route = self.plan_route(answer, now)
        return route or self.plan_route(answer, now, ignores_breakers=True)

    def move(
        self, answer: _answer_area.Answer, route: _routes.Route, now: float
    ) -> list[_dispatch.Command]:
        """Cancel the current attempt and start another one over the route."""
        answer.is_recovering = True
        cancel = self._make_cancel(answer)
        self.release_stages(answer)
        return [cancel, self.start(answer, route, now)]

    def refuse_without_route(
        self, answer: _answer_area.Answer, now: float
    ) -> list[_dispatch.Command]:
        """Refuse an answer that has no route, with the time to retry after."""
        breakers = self.blackboard.answers.breakers.values()
        waits = [
            breaker.predict_wait_seconds(now)
            for breaker in breakers
            if breaker.is_open(now)
        ]
        if waits and self.plan_route(answer, now, ignores_breakers=True) is not None:
            return self.refuse(
                answer,
                reasons.RefusalReason.CIRCUIT_OPEN,
                "The engines of every route failed a moment ago.",
                min(waits),
            )
        return self.refuse(
            answer,
            reasons.RefusalReason.NO_ROUTE,
            "No route of live engines covers every layer of the model.",
            _RETRY_AFTER_SECONDS,
        )

    def end_at_deadline(self, answer: _answer_area.Answer) -> list[_dispatch.Command]:
        """End an answer whose deadline has passed."""
        return self.refuse(
            answer,
            reasons.RefusalReason.DEADLINE_PASSED,
            "The answer was not whole by its deadline.",
            _RETRY_AFTER_SECONDS,
        )

    def refuse(
        self,
        answer: _answer_area.Answer,
        reason: reasons.RefusalReason,
        detail: str,
        retry_after_seconds: float,
    ) -> list[_dispatch.Command]:
        """End an answer with a final refusal."""
        refusal = _answer_messages.Refuse(
            request=answer.arrived.request,
            reason=reason,
            detail=detail,
            retry_after_seconds=retry_after_seconds,
        )
        return [refusal, *self.cancel(answer)]

    def finish(
        self, answer: _answer_area.Answer, end: _answer_messages.AnswerEnd
    ) -> list[_dispatch.Command]:
        """End a complete answer."""
        for stage in answer.stages:
            breaker = self.blackboard.answers.breakers.get(stage.engine)
            if breaker is not None:
                breaker.record_success()
        request = answer.arrived.request
        release = self._make_cache_release(answer)
        self.remove(answer)
        return [_answer_messages.FinishAnswer(request=request, end=end), release]

    def cancel(self, answer: _answer_area.Answer) -> list[_dispatch.Command]:
        """Cancel the attempt of an answer, release its caches and remove it."""
        commands: list[_dispatch.Command] = []
        if answer.stages:
            commands.append(self._make_cancel(answer))
        if answer.holders:
            commands.append(self._make_cache_release(answer))
        self.remove(answer)
        return commands

    def remove(self, answer: _answer_area.Answer) -> None:
        """Remove an answer from the answer area."""
        self.blackboard.answers.answers.pop(answer.arrived.request, None)
        self.release_stages(answer)

    def release_stages(self, answer: _answer_area.Answer) -> None:
        """Remove an attempt from the running counts of its engines."""
        for stage in answer.stages:
            self.blackboard.answers.running[stage.engine] -= 1
        answer.stages = ()

    def avoid_if_possible(
        self,
        answer: _answer_area.Answer,
        engines: collections.abc.Iterable[ids.BackendServerId],
        now: float,
    ) -> None:
        """Avoid engines for an answer, unless that leaves no route."""
        avoided = answer.avoided_at
        answer.avoided_at = avoided | dict.fromkeys(engines, now)
        if self.plan_route(answer, now) is None:
            answer.avoided_at = avoided

    def record_fault(
        self,
        answer: _answer_area.Answer,
        engine: ids.BackendServerId,
        now: float,
        *,
        is_certain: bool,
    ) -> None:
        """Record an engine's fault and avoid the engine for this answer."""
        answer.avoided_at[engine] = now
        answer.holders.pop(engine, None)
        self.count_fault(engine, now, is_certain=is_certain)

    def count_fault(
        self, engine: ids.BackendServerId, now: float, *, is_certain: bool
    ) -> None:
        """Record an engine's fault in its circuit breaker."""
        breakers = self.blackboard.answers.breakers
        if engine not in breakers:
            bounds = _breakers.ENGINE_BOUNDS
            breakers[engine] = _breakers.Breaker(bounds=bounds)
        breakers[engine].count_fault(now, is_certain=is_certain)

    def _make_cancel(
        self, answer: _answer_area.Answer
    ) -> _answer_messages.CancelAttempt:
        return _answer_messages.CancelAttempt(
            request=answer.arrived.request, epoch=answer.epoch, stages=answer.stages
        )

    def _make_cache_release(
        self, answer: _answer_area.Answer
    ) -> _answer_messages.ReleaseCache:
        holders: collections.abc.Iterable[_answer_messages.Stage]
        holders = answer.holders.values()
        return _answer_messages.ReleaseCache(
            request=answer.arrived.request, stages=tuple(holders)
        )
