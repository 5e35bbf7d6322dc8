"""Rule by which a model service uses the shared view, and its results."""

import collections
import collections.abc

import attrs

from jujubepass import ids
from jujubepass.capacity import view
from jujubepass.forwarding import backends, board, declarations, placement, plans

# Ratio of steps at which pipelines are dissimilar.
_DISSIMILAR_RATIO = 2.0
_MAX_PRIORITY = view.PRIORITIES - 1

_Listed = collections.abc.Mapping[ids.BackendServerId, backends.Backend]


def needs_shared_view(
    declared: declarations.Declarations,
    service: declarations.Service,
    plan: plans.Plan | None,
    listed: _Listed,
) -> bool:
    """Return whether a model service has unlike priorities or pipelines."""
    if service.model is None:
        return False
    if len(find_priorities(declared, service.name)) > 1:
        return True
    if plan is None:
        return False
    slowdowns = list_slowdowns(service.model, plan, listed)
    return bool(slowdowns) and max(slowdowns) >= _DISSIMILAR_RATIO * min(slowdowns)


def find_priorities(
    declared: declarations.Declarations, service: ids.ServiceId
) -> frozenset[int]:
    """Return the priorities that the streaming requests of a service can have."""
    found: set[int] = set()
    of_accounts = {each.priority for each in declared.accounts.values()}
    for route in declared.routes:
        if route.repeat_policy is not declarations.RepeatPolicy.STREAM:
            continue
        if all(each.service != service for each in route.destinations):
            continue
        if route.anonymous or not declared.checks_keys:
            found.add(route.priority)
            continue
        found |= {
            route.priority if each is None else each for each in of_accounts or {None}
        }
    return frozenset(min(_MAX_PRIORITY, max(0, each)) for each in found)


def list_slowdowns(
    model: declarations.Model, plan: plans.Plan, listed: _Listed
) -> list[float]:
    """Return the factor on a step of each chain that holds all layers."""
    layers: collections.Counter[int] = collections.Counter()
    sums: collections.defaultdict[int, float] = collections.defaultdict(float)
    for name, placed in plan.placements.items():
        engine = listed.get(name)
        accelerator = model.accelerators.get(engine.accelerator) if engine else None
        if accelerator is None or placed.chain == placement.OUTSIDE_CHAINS:
            continue
        layers[placed.chain] += len(placed.span)
        sums[placed.chain] += len(placed.span) * accelerator.step_slowdown
    return [
        sums[chain] / model.layers
        for chain, held in layers.items()
        if held == model.layers
    ]


@attrs.define(kw_only=True)
class _Result:
    inputs: tuple[object, ...]
    list_revision: int
    is_complete: bool
    """Whether all engines of the plan were listed."""
    is_needed: bool
    has_priorities: bool
    """Whether the streaming requests have different priorities."""


@attrs.define(kw_only=True)
class Scope:
    """Remember the rule's result until the declarations or plans change."""

    blackboard: board.Blackboard
    is_enabled: bool = True
    """Whether the settings allow the view where a service needs it."""
    evaluations: int = attrs.field(default=0, init=False)
    _results: dict[ids.ServiceId, _Result] = attrs.field(factory=dict, init=False)

    def is_any_needed(self) -> bool:
        """Return whether a model service needs the shared view."""
        declared = self.blackboard.configuration.declarations
        if declared is None:
            return False
        services = declared.find_model_services()
        return any([self.is_needed(each.name) for each in services])

    def is_needed(self, service: ids.ServiceId) -> bool:
        """Return whether a service needs the shared view."""
        result = self._evaluate(service)
        return self.is_enabled and result is not None and result.is_needed

    def has_priorities(self, service: ids.ServiceId) -> bool:
        """Return whether a service's streaming requests have different priorities."""
        result = self._evaluate(service)
        return result is not None and result.has_priorities

    def _evaluate(self, service: ids.ServiceId) -> _Result | None:
        declared = self.blackboard.configuration.declarations
        found = declared.services.get(service) if declared is not None else None
        if declared is None or found is None:
            return None
        plan = self.blackboard.plans.plans.get(service)
        known = self._results.get(service)
        if known is not None and self._is_current(known, declared, plan):
            return known
        self.evaluations += 1
        area = self.blackboard.backends
        result = _Result(
            inputs=(declared, plan),
            list_revision=area.revision,
            is_complete=plan is None or plan.placements.keys() <= area.listed.keys(),
            is_needed=needs_shared_view(declared, found, plan, area.listed),
            has_priorities=len(find_priorities(declared, service)) > 1,
        )
        self._results[service] = result
        return result

    def _is_current(
        self,
        known: _Result,
        declared: declarations.Declarations,
        plan: plans.Plan | None,
    ) -> bool:
        before, planned = known.inputs
        if before is not declared or planned is not plan:
            return False
        return (
            known.is_complete
            or known.list_revision == self.blackboard.backends.revision
        )
