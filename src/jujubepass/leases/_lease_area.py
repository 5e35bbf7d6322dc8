"""Blackboard area of leases; written by the lease controller."""

import attrs

from jujubepass import ids


@attrs.frozen(kw_only=True)
class HeldLease:
    """Describe this node's lease; `until` is on this process's monotonic clock."""

    fencing: ids.FencingNumber
    until: float


@attrs.define(kw_only=True)
class LeaseArea:
    """Track leases that this node may act under, and counts of lease changes."""

    held: dict[ids.LeaseId, HeldLease] = attrs.field(factory=dict)
    acquired: int = 0
    lost: int = 0
    released: int = 0

    def find_usable(self, lease: ids.LeaseId, now: float) -> HeldLease | None:
        """Return a lease that is still valid; check immediately before each order."""
        held = self.held.get(lease)
        if held is None or now >= held.until:
            return None
        return held
