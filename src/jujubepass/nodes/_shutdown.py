"""Serving of callers until a signal, and the shutdown that follows."""

import logging
import signal

import trio

from jujubepass import settings
from jujubepass.calls import _call_messages
from jujubepass.nodes import _node_messages, _shell
from jujubepass.storage import _store_messages
from jujubepass.transport import _http_server

_LOGGER = logging.getLogger(__name__)

_SETTLING_SECONDS = 2.0
_SETTLING_POLL_SECONDS = 0.05
_SETTLING = (_store_messages.Transact, _call_messages.SendCall)


async def serve_callers(
    shell: _shell.Shell,
    callers: _http_server.Server,
    node_settings: settings.Settings,
) -> None:
    """Serve until SIGTERM or SIGINT; then drain, finish what runs and settle."""
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
            bound = trio.current_time() + timing.shutdown_seconds
            serving.cancel_scope.deadline = bound
            running = callers.running_requests
            _LOGGER.info("finishing %d running requests", running)
            callers.stop()
        if serving.cancel_scope.cancelled_caught:
            _LOGGER.error("requests cut after %g s", timing.shutdown_seconds)
        await _settle(shell)


async def _settle(shell: _shell.Shell) -> None:
    """Let writes and calls end whose outcome others would have to look into."""
    with trio.move_on_after(_SETTLING_SECONDS):
        await trio.sleep(_SETTLING_POLL_SECONDS)
        while shell.count_running(_SETTLING):
            await trio.sleep(_SETTLING_POLL_SECONDS)
