"""Blackboard area of backend servers; written by the backend controller."""

import attrs

from jujubepass import _backend_messages, ids

_NEVER = float("-inf")


@attrs.define(kw_only=True)
class BackendServer:
    """Hold what is known of one engine or service."""

    vm: _backend_messages.Vm
    report: _backend_messages.LoadReport | None = None
    reported_at: float = _NEVER
    polled_at: float = _NEVER
    poll_running: bool = False
    failed_polls: int = 0
    leaving: bool = False
    cache_sequence: int = 0
    cached_prefixes: dict[str, float] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class BackendArea:
    """Hold backend servers by role, and when the platform's list was made."""

    listed_at: float = _NEVER
    engines: dict[ids.BackendServerId, BackendServer] = attrs.field(factory=dict)
    services: dict[ids.BackendServerId, BackendServer] = attrs.field(factory=dict)

    def list_service(self, service: ids.ServiceId) -> list[BackendServer]:
        """List the backend servers of a service that take new work."""
        return [
            backend
            for backend in self.services.values()
            if backend.vm.service == service and not backend.leaving
        ]
