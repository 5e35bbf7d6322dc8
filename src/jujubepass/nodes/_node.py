"""Assembly of one node: shell, listeners and timers."""

import logging
import time
import uuid

import trio

from jujubepass import __version__, ids, settings
from jujubepass.callers import _callers, _mailboxes
from jujubepass.calls import _call_messages
from jujubepass.nodes import (
    _blackboard,
    _dispatch,
    _node_answers,
    _node_controllers,
    _node_executors,
    _node_messages,
    _shell,
    _shutdown,
)
from jujubepass.operators import _operators
from jujubepass.telemetry import _metrics, _node_metrics
from jujubepass.transport import _http_client, _http_server

_LOGGER = logging.getLogger(__name__)

_EXIT_SUCCESS = 0
_WALL_CLOCK_INTERVAL_SECONDS = 1.0
_OPERATOR_SERVER_LIMITS = _http_server.ServerLimits(body_bytes=16 * 1_048_576)


async def run(node_settings: settings.Settings) -> int:
    """Run a node until a signal stops it; return the exit code."""
    blackboard = _node_controllers.make_blackboard(node_settings)
    metrics = _metrics.Metrics(version=__version__)
    _node_metrics.add_state_metrics(metrics, blackboard)
    recorder = _node_answers.make_recorder(node_settings, blackboard)
    dispatcher = _make_dispatcher(node_settings, blackboard, metrics, recorder)
    mailboxes = _mailboxes.Mailboxes()
    change_outcomes = _operators.ChangeOutcomes()
    async with trio.open_nursery() as nursery:
        shell = _shell.Shell(dispatcher=dispatcher, nursery=nursery)
        await _node_executors.register_executors(
            shell, node_settings, mailboxes, change_outcomes, metrics
        )
        operator_api = _operators.OperatorApi(
            blackboard=blackboard,
            metrics=metrics,
            post=shell.post,
            change_outcomes=change_outcomes,
            key_hash=node_settings.security.operator_key_hash,
            recorder=recorder,
        )
        await _serve_operators(operator_api, node_settings.listen.operators, nursery)
        caller_api = _callers.CallerApi(
            blackboard=blackboard,
            mailboxes=mailboxes,
            metrics=metrics,
            post=shell.post,
            make_request_id=_make_request_id,
        )
        limits = _make_server_limits(node_settings.listen)
        callers = _http_server.Server(handler=caller_api, limits=limits)
        _node_metrics.add_limit_metrics(metrics, blackboard, callers)
        _start_timers(shell, node_settings, metrics, nursery)
        await _shutdown.serve_callers(shell, callers, node_settings)
        nursery.cancel_scope.cancel()
    _LOGGER.info("node %s has stopped", blackboard.identity.node)
    return _EXIT_SUCCESS


def _make_dispatcher(
    node_settings: settings.Settings,
    blackboard: _blackboard.Blackboard,
    metrics: _metrics.Metrics,
    recorder: _dispatch.Recorder | None,
) -> _dispatch.Dispatcher:
    return _dispatch.Dispatcher(
        controllers=_node_controllers.make_controllers(
            node_settings, blackboard, metrics
        ),
        recorder=recorder,
        pause_seconds=node_settings.timing.pause_seconds,
    )


async def _serve_operators(
    api: _operators.OperatorApi, address: _http_client.Address, nursery: trio.Nursery
) -> None:
    server = _http_server.Server(handler=api, limits=_OPERATOR_SERVER_LIMITS)
    await nursery.start(server.serve, address.host, address.port)


def _start_timers(
    shell: _shell.Shell,
    node_settings: settings.Settings,
    metrics: _metrics.Metrics,
    nursery: trio.Nursery,
) -> None:
    nursery.start_soon(_post_wall_clock, shell)
    nursery.start_soon(_post_ticks, shell, node_settings.timing.tick_seconds, metrics)


async def _post_wall_clock(shell: _shell.Shell) -> None:
    while True:
        shell.post_or_log(_call_messages.WallClockRead(seconds=time.time()))
        await trio.sleep(_WALL_CLOCK_INTERVAL_SECONDS)


async def _post_ticks(
    shell: _shell.Shell, tick_seconds: float, metrics: _metrics.Metrics
) -> None:
    event = _node_messages.Tick()
    while True:
        shell.post_or_log(event)
        due = trio.current_time() + tick_seconds
        await trio.sleep_until(due)
        metrics.tick_delay.observe(trio.current_time() - due)


def _make_request_id() -> ids.RequestId:
    return ids.RequestId(uuid.uuid4().hex)


def _make_server_limits(listen: settings.Listen) -> _http_server.ServerLimits:
    return _http_server.ServerLimits(
        header_bytes=listen.header_bytes,
        body_bytes=listen.body_bytes,
        connections=listen.connections,
        receive_timeout_seconds=listen.receive_timeout_seconds,
    )
