"""Listeners of a forwarding node, and the bounds that they share."""

import attrs
import trio

from jujubepass.forwarding import declarations, settings
from jujubepass.intake import bounds, ledger
from jujubepass.transport import _http_client, _http_server, _intake_gate

# Aliases, because fields have the same names as the modules.
_Bounds = bounds.Bounds
_Settings = settings.Settings


@attrs.frozen(kw_only=True)
class Handlers:
    """Contain the handler of each listener."""

    callers: _http_server.Handler
    readiness: _http_server.Handler
    metrics: _http_server.Handler
    relay: _http_server.Handler


@attrs.define(kw_only=True)
class Listeners:
    """Serve a node's listeners; all their connections share one ledger."""

    settings: _Settings
    bounds: _Bounds = attrs.field(init=False)
    gate: _intake_gate.Gate = attrs.field(init=False)
    callers: _http_server.Server = attrs.field(init=False)
    _others: list[tuple[_http_server.Server, _http_client.Address]] = attrs.field(
        factory=list, init=False
    )

    def __attrs_post_init__(self) -> None:
        limits = self.settings.limits
        self.bounds = bounds.derive(limits.memory_megabytes, limits.descriptors)
        held_bytes = self.bounds.held_bytes
        self.gate = _intake_gate.Gate(ledger=ledger.Ledger(bound_bytes=held_bytes))

    def add_handlers(self, handlers: Handlers) -> None:
        """Make the servers of all listeners."""
        listen = self.settings.listen
        self.callers = self._make("callers", handlers.callers, self.bounds.callers)
        if listen.relay is not None:
            relay = self._make("relay", handlers.relay, self.bounds.relay)
            self._others.append((relay, listen.relay))
        for name, handler, address in (
            ("readiness", handlers.readiness, listen.readiness),
            ("metrics", handlers.metrics, listen.metrics),
        ):
            server = self._make(name, handler, self.bounds.monitor)
            self._others.append((server, address))

    def _make(
        self, name: str, handler: _http_server.Handler, connections: int
    ) -> _http_server.Server:
        return _http_server.Server(
            handler=handler,
            limits=_http_server.ServerLimits(connections=connections),
            gate=self.gate,
            name=name,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all listeners, the one for callers last."""
        callers = self.settings.listen.callers
        for server, address in (*self._others, (self.callers, callers)):
            await nursery.start(server.serve, address.host, address.port)

    def apply(self, limits: declarations.CallerLimits) -> None:
        """Apply the limits of one request that the configuration declares."""
        self.callers.limits = _http_server.ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            connections=self.bounds.callers,
            receive_timeout_seconds=limits.header_timeout_seconds,
            idle_timeout_seconds=limits.idle_timeout_seconds,
        )
