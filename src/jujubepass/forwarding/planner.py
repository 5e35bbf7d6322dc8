"""Controller that plans which layers each engine holds, and replans after losses.

Every node computes the same plan from the same list, and writes it under the
condition that the row is as it was read: two writers at once do no harm.
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

# Engines list themselves over about three seconds after a start; the first plan
# waits until the list has not changed for as long as two of their heartbeats.
_SETTLING_SECONDS = 2.4
# Losses that come together are planned around together.
_LOSS_SECONDS = 0.1
# An engine that is listed and yet answers none of so many questions for so long is
# planned around before its entry lapses, three heartbeats (3.6 s) after its last.
_DEAD_SECONDS = 0.7
_DEAD_QUESTIONS = 2
# More engines than this share do not die at once: then this node's links have failed.
_MOST_DEAD_SHARE = 0.2
# A list that is older says nothing of what to plan now; it is proven every two seconds.
_LIST_AGE_SECONDS = 2.6
# New engines are taken in when no other has come for this long.
_GROWTH_SECONDS = 1.0
# The plan's author acts first; the others follow at random within this time.
_FOLLOWERS_SECONDS = (0.3, 1.0)


@attrs.frozen(kw_only=True)
class WritePlan:
    """Command a write of a plan; its version is the one that it replaces."""

    plan: plans.Plan


@attrs.define(kw_only=True)
class _Watch:
    """Hold since when one service's plan has been found wanting."""

    reason: str = ""
    due_at: float = float("inf")
    listed: frozenset[ids.BackendServerId] = frozenset()
    listed_at: float = float("-inf")
    kept: object = None
    """Plan and list for which no better plan was found."""


@attrs.define(kw_only=True)
class PlanController:
    """Write the plan area, and say when a plan has to be written."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    random_source: random.Random = attrs.field(factory=random.Random)
    _watches: dict[ids.ServiceId, _Watch] = attrs.field(factory=dict, init=False)

    def note_plan(self, plan: plans.Plan) -> None:
        """Take over a plan that the store holds."""
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
        """Return why the plan has to change and how long that must last."""
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
        """Return the planned engines that are dead, unless this node is cut off."""
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
        """Return the listed engines but for the runs that failed."""
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
        """Return the runs of engines that are listed and yet failed."""
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
