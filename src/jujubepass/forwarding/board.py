"""Blackboard of a forwarding node; each area has one writer."""

import enum

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, declarations, plans, settings

_NEVER = float("-inf")
# Named here, as the areas have fields of the modules' names.
_Declarations = declarations.Declarations
_Backend = backends.Backend
_Plan = plans.Plan
_Bounds = settings.Bounds


class NodeState(enum.Enum):
    """Name the stages of a forwarding node's life."""

    STARTING = "starting"
    READY = "ready"
    STALE = "stale"
    DRAINING = "draining"


@attrs.define(kw_only=True)
class ConfigurationArea:
    """Hold the declarations in force; written by the configuration controller."""

    declarations: _Declarations | None = None
    proven_at: float = _NEVER
    """Time at which these were surely the newest, on the boot clock."""


@attrs.define(kw_only=True)
class BackendArea:
    """Hold the listed backend servers; written by the backend controller."""

    listed: dict[ids.BackendServerId, _Backend] = attrs.field(factory=dict)
    known: bool = False
    proven_at: float = _NEVER
    """Time at which this was surely the newest list, on the boot clock."""
    lapsing_until: float = _NEVER
    """Time until which entries that lapsed may still come back."""
    revision: int = 0
    draining_since: dict[ids.BackendServerId, float] = attrs.field(factory=dict)
    restarted: list[ids.BackendServerId] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class PlanArea:
    """Hold the plan of each service; written by the plan controller."""

    plans: dict[ids.ServiceId, _Plan] = attrs.field(factory=dict)
    known: bool = False


@attrs.define(kw_only=True)
class Blackboard:
    """Hold every area; docs/architecture.md names writers and readers."""

    node: ids.NodeId
    failure_domain: ids.FailureDomainId
    state: NodeState = NodeState.STARTING
    closes_at: float = float("inf")
    """Time at which running answers are cut, on the boot clock."""
    bounds: _Bounds = attrs.field(factory=_Bounds)
    """The platform's bounds in force; written by the settings controller."""
    is_first_start: bool = False
    """Whether the whole system starts and no model request has come yet."""
    configuration: ConfigurationArea = attrs.field(factory=ConfigurationArea)
    backends: BackendArea = attrs.field(factory=BackendArea)
    plans: PlanArea = attrs.field(factory=PlanArea)
