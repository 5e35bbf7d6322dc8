"""Stall time-outs of streams, derived from a route's goals."""

from jujubepass.forwarding import declarations, watched_streams

# A stream is suspicious after a gap of the route's goal for gaps.
_SUSPICIOUS_GAPS = 1.0
_MIN_SUSPICIOUS_SECONDS = 0.15
# The first event is due at the goal; half of it leaves time for another pipeline.
_SUSPICIOUS_GOALS = 0.5
# Engines are probed then: over twice a usual first event (p50 58 ms, p99 90 ms).
_OVERDUE_GOALS = 0.25
# Callers abort a stream after the longest of these; the answer has to move before.
_CALLER_STALL_SECONDS = 2.0
_CALLER_STALL_GOALS = 4.0
_CALLER_STALL_GAPS = 8.0
_USED_STALL_SHARE = 0.9


def compute_caller_timeout(route: declarations.Route) -> float:
    """Return the stall after which callers abort a stream, in seconds."""
    return max(
        _CALLER_STALL_SECONDS,
        _CALLER_STALL_GOALS * route.goal_seconds,
        _CALLER_STALL_GAPS * route.gap_seconds,
    )


def make_stall_timeouts(route: declarations.Route) -> watched_streams.StallTimeouts:
    """Return the stall time-outs of a route's streams."""
    timeout = _USED_STALL_SHARE * compute_caller_timeout(route)
    suspicious = max(_MIN_SUSPICIOUS_SECONDS, _SUSPICIOUS_GAPS * route.gap_seconds)
    return watched_streams.StallTimeouts(
        first_overdue_seconds=min(_OVERDUE_GOALS * route.goal_seconds, timeout),
        first_suspicious_seconds=min(_SUSPICIOUS_GOALS * route.goal_seconds, timeout),
        first_timeout_seconds=timeout,
        gap_suspicious_seconds=min(suspicious, timeout),
        gap_timeout_seconds=timeout,
    )
