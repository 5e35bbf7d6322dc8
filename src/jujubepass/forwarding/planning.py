"""Task that runs the plan controller and writes its plans to the store."""

import itertools
import logging

import attrs
import trio

from jujubepass.forwarding import board, clocks, feeds, plan_rows, planner, plans
from jujubepass.storage import _store_messages, _table_client

_LOGGER = logging.getLogger(__name__)

_CHECK_INTERVAL_SECONDS = 0.1
# Interval after a failed write, so that the feed can deliver the current plan.
_FAILED_BACKOFF_SECONDS = 0.3


@attrs.define(kw_only=True)
class Planning:
    """Write the plans that the controller returns."""

    blackboard: board.Blackboard
    controller: planner.PlanController
    table: _table_client.Table
    _operations: "itertools.count[int]" = attrs.field(
        factory=itertools.count, init=False
    )

    def apply(self, changes: feeds.Changes[plans.Plan], now: float) -> None:
        """Install plans that other nodes wrote."""
        self.controller.update_era(changes)
        for plan in changes.items.values():
            if plan is not None:
                self.controller.install_plan(plan)
        self.blackboard.plans.is_initialized = True

    async def run(self) -> None:
        """Check and write plans until cancelled."""
        while True:
            await clocks.sleep_until_tick(_CHECK_INTERVAL_SECONDS)
            for command in self.controller.check(clocks.read_boot_clock()):
                await self._write(command.plan)

    async def _write(self, plan: plans.Plan) -> None:
        operation = _store_messages.OperationId(f"plan/{next(self._operations)}")
        outcome = await self.table.transact(plan_rows.write_plan(operation, plan))
        _LOGGER.info(
            "plan written",
            extra={
                "service": plan.service,
                "revision": plan.revision,
                "replaces": plan.version,
                "outcome": type(outcome).__name__,
            },
        )
        if isinstance(outcome, _store_messages.Transacted):
            self.controller.install_plan(plan_rows.apply_written_version(plan, outcome))
        else:
            await trio.sleep(_FAILED_BACKOFF_SECONDS)
