"""Assembly of one node: blackboard, controllers, shell and listeners."""

import collections.abc
import functools
import logging
import random
import time
import typing
import uuid

import trio

from jujubepass import (
    __version__,
    _answer_messages,
    _backend_messages,
    _backends,
    _blackboard,
    _call_control,
    _call_journal,
    _call_messages,
    _callers,
    _configuration,
    _configuration_codec,
    _configuration_installer,
    _configuration_messages,
    _configuration_peers,
    _configuration_proposals,
    _configuration_snapshots,
    _departures,
    _dispatch,
    _engine_client,
    _http_client,
    _http_server,
    _limit_messages,
    _limits,
    _mailboxes,
    _membership,
    _membership_messages,
    _metrics,
    _node_answers,
    _node_life,
    _node_messages,
    _node_metrics,
    _object_client,
    _object_messages,
    _operators,
    _order_client,
    _order_control,
    _order_messages,
    _peer_codec,
    _peers,
    _service_client,
    _share_codec,
    _share_messages,
    _shares,
    _shell,
    _shutdown,
    _store_messages,
    _table_client,
    _vm_client,
    ids,
    settings,
)

_LOGGER = logging.getLogger(__name__)

_EXIT_DONE = 0
_WALL_CLOCK_SECONDS = 1.0
_OPERATOR_LIMITS = _http_server.ServerLimits(body_bytes=16 * 1_048_576)


async def run(node_settings: settings.Settings) -> int:
    """Run a node until it is told to stop; return the exit code."""
    blackboard = _make_blackboard(node_settings)
    metrics = _metrics.Metrics(version=__version__)
    _node_metrics.add_life_metrics(metrics, blackboard)
    recorder = _node_answers.make_recorder(node_settings, blackboard)
    dispatcher = _dispatch.Dispatcher(
        controllers=_make_controllers(node_settings, blackboard, metrics),
        recorder=recorder,
        pause_seconds=node_settings.timing.pause_seconds,
    )
    mailboxes = _mailboxes.Mailboxes()
    verdicts = _operators.Verdicts()
    async with trio.open_nursery() as nursery:
        shell = _shell.Shell(dispatcher=dispatcher, nursery=nursery)
        await _connect(shell, node_settings, mailboxes, verdicts, metrics)
        operator_api = _operators.OperatorApi(
            blackboard=blackboard,
            metrics=metrics,
            post=shell.post,
            verdicts=verdicts,
            key_hash=node_settings.security.operator_key_hash,
            recorder=recorder,
        )
        await _serve_operators(operator_api, node_settings.listen.operators, nursery)
        caller_api = _callers.CallerApi(
            blackboard=blackboard,
            mailboxes=mailboxes,
            metrics=metrics,
            post=shell.post,
            new_request_id=_new_request_id,
        )
        limits = _make_limits(node_settings.listen)
        callers = _http_server.Server(handler=caller_api, limits=limits)
        _node_metrics.add_limit_metrics(metrics, blackboard, callers)
        _start_clocks(shell, node_settings, metrics, nursery)
        await _shutdown.serve_callers(shell, callers, node_settings)
        nursery.cancel_scope.cancel()
    _LOGGER.info("node %s has stopped", blackboard.identity.node)
    return _EXIT_DONE


async def _connect(
    shell: _shell.Shell,
    node_settings: settings.Settings,
    mailboxes: _mailboxes.Mailboxes,
    verdicts: _operators.Verdicts,
    metrics: _metrics.Metrics,
) -> None:
    """Say who executes each type of command."""
    _connect_platform(shell, node_settings)
    _connect_backends(shell, mailboxes)
    _connect_requests(shell, mailboxes, verdicts)
    await _connect_peers(shell, node_settings, shell.nursery, metrics)


async def _serve_operators(
    api: _operators.OperatorApi, address: _http_client.Address, nursery: trio.Nursery
) -> None:
    server = _http_server.Server(handler=api, limits=_OPERATOR_LIMITS)
    await nursery.start(server.serve, address.host, address.port)


def _start_clocks(
    shell: _shell.Shell,
    node_settings: settings.Settings,
    metrics: _metrics.Metrics,
    nursery: trio.Nursery,
) -> None:
    nursery.start_soon(_read_wall_clock, shell)
    nursery.start_soon(_tick, shell, node_settings.timing.tick_seconds, metrics)


async def _read_wall_clock(shell: _shell.Shell) -> None:
    while True:
        shell.post_or_log(_call_messages.WallClockRead(seconds=time.time()))
        await trio.sleep(_WALL_CLOCK_SECONDS)


async def _tick(
    shell: _shell.Shell, tick_seconds: float, metrics: _metrics.Metrics
) -> None:
    event = _node_messages.Tick()
    while True:
        shell.post_or_log(event)
        due = trio.current_time() + tick_seconds
        await trio.sleep_until(due)
        metrics.tick_delay.observe(trio.current_time() - due)


def _new_request_id() -> ids.RequestId:
    return ids.RequestId(uuid.uuid4().hex)


def _make_incarnation() -> str:
    """Name this process; a later start of the same node sorts after it."""
    milliseconds = time.time_ns() // 1_000_000
    return f"{milliseconds:012x}{uuid.uuid4().hex[:8]}"


def _make_blackboard(node_settings: settings.Settings) -> _blackboard.Blackboard:
    node = node_settings.node
    identity = _blackboard.Identity(
        node=node.name,
        incarnation=_make_incarnation(),
        region=node.region,
        failure_domain=node.failure_domain,
        address=node_settings.listen.peers,
    )
    return _blackboard.Blackboard(identity=identity)


def _make_controllers(
    node_settings: settings.Settings,
    blackboard: _blackboard.Blackboard,
    metrics: _metrics.Metrics,
) -> list[_dispatch.Controller]:
    """Make the controllers in the order in which they see an event."""
    timing = node_settings.timing
    return [
        _node_life.NodeController(
            blackboard=blackboard, settling_seconds=timing.heartbeat_seconds
        ),
        *_make_configuration(node_settings, blackboard),
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
        _limits.LimitController(blackboard=blackboard),
        _node_answers.make_answers(node_settings, blackboard, metrics),
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


def _make_configuration(
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


def _make_limits(listen: settings.Listen) -> _http_server.ServerLimits:
    return _http_server.ServerLimits(
        header_bytes=listen.header_bytes,
        body_bytes=listen.body_bytes,
        connections=listen.connections,
        receive_timeout_seconds=listen.receive_timeout_seconds,
    )


def _connect_platform(shell: _shell.Shell, node_settings: settings.Settings) -> None:
    client = _http_client.Client()
    platform = node_settings.platform
    table = _table_client.HttpTable(
        client=client,
        address=platform.table,
        timeout_seconds=platform.table_timeout_seconds,
    )
    vms = _vm_client.VmClient(client=client, address=platform.vms, post=shell.post)

    objects = _object_client.HttpObjects(client=client, address=platform.objects)

    transact = _post_outcome(shell, table.transact)
    shell.spawn_with(_store_messages.Transact, transact)
    shell.spawn_with(_store_messages.ReadRows, _post_outcome(shell, table.read))
    shell.spawn_with(_store_messages.ScanRows, _post_outcome(shell, table.scan))
    shell.spawn_with(_object_messages.PutObject, _post_outcome(shell, objects.put))
    shell.spawn_with(_object_messages.GetObject, _post_outcome(shell, objects.get))
    delete = _post_outcome(shell, objects.delete)
    shell.spawn_with(_object_messages.DeleteObject, delete)
    shell.spawn_with(_backend_messages.PollVms, vms.poll)


def _post_outcome(
    shell: _shell.Shell, carry_out: collections.abc.Callable[..., typing.Any]
) -> _shell.ExecuteAsync:
    async def _execute(command: typing.Any) -> None:
        shell.post(await carry_out(command))

    return _execute


def _connect_backends(shell: _shell.Shell, mailboxes: _mailboxes.Mailboxes) -> None:
    client = _http_client.Client()
    engines = _engine_client.EngineClient(client=client, post=shell.post)
    services = _service_client.ServiceClient(client=client, post=shell.post)

    async def _run_attempt(command: _answer_messages.StartAttempt) -> None:
        names = [stage.engine for stage in command.stages]
        mailboxes.note_backends(command.request, names)
        await engines.run_attempt(command)

    shell.spawn_with(_answer_messages.StartAttempt, _run_attempt)
    shell.spawn_with(_answer_messages.CancelAttempt, engines.cancel_attempt)
    shell.spawn_with(_answer_messages.ReleaseCache, engines.release_cache)
    shell.spawn_with(_answer_messages.ProbeEngine, engines.probe_engine)
    shell.spawn_with(_backend_messages.PollLoad, engines.poll_load)
    shell.spawn_with(_backend_messages.PollCache, engines.poll_cache)
    orders = _order_client.OrderClient(client=client, post=shell.post)
    shell.spawn_with(_order_messages.ReadEngineState, orders.read_state)
    shell.spawn_with(_order_messages.SendOrder, orders.send_order)
    shell.spawn_with(_call_messages.SendCall, services.send_call)
    shell.spawn_with(_call_messages.SendLookup, services.send_lookup)
    shell.spawn_with(_call_messages.CancelLookup, services.cancel_lookup)
    shell.spawn_with(_call_messages.AskOutcome, services.ask_outcome)


def _connect_requests(
    shell: _shell.Shell,
    mailboxes: _mailboxes.Mailboxes,
    verdicts: _operators.Verdicts,
) -> None:
    shell.execute_with(_answer_messages.DeliverTokens, mailboxes.put)
    shell.execute_with(_answer_messages.FinishAnswer, mailboxes.put)
    shell.execute_with(_answer_messages.Refuse, mailboxes.put)
    shell.execute_with(_call_messages.AnswerCall, mailboxes.put)
    shell.execute_with(
        _limit_messages.StartQueued, lambda command: shell.post(command.event)
    )
    shell.execute_with(_configuration_messages.ChangeAccepted, verdicts.put)
    shell.execute_with(_configuration_messages.ChangeRefused, verdicts.put)
    shell.execute_with(_configuration_messages.ChangeCommitted, shell.post)
    shell.execute_with(_configuration_messages.ConfigurationInstalled, shell.post)


async def _connect_peers(
    shell: _shell.Shell,
    node_settings: settings.Settings,
    nursery: trio.Nursery,
    metrics: _metrics.Metrics,
) -> None:
    key = node_settings.security.peer_key.encode()
    sender = _peers.PeerSender(node=node_settings.node.name, key=key, nursery=nursery)

    def _send_heartbeat(command: _membership_messages.SendHeartbeat) -> None:
        sender.send(command.address, _peer_codec.encode_command(command))

    def _send_demands(command: _share_messages.SendDemands) -> None:
        message = _share_codec.build_demands(command)
        sender.send(command.address, _peer_codec.encode_struct(message))

    def _send_grants(command: _share_messages.SendGrants) -> None:
        message = _share_codec.build_grants(command)
        sender.send(command.address, _peer_codec.encode_struct(message))

    def _receive(data: bytes) -> None:
        shell.post(_peer_codec.decode_event(data))

    def _forget(command: _membership_messages.ForgetPeer) -> None:
        sender.forget(command.address)

    _connect_configuration(shell, node_settings, sender)
    shell.execute_with(_membership_messages.SendHeartbeat, _send_heartbeat)
    shell.execute_with(_membership_messages.ForgetPeer, _forget)
    shell.execute_with(_share_messages.SendDemands, _send_demands)
    shell.execute_with(_share_messages.SendGrants, _send_grants)
    listener = _peers.PeerListener(key=key, handler=_receive)
    _node_metrics.add_shell_metrics(metrics, shell)
    _node_metrics.add_peer_metrics(metrics, sender, listener)
    listen = node_settings.listen.peers
    await nursery.start(functools.partial(listener.serve, listen.host, listen.port))


def _connect_configuration(
    shell: _shell.Shell, node_settings: settings.Settings, sender: _peers.PeerSender
) -> None:
    name, address = node_settings.node.name, node_settings.listen.peers

    def _send(command: _configuration_messages.PeerCommand) -> None:
        message = _configuration_codec.make_message(command, name, address)
        sender.send(command.address, _peer_codec.encode_struct(message))

    for command_type in typing.get_args(_configuration_messages.PeerCommand):
        shell.execute_with(command_type, _send)
