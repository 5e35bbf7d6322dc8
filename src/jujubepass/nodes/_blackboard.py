"""Blackboard that the controllers share; each area has one writer."""

import attrs

from jujubepass import ids
from jujubepass.answers import _answer_area
from jujubepass.backends import _backend_area, _departure_area
from jujubepass.calls import _call_area
from jujubepass.configuration import _configuration_area
from jujubepass.leases import _lease_area
from jujubepass.limits import _limit_area, _share_area
from jujubepass.membership import _membership_area
from jujubepass.nodes import _node_messages
from jujubepass.orders import _order_area
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class Identity:
    """Identify this node; each start of its process has its own incarnation."""

    node: ids.NodeId
    incarnation: str
    region: ids.RegionId
    failure_domain: ids.FailureDomainId
    address: _http_client.Address | None = None


@attrs.define(kw_only=True)
class NodeArea:
    """Store the node's state and pauses; written by the node controller."""

    state: _node_messages.NodeState = _node_messages.NodeState.STARTING
    pauses: int = 0
    paused_seconds: float = 0.0


@attrs.frozen(kw_only=True)
class Blackboard:
    """Combine all areas; docs/architecture.md lists their writers and readers."""

    identity: Identity
    node: NodeArea = attrs.field(factory=NodeArea)
    configuration: _configuration_area.ConfigurationArea = attrs.field(
        factory=_configuration_area.ConfigurationArea
    )
    membership: _membership_area.MembershipArea = attrs.field(
        factory=_membership_area.MembershipArea
    )
    backends: _backend_area.BackendArea = attrs.field(factory=_backend_area.BackendArea)
    departures: _departure_area.DepartureArea = attrs.field(
        factory=_departure_area.DepartureArea
    )
    leases: _lease_area.LeaseArea = attrs.field(factory=_lease_area.LeaseArea)
    deployments: _order_area.DeploymentArea = attrs.field(
        factory=_order_area.DeploymentArea
    )
    orders: _order_area.OrderArea = attrs.field(factory=_order_area.OrderArea)
    answers: _answer_area.AnswerArea = attrs.field(factory=_answer_area.AnswerArea)
    calls: _call_area.CallArea = attrs.field(factory=_call_area.CallArea)
    limits: _limit_area.LimitArea = attrs.field(factory=_limit_area.LimitArea)
    shares: _share_area.ShareArea = attrs.field(factory=_share_area.ShareArea)
