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
    feeds,
    members,
    placement,
    plan_rows,
    plans,
    suspicion,
)

_LOGGER = logging.getLogger(__name__)

# Engines register over about three seconds after a start. The first plan waits until
# the list has been unchanged for two of their heartbeats.
_MIN_UNCHANGED_SECONDS = 2.4
# Delay that lets simultaneous losses be handled by one plan.
_LOSS_DELAY_SECONDS = 0.1
# An engine that is still listed but leaves this many probes unanswered for this time is
# excluded from the plan before its entry expires, three heartbeats (3.6 s) after the
# last one.
_MIN_DEAD_SECONDS = 0.7
_MIN_DEAD_PROBES = 2
# More engines than this share do not fail at once; rather, this node's network has
# failed.
_MAX_DEAD_SHARE = 0.2
# An older list is no basis for a plan; it is confirmed up to date every two seconds.
_MAX_LIST_AGE_SECONDS = 2.6
# New engines are added to the plan once no other has registered for this time.
_GROWTH_DELAY_SECONDS = 1.0
# The plan's author acts first, then the other nodes turn by turn. Without a plan or a
# turn, a node waits for a random time in this range.
_NON_AUTHOR_DELAY_SECONDS = (0.3, 1.0)
_TURN_SECONDS = 0.1


@attrs.frozen(kw_only=True)
class WritePlan:
    """Command a write of a plan; its version is the one to be replaced."""

    plan: plans.Plan


@attrs.define(kw_only=True)
class _PendingChange:
    """Track why and since when a service's plan needs to change."""

    reason: str = ""
    due_at: float = float("inf")
    list_revision: int = -1
    listed: frozenset[ids.BackendServerId] = frozenset()
    listed_at: float = float("-inf")
    compared: tuple[plans.Plan, int] | None = None
    """Plan and revision of the list that were compared last."""
    lost: frozenset[ids.BackendServerId] = frozenset()
    """Planned engines that are not listed."""
    added: frozenset[ids.BackendServerId] = frozenset()
    """Usable engines that are not planned."""
    unimproved_state: object = None
    """Plan version, list, reason and whether no request has begun, for which no better
    plan was found."""


@attrs.define(kw_only=True)
class PlanController:
    """Update the plan area and decide when to write a plan."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    random_source: random.Random = attrs.field(factory=random.Random)
    _era: int = attrs.field(default=0, init=False)
    _lost: set[ids.ServiceId] = attrs.field(factory=set, init=False)
    """Services whose plan in force the store has lost."""
    _pending_changes: dict[ids.ServiceId, _PendingChange] = attrs.field(
        factory=dict, init=False
    )

    def update_era(self, changes: feeds.Changes[plans.Plan]) -> None:
        """Compare the plans in force with the rows of a store that went back.

        A plan that the store's copy lacks stays in force and is written again.
        """
        if changes.era <= self._era:
            return
        self._era = changes.era
        area = self.blackboard.plans
        for service, plan in area.plans.items():
            found = changes.items.get(plan_rows.make_key(service))
            if found is not None and found.revision >= plan.revision:
                # Its row is installed whatever the version in force.
                area.plans[service] = attrs.evolve(plan, version=0)
                continue
            stored_version = found.version if found is not None else 0
            area.plans[service] = attrs.evolve(plan, version=stored_version)
            self._lost.add(service)
            _LOGGER.warning(
                "plan in force is missing in the store",
                extra={"service": service, "revision": plan.revision},
            )

    def install_plan(self, plan: plans.Plan) -> None:
        """Install a plan from the store."""
        area = self.blackboard.plans
        before = area.plans.get(plan.service)
        if before is not None and before.version >= plan.version:
            return
        self._lost.discard(plan.service)
        area.plans[plan.service] = plan
        self._pending_changes.setdefault(plan.service, _PendingChange()).reason = ""
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
        if (
            declared is None
            or not area.plans.is_initialized
            or not area.backends.is_initialized
        ):
            return []
        if now - area.backends.confirmed_at > _MAX_LIST_AGE_SECONDS:
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
        pending = self._pending_changes.setdefault(service.name, _PendingChange())
        self._update_listed(service.name, pending, now)
        listed = pending.listed
        plan = self.blackboard.plans.plans.get(service.name)
        reason, delay = self._find_reason(plan, pending, now)
        version = plan.version if plan else 0
        state = (version, listed, reason, self.blackboard.is_cold_start)
        if not reason or state == pending.unimproved_state:
            pending.reason = ""
            return None
        if reason != pending.reason:
            pending.reason = reason
            pending.due_at = now + delay + self._draw_delay(plan)
        if now < pending.due_at:
            return None
        pending.reason = ""
        command = self._make_plan(service, plan, listed, reason, now)
        pending.unimproved_state = state if command is None else None
        return command

    def _update_listed(
        self, service: ids.ServiceId, pending: _PendingChange, now: float
    ) -> None:
        area = self.blackboard.backends
        if pending.list_revision == area.revision:
            return
        pending.list_revision = area.revision
        listed = frozenset(each.name for each in backend_list.list_ready(area, service))
        if listed != pending.listed:
            pending.listed, pending.listed_at = listed, now

    def _compare(self, plan: plans.Plan, pending: _PendingChange) -> None:
        """Update the differences between a plan and the list, if either is new."""
        if pending.compared is not None:
            compared, revision = pending.compared
            if compared is plan and revision == pending.list_revision:
                return
        pending.compared = plan, pending.list_revision
        pending.lost = frozenset(plan.placements.keys() - pending.listed)
        usable = self._find_usable(plan, pending.listed)
        pending.added = frozenset(usable - plan.placements.keys())

    def _draw_delay(self, plan: plans.Plan | None) -> float:
        if plan is not None and plan.author == self.blackboard.node:
            return 0.0
        least, most = _NON_AUTHOR_DELAY_SECONDS
        turn = None
        if plan is not None:
            turn = members.find_turn(self.blackboard, f"plan/{plan.version}")
        if turn is None:
            return self.random_source.uniform(least, most)
        return least + _TURN_SECONDS * self.random_source.uniform(turn, turn + 0.5)

    def _find_reason(
        self, plan: plans.Plan | None, pending: _PendingChange, now: float
    ) -> tuple[str, float]:
        """Return why the plan must change and the delay before that, in seconds."""
        if plan is None:
            is_unchanged = (
                bool(pending.listed)
                and now - pending.listed_at >= _MIN_UNCHANGED_SECONDS
            )
            return ("first plan", 0.0) if is_unchanged else ("", 0.0)
        if plan.service in self._lost:
            return "lost by the store", 0.0
        self._compare(plan, pending)
        if pending.lost:
            return f"lost {', '.join(sorted(pending.lost))}", _LOSS_DELAY_SECONDS
        dead = self._find_dead(plan, now)
        if dead:
            return f"failing {', '.join(sorted(dead))}", 0.0
        if pending.added and now - pending.listed_at >= _GROWTH_DELAY_SECONDS:
            return f"idle {', '.join(sorted(pending.added))}", 0.0
        return "", 0.0

    def _find_dead(self, plan: plans.Plan, now: float) -> set[ids.BackendServerId]:
        """Return the planned engines that are dead, or none if too many seem to be."""
        dead = {
            name
            for name in self.suspects.list_unresponsive()
            if name in plan.placements
            and self.suspects.is_dead(
                name,
                now,
                min_seconds=_MIN_DEAD_SECONDS,
                min_probes=_MIN_DEAD_PROBES,
            )
        }
        max_dead = max(2.0, _MAX_DEAD_SHARE * len(plan.placements))
        return dead if len(dead) <= max_dead else set()

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
        excluded = self._find_excluded(plan, listed, now)
        candidates = [
            candidate
            for candidate in self._list_candidates(service, model, plan)
            if candidate.name not in excluded
        ]
        placements = self._place(model, candidates, plan)
        is_lost = service.name in self._lost
        if plan is not None and not is_lost and _is_same(plan, placements, excluded):
            return None
        _LOGGER.info(
            "writing a new plan",
            extra={
                "service": service.name,
                "reason": reason,
                "list_revision": self.blackboard.backends.revision,
                "engines": len(placements),
                "chains": placement.count_chains(candidates, placements),
                "excluded": sorted(excluded),
            },
        )
        next_plan = plans.Plan(
            service=service.name,
            version=plan.version if plan else 0,
            revision=plan.revision + 1 if plan else 1,
            author=self.blackboard.node,
            placements=placements,
            excluded=excluded,
        )
        return WritePlan(plan=next_plan)

    def _place(
        self,
        model: declarations.Model,
        candidates: list[chains.Candidate],
        plan: plans.Plan | None,
    ) -> placement.Placements:
        if plan is None or self.blackboard.is_cold_start:
            return placement.make_placements(model, candidates)
        return placement.repair_placements(model, candidates, plan.placements)

    def _find_excluded(
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
        for name in self._find_dead(plan, now) & listed:
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
