"""Blackboard of a forwarding node; each area has a single writer."""

import collections
import enum
import typing

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    backends,
    declarations,
    plans,
    settings,
)
from jujubepass.quarantine import suspects

if typing.TYPE_CHECKING:
    from jujubepass.forwarding import members

_NEVER = float("-inf")
# Aliases, because fields of the areas have the same names as the modules.
_Declarations = declarations.Declarations
_Backend = backends.Backend
_Plan = plans.Plan
_Bounds = settings.Bounds


class NodeState(enum.Enum):
    """Enumerate the life-cycle states of a forwarding node."""

    STARTING = "starting"
    READY = "ready"
    STALE = "stale"
    DRAINING = "draining"


@attrs.define(kw_only=True)
class ConfigurationArea:
    """Store the configuration in force; written by the configuration controller."""

    declarations: _Declarations | None = None
    confirmed_at: float = _NEVER
    """Boot-clock time at which the configuration was last confirmed up to date."""


@attrs.define(kw_only=True)
class BackendArea:
    """Store the listed backend servers; written by the backend controller."""

    listed: dict[ids.BackendServerId, _Backend] = attrs.field(factory=dict)
    is_initialized: bool = False
    confirmed_at: float = _NEVER
    """Boot-clock time at which the list was last confirmed up to date."""
    lapse_grace_until: float = _NEVER
    """Boot-clock time until which expired entries may be registered again."""
    revision: int = 0
    draining_since: dict[ids.BackendServerId, float] = attrs.field(factory=dict)
    """Boot-clock time since which servers are leaving, also without an entry."""
    restarted: list[ids.BackendServerId] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class PlanArea:
    """Store the plan of each service; written by the plan controller."""

    plans: dict[ids.ServiceId, _Plan] = attrs.field(factory=dict)
    is_initialized: bool = False


@attrs.define(kw_only=True)
class MemberArea:
    """Store the number of nodes; written by the member controller."""

    nodes: frozenset[ids.NodeId] = frozenset()
    """All nodes, including this one."""
    sizes: collections.Counter[ids.FailureDomainId] = attrs.field(
        factory=collections.Counter
    )
    """Number of nodes by failure domain."""
    live: "tuple[members.Member, ...]" = ()
    """Rows of all nodes, including this one."""
    since: float = float("inf")
    """Wall-clock time at which this node joined; infinite before its row is written."""
    neighbors: "tuple[members.Member, ...]" = ()
    """Nodes of this failure domain, in an order that all nodes share."""
    confirmed_at: float = _NEVER
    """Boot-clock time at which the rows were last confirmed up to date."""
    announced_at: float = float("inf")
    """Boot-clock time since which other nodes can read this node's row."""
    counted_until: float = _NEVER
    """Boot-clock time until which nodes that have read the row count this node."""


@attrs.define(kw_only=True)
class QuarantineArea:
    """Store what is suspected of ending servers; written by the quarantine."""

    records: dict[suspects.Key, suspects.Record] = attrs.field(factory=dict)
    quarantined: dict[suspects.Key, float] = attrs.field(factory=dict)
    """Suspects in quarantine, with the boot-clock time since which they are."""
    is_initialized: bool = False


@attrs.define(kw_only=True)
class Blackboard:
    """Combine all areas; docs/architecture.md lists their writers and readers."""

    node: ids.NodeId
    failure_domain: ids.FailureDomainId
    state: NodeState = NodeState.STARTING
    bounds: _Bounds = attrs.field(factory=_Bounds)
    """The platform's bounds in force; written by the settings controller."""
    is_cold_start: bool = False
    """Whether this is a cold start without any model request so far."""
    is_first_start: bool = False
    """Whether all nodes of the system are starting for the first time."""
    configuration: ConfigurationArea = attrs.field(factory=ConfigurationArea)
    backends: BackendArea = attrs.field(factory=BackendArea)
    plans: PlanArea = attrs.field(factory=PlanArea)
    members: MemberArea = attrs.field(factory=MemberArea)
    quarantine: QuarantineArea = attrs.field(factory=QuarantineArea)
