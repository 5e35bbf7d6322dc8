"""Watches answers in progress and finds the stages to blame for silence."""

import collections.abc
import heapq
import itertools

import attrs

from jujubepass import ids, reasons
from jujubepass.answers import _answer_area, _answer_messages, _attempts
from jujubepass.nodes import _dispatch
from jujubepass.routing import _routes

_SHORTEST_PROBE_SECONDS = 0.1
_LONGEST_PROBE_SECONDS = 0.5
_POLL_TIMES = 8.0
_PROBE_LOST_SECONDS = 1.0
_SLOW_CHECK_SECONDS = 0.5
_GAIN_TO_MOVE = 1.3
_MOST_PATIENCE = 8.0


@attrs.define(kw_only=True)
class StallWatch:
    """Check each answer when its silence bound or its deadline comes."""

    attempts: _attempts.Attempts
    _due: list[tuple[float, int, ids.RequestId]] = attrs.field(factory=list, init=False)
    _order: "itertools.count[int]" = attrs.field(factory=itertools.count, init=False)
    _probed: dict[ids.BackendServerId, set[ids.RequestId]] = attrs.field(
        factory=dict, init=False
    )

    def watch(self, answer: _answer_area.Answer) -> None:
        """Check an answer from now on."""
        bounds = self.attempts.recovery.bound_silence(answer)
        self._push(answer, answer.progress_at + bounds.probe_seconds)

    def _push(self, answer: _answer_area.Answer, at: float) -> None:
        at = min(at, answer.arrived.deadline)
        heapq.heappush(self._due, (at, next(self._order), answer.arrived.request))

    def check_due(self, now: float) -> list[_dispatch.Command]:
        """Check the answers whose time has come."""
        commands: list[_dispatch.Command] = []
        answers = self.attempts.blackboard.answers.answers
        while self._due and self._due[0][0] <= now:
            answer = answers.get(heapq.heappop(self._due)[2])
            if answer is None:
                continue
            commands += self._check(answer, now)
            if answer.arrived.request in answers:
                self._push_next(answer, now)
        return commands

    def _push_next(self, answer: _answer_area.Answer, now: float) -> None:
        bounds = self.attempts.recovery.bound_silence(answer)
        at = answer.progress_at + bounds.probe_seconds
        if at <= now:
            at = now + _SHORTEST_PROBE_SECONDS
        self._push(answer, at)

    def _check(
        self, answer: _answer_area.Answer, now: float
    ) -> list[_dispatch.Command]:
        if now >= answer.arrived.deadline:
            return self.attempts.end_at_deadline(answer)
        recovery = self.attempts.recovery
        silence = now - answer.progress_at
        bounds = recovery.bound_silence(answer)
        if not recovery.finds_faulty_stages:
            if silence < bounds.stall_seconds:
                return []
            reason = reasons.RetryReason.STAGE_STALLED
            return self.attempts.replace(answer, reason, now)
        if answer.probe is not None:
            if now < answer.probe.started_at + _PROBE_LOST_SECONDS:
                return []
            answer.probe = None
        if silence >= bounds.probe_seconds:
            return self._probe(answer, now, finds_slow=False)
        if now >= answer.slow_check_at and recovery.is_slow(answer):
            answer.slow_check_at = now + _SLOW_CHECK_SECONDS * answer.patience
            return self._probe(answer, now, finds_slow=True)
        return []

    def _probe(
        self, answer: _answer_area.Answer, now: float, *, finds_slow: bool
    ) -> list[_dispatch.Command]:
        """Ask every stage whether it lives, unless it is being asked already."""
        commands: list[_dispatch.Command] = []
        answer.probe = _answer_area.Probe(
            started_at=now,
            finds_slow=finds_slow,
            pending=set(_routes.find_engines(answer.stages)),
        )
        for stage in answer.stages:
            waiting = self._probed.setdefault(stage.engine, set())
            if not waiting:
                commands.append(
                    _answer_messages.ProbeEngine(
                        engine=stage.engine,
                        address=stage.address,
                        timeout_seconds=self._bound_probe(stage.engine),
                    )
                )
            waiting.add(answer.arrived.request)
        return commands

    def _bound_probe(self, name: ids.BackendServerId) -> float:
        """Derive a probe's timeout from how long the engine's polls take."""
        engine = self.attempts.blackboard.backends.engines.get(name)
        usual = engine.poll_seconds if engine is not None else 0.0
        seconds = max(_SHORTEST_PROBE_SECONDS, _POLL_TIMES * usual)
        return min(seconds, _LONGEST_PROBE_SECONDS)

    def settle(
        self, event: _answer_messages.EngineProbed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Decide on the answers that waited for a probe's result."""
        commands: list[_dispatch.Command] = []
        answers = self.attempts.blackboard.answers.answers
        for request in sorted(self._probed.pop(event.engine, ())):
            answer = answers.get(request)
            if answer is None or answer.probe is None:
                continue
            answer.probe.pending.discard(event.engine)
            if not event.answered:
                answer.probe.silent.add(event.engine)
            if not answer.probe.pending:
                commands += self._settle_answer(answer, answer.probe, now)
        return commands

    def _settle_answer(
        self, answer: _answer_area.Answer, probe: _answer_area.Probe, now: float
    ) -> list[_dispatch.Command]:
        answer.probe = None
        has_progress = answer.progress_at > probe.started_at
        if probe.silent and has_progress:
            return []
        if probe.finds_slow and not probe.silent:
            return self._move_if_faster(answer, reasons.RetryReason.STAGE_SLOW, now)
        if has_progress:
            return []
        if probe.silent:
            for engine in sorted(probe.silent):
                self.attempts.blame(answer, engine, now, is_certain=True)
            reason = reasons.RetryReason.STAGE_STALLED
            return self.attempts.replace(answer, reason, now)
        return self._settle_unexplained(answer, now)

    def _settle_unexplained(
        self, answer: _answer_area.Answer, now: float
    ) -> list[_dispatch.Command]:
        """Deal with silence while every stage answers."""
        reason = reasons.RetryReason.STAGE_STALLED
        commands = self._move_if_faster(answer, reason, now)
        bounds = self.attempts.recovery.bound_silence(answer)
        if commands or now - answer.progress_at < bounds.stall_seconds:
            return commands
        answer.patience = min(_MOST_PATIENCE, 2.0 * answer.patience)
        engines = _routes.find_engines(answer.stages)
        if engines <= answer.retried:
            self.attempts.avoid_if_possible(answer, engines, now)
        answer.retried |= engines
        return self.attempts.replace(answer, reason, now)

    def _move_if_faster(
        self, answer: _answer_area.Answer, reason: reasons.RetryReason, now: float
    ) -> list[_dispatch.Command]:
        """Move an answer when fresh reports show a route that pays."""
        attempts = self.attempts
        engines = _routes.find_engines(answer.stages)
        best = attempts.plan_route(answer, now)
        current = attempts.plan_route(answer, now, only=engines)
        if best is None or _routes.find_engines(best.stages) == engines:
            return []
        left = answer.tokens_left
        seconds = (answer.gap_seconds if answer.attempt_has_token else 0.0) * left
        if current is not None:
            seconds = max(seconds, current.predict_seconds(left))
        pays = best.predict_seconds(left) * _GAIN_TO_MOVE < seconds
        if not pays or not attempts.budget.can_afford_move():
            answer.patience = min(_MOST_PATIENCE, 2.0 * answer.patience)
            return []
        return attempts.replace(answer, reason, now)
