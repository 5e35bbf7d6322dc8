"""Metrics of the queue for places."""

from jujubepass.shortage import gate
from jujubepass.telemetry import _metric_registry

# Number of client accounts with a label of their own; there may be thousands.
_MAX_LISTED_ACCOUNTS = 10


def add_shortage(registry: _metric_registry.Registry, shortage: gate.Gate) -> None:
    """Add what the queue has done and holds."""
    registry.add_labelled_gauge(
        "shortage_waiting",
        "Model requests that wait here for a place.",
        "priority",
        shortage.count_waiting,
    )
    registry.add_labelled_counter(
        "shortage_refusals",
        "Model requests refused for want of places.",
        "priority",
        lambda: {str(key): n for key, n in shortage.measures.refusals.items()},
    )
    registry.add_counter(
        "shortage_starts_ahead",
        "Starts ahead of more urgent requests, lest a priority or account starves.",
        lambda: shortage.measures.starts_ahead,
    )
    registry.add_labelled_gauge(
        "shortage_account_share",
        "Shares of starts in 10 s, of the accounts with most and of the others.",
        "account",
        lambda: shortage.queue.fairness.list_shares(_MAX_LISTED_ACCOUNTS),
    )
    registry.add_counter(
        "shortage_invalid_values",
        "Values of the view, places or declarations that the queue did not use.",
        lambda: shortage.measures.invalid,
    )
