"""Metrics of what a node's shell and its peer connections do."""

from jujubepass import _metrics, _peers, _shell


def add_shell_metrics(metrics: _metrics.Metrics, shell: _shell.Shell) -> None:
    """Expose the commands executed: store calls, polls, heartbeats and the rest."""
    metrics.add_labelled_counter(
        "commands", "Commands executed, by type.", "command", shell.count_executed
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
