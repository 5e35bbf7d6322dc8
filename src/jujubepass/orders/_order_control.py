"""Factory of the lease and order controllers."""

from jujubepass import settings
from jujubepass.leases import _leases
from jujubepass.nodes import _blackboard, _dispatch
from jujubepass.orders import _orders


def make_controllers(
    *, blackboard: _blackboard.Blackboard, timing: settings.Timing
) -> list[_dispatch.Controller]:
    """Make the controllers in the order in which they handle events."""
    lease_timing = _leases.LeaseTiming(
        lease_seconds=timing.lease_seconds, margin_seconds=timing.lease_margin_seconds
    )
    return [
        _leases.LeaseController(blackboard=blackboard, timing=lease_timing),
        _orders.OrderController(blackboard=blackboard),
    ]
