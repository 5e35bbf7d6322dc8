"""Serving of callers until a stop signal, and the shutdown after it."""

import logging
import signal

import trio

from jujubepass import settings
from jujubepass.calls import _call_messages
from jujubepass.nodes import _node_messages, _shell
from jujubepass.storage import _store_messages
from jujubepass.transport import _http_server

_LOGGER = logging.getLogger(__name__)

_COMMAND_TIMEOUT_SECONDS = 2.0
_COMMAND_POLL_INTERVAL_SECONDS = 0.05
_AWAITED_COMMANDS = (_store_messages.Transact, _call_messages.SendCall)


async def serve_callers(
    shell: _shell.Shell,
    callers: _http_server.Server,
    node_settings: settings.Settings,
) -> None:
    """Serve until SIGTERM or SIGINT; then drain, finish requests and commands."""
    address = node_settings.listen.callers
    timing = node_settings.timing
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as serving:
            await serving.start(callers.serve, address.host, address.port)
            _LOGGER.info(
                "node %s serves callers at %s", node_settings.node.name, address
            )
            await anext(signals)
            _LOGGER.info("draining for %g s", timing.drain_seconds)
            callers.drain()
            shell.post(_node_messages.StopRequested())
            with trio.move_on_after(timing.drain_seconds):
                await anext(signals)
            shell.post(_node_messages.DrainEnded())
            deadline = trio.current_time() + timing.shutdown_seconds
            serving.cancel_scope.deadline = deadline
            running = callers.running_requests
            _LOGGER.info("finishing %d running requests", running)
            callers.stop()
        if serving.cancel_scope.cancelled_caught:
            _LOGGER.error(
                "cancelled requests still running after %g s", timing.shutdown_seconds
            )
        await _wait_for_commands(shell)


async def _wait_for_commands(shell: _shell.Shell) -> None:
    """Wait for store writes and calls that another node would otherwise recover."""
    with trio.move_on_after(_COMMAND_TIMEOUT_SECONDS):
        await trio.sleep(_COMMAND_POLL_INTERVAL_SECONDS)
        while shell.count_running(_AWAITED_COMMANDS):
            await trio.sleep(_COMMAND_POLL_INTERVAL_SECONDS)
