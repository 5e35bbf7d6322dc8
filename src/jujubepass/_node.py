"""Assembly of one node: blackboard, controllers, shell and listeners."""

import collections.abc
import functools
import logging
import random
import signal
import time
import typing
import uuid

import trio

from jujubepass import (
    __version__,
    _answer_messages,
    _answers,
    _attempts,
    _backend_messages,
    _backends,
    _blackboard,
    _call_control,
    _call_journal,
    _call_messages,
    _callers,
    _configuration,
    _configuration_messages,
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
    _node_life,
    _node_messages,
    _operators,
    _peer_codec,
    _peers,
    _recovery,
    _routes,
    _service_client,
    _share_codec,
    _share_messages,
    _shares,
    _shell,
    _store_messages,
    _table_client,
    _vm_client,
    ids,
    settings,
    traces,
)

_LOGGER = logging.getLogger(__name__)

_EXIT_DONE = 0
_WALL_CLOCK_SECONDS = 1.0


async def run(node_settings: settings.Settings) -> int:
    """Run a node until it is told to stop; return the exit code."""
    blackboard = _make_blackboard(node_settings)
    metrics = _metrics.Metrics(version=__version__)
    controllers = _make_controllers(node_settings, blackboard, metrics)
    recorder = _make_recorder(node_settings, blackboard)
    dispatcher = _dispatch.Dispatcher(controllers=controllers, recorder=recorder)
    mailboxes = _mailboxes.Mailboxes()
    verdicts = _operators.Verdicts()
    listen = node_settings.listen
    async with trio.open_nursery() as nursery:
        shell = _shell.Shell(dispatcher=dispatcher, nursery=nursery)
        _connect_platform(shell, node_settings)
        _connect_backends(shell, mailboxes)
        _connect_requests(shell, mailboxes, verdicts)
        await _connect_peers(shell, node_settings, nursery)
        operator_api = _operators.OperatorApi(
            blackboard=blackboard,
            metrics=metrics,
            post=shell.post,
            verdicts=verdicts,
            key_hash=node_settings.security.operator_key_hash,
            recorder=recorder,
        )
        operators = _http_server.Server(handler=operator_api)
        caller_api = _callers.CallerApi(
            blackboard=blackboard,
            mailboxes=mailboxes,
            metrics=metrics,
            post=shell.post,
            new_request_id=_new_request_id,
        )
        callers = _http_server.Server(handler=caller_api, limits=_make_limits(listen))
        nursery.start_soon(_read_wall_clock, shell)
        nursery.start_soon(_tick, shell, node_settings.timing.tick_seconds)
        address = listen.operators
        await nursery.start(operators.serve, address.host, address.port)
        await _serve_callers(shell, callers, node_settings)
        nursery.cancel_scope.cancel()
    _LOGGER.info("node %s has stopped", blackboard.identity.node)
    return _EXIT_DONE


async def _serve_callers(
    shell: _shell.Shell,
    callers: _http_server.Server,
    node_settings: settings.Settings,
) -> None:
    address = node_settings.listen.callers
    async with trio.open_nursery() as serving:
        await serving.start(callers.serve, address.host, address.port)
        _LOGGER.info("node %s serves callers at %s", node_settings.node.name, address)
        await _wait_for_signal()
        shell.post(_node_messages.StopRequested())
        bound = trio.current_time() + node_settings.timing.shutdown_seconds
        serving.cancel_scope.deadline = bound
        callers.stop()


async def _wait_for_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


async def _read_wall_clock(shell: _shell.Shell) -> None:
    while True:
        shell.post(_call_messages.WallClockRead(seconds=time.time()))
        await trio.sleep(_WALL_CLOCK_SECONDS)


async def _tick(shell: _shell.Shell, tick_seconds: float) -> None:
    event = _node_messages.Tick()
    while True:
        shell.post(event)
        await trio.sleep(tick_seconds)


def _new_request_id() -> ids.RequestId:
    return ids.RequestId(uuid.uuid4().hex)


def _make_blackboard(node_settings: settings.Settings) -> _blackboard.Blackboard:
    node = node_settings.node
    identity = _blackboard.Identity(
        node=node.name,
        incarnation=uuid.uuid4().hex,
        region=node.region,
        failure_domain=node.failure_domain,
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
        _node_life.NodeController(blackboard=blackboard),
        _configuration.ConfigurationController(
            blackboard=blackboard, poll_seconds=timing.configuration_poll_seconds
        ),
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
        _shares.ShareController(blackboard=blackboard),
        _limits.LimitController(blackboard=blackboard),
        make_answers(node_settings, blackboard, metrics),
        *_call_control.make_controllers(
            blackboard=blackboard, counters=metrics, timing=_make_call_timing(timing)
        ),
    ]


def _make_call_timing(timing: settings.Timing) -> _call_journal.CallTiming:
    return _call_journal.CallTiming(
        send_window_seconds=timing.lease_seconds - timing.lease_margin_seconds,
        take_over_margin_seconds=timing.lease_margin_seconds,
    )


def _make_recorder(
    node_settings: settings.Settings, blackboard: _blackboard.Blackboard
) -> traces.MemoryRecorder | None:
    if node_settings.trace.record is settings.TraceRecord.OFF:
        return None
    timing = node_settings.timing
    start = traces.Start(
        node=blackboard.identity.node,
        seed=_find_seed(blackboard),
        stall_seconds=timing.stall_seconds,
        load_poll_seconds=timing.load_poll_seconds,
        vm_poll_seconds=timing.vm_poll_seconds,
    )
    return traces.MemoryRecorder(
        start=start,
        blackboard=blackboard,
        capacity=node_settings.trace.memory_events,
    )


def _find_seed(blackboard: _blackboard.Blackboard) -> int:
    """Derive the seed of route choices, which a trace names, from the incarnation."""
    return int(blackboard.identity.incarnation, 16) % 2**32


def make_answers(
    node_settings: settings.Settings,
    blackboard: _blackboard.Blackboard,
    metrics: _metrics.Metrics,
) -> _answers.AnswerController:
    """Make the controller of model requests with its policies."""
    recovery = _recovery.ResumePolicy(
        longest_stall_seconds=node_settings.timing.stall_seconds
    )
    source = random.Random(_find_seed(blackboard))
    attempts = _attempts.Attempts(
        blackboard=blackboard,
        routes=_routes.PredictedTimePolicy(random_source=source),
        recovery=recovery,
        counters=metrics,
    )
    return _answers.AnswerController(attempts=attempts)


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

    transact = _post_outcome(shell, table.transact)
    shell.spawn_with(_store_messages.Transact, transact)
    shell.spawn_with(_store_messages.ReadRows, _post_outcome(shell, table.read))
    shell.spawn_with(_store_messages.ScanRows, _post_outcome(shell, table.scan))
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


async def _connect_peers(
    shell: _shell.Shell, node_settings: settings.Settings, nursery: trio.Nursery
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

    shell.execute_with(_membership_messages.SendHeartbeat, _send_heartbeat)
    shell.execute_with(_share_messages.SendDemands, _send_demands)
    shell.execute_with(_share_messages.SendGrants, _send_grants)
    listener = _peers.PeerListener(key=key, handler=_receive)
    listen = node_settings.listen.peers
    await nursery.start(functools.partial(listener.serve, listen.host, listen.port))
