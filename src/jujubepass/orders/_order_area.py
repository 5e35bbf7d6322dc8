"""Blackboard areas of what engines are to serve and who orders it."""

import attrs

from jujubepass import ids


@attrs.frozen(kw_only=True)
class Deployment:
    """State what an engine is to serve."""

    model: ids.ModelId
    version: str
    first_layer: int
    end_layer: int
    role: str = "generate"
    adapters: tuple[str, ...] = ()


@attrs.define(kw_only=True)
class DeploymentArea:
    """Hold the deployments declared by engine; written with the configuration."""

    declared: dict[ids.BackendServerId, Deployment] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class OrderArea:
    """Hold which leases this node wants; written by the order controller."""

    leases_wanted: frozenset[ids.LeaseId] = frozenset()
    sent: int = 0
    refused: int = 0
    withheld: int = 0
    failed: int = 0
    loading: int = 0
