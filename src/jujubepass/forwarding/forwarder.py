"""Handler of callers' requests: admits, serves and logs each request."""

import collections.abc
import logging

import attrs
import trio

from jujubepass import reasons
from jujubepass.forwarding import (
    admission,
    board,
    clocks,
    exchange,
    measures,
    replies,
    service_exchange,
    stream_exchange,
)
from jujubepass.quarantine import guard
from jujubepass.transport import _http_server

# Alias, because a field has the same name as the module.
_Guard = guard.Guard

_LOGGER = logging.getLogger(__name__)

# Time limit for reading the configuration again before a refusal.
_REFRESH_TIMEOUT_SECONDS = 0.6
# A node that starts has a configuration within about a second; a caller that is refused
# at once comes back into the same start. Callers abandon a stream after 2 s.
_MAX_START_WAIT_SECONDS = 1.0
_START_POLL_INTERVAL_SECONDS = 0.05


@attrs.define(kw_only=True)
class Forwarder:
    """Handle callers' requests."""

    blackboard: board.Blackboard
    wire: exchange.Wire
    admission_control: admission.Admission
    services: service_exchange.ServiceExchange
    streams: stream_exchange.StreamExchange
    guard: _Guard
    measures: measures.Measures
    refresh_configuration: collections.abc.Callable[
        [float], collections.abc.Awaitable[None]
    ]
    """Read the configuration again, within a time limit in seconds."""

    async def __call__(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        """Serve one request and log its outcome."""
        now = clocks.read_boot_clock()
        caller_request = self.wire.read_request(request, now)
        reply = replies.Reply(
            request=caller_request, wire=self.wire, responder=responder
        )
        if self.admission_control.needs_confirmation(caller_request, now):
            await self.refresh_configuration(_REFRESH_TIMEOUT_SECONDS)
        found = await self._admit(caller_request)
        try:
            if isinstance(found, admission.Refusal):
                account = self.admission_control.find_account(caller_request)
                await reply.refuse(
                    self.guard.withhold_retry(caller_request, account, found)
                )
            elif found.service.model is not None:
                self.blackboard.is_cold_start = False
                await self.streams.serve(caller_request, found, reply)
            else:
                await self.services.serve(caller_request, found, reply)
        finally:
            self._record_ended(caller_request, found, reply)

    async def _admit(
        self, request: exchange.CallerRequest
    ) -> exchange.Admitted | admission.Refusal:
        """Admit or refuse a request, after the node has read its configuration."""
        until = request.arrived_at + _MAX_START_WAIT_SECONDS
        while True:
            now = clocks.read_boot_clock()
            found = self.admission_control.admit(request, now)
            is_starting = (
                isinstance(found, admission.Refusal)
                and found.reason is reasons.RefusalReason.NOT_READY
                and self.blackboard.state is board.NodeState.STARTING
            )
            if not is_starting or now >= until:
                return found
            await trio.sleep(_START_POLL_INTERVAL_SECONDS)

    def _record_ended(
        self,
        request: exchange.CallerRequest,
        found: exchange.Admitted | admission.Refusal,
        reply: replies.Reply,
    ) -> None:
        now = clocks.read_boot_clock()
        outcome = reply.outcome
        if outcome in ("open", "started"):
            outcome = "caller_gone"
        self.measures.record_request(outcome, reply.reason, now - request.arrived_at)
        inputs = {}
        if isinstance(found, exchange.Admitted):
            inputs["route"] = found.route.name
            inputs["service"] = found.service.name
            inputs["admitted_version"] = str(found.version)
            if found.account is not None:
                inputs["account"] = found.account.name
        area = self.blackboard.configuration
        if area.declarations is not None:
            inputs["version"] = str(area.declarations.version)
            inputs["version_age"] = f"{now - area.confirmed_at:.3f}"
        _LOGGER.info(
            "request ended",
            extra={
                "request": request.request_id,
                "outcome": outcome,
                "status": reply.status,
                "reason": reply.reason,
                "seconds": round(now - request.arrived_at, 3),
                "attempts": reply.attempts,
                "backend": reply.backend,
                **inputs,
            },
        )
