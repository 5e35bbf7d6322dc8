"""Detection of stalled and slow answers and of the stages that cause them."""

import collections.abc
import heapq
import itertools

import attrs

from jujubepass import ids, reasons
from jujubepass.answers import _answer_area, _answer_messages, _attempts
from jujubepass.nodes import _dispatch
from jujubepass.routing import _routes

_MIN_PROBE_TIMEOUT_SECONDS = 0.1
_MAX_PROBE_TIMEOUT_SECONDS = 0.5
_PROBE_TIMEOUT_POLL_FACTOR = 8.0
_LOST_PROBE_TIMEOUT_SECONDS = 1.0
_SLOW_CHECK_INTERVAL_SECONDS = 0.5
_MIN_MOVE_SPEEDUP = 1.3
_MAX_TIMEOUT_FACTOR = 8.0


@attrs.define(kw_only=True)
class StallWatch:
    """Check each answer when its probe time-out or its deadline expires."""

    attempts: _attempts.Attempts
    _due: list[tuple[float, int, ids.RequestId]] = attrs.field(factory=list, init=False)
    _sequence: "itertools.count[int]" = attrs.field(factory=itertools.count, init=False)
    _probed: dict[ids.BackendServerId, set[ids.RequestId]] = attrs.field(
        factory=dict, init=False
    )

    def schedule_first_check(self, answer: _answer_area.Answer) -> None:
        """Schedule the first check of an answer."""
        bounds = self.attempts.recovery.compute_stall_bounds(answer)
        self._schedule_check(answer, answer.last_progress_at + bounds.probe_seconds)

    def _schedule_check(self, answer: _answer_area.Answer, at: float) -> None:
        at = min(at, answer.arrived.deadline)
        heapq.heappush(self._due, (at, next(self._sequence), answer.arrived.request))

    def check_due(self, now: float) -> list[_dispatch.Command]:
        """Check the answers that are due."""
        commands: list[_dispatch.Command] = []
        answers = self.attempts.blackboard.answers.answers
        while self._due and self._due[0][0] <= now:
            answer = answers.get(heapq.heappop(self._due)[2])
            if answer is None:
                continue
            commands += self._check(answer, now)
            if answer.arrived.request in answers:
                self._schedule_next_check(answer, now)
        return commands

    def _schedule_next_check(self, answer: _answer_area.Answer, now: float) -> None:
        bounds = self.attempts.recovery.compute_stall_bounds(answer)
        at = answer.last_progress_at + bounds.probe_seconds
        if at <= now:
            at = now + _MIN_PROBE_TIMEOUT_SECONDS
        self._schedule_check(answer, at)

    def _check(
        self, answer: _answer_area.Answer, now: float
    ) -> list[_dispatch.Command]:
        if now >= answer.arrived.deadline:
            return self.attempts.end_at_deadline(answer)
        recovery = self.attempts.recovery
        stalled_seconds = now - answer.last_progress_at
        bounds = recovery.compute_stall_bounds(answer)
        if not recovery.probes_stages:
            if stalled_seconds < bounds.stall_seconds:
                return []
            reason = reasons.RetryReason.STAGE_STALLED
            return self.attempts.replace(answer, reason, now)
        if answer.probe is not None:
            if now < answer.probe.started_at + _LOST_PROBE_TIMEOUT_SECONDS:
                return []
            answer.probe = None
        if stalled_seconds >= bounds.probe_seconds:
            return self._probe(answer, now, checks_slowness=False)
        if now >= answer.next_slow_check_at and recovery.is_slow(answer):
            answer.next_slow_check_at = (
                now + _SLOW_CHECK_INTERVAL_SECONDS * answer.timeout_factor
            )
            return self._probe(answer, now, checks_slowness=True)
        return []

    def _probe(
        self, answer: _answer_area.Answer, now: float, *, checks_slowness: bool
    ) -> list[_dispatch.Command]:
        """Probe every stage, sharing probes that are already in progress."""
        commands: list[_dispatch.Command] = []
        answer.probe = _answer_area.Probe(
            started_at=now,
            checks_slowness=checks_slowness,
            pending=set(_routes.get_engines(answer.stages)),
        )
        for stage in answer.stages:
            waiting = self._probed.setdefault(stage.engine, set())
            if not waiting:
                commands.append(
                    _answer_messages.ProbeEngine(
                        engine=stage.engine,
                        address=stage.address,
                        timeout_seconds=self._compute_probe_timeout(stage.engine),
                    )
                )
            waiting.add(answer.arrived.request)
        return commands

    def _compute_probe_timeout(self, name: ids.BackendServerId) -> float:
        """Derive a probe's time-out from the duration of the engine's polls."""
        engine = self.attempts.blackboard.backends.engines.get(name)
        poll_seconds = engine.poll_seconds if engine is not None else 0.0
        seconds = max(
            _MIN_PROBE_TIMEOUT_SECONDS, _PROBE_TIMEOUT_POLL_FACTOR * poll_seconds
        )
        return min(seconds, _MAX_PROBE_TIMEOUT_SECONDS)

    def record_probe_result(
        self, event: _answer_messages.EngineProbed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Record a probe's result and handle the answers it completes."""
        commands: list[_dispatch.Command] = []
        answers = self.attempts.blackboard.answers.answers
        for request in sorted(self._probed.pop(event.engine, ())):
            answer = answers.get(request)
            if answer is None or answer.probe is None:
                continue
            answer.probe.pending.discard(event.engine)
            if not event.answered:
                answer.probe.unresponsive.add(event.engine)
            if not answer.probe.pending:
                commands += self._handle_probe_results(answer, answer.probe, now)
        return commands

    def _handle_probe_results(
        self, answer: _answer_area.Answer, probe: _answer_area.Probe, now: float
    ) -> list[_dispatch.Command]:
        answer.probe = None
        has_progress = answer.last_progress_at > probe.started_at
        if probe.unresponsive and has_progress:
            return []
        if probe.checks_slowness and not probe.unresponsive:
            return self._move_if_faster(answer, reasons.RetryReason.STAGE_SLOW, now)
        if has_progress:
            return []
        if probe.unresponsive:
            for engine in sorted(probe.unresponsive):
                self.attempts.record_fault(answer, engine, now, is_certain=True)
            reason = reasons.RetryReason.STAGE_STALLED
            return self.attempts.replace(answer, reason, now)
        return self._handle_unexplained_stall(answer, now)

    def _handle_unexplained_stall(
        self, answer: _answer_area.Answer, now: float
    ) -> list[_dispatch.Command]:
        """Handle a stall while every stage answers its probe.

        Each replacement doubles the answer's time-outs. Engines that were retried once
        are avoided after that.
        """
        reason = reasons.RetryReason.STAGE_STALLED
        commands = self._move_if_faster(answer, reason, now)
        bounds = self.attempts.recovery.compute_stall_bounds(answer)
        if commands or now - answer.last_progress_at < bounds.stall_seconds:
            return commands
        answer.timeout_factor = min(_MAX_TIMEOUT_FACTOR, 2.0 * answer.timeout_factor)
        engines = _routes.get_engines(answer.stages)
        if engines <= answer.retried_engines:
            self.attempts.avoid_if_possible(answer, engines, now)
        answer.retried_engines |= engines
        return self.attempts.replace(answer, reason, now)

    def _move_if_faster(
        self, answer: _answer_area.Answer, reason: reasons.RetryReason, now: float
    ) -> list[_dispatch.Command]:
        """Move an answer if current reports show a sufficiently faster route."""
        attempts = self.attempts
        engines = _routes.get_engines(answer.stages)
        best = attempts.plan_route(answer, now)
        current = attempts.plan_route(answer, now, only=engines)
        if best is None or _routes.get_engines(best.stages) == engines:
            return []
        left = answer.tokens_left
        seconds = (
            answer.mean_interval_seconds if answer.attempt_has_token else 0.0
        ) * left
        if current is not None:
            seconds = max(seconds, current.predict_seconds(left))
        is_worthwhile = best.predict_seconds(left) * _MIN_MOVE_SPEEDUP < seconds
        if not is_worthwhile or not attempts.budget.can_afford_move():
            answer.timeout_factor = min(
                _MAX_TIMEOUT_FACTOR, 2.0 * answer.timeout_factor
            )
            return []
        return attempts.replace(answer, reason, now)
