"""Moving of running requests to other engines without interrupting streams."""

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
    permits,
    pipelines,
    watched_streams,
)

_LOGGER = logging.getLogger(__name__)

# An engine responds to an order within a few milliseconds; callers notice a gap of 200
# ms.
_ORDER_TIMEOUT_SECONDS = 0.1


@attrs.define(kw_only=True)
class Mover:
    """Move requests to pipelines with the same first engine and failure domain."""

    blackboard: board.Blackboard
    choice: engine_choice.EngineChoice
    control: engines.EngineControl
    permits: permits.Permits
    moved: int = attrs.field(default=0, init=False)

    async def move(
        self,
        stream: watched_streams.WatchedStream,
        avoided: frozenset[ids.BackendServerId],
    ) -> bool:
        """Replace engines of a stream's pipeline; return whether it was moved."""
        if not stream.may_move():
            _log_move(stream, avoided, "in quarantine")
            return False
        first = stream.pipeline.stages[0]
        engine = self.blackboard.backends.listed.get(first.engine)
        pipeline = self._find_pipeline(stream, avoided)
        if engine is None or pipeline is None:
            _log_move(stream, avoided, "no path")
            return False
        # The order reaches the engine like a request.
        claim = await self.permits.claim(first.engine)
        if not claim.is_granted:
            _log_move(stream, avoided, "engine over its request limit")
            return False
        try:
            with trio.fail_after(_ORDER_TIMEOUT_SECONDS):
                outcome = await self.control.move_request(
                    engine, stream.request, pipeline
                )
        except (engines.EngineError, trio.TooSlowError) as error:
            _log_move(stream, avoided, f"unclear: {error}")
            return False
        _log_move(stream, avoided, outcome.value)
        if outcome is not engines.MoveOutcome.MOVED:
            return False
        self.moved += 1
        if stream.has_ended:
            # Nothing would remove the request from the new engines' counts.
            return True
        self.choice.record_end(stream.pipeline, was_prefilled=stream.has_begun)
        self.choice.record_start(pipeline)
        if stream.has_begun:
            self.choice.record_prefilled(pipeline)
        stream.record_move(pipeline)
        return True

    def _find_pipeline(
        self,
        stream: watched_streams.WatchedStream,
        avoided: frozenset[ids.BackendServerId],
    ) -> pipelines.Pipeline | None:
        """Return a pipeline from the same engine within a single failure domain."""
        first = stream.pipeline.stages[0].engine
        service = self._find_service(first)
        if service is None or first in avoided:
            return None
        now = clocks.read_boot_clock()
        pipeline = self.choice.choose(service, now, avoided, {first})
        if pipeline is None or pipeline.stages[0] != stream.pipeline.stages[0]:
            return None
        listed = self.blackboard.backends.listed
        domains = {listed[name].failure_domain for name in pipeline.engines}
        return pipeline if len(domains) == 1 else None

    def _find_service(self, engine: ids.BackendServerId) -> declarations.Service | None:
        declared = self.blackboard.configuration.declarations
        backend = self.blackboard.backends.listed.get(engine)
        if declared is None or backend is None:
            return None
        return declared.services.get(backend.service)


def _log_move(
    stream: watched_streams.WatchedStream,
    avoided: frozenset[ids.BackendServerId],
    outcome: str,
) -> None:
    _LOGGER.info(
        "attempted to move a request",
        extra={
            "request": stream.request,
            "backend": stream.pipeline.stages[0].engine,
            "avoided": sorted(avoided),
            "outcome": outcome,
        },
    )
