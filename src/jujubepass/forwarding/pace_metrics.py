"""Metrics of servers that have started or recovered."""

from jujubepass.forwarding import pacing
from jujubepass.telemetry import _metric_registry


def add_paces(registry: _metric_registry.Registry, server_paces: pacing.Pacing) -> None:
    """Add the metrics of the slow starts of servers."""
    pace = server_paces.pace
    registry.add_gauge(
        "backends_starting",
        "Backend servers in their slow start.",
        lambda: len(pace.list_starting()),
    )
    registry.add_counter(
        "slow_starts", "Slow starts of backend servers.", lambda: pace.begun
    )
    registry.add_counter(
        "slow_starts_ended",
        "Slow starts that ended as the server had its usual places, or without load.",
        lambda: pace.ended,
    )
    registry.add_labelled_gauge(
        "backend_places",
        "Requests that a server in its slow start may have from this failure domain.",
        "backend",
        server_paces.list_places,
    )
