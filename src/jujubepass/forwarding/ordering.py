"""Ordering of engines to load planned spans, with conditional orders."""

import collections.abc
import enum
import logging

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import (
    backends,
    board,
    clocks,
    declarations,
    engines,
    members,
    plans,
    silences,
)

_LOGGER = logging.getLogger(__name__)

_CHECK_INTERVAL_SECONDS = 0.1
# A node that did not write the plan sends orders only if the author has not done so for
# this time. It exceeds the load of a typical span (1.2 s) plus the delay of the list
# (0.8 s). The nodes then act turn by turn.
_NON_AUTHOR_DELAY_SECONDS = 3.0
_TURN_SECONDS = 1.0
_REQUEST_TIMEOUT_SECONDS = 0.5
# A started order shows in the list once its span is loaded; after this time the engine
# is read again. Loading ten layers takes 1.8 s, and three times that if six engines
# load at once.
_LOAD_INTERVAL_SECONDS = 4.0
# Reports are some hundred milliseconds old, so that the wait after a refused order is
# longer.
_REFUSED_BACKOFF_SECONDS = 0.6
_FAILED_BACKOFF_SECONDS = 0.5


class Step(enum.Enum):
    """Enumerate what to do next about an engine."""

    NOTHING = "nothing"
    WAIT = "wait"
    ORDER = "order"


@attrs.frozen(kw_only=True)
class Decision:
    """Describe the next step for an engine, and the span to order."""

    step: Step
    span: backends.Span | None = None
    cuts_requests: bool = False


_NOTHING = Decision(step=Step.NOTHING)
_WAIT = Decision(step=Step.WAIT)


def decide_order(
    wanted: backends.Span,
    held: backends.Span | None,
    max_layers: int,
    is_covered: collections.abc.Callable[[int], bool],
) -> Decision:
    """Return the next order for an engine.

    Layers that no other engine holds are kept as long as old and new layers fit into
    memory together.
    """
    if held == wanted:
        return _NOTHING
    if held is None or not len(held):
        return Decision(step=Step.ORDER, span=wanted)
    span = _extend_by_uncovered(wanted, held, is_covered)
    if len(span) > max_layers:
        span = wanted
    if span == held:
        return _WAIT
    first, end = max(held.first, span.first), min(held.end, span.end)
    shared = max(0, end - first)
    if len(held) + len(span) - shared <= max_layers:
        return Decision(step=Step.ORDER, span=span)
    if shared:
        return Decision(step=Step.ORDER, span=backends.Span(first=first, end=end))
    # No old layer is part of the wanted span, and both do not fit: unload all at once.
    span = backends.Span(first=wanted.first, end=wanted.first + 1)
    return Decision(step=Step.ORDER, span=span, cuts_requests=True)


def _extend_by_uncovered(
    wanted: backends.Span,
    held: backends.Span,
    is_covered: collections.abc.Callable[[int], bool],
) -> backends.Span:
    """Extend the wanted span by adjacent held layers that no other engine holds."""
    if held.end < wanted.first or held.first > wanted.end:
        return wanted
    first = next(
        (each for each in range(held.first, wanted.first) if not is_covered(each)),
        wanted.first,
    )
    end = next(
        (each for each in range(held.end, wanted.end, -1) if not is_covered(each - 1)),
        wanted.end,
    )
    return backends.Span(first=first, end=end)


@attrs.define(kw_only=True)
class _LastOrder:
    """Record the span held at an engine's last order, and when to order again."""

    held: backends.Span | None
    retry_at: float


@attrs.frozen(kw_only=True)
class _Comparison:
    """Describe which listed engines differ from a plan."""

    plan: plans.Plan
    list_revision: int
    declared: declarations.Declarations | None
    differing: tuple[backends.Backend, ...]


@attrs.define(kw_only=True)
class OrderSender:
    """Bring engines to their placements, with at most one order each at a time."""

    blackboard: board.Blackboard
    control: engines.EngineControl
    silences: silences.Silences
    orders_sent: int = attrs.field(default=0, init=False)
    _running: set[ids.BackendServerId] = attrs.field(factory=set, init=False)
    _last_orders: dict[ids.BackendServerId, _LastOrder] = attrs.field(
        factory=dict, init=False
    )
    _compared: dict[ids.ServiceId, _Comparison] = attrs.field(factory=dict, init=False)
    _differs_since: dict[ids.BackendServerId, tuple[int, float]] = attrs.field(
        factory=dict, init=False
    )

    async def run(self) -> None:
        """Compare the list with the plans and send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await clocks.sleep_until_tick(_CHECK_INTERVAL_SECONDS)
                now = clocks.read_boot_clock()
                for plan in self.blackboard.plans.plans.values():
                    for engine in self._find_due(plan, now):
                        self._running.add(engine.name)
                        nursery.start_soon(self._run_order, plan, engine)

    def _find_due(
        self, plan: plans.Plan, now: float
    ) -> collections.abc.Iterator[backends.Backend]:
        for engine in self._list_differing(plan, now):
            if engine.name in self._running or self.silences.is_closed(
                engine.name, now
            ):
                continue
            _, since = self._differs_since[engine.name]
            if self._is_due(plan, now - since) and not self._is_in_progress(
                engine, now
            ):
                yield engine

    def _list_differing(
        self, plan: plans.Plan, now: float
    ) -> tuple[backends.Backend, ...]:
        """Return the engines to be ordered; compares only what has changed."""
        area = self.blackboard
        known = self._compared.get(plan.service)
        if (
            known is not None
            and known.plan is plan
            and known.list_revision == area.backends.revision
            and known.declared is area.configuration.declarations
        ):
            return known.differing
        differing = []
        for name in plan.placements:
            engine = area.backends.listed.get(name)
            if engine is None:
                continue
            is_placed = engine.held == plan.placements[name].span
            if is_placed or not self._needs_order(plan, engine):
                self._differs_since.pop(name, None)
                continue
            differing.append(engine)
            version, since = self._differs_since.get(name, (0, now))
            if version != plan.version:
                since = now
            self._differs_since[name] = plan.version, since
        found = _Comparison(
            plan=plan,
            list_revision=area.backends.revision,
            declared=area.configuration.declarations,
            differing=tuple(differing),
        )
        self._compared[plan.service] = found
        return found.differing

    def _is_due(self, plan: plans.Plan, waited_seconds: float) -> bool:
        if plan.author == self.blackboard.node:
            return True
        # The turn depends on all nodes and is determined only once it matters.
        if waited_seconds < _NON_AUTHOR_DELAY_SECONDS:
            return False
        turn = members.find_turn(self.blackboard, f"orders/{plan.version}")
        return waited_seconds >= _NON_AUTHOR_DELAY_SECONDS + _TURN_SECONDS * (turn or 0)

    def _is_in_progress(self, engine: backends.Backend, now: float) -> bool:
        """Return whether the last order to an engine may still be in progress."""
        last_order = self._last_orders.get(engine.name)
        return (
            last_order is not None
            and last_order.held == engine.held
            and (now < last_order.retry_at)
        )

    def _needs_order(self, plan: plans.Plan, engine: backends.Backend) -> bool:
        return self._decide(plan, engine, engine.held).step is Step.ORDER

    def _decide(
        self,
        plan: plans.Plan,
        engine: backends.Backend,
        held: backends.Span | None,
    ) -> Decision:
        def _is_covered(layer: int) -> bool:
            return any(
                other.held is not None
                and other.held.first <= layer < other.held.end
                and other.name != engine.name
                and other.service == engine.service
                and other.failure_domain == engine.failure_domain
                and other.state is backends.BackendState.READY
                and other.name in plan.placements
                for other in self.blackboard.backends.listed.values()
            )

        wanted = plan.placements[engine.name].span
        if held == wanted:
            return _NOTHING
        max_layers = self._find_max_layers(plan.service, engine)
        return decide_order(wanted, held, max_layers, _is_covered)

    async def _run_order(self, plan: plans.Plan, engine: backends.Backend) -> None:
        wait_seconds = _FAILED_BACKOFF_SECONDS
        try:
            wait_seconds = await self._order_once(plan, engine)
        except engines.EngineError as error:
            _LOGGER.info(
                "order to engine failed",
                extra={"backend": engine.name, "detail": str(error)},
            )
        finally:
            retry_at = clocks.read_boot_clock() + wait_seconds
            self._last_orders[engine.name] = _LastOrder(
                held=engine.held, retry_at=retry_at
            )
            self._running.discard(engine.name)

    async def _order_once(self, plan: plans.Plan, engine: backends.Backend) -> float:
        """Send an engine its next order; return the wait until the next, in seconds."""
        report = await self._read_report(engine)
        current = self.blackboard.plans.plans.get(plan.service)
        if report.started_at != engine.started_at or current is not plan:
            return 0.0
        if report.is_busy:
            return _REFUSED_BACKOFF_SECONDS
        decision = self._decide(plan, engine, report.held)
        if decision.step is not Step.ORDER or decision.span is None:
            return _FAILED_BACKOFF_SECONDS
        outcome = await self._order(engine, decision, report)
        begun = outcome is engines.OrderOutcome.BEGUN
        return _LOAD_INTERVAL_SECONDS if begun else _REFUSED_BACKOFF_SECONDS

    async def _read_report(self, engine: backends.Backend) -> engines.EngineReport:
        try:
            with trio.fail_after(_REQUEST_TIMEOUT_SECONDS):
                return await self.control.read_report(engine)
        except trio.TooSlowError as error:
            raise engines.EngineError("no report within the time limit") from error

    async def _order(
        self,
        engine: backends.Backend,
        decision: Decision,
        report: engines.EngineReport,
    ) -> engines.OrderOutcome:
        assert decision.span is not None
        self.orders_sent += 1
        outcome = None
        try:
            with trio.fail_after(_REQUEST_TIMEOUT_SECONDS):
                outcome = await self.control.order_span(
                    engine,
                    decision.span,
                    orders_begun=report.orders_begun,
                    cuts_requests=decision.cuts_requests,
                )
                return outcome
        except trio.TooSlowError as error:
            raise engines.EngineError(
                "no answer to an order within the time limit"
            ) from error
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

    def _find_max_layers(self, service: ids.ServiceId, engine: backends.Backend) -> int:
        declared = self.blackboard.configuration.declarations
        found = declared.services.get(service) if declared else None
        model = found.model if found else None
        accelerator = model.accelerators.get(engine.accelerator) if model else None
        if model is None or accelerator is None:
            return 0
        return int(accelerator.memory_megabytes / model.layer_megabytes)
