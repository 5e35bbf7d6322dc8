"""Probing of unresponsive, suspected and slow engines."""

import collections.abc
import logging

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import board, clocks, engines, paces, suspicion

_LOGGER = logging.getLogger(__name__)

# Time limit for a report; an engine normally responds within a few milliseconds.
_REPORT_SECONDS = 0.25
# Interval between two probes of an engine; reports are some hundred milliseconds old.
_PAUSE_SECONDS = 0.3
# An unresponsive engine is probed often enough for two probes before its loss is
# planned around, and less often afterwards.
_SILENT_PAUSE_SECONDS = 0.4
_LONG_SILENT_PAUSE_SECONDS = 2.0
_OFTEN_QUESTIONS = 6
_PERIOD_SECONDS = 0.1
# A reachable engine responds within a few milliseconds (1 ms to connect, 0.25 ms one
# way); callers notice a gap of 200 ms.
_PRESENCE_SECONDS = 0.05
# An engine that was probed within this time is not probed for reachability again: every
# probe of a stalled pipeline's engines is counted.
_PRESENT_SECONDS = 1.0
# If more engines of a pipeline are unreachable, this node's network is the likely
# cause.
_MOST_LOST = 2


@attrs.define(kw_only=True)
class _Asked:
    at: float
    questions: int = 0


@attrs.define(kw_only=True)
class Prober:
    """Read reports of suspected engines and record which ones respond."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    control: engines.EngineControl
    paces: paces.Paces
    _slow_paths: set[ids.BackendServerId] = attrs.field(factory=set, init=False)
    _asked: dict[ids.BackendServerId, _Asked] = attrs.field(factory=dict, init=False)

    async def run(self) -> None:
        """Probe unresponsive and slow engines until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_PERIOD_SECONDS)
                silent = self.suspects.list_silent()
                for name in silent:
                    if name not in self.blackboard.backends.listed:
                        self.suspects.clear(name)
                    elif self._is_due(name):
                        nursery.start_soon(self.check, name)
                for name in self._asked.keys() - set(silent):
                    self._asked[name].questions = 0
                self._ask_paces(nursery)

    def note_slow_path(
        self, names: collections.abc.Iterable[ids.BackendServerId]
    ) -> None:
        """Schedule probes of a pipeline's engines for their slowdown."""
        self._slow_paths.update(names)

    def _ask_paces(self, nursery: trio.Nursery) -> None:
        now = clocks.read_boot_clock()
        asked = self._slow_paths.union(self.paces.list_slow(now))
        self._slow_paths.clear()
        for name in asked:
            if self.paces.take_question(name, now):
                nursery.start_soon(self.check, name)

    def _is_due(self, name: ids.BackendServerId) -> bool:
        asked = self._asked.get(name)
        if asked is None:
            return True
        often = asked.questions < _OFTEN_QUESTIONS
        pause = _SILENT_PAUSE_SECONDS if often else _LONG_SILENT_PAUSE_SECONDS
        return trio.current_time() - asked.at >= pause

    def may_ask(self, name: ids.BackendServerId) -> bool:
        """Return whether an engine may be probed again."""
        return self._may_ask(name, _PAUSE_SECONDS)

    def _may_ask(self, name: ids.BackendServerId, pause_seconds: float) -> bool:
        asked = self._asked.get(name)
        return asked is None or trio.current_time() - asked.at >= pause_seconds

    async def check(self, name: ids.BackendServerId) -> None:
        """Probe an engine; suspect it, or those for which its requests wait."""
        report = await self._read_report(name, _REPORT_SECONDS)
        if report is not None:
            await self._check_stalled(report)
        elif name in self.blackboard.backends.listed:
            reason = suspicion.SuspicionReason.SILENT
            self.suspects.suspect(name, reason, clocks.read_boot_clock())

    async def check_path(self, names: collections.abc.Set[ids.BackendServerId]) -> None:
        """Probe engines for reachability; suspect the unreachable if they are few."""
        reports: dict[ids.BackendServerId, engines.EngineReport | None] = {}

        async def ask(name: ids.BackendServerId) -> None:
            """Store one engine's report."""
            reports[name] = await self._read_report(name, _PRESENCE_SECONDS)

        async with trio.open_nursery() as nursery:
            for name in self.blackboard.backends.listed.keys() & names:
                if self._may_ask(name, _PRESENT_SECONDS):
                    # Set before the probe, as other streams of the pipeline are checked
                    # in the same pass.
                    asked = self._asked.setdefault(name, _Asked(at=0.0))
                    asked.at = trio.current_time()
                    nursery.start_soon(ask, name)
        lost = [name for name, report in reports.items() if report is None]
        if len(lost) > _MOST_LOST:
            _LOGGER.info("engines of a path unreachable", extra={"backends": lost})
            return
        now = clocks.read_boot_clock()
        async with trio.open_nursery() as nursery:
            for name in lost:
                # Streams leave it at once; only a probe with the full time limit counts
                # as evidence that it is dead.
                self.suspects.suspect(name, suspicion.SuspicionReason.LATE, now)
                nursery.start_soon(self.check, name)

    async def _read_report(
        self, name: ids.BackendServerId, timeout_seconds: float
    ) -> engines.EngineReport | None:
        """Return an engine's report; None if it gives none or is not listed."""
        backend = self.blackboard.backends.listed.get(name)
        if backend is None:
            return None
        asked = self._asked.setdefault(name, _Asked(at=0.0))
        asked.at = trio.current_time()
        asked.questions += 1
        try:
            with trio.fail_after(timeout_seconds):
                report = await self.control.read_report(backend)
        except (engines.EngineError, trio.TooSlowError) as error:
            _LOGGER.info(
                "engine did not report", extra={"backend": name, "detail": str(error)}
            )
            return None
        self.suspects.note_answered(name)
        self.paces.note_pace(name, report.pace, clocks.read_boot_clock())
        return report

    async def _check_stalled(self, report: engines.EngineReport) -> None:
        """Suspect the engines that stalled requests wait for, and probe them."""
        addresses = {address for _, address in report.stalled}
        now = clocks.read_boot_clock()
        for backend in list(self.blackboard.backends.listed.values()):
            if backend.address not in addresses:
                continue
            reason = suspicion.SuspicionReason.NAMED_AT_FAULT
            self.suspects.suspect(backend.name, reason, now)
            if self.may_ask(backend.name):
                await self.check(backend.name)
