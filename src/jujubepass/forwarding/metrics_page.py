"""Metrics page of a forwarding node."""

import collections.abc
import functools

import attrs

from jujubepass import ids
from jujubepass.capacity import metrics as capacity_metrics
from jujubepass.forwarding import (
    board,
    clocks,
    engine_choice,
    engine_controllers,
    members,
    ordering,
    pace_metrics,
    server_signals,
)
from jujubepass.forwarding import measures as node_measures
from jujubepass.forwarding import permits as node_permits
from jujubepass.intake import ledger as intake_ledger
from jujubepass.limits import _retry_budget
from jujubepass.quarantine import controller, suspects
from jujubepass.relay import assembly
from jujubepass.shortage import metrics as shortage_metrics
from jujubepass.telemetry import _metric_registry
from jujubepass.transport import _http_client

# Aliases, because arguments have the same names as the modules.
_Ledger = intake_ledger.Ledger
_Permits = node_permits.Permits


@attrs.frozen(kw_only=True)
class MetricsPage:
    """Describe the metrics page and its content type."""

    content_type: str
    data: bytes


def expose(
    *,
    version: str,
    measures: node_measures.Measures,
    blackboard: board.Blackboard,
    client: _http_client.Client,
    engines: engine_controllers.EngineControllers,
    budgets: collections.abc.Mapping[ids.ServiceId, _retry_budget.RetryBudget],
    relay: assembly.Relay,
    ledger: _Ledger,
    count_eras: collections.abc.Callable[[], collections.abc.Mapping[str, int]],
    count_unreadable: collections.abc.Callable[[], collections.abc.Mapping[str, int]],
) -> MetricsPage:
    """Return all metrics in the Prometheus text format."""
    registry = _metric_registry.Registry(
        version=version,
        distributions=(
            measures.request_times,
            measures.first_events,
            engines.claims.shortage.measures.waits,
        ),
    )
    _add_requests(registry, measures)
    _add_calls(registry, client, engines.orders, engines.choice)
    _add_spreading(registry, engines.choice)
    _add_signals(registry, engines.signals)
    _add_permits(registry, engines.permits)
    _add_suspects(registry, engines.quarantine)
    capacity_metrics.add_capacity(registry, engines.capacity, engines.datagram_link)
    shortage_metrics.add_shortage(registry, engines.claims.shortage)
    _add_relay(registry, relay)
    _add_store(registry, count_unreadable, count_eras)
    _add_budgets(registry, budgets)
    _add_members(registry, blackboard)
    _add_configuration(registry, blackboard)
    _add_intake(registry, ledger)
    return MetricsPage(
        content_type=_metric_registry.CONTENT_TYPE, data=registry.expose()
    )


def _add_requests(
    registry: _metric_registry.Registry, measures: node_measures.Measures
) -> None:
    for name, description, label, values in (
        ("requests", "Requests that ended.", "outcome", measures.outcomes),
        ("refusals", "Requests refused or cut.", "reason", measures.refusals),
        ("retries", "Attempts after the first.", "reason", measures.retries),
    ):
        registry.add_labelled_counter(
            name, description, label, functools.partial(dict, values)
        )


def _add_calls(
    registry: _metric_registry.Registry,
    client: _http_client.Client,
    orders: ordering.OrderSender,
    choice: engine_choice.EngineChoice,
) -> None:
    registry.add_counter(
        "connections_opened",
        "Connections opened to backend servers and the store.",
        lambda: client.opened_connections,
    )
    registry.add_counter("orders", "Orders to engines.", lambda: orders.orders_sent)
    registry.add_labelled_counter(
        "pipeline_attempts",
        "Attempts of model requests by the first engine.",
        "backend",
        lambda: {str(name): count for name, count in choice.attempts.items()},
    )


def _add_spreading(
    registry: _metric_registry.Registry, choice: engine_choice.EngineChoice
) -> None:
    registry.add_labelled_gauge(
        "free_places",
        "Requests that first engines take beside those that run, as known here.",
        "domain",
        lambda: choice.count_free_places(clocks.read_boot_clock()),
    )
    registry.add_labelled_counter(
        "spilled_requests",
        "Requests sent to another failure domain for lack of places in this one.",
        "domain",
        lambda: {
            str(name): count
            for name, count in (
                choice.shared.spill.spilled if choice.shared else {}
            ).items()
        },
    )


def _add_store(
    registry: _metric_registry.Registry,
    count_unreadable: collections.abc.Callable[[], collections.abc.Mapping[str, int]],
    count_eras: collections.abc.Callable[[], collections.abc.Mapping[str, int]],
) -> None:
    registry.add_labelled_counter(
        "unreadable_rows",
        "Rows of the store that could not be decoded.",
        "feed",
        count_unreadable,
    )
    registry.add_labelled_counter(
        "store_eras",
        "Returns of the store from an older copy, and answers without a valid era.",
        "event",
        count_eras,
    )


def _add_signals(
    registry: _metric_registry.Registry, signals: server_signals.ServerSignals
) -> None:
    registry.add_counter(
        "backends_leaving",
        "Backend servers that said in an answer that they leave.",
        lambda: signals.backend_list.leaving_announced,
    )
    registry.add_counter(
        "backend_silences",
        "Refusals with a time in which the server wants no requests.",
        lambda: signals.silences.recorded,
    )
    registry.add_counter(
        "invalid_request_limits",
        "Answers with a request limit that could not be used.",
        lambda: signals.limits.invalid,
    )
    registry.add_labelled_counter(
        "limited_attempts",
        "Attempts sent to a backend server while it named a request limit.",
        "backend",
        lambda: {str(name): n for name, n in signals.limits.attempts.items()},
    )
    if signals.pacing is not None:
        pace_metrics.add_paces(registry, signals.pacing)
    registry.add_labelled_gauge(
        "request_limits",
        "Requests a second that a backend server takes from all nodes together.",
        "backend",
        lambda: {str(name): n for name, n in signals.limits.list_limits().items()},
    )


def _add_permits(registry: _metric_registry.Registry, permits: _Permits) -> None:
    for name, description, counts in (
        (
            "permits",
            "Permits that this node got for requests to a limited server.",
            permits.granted,
        ),
        (
            "permits_denied",
            "Requests that got no permit of a limited server in time.",
            permits.denied,
        ),
        (
            "permits_given",
            "Permits that this node gave out as a home of a limited server.",
            permits.home.granted,
        ),
    ):
        registry.add_labelled_counter(
            name, description, "backend", functools.partial(_name_counts, counts)
        )
    registry.add_counter(
        "permit_queries", "Queries to homes for permits.", lambda: permits.asked
    )
    registry.add_counter(
        "permit_leases",
        "Times that this node began to give out a server's whole limit.",
        lambda: permits.home.leases.changes,
    )
    registry.add_counter(
        "permit_failures",
        "Queries for permits without a valid reply.",
        lambda: permits.failures,
    )


def _name_counts(
    counts: collections.abc.Mapping[ids.BackendServerId, int],
) -> dict[str, float]:
    return {str(name): count for name, count in counts.items()}


def _add_suspects(
    registry: _metric_registry.Registry, quarantine: controller.Quarantine
) -> None:
    area = quarantine.blackboard.quarantine
    for name, kind in (
        ("prompt_parts", suspects.PartKey),
        ("requests", suspects.RequestKey),
    ):
        for state, description, keys in (
            ("suspected", "Suspected.", area.records.keys()),
            ("quarantined", "In quarantine.", area.quarantined.keys()),
        ):
            registry.add_gauge(
                f"{name}_{state}",
                description,
                functools.partial(_count_keys, keys, kind),
            )
    for name, description, count in (
        (
            "prompt_part_suspicions",
            "Ends of servers held against parts and requests by this node.",
            lambda: quarantine.suspicions,
        ),
        (
            "prompt_part_trials",
            "Requests let through to try a part or request in quarantine.",
            lambda: quarantine.trials,
        ),
        (
            "prompt_part_removals",
            "Rows of suspects removed after a sound run or a long time.",
            lambda: quarantine.removals,
        ),
    ):
        registry.add_counter(name, description, count)


def _count_keys(
    keys: collections.abc.Iterable[suspects.Key],
    kind: type[suspects.PartKey] | type[suspects.RequestKey],
) -> int:
    return sum(isinstance(key, kind) for key in keys)


def _add_relay(registry: _metric_registry.Registry, relay: assembly.Relay) -> None:
    for name, description, label, read in (
        ("store_reads", "Reads of the store's feeds.", "feed", relay.count_reads),
        (
            "store_reads_by_reason",
            "Reads of the store's feeds by their reason.",
            "reason",
            relay.count_reasons,
        ),
    ):
        registry.add_labelled_counter(name, description, label, read)
    link, server, controller = relay.link, relay.server, relay.controller
    for name, description, count in (
        ("relay_queries", "Queries to other nodes for rows.", lambda: link.queries),
        ("relay_failures", "Queries without a valid answer.", lambda: link.failures),
        ("relay_answers", "Queries of other nodes answered.", lambda: server.answered),
        ("relay_rejections", "Queries rejected.", lambda: server.rejected),
        ("relay_sources", "Changes of the source.", lambda: controller.changes),
    ):
        registry.add_counter(name, description, count)
    registry.add_gauge(
        "relay_reader", "1 if the node reads the store.", lambda: relay.reads_store()
    )
    registry.add_gauge(
        "backends_age_seconds",
        "Time since the list was surely the newest.",
        lambda: relay.find_age("backends"),
    )


def _add_budgets(
    registry: _metric_registry.Registry,
    budgets: collections.abc.Mapping[ids.ServiceId, _retry_budget.RetryBudget],
) -> None:
    registry.add_labelled_counter(
        "retries_spent",
        "Retries that the budget of a service allowed.",
        "service",
        lambda: {name: each.spent for name, each in budgets.items()},
    )
    registry.add_labelled_counter(
        "retries_denied",
        "Retries that the budget of a service denied.",
        "service",
        lambda: {name: each.denied for name, each in budgets.items()},
    )


def _add_members(
    registry: _metric_registry.Registry, blackboard: board.Blackboard
) -> None:
    registry.add_gauge(
        "nodes", "Nodes known by their rows.", lambda: len(blackboard.members.nodes)
    )
    registry.add_gauge(
        "retry_slack_share",
        "This node's share of the retry slack.",
        lambda: members.find_share(blackboard, clocks.read_boot_clock()),
    )


def _add_configuration(
    registry: _metric_registry.Registry, blackboard: board.Blackboard
) -> None:
    area = blackboard.configuration
    registry.add_gauge(
        "configuration_version",
        "Version of the configuration in force.",
        lambda: area.declarations.version if area.declarations else 0,
    )
    registry.add_gauge(
        "configuration_age_seconds",
        "Time since it was surely the newest.",
        lambda: clocks.read_boot_clock() - area.confirmed_at,
    )
    registry.add_gauge(
        "backend_servers", "Listed.", lambda: len(blackboard.backends.listed)
    )


def _add_intake(registry: _metric_registry.Registry, ledger: _Ledger) -> None:
    for name, description, read in (
        (
            "clients_held_bytes",
            "Memory that clients make this node hold.",
            lambda: ledger.held_bytes,
        ),
        (
            "clients_held_peak_bytes",
            "Most memory that clients have made it hold.",
            lambda: ledger.peak_bytes,
        ),
        (
            "clients_bound_bytes",
            "Bound of that memory.",
            lambda: ledger.bound_bytes,
        ),
        ("connections", "Open connections.", lambda: ledger.connections),
    ):
        registry.add_gauge(name, description, read)
    registry.add_labelled_counter(
        "connections_shed",
        "Connections shed, or requests refused, for lack of memory or places.",
        "reason",
        lambda: dict(ledger.shed),
    )
