"""Metrics of the shared view."""

import collections.abc

from jujubepass.capacity import controller, datagrams
from jujubepass.forwarding import clocks
from jujubepass.telemetry import _metric_registry


def add_capacity(
    registry: _metric_registry.Registry,
    capacity: controller.CapacityController,
    link: datagrams.DatagramLink,
) -> None:
    """Add what this node shares and knows; engines appear only as sums."""
    for name, description, count in _list_counters(capacity, link):
        registry.add_counter(name, description, count)
    registry.add_labelled_counter(
        "capacity_datagrams",
        "Datagrams of the shared view sent.",
        "kind",
        lambda: dict(capacity.outbox.sent),
    )
    registry.add_labelled_counter(
        "capacity_drops",
        "Datagrams of the shared view dropped.",
        "reason",
        lambda: dict(capacity.inbox.drops),
    )
    for name, description, read in _list_gauges(capacity):
        registry.add_gauge(name, description, read)
    registry.add_labelled_gauge(
        "capacity_use",
        "Uses of this failure domain's engines by requests of all nodes.",
        "phase",
        lambda: _sum_use(capacity),
    )


def _list_counters(
    capacity: controller.CapacityController, link: datagrams.DatagramLink
) -> list[tuple[str, str, _metric_registry.ReadValue]]:
    return [
        (
            "capacity_reports",
            "Reports of nodes that this one collected.",
            lambda: capacity.collector.reports_read,
        ),
        (
            "capacity_views",
            "Views of collectors received.",
            lambda: capacity.view.views_read,
        ),
        (
            "capacity_sent_bytes",
            "Bytes of datagrams of the shared view sent.",
            lambda: capacity.outbox.sent_bytes,
        ),
        (
            "capacity_unknown_engines",
            "Counts of engines that are not listed, or of another run.",
            lambda: capacity.index.unknown_engines,
        ),
        (
            "capacity_invalid_counts",
            "Counts that cannot be right.",
            capacity.count_invalid,
        ),
        (
            "capacity_rejections",
            "Rejections by engines for lack of room.",
            lambda: capacity.recorder.rejections,
        ),
        (
            "capacity_socket_failures",
            "Datagrams of the shared view that the socket did not carry.",
            lambda: link.send_failures + link.receive_failures,
        ),
    ]


def _list_gauges(
    capacity: controller.CapacityController,
) -> list[tuple[str, str, _metric_registry.ReadValue]]:
    return [
        (
            "capacity_in_use",
            "1 if the node shares what it runs.",
            lambda: capacity.is_in_use,
        ),
        (
            "capacity_covered_nodes",
            "Nodes of the failure domain that the view in use covers.",
            lambda: capacity.view.count_covered(clocks.read_boot_clock()),
        ),
        (
            "capacity_view_age_seconds",
            "Age of the view in use; infinite without one.",
            lambda: _find_age(capacity),
        ),
    ]


def _find_age(capacity: controller.CapacityController) -> float:
    age = capacity.view.find_age(clocks.read_boot_clock())
    return float("inf") if age is None else age


def _sum_use(
    capacity: controller.CapacityController,
) -> collections.abc.Mapping[str, float]:
    found = capacity.view.sum_use(clocks.read_boot_clock())
    return {} if found is None else {"running": found[0], "prefilling": found[1]}
