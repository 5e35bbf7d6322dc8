"""Moving of running requests off draining engines."""

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import board, clocks, moves, stall_watch, watched_streams

_CHECK_INTERVAL_SECONDS = 0.1
# Interval before the next attempt to move a request.
_RETRY_INTERVAL_SECONDS = 0.5


@attrs.define(kw_only=True)
class Evacuation:
    """Move requests off draining engines while those still serve them."""

    blackboard: board.Blackboard
    stalls: stall_watch.StallWatch
    mover: moves.Mover
    _tried_at: dict[ids.RequestId, float] = attrs.field(factory=dict, init=False)

    async def run(self) -> None:
        """Start moves of requests on draining engines until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await clocks.sleep_until_tick(_CHECK_INTERVAL_SECONDS)
                leaving = frozenset(self.blackboard.backends.draining_since)
                now = trio.current_time()
                self._remove_expired(now)
                for stream in self.stalls.list_streams():
                    if self._is_due(stream, leaving):
                        self._tried_at[stream.request] = now
                        stream.is_moving = True
                        nursery.start_soon(self._move, stream, leaving)

    async def _move(
        self,
        stream: watched_streams.WatchedStream,
        leaving: frozenset[ids.BackendServerId],
    ) -> None:
        try:
            await self.mover.move(stream, leaving)
        finally:
            stream.is_moving = False

    def _is_due(
        self,
        stream: watched_streams.WatchedStream,
        leaving: frozenset[ids.BackendServerId],
    ) -> bool:
        uses_leaving = bool(stream.pipeline.engines & leaving)
        return (
            uses_leaving
            and not stream.is_moving
            and stream.request not in self._tried_at
        )

    def _remove_expired(self, now: float) -> None:
        for request, tried_at in list(self._tried_at.items()):
            if now - tried_at > _RETRY_INTERVAL_SECONDS:
                del self._tried_at[request]
