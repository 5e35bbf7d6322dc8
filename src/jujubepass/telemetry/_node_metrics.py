"""Metrics of a node's shell, connections, limits and state."""

import trio

from jujubepass.nodes import _blackboard, _shell
from jujubepass.telemetry import _metrics
from jujubepass.transport import _http_server, _peers


def add_shell_metrics(metrics: _metrics.Metrics, shell: _shell.Shell) -> None:
    """Expose the executed commands by type, and the faults."""
    metrics.add_labelled_counter(
        "commands", "Commands executed, by type.", "command", shell.count_executed
    )
    metrics.add_counter(
        "faults",
        "Events and commands that failed inside the node; each is logged.",
        lambda: shell.faults,
    )


def add_peer_metrics(
    metrics: _metrics.Metrics,
    sender: _peers.PeerSender,
    listener: _peers.PeerListener,
) -> None:
    """Expose the traffic with other nodes."""
    metrics.add_counter(
        "peer_sent_bytes", "Bytes sent to other nodes.", lambda: sender.sent_bytes
    )
    metrics.add_counter(
        "peer_received_bytes",
        "Bytes received from other nodes.",
        lambda: listener.received_bytes,
    )
    metrics.add_counter(
        "peer_dropped_messages",
        "Messages to other nodes that were dropped.",
        lambda: sender.dropped_messages,
    )
    metrics.add_counter(
        "peer_rejected_messages",
        "Messages of other nodes that could not be read or handled.",
        lambda: listener.rejected_messages,
    )


def add_limit_metrics(
    metrics: _metrics.Metrics,
    blackboard: _blackboard.Blackboard,
    callers: _http_server.Server,
) -> None:
    """Expose the request queue, the shares and the connections of callers."""
    limits, shares = blackboard.limits, blackboard.shares
    metrics.add_gauge(
        "queued_requests", "Model requests that wait.", lambda: limits.queued
    )
    metrics.add_gauge(
        "queued_cost", "Tokens of requests that wait.", lambda: limits.queued_cost
    )
    metrics.add_gauge(
        "share_grants",
        "Accounts whose share other nodes set.",
        lambda: len(shares.grants),
    )
    metrics.add_gauge(
        "share_divisor", "Nodes that divide each limit.", lambda: shares.divisor
    )
    metrics.add_gauge(
        "caller_connections",
        "Connections of callers that are open.",
        lambda: callers.connections,
    )
    metrics.add_counter(
        "refused_connections",
        "Connections of callers refused over the bound.",
        lambda: callers.refused_connections,
    )


def add_state_metrics(
    metrics: _metrics.Metrics, blackboard: _blackboard.Blackboard
) -> None:
    """Expose pauses, membership, leaving backend servers, leases and orders."""
    node, membership = blackboard.node, blackboard.membership
    configuration = blackboard.configuration
    metrics.add_counter(
        "configuration_digest_mismatches",
        "Changes not installed as their digest did not come out.",
        lambda: configuration.digest_mismatches,
    )
    metrics.add_counter("pauses", "Pauses of this process.", lambda: node.pauses)
    metrics.add_counter(
        "paused_seconds", "Time paused, in seconds.", lambda: node.paused_seconds
    )
    metrics.add_gauge("live_nodes", "Nodes not held dead.", membership.count_live_nodes)
    metrics.add_counter(
        "refutations",
        "Times this node denied that it is dead.",
        lambda: membership.refutations,
    )
    metrics.add_counter(
        "old_heartbeats",
        "Heartbeats ignored for an old incarnation.",
        lambda: membership.ignored_heartbeats,
    )
    metrics.add_gauge(
        "vm_list_age_seconds",
        "Age of the list of VMs in use.",
        lambda: trio.current_time() - blackboard.backends.listed_at,
    )
    metrics.add_gauge(
        "leaving_backends",
        "Backend servers that take no new work.",
        lambda: len({name for name, _ in blackboard.departures.records}),
    )
    _add_lease_metrics(metrics, blackboard)


def _add_lease_metrics(
    metrics: _metrics.Metrics, blackboard: _blackboard.Blackboard
) -> None:
    leases, orders = blackboard.leases, blackboard.orders
    for name, description, read in (
        ("leases_taken", "Leases taken.", lambda: leases.acquired),
        ("leases_lost", "Leases lost before release.", lambda: leases.lost),
        ("leases_released", "Leases released.", lambda: leases.released),
        ("orders_sent", "Orders to engines.", lambda: orders.sent),
        ("orders_refused", "Orders with an old number.", lambda: orders.refused),
        ("orders_withheld", "Orders whose lease ran out.", lambda: orders.withheld),
        ("orders_unclear", "Orders without an answer.", lambda: orders.failed),
    ):
        metrics.add_counter(name, description, read)
    metrics.add_gauge("leases_held", "Leases held.", lambda: len(leases.held))
