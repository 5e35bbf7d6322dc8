"""Orders engines to hold what the plan says, as end states under a condition."""

import collections.abc
import enum
import logging

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import backends, board, clocks, engines, plans

_LOGGER = logging.getLogger(__name__)

_PERIOD_SECONDS = 0.1
# The list shows what an engine holds within about a heartbeat (1.2 s) and its lag
# (0.8 s); a node that is not the author steps in when that has long passed.
_AUTHOR_PAUSE_SECONDS = 0.5
_OTHERS_PATIENCE_SECONDS = 4.0
_REPORT_SECONDS = 0.5
# Pause while an engine carries an order out, or after one that failed.
_BUSY_PAUSE_SECONDS = 0.4


class Step(enum.Enum):
    """Say what an engine needs next."""

    NOTHING = "nothing"
    WAIT = "wait"
    ORDER = "order"


@attrs.frozen(kw_only=True)
class Decision:
    """Hold the next step for one engine, and the span to order."""

    step: Step
    span: backends.Span | None = None
    cuts_requests: bool = False


def decide_order(
    wanted: backends.Span, report: engines.EngineReport, most_layers: int
) -> Decision:
    """Decide on the next order, so that old and new layers fit side by side."""
    held = report.held
    if report.is_busy:
        return Decision(step=Step.WAIT)
    if held == wanted:
        return Decision(step=Step.NOTHING)
    if held is None or not len(held):
        return Decision(step=Step.ORDER, span=wanted)
    first, end = max(held.first, wanted.first), min(held.end, wanted.end)
    shared = max(0, end - first)
    if len(held) + len(wanted) - shared <= most_layers:
        return Decision(step=Step.ORDER, span=wanted)
    if shared:
        span = backends.Span(first=first, end=end)
        return Decision(step=Step.ORDER, span=span)
    # Nothing of the old span stays, and both do not fit: give it up at once.
    span = backends.Span(first=wanted.first, end=wanted.first + 1)
    return Decision(step=Step.ORDER, span=span, cuts_requests=True)


@attrs.define(kw_only=True)
class OrderKeeper:
    """Bring engines to their placements, one order at a time for each."""

    blackboard: board.Blackboard
    control: engines.EngineControl
    orders_sent: int = attrs.field(default=0, init=False)
    _running: set[ids.BackendServerId] = attrs.field(factory=set, init=False)
    _differs_since: dict[ids.BackendServerId, float] = attrs.field(
        factory=dict, init=False
    )

    async def run(self) -> None:
        """Compare the list with the plans again and again."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_PERIOD_SECONDS)
                now = clocks.read_boot_clock()
                for plan in self.blackboard.plans.plans.values():
                    for engine in self._find_due(plan, now):
                        self._running.add(engine.name)
                        nursery.start_soon(self._place, plan.service, engine)

    def _find_due(
        self, plan: plans.Plan, now: float
    ) -> collections.abc.Iterator[backends.Backend]:
        patience = _OTHERS_PATIENCE_SECONDS
        if plan.author == self.blackboard.node:
            patience = 0.0
        for name, placement in plan.placements.items():
            engine = self.blackboard.backends.listed.get(name)
            if engine is None or engine.held == placement.span:
                self._differs_since.pop(name, None)
                continue
            since = self._differs_since.setdefault(name, now)
            if now - since >= patience and name not in self._running:
                yield engine

    async def _place(self, service: ids.ServiceId, engine: backends.Backend) -> None:
        try:
            await self._bring(service, engine)
        except engines.EngineError as error:
            _LOGGER.info(
                "order without an answer",
                extra={"backend": engine.name, "detail": str(error)},
            )
            await trio.sleep(_AUTHOR_PAUSE_SECONDS)
        finally:
            self._running.discard(engine.name)

    async def _bring(self, service: ids.ServiceId, engine: backends.Backend) -> None:
        """Order what is needed until the engine holds its span or the plan changes."""
        while True:
            plan = self.blackboard.plans.plans.get(service)
            placement = plan.placements.get(engine.name) if plan else None
            current = self.blackboard.backends.listed.get(engine.name)
            if placement is None or current != engine:
                return
            report = await self._read_report(engine)
            if report.started_at != engine.started_at:
                return
            most = self._find_most_layers(service, engine)
            decision = decide_order(placement.span, report, most)
            if decision.step is Step.NOTHING:
                await trio.sleep(_AUTHOR_PAUSE_SECONDS)
                return
            if decision.step is Step.ORDER and decision.span is not None:
                await self._order(engine, decision, report)
            await trio.sleep(_BUSY_PAUSE_SECONDS)

    async def _read_report(self, engine: backends.Backend) -> engines.EngineReport:
        try:
            with trio.fail_after(_REPORT_SECONDS):
                return await self.control.read_report(engine)
        except trio.TooSlowError as error:
            raise engines.EngineError("no report in time") from error

    async def _order(
        self,
        engine: backends.Backend,
        decision: Decision,
        report: engines.EngineReport,
    ) -> None:
        assert decision.span is not None
        self.orders_sent += 1
        outcome = None
        try:
            with trio.fail_after(_REPORT_SECONDS):
                outcome = await self.control.order_span(
                    engine,
                    decision.span,
                    orders_begun=report.orders_begun,
                    cuts_requests=decision.cuts_requests,
                )
        except trio.TooSlowError as error:
            raise engines.EngineError("no answer to an order in time") from error
        finally:
            _LOGGER.info(
                "engine ordered",
                extra={
                    "backend": engine.name,
                    "held": str(report.held),
                    "ordered": str(decision.span),
                    "orders_begun": report.orders_begun,
                    "outcome": outcome.value if outcome else "unclear",
                },
            )

    def _find_most_layers(
        self, service: ids.ServiceId, engine: backends.Backend
    ) -> int:
        declared = self.blackboard.configuration.declarations
        found = declared.services.get(service) if declared else None
        model = found.model if found else None
        accelerator = model.accelerators.get(engine.accelerator) if model else None
        if model is None or accelerator is None:
            return 0
        return int(accelerator.memory_megabytes / model.layer_megabytes)
