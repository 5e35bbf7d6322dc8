"""Blackboard areas of declared deployments and of the orders to engines."""

import attrs

from jujubepass import ids


@attrs.frozen(kw_only=True)
class Deployment:
    """Describe the span of a model's layers, role and adapters wanted of an engine."""

    model: ids.ModelId
    version: str
    first_layer: int
    end_layer: int
    role: str = "generate"
    adapters: tuple[str, ...] = ()


@attrs.define(kw_only=True)
class DeploymentArea:
    """Store each engine's declared deployment; written with the configuration."""

    declared: dict[ids.BackendServerId, Deployment] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class OrderArea:
    """Track leases wanted by this node and counts of its orders.

    Written by the order controller.
    """

    leases_wanted: frozenset[ids.LeaseId] = frozenset()
    sent: int = 0
    refused: int = 0
    withheld: int = 0
    failed: int = 0
    loading: int = 0
