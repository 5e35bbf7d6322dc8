"""Blackboard area of backend servers; written by the backend controller."""

import collections

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_messages

_NEVER = float("-inf")


@attrs.define(kw_only=True)
class BackendServer:
    """Describe what this node has observed of one engine or service."""

    vm: _backend_messages.Vm
    report: _backend_messages.LoadReport | None = None
    reported_at: float = _NEVER
    report_received_at: float = _NEVER
    polled_at: float = _NEVER
    poll_running: bool = False
    poll_seconds: float = 0.0
    failed_polls: int = 0
    leaving: bool = False
    cache_sequence: int = 0
    cache_gap_share: float = 0.0
    cached_prefixes: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    rank: int = 0


@attrs.define(kw_only=True)
class BackendArea:
    """Store backend servers by role and the time of the platform's VM list."""

    listed_at: float = _NEVER
    engines: dict[ids.BackendServerId, BackendServer] = attrs.field(factory=dict)
    services: dict[ids.BackendServerId, BackendServer] = attrs.field(factory=dict)
    polled: tuple[ids.BackendServerId, ...] = ()

    def list_polled(self) -> list[ids.BackendServerId]:
        """List the engines that this node polls for their load."""
        return [name for name in self.polled if name in self.engines]

    def estimate_sharing_nodes(self, nodes: int) -> float:
        """Estimate the number of nodes, this one included, that use the same engine."""
        if not self.engines:
            return 1.0
        return max(1.0, nodes * len(self.polled) / len(self.engines))

    def list_service_backends(self, service: ids.ServiceId) -> list[BackendServer]:
        """List the backend servers of a service that accept new work."""
        return [
            backend
            for backend in self.services.values()
            if backend.vm.service == service and not backend.leaving
        ]
