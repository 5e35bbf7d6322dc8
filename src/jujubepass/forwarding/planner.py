"""Controller that plans which layers each engine holds, and replans after losses.

Every node computes the same plan from the same list and writes it on condition that the
row is unchanged, so concurrent writers are harmless.
"""

import collections.abc
import logging
import random

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    backend_list,
    board,
    chains,
    declarations,
    placement,
    plans,
    suspicion,
)

_LOGGER = logging.getLogger(__name__)

# Engines register over about three seconds after a start. The first plan waits until
# the list has been unchanged for two of their heartbeats.
_SETTLING_SECONDS = 2.4
# Delay that lets simultaneous losses be handled by one plan.
_LOSS_SECONDS = 0.1
# An engine that is still listed but leaves this many probes unanswered for this time is
# excluded from the plan before its entry expires, three heartbeats (3.6 s) after the
# last one.
_DEAD_SECONDS = 0.7
_DEAD_QUESTIONS = 2
# More engines than this share do not fail at once; rather, this node's network has
# failed.
_MOST_DEAD_SHARE = 0.2
# An older list is no basis for a plan; it is confirmed up to date every two seconds.
_LIST_AGE_SECONDS = 2.6
# New engines are added to the plan once no other has registered for this time.
_GROWTH_SECONDS = 1.0
# The plan's author acts first; other nodes wait for a random time in this range.
_FOLLOWERS_SECONDS = (0.3, 1.0)


@attrs.frozen(kw_only=True)
class WritePlan:
    """Command a write of a plan; its version is the one to be replaced."""

    plan: plans.Plan


@attrs.define(kw_only=True)
class _Watch:
    """Track why and since when a service's plan needs to change."""

    reason: str = ""
    due_at: float = float("inf")
    listed: frozenset[ids.BackendServerId] = frozenset()
    listed_at: float = float("-inf")
    kept: object = None
    """Plan version, list and reason for which no better plan was found."""


@attrs.define(kw_only=True)
class PlanController:
    """Update the plan area and decide when to write a plan."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    random_source: random.Random = attrs.field(factory=random.Random)
    _watches: dict[ids.ServiceId, _Watch] = attrs.field(factory=dict, init=False)

    def note_plan(self, plan: plans.Plan) -> None:
        """Install a plan from the store."""
        area = self.blackboard.plans
        before = area.plans.get(plan.service)
        if before is not None and before.version >= plan.version:
            return
        area.plans[plan.service] = plan
        self._watches.setdefault(plan.service, _Watch()).reason = ""
        _LOGGER.info(
            "plan in force",
            extra={
                "service": plan.service,
                "revision": plan.revision,
                "author": plan.author,
                "engines": len(plan.placements),
                "excluded": sorted(plan.excluded),
            },
        )

    def check(self, now: float) -> list[WritePlan]:
        """Return the plans to write now."""
        declared = self.blackboard.configuration.declarations
        area = self.blackboard
        if declared is None or not area.plans.known or not area.backends.known:
            return []
        if now - area.backends.proven_at > _LIST_AGE_SECONDS:
            return []
        commands = []
        for service in declared.find_model_services():
            command = self._check_service(service, now)
            if command is not None:
                commands.append(command)
        return commands

    def _check_service(
        self, service: declarations.Service, now: float
    ) -> WritePlan | None:
        watch = self._watches.setdefault(service.name, _Watch())
        ready = backend_list.list_ready(self.blackboard.backends, service.name)
        listed = frozenset(each.name for each in ready)
        if listed != watch.listed:
            watch.listed, watch.listed_at = listed, now
        plan = self.blackboard.plans.plans.get(service.name)
        reason, delay = self._find_reason(plan, watch, now)
        state = (plan.version if plan else 0, listed, reason)
        if not reason or state == watch.kept:
            watch.reason = ""
            return None
        if reason != watch.reason:
            watch.reason = reason
            watch.due_at = now + delay + self._draw_turn(plan)
        if now < watch.due_at:
            return None
        watch.reason = ""
        command = self._make_plan(service, plan, listed, reason, now)
        watch.kept = state if command is None else None
        return command

    def _draw_turn(self, plan: plans.Plan | None) -> float:
        if plan is not None and plan.author == self.blackboard.node:
            return 0.0
        return self.random_source.uniform(*_FOLLOWERS_SECONDS)

    def _find_reason(
        self, plan: plans.Plan | None, watch: _Watch, now: float
    ) -> tuple[str, float]:
        """Return why the plan must change and the delay before that, in seconds."""
        if plan is None:
            settled = bool(watch.listed) and now - watch.listed_at >= _SETTLING_SECONDS
            return ("first plan", 0.0) if settled else ("", 0.0)
        lost = plan.placements.keys() - watch.listed
        if lost:
            return f"lost {', '.join(sorted(lost))}", _LOSS_SECONDS
        failing = self._find_failing(plan, now)
        if failing:
            return f"failing {', '.join(sorted(failing))}", 0.0
        usable = self._find_usable(plan, watch.listed)
        grown = usable - plan.placements.keys()
        if grown and now - watch.listed_at >= _GROWTH_SECONDS:
            return f"idle {', '.join(sorted(grown))}", 0.0
        return "", 0.0

    def _find_failing(self, plan: plans.Plan, now: float) -> set[ids.BackendServerId]:
        """Return the planned engines that are dead, or none if too many seem to be."""
        dead = {
            name
            for name in plan.placements
            if self.suspects.is_dead(
                name,
                now,
                least_seconds=_DEAD_SECONDS,
                least_questions=_DEAD_QUESTIONS,
            )
        }
        most = max(2.0, _MOST_DEAD_SHARE * len(plan.placements))
        return dead if len(dead) <= most else set()

    def _find_usable(
        self, plan: plans.Plan, listed: frozenset[ids.BackendServerId]
    ) -> set[ids.BackendServerId]:
        """Return the listed engines except for excluded runs."""
        by_name = self.blackboard.backends.listed
        return {
            name
            for name in listed
            if plan.excluded.get(name) != by_name[name].started_at
        }

    def _make_plan(
        self,
        service: declarations.Service,
        plan: plans.Plan | None,
        listed: frozenset[ids.BackendServerId],
        reason: str,
        now: float,
    ) -> WritePlan | None:
        model = service.model
        assert model is not None
        excluded = self._exclude(plan, listed, now)
        candidates = [
            candidate
            for candidate in self._list_candidates(service, model, plan)
            if candidate.name not in excluded
        ]
        placements = self._place(model, candidates, plan)
        if plan is not None and _is_same(plan, placements, excluded):
            return None
        _LOGGER.info(
            "plan to be written",
            extra={
                "service": service.name,
                "reason": reason,
                "list_revision": self.blackboard.backends.revision,
                "engines": len(placements),
                "excluded": sorted(excluded),
            },
        )
        following = plans.Plan(
            service=service.name,
            version=plan.version if plan else 0,
            revision=plan.revision + 1 if plan else 1,
            author=self.blackboard.node,
            placements=placements,
            excluded=excluded,
        )
        return WritePlan(plan=following)

    def _place(
        self,
        model: declarations.Model,
        candidates: list[chains.Candidate],
        plan: plans.Plan | None,
    ) -> placement.Placements:
        if plan is None or self.blackboard.is_first_start:
            return placement.make_placements(model, candidates)
        return placement.mend_placements(model, candidates, plan.placements)

    def _exclude(
        self,
        plan: plans.Plan | None,
        listed: frozenset[ids.BackendServerId],
        now: float,
    ) -> dict[ids.BackendServerId, int]:
        """Return the runs of engines that are listed but have failed."""
        if plan is None:
            return {}
        by_name = self.blackboard.backends.listed
        excluded = {
            name: started_at
            for name, started_at in plan.excluded.items()
            if name in listed and by_name[name].started_at == started_at
        }
        for name in self._find_failing(plan, now) & listed:
            excluded[name] = by_name[name].started_at
        return excluded

    def _list_candidates(
        self,
        service: declarations.Service,
        model: declarations.Model,
        plan: plans.Plan | None,
    ) -> collections.abc.Iterator[chains.Candidate]:
        for engine in backend_list.list_ready(self.blackboard.backends, service.name):
            accelerator = model.accelerators.get(engine.accelerator)
            if accelerator is None:
                continue
            yield chains.Candidate(
                name=engine.name,
                failure_domain=engine.failure_domain,
                accelerator=accelerator,
                placement=plan.placements.get(engine.name) if plan else None,
            )


def _is_same(
    plan: plans.Plan,
    placements: placement.Placements,
    excluded: collections.abc.Mapping[ids.BackendServerId, int],
) -> bool:
    return (placements, excluded) == (dict(plan.placements), dict(plan.excluded))
