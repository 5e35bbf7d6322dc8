"""Bounds of what clients may make a process hold, derived from its VM's limits."""

import attrs

_MEGABYTE = 1_000_000
# The other half is for the system, buffers of sockets, and the state of a large fleet.
_PROCESS_SHARE = 0.5
# The interpreter, the code and the state of the fleet take some 45 MB, bodies that are
# kept of requests whose callers left 8 MB. The rest is for copies of bodies that end,
# and for one body beyond the bound.
_OWN_MEGABYTES = 76
_MIN_HELD_BYTES = 16 * _MEGABYTE
# Descriptors of a VM that are used for files.
_FILE_DESCRIPTORS = 200
# The other half is for connections to backend servers.
_CALLERS_SHARE = 0.5
_RELAY_SHARE = 1 / 16
_MONITOR_SHARE = 1 / 32
_MIN_CONNECTIONS = 8


@attrs.frozen(kw_only=True)
class Bounds:
    """Bound the bytes that all connections hold, and connections by listener."""

    held_bytes: int
    callers: int
    relay: int
    monitor: int
    """Connections of each listener for health checks and metrics."""


UNBOUNDED_BYTES = 1 << 62


def derive(memory_megabytes: int, descriptors: int) -> Bounds:
    """Derive the bounds from a VM's memory and descriptors."""
    for_process = memory_megabytes * _PROCESS_SHARE - _OWN_MEGABYTES
    sockets = max(descriptors - _FILE_DESCRIPTORS, descriptors // 2)

    def share(part: float) -> int:
        """Return the connections of a listener."""
        return max(_MIN_CONNECTIONS, int(sockets * part))

    return Bounds(
        held_bytes=max(_MIN_HELD_BYTES, int(for_process * _MEGABYTE)),
        callers=share(_CALLERS_SHARE),
        relay=share(_RELAY_SHARE),
        monitor=share(_MONITOR_SHARE),
    )
