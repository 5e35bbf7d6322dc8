"""Readiness endpoint for the load balancer."""

import logging

import attrs

from jujubepass.forwarding import admission, board, clocks
from jujubepass.transport import _http_server

_LOGGER = logging.getLogger(__name__)

_READY = 200
_NOT_READY = 503


@attrs.define(kw_only=True)
class Readiness:
    """Maintain the node's state and report it over HTTP."""

    blackboard: board.Blackboard
    admission_control: admission.Admission

    def check(self) -> None:
        """Update the node's state."""
        area = self.blackboard
        if area.state is board.NodeState.DRAINING:
            return
        is_initialized = (
            area.configuration.declarations is not None
            and area.backends.is_initialized
            and area.plans.is_initialized
            and self._has_plans()
        )
        if not is_initialized:
            self._enter(board.NodeState.STARTING)
        elif self.admission_control.is_stale(clocks.read_boot_clock()):
            self._enter(board.NodeState.STALE)
        else:
            self._enter(board.NodeState.READY)

    def _has_plans(self) -> bool:
        declared = self.blackboard.configuration.declarations
        assert declared is not None
        listed = {each.service for each in self.blackboard.backends.listed.values()}
        return all(
            each.name in self.blackboard.plans.plans
            for each in declared.find_model_services()
            if each.name in listed
        )

    def drain(self) -> None:
        """Enter the draining state."""
        self._enter(board.NodeState.DRAINING)

    def _enter(self, state: board.NodeState) -> None:
        before = self.blackboard.state
        if before is state:
            return
        self.blackboard.state = state
        area = self.blackboard.configuration
        _LOGGER.info(
            "node state changed",
            extra={
                "before": before.value,
                "state": state.value,
                "version_age": round(clocks.read_boot_clock() - area.confirmed_at, 3),
            },
        )

    async def __call__(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        """Respond to a readiness check."""
        self.check()
        ready = self.blackboard.state is board.NodeState.READY
        status = _READY if ready else _NOT_READY
        await responder.send_json(status, {"state": self.blackboard.state.value})
