"""Creation of the controllers and the blackboard of one node."""

import random
import time
import uuid

from jujubepass import settings
from jujubepass.backends import _backends, _departures
from jujubepass.calls import _call_control, _call_journal
from jujubepass.configuration import (
    _configuration,
    _configuration_installer,
    _configuration_peers,
    _configuration_proposals,
    _configuration_snapshots,
)
from jujubepass.limits import _limit_control, _shares
from jujubepass.membership import _membership
from jujubepass.nodes import _blackboard, _dispatch, _node_answers, _node_state
from jujubepass.orders import _order_control
from jujubepass.telemetry import _metrics


def _make_incarnation() -> str:
    """Return an id of this process that sorts after those of earlier starts."""
    milliseconds = time.time_ns() // 1_000_000
    return f"{milliseconds:012x}{uuid.uuid4().hex[:8]}"


def make_blackboard(node_settings: settings.Settings) -> _blackboard.Blackboard:
    """Make the blackboard of a starting node."""
    node = node_settings.node
    identity = _blackboard.Identity(
        node=node.name,
        incarnation=_make_incarnation(),
        region=node.region,
        failure_domain=node.failure_domain,
        address=node_settings.listen.peers,
    )
    return _blackboard.Blackboard(identity=identity)


def make_controllers(
    node_settings: settings.Settings,
    blackboard: _blackboard.Blackboard,
    metrics: _metrics.Metrics,
) -> list[_dispatch.Controller]:
    """Make the controllers in the order in which they handle an event."""
    timing = node_settings.timing
    return [
        _node_state.NodeController(
            blackboard=blackboard, resume_delay_seconds=timing.heartbeat_seconds
        ),
        *_make_configuration_controllers(node_settings, blackboard),
        _membership.MembershipController(
            blackboard=blackboard,
            timing=_membership.MembershipTiming(
                heartbeat_seconds=timing.heartbeat_seconds,
                suspect_seconds=timing.suspect_seconds,
                dead_seconds=timing.dead_seconds,
            ),
        ),
        _backends.BackendController(
            blackboard=blackboard,
            timing=_backends.BackendTiming(
                load_poll_seconds=timing.load_poll_seconds,
                vm_poll_seconds=timing.vm_poll_seconds,
            ),
        ),
        _departures.DepartureController(blackboard=blackboard),
        *_order_control.make_controllers(blackboard=blackboard, timing=timing),
        _shares.ShareController(blackboard=blackboard),
        _limit_control.make_controller(node_settings, blackboard),
        _node_answers.make_answer_controller(node_settings, blackboard, metrics),
        *_make_call_controllers(node_settings, blackboard, metrics),
    ]


def _make_call_controllers(
    node_settings: settings.Settings,
    blackboard: _blackboard.Blackboard,
    metrics: _metrics.Metrics,
) -> list[_dispatch.Controller]:
    timing = node_settings.timing
    return _call_control.make_controllers(
        blackboard=blackboard,
        counters=metrics,
        timing=_call_journal.CallTiming(
            send_window_seconds=timing.lease_seconds - timing.lease_margin_seconds,
            take_over_margin_seconds=timing.lease_margin_seconds,
            keep_seconds=node_settings.calls.keep_seconds,
        ),
        random=random.Random(node_settings.seeds.random or None),
        largest_group=node_settings.calls.largest_group,
    )


def _make_configuration_controllers(
    node_settings: settings.Settings, blackboard: _blackboard.Blackboard
) -> list[_dispatch.Controller]:
    timing = node_settings.timing
    installer = _configuration_installer.Installer(area=blackboard.configuration)
    return [
        _configuration.ConfigurationController(
            blackboard=blackboard,
            installer=installer,
            poll_seconds=timing.configuration_poll_seconds,
        ),
        _configuration_proposals.ProposalController(
            blackboard=blackboard, installer=installer
        ),
        _configuration_snapshots.SnapshotController(
            blackboard=blackboard,
            changes_per_snapshot=timing.configuration_snapshot_changes,
        ),
        _configuration_peers.PeerConfigurationController(
            blackboard=blackboard,
            installer=installer,
            address=node_settings.listen.peers,
        ),
    ]
