"""Background tasks of a node."""

import collections.abc
import logging

import trio

_LOGGER = logging.getLogger(__name__)

_RESTART_DELAY_SECONDS = 0.1


async def run_with_restarts(
    run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Run a task and restart it after an exception, which must not end the node."""
    while True:
        try:
            await run()
        except Exception:
            _LOGGER.exception("task failed; restarting it")
            await trio.sleep(_RESTART_DELAY_SECONDS)
