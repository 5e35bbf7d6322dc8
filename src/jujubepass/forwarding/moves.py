"""Moves running requests off engines that leave, while their streams go on."""

import logging

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import (
    board,
    clocks,
    declarations,
    engine_choice,
    engines,
    paths,
    stall_watch,
)

_LOGGER = logging.getLogger(__name__)

_PERIOD_SECONDS = 0.1
# Pause before a request that could not be moved is tried again.
_AGAIN_SECONDS = 0.5
_ORDER_SECONDS = 0.5


@attrs.define(kw_only=True)
class Mover:
    """Move requests to paths within one failure domain that avoid leaving engines."""

    blackboard: board.Blackboard
    choice: engine_choice.EngineChoice
    stalls: stall_watch.StallWatch
    control: engines.EngineControl
    moved: int = attrs.field(default=0, init=False)
    _tried_at: dict[ids.RequestId, float] = attrs.field(factory=dict, init=False)

    async def run(self) -> None:
        """Look for requests to move again and again."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_PERIOD_SECONDS)
                leaving = set(self.blackboard.backends.draining_since)
                now = trio.current_time()
                self._forget_old(now)
                for watched in self.stalls.list_watched():
                    names = watched.path.engines & leaving
                    if not names or watched.request in self._tried_at:
                        continue
                    self._tried_at[watched.request] = now
                    nursery.start_soon(self._move, watched, names)

    def _forget_old(self, now: float) -> None:
        for request, tried_at in list(self._tried_at.items()):
            if now - tried_at > _AGAIN_SECONDS:
                del self._tried_at[request]

    async def _move(
        self,
        watched: stall_watch.Watched,
        leaving: frozenset[ids.BackendServerId] | set[ids.BackendServerId],
    ) -> None:
        first = watched.path.parts[0]
        engine = self.blackboard.backends.listed.get(first.engine)
        path = self._find_path(watched, leaving)
        if engine is None or path is None:
            return
        try:
            with trio.fail_after(_ORDER_SECONDS):
                outcome = await self.control.move_request(engine, watched.request, path)
        except (engines.EngineError, trio.TooSlowError) as error:
            _LOGGER.info(
                "request not moved",
                extra={"request": watched.request, "detail": str(error)},
            )
            return
        _LOGGER.info(
            "request moved",
            extra={
                "request": watched.request,
                "backend": first.engine,
                "leaving": sorted(leaving),
                "outcome": outcome.value,
            },
        )
        if outcome is engines.MoveOutcome.MOVED:
            self.moved += 1
            self.choice.note_ended(watched.path)
            self.choice.note_started(path)
            watched.path = path

    def _find_path(
        self,
        watched: stall_watch.Watched,
        leaving: frozenset[ids.BackendServerId] | set[ids.BackendServerId],
    ) -> paths.Path | None:
        """Return a path from the same engine that crosses no failure domain."""
        first = watched.path.parts[0].engine
        service = self._find_service(first)
        if service is None or first in leaving:
            return None
        now = clocks.read_boot_clock()
        path = self.choice.choose(service, now, leaving, {first})
        if path is None or path.parts[0] != watched.path.parts[0]:
            return None
        listed = self.blackboard.backends.listed
        domains = {listed[name].failure_domain for name in path.engines}
        return path if len(domains) == 1 else None

    def _find_service(self, engine: ids.BackendServerId) -> declarations.Service | None:
        declared = self.blackboard.configuration.declarations
        backend = self.blackboard.backends.listed.get(engine)
        if declared is None or backend is None:
            return None
        return declared.services.get(backend.service)
