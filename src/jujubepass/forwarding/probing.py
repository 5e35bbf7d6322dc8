"""Probing of unresponsive, suspected and slow engines."""

import collections.abc
import logging

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import (
    backends,
    board,
    clocks,
    engines,
    exchange,
    members,
    server_signals,
    slowdowns,
    suspicion,
)

_LOGGER = logging.getLogger(__name__)

# Time limit for a report; an engine normally responds within a few milliseconds.
_REPORT_TIMEOUT_SECONDS = 0.25
# Interval between two probes of an engine; reports are some hundred milliseconds old.
# It doubles with each report in a row that shows no fault, as under overload, up to the
# maximum, which leaves time to move a stream before its caller aborts it.
_PROBE_INTERVAL_SECONDS = 0.3
_MAX_PROBE_INTERVAL_SECONDS = 1.2
# An unresponsive engine is probed often enough for two probes before its loss is
# planned around, once more in case that it is back, and less often afterwards.
_UNRESPONSIVE_INTERVAL_SECONDS = 0.4
_MAX_FREQUENT_PROBES = 3
# All nodes of a failure domain together probe an engine this often.
_UNRESPONSIVE_PROBES_PER_SECOND = 1.5
_SLOW_PROBES_PER_SECOND = 1.5
_REACHABILITY_PROBES_PER_SECOND = 3.0
_MIN_SHARED_INTERVAL_SECONDS = 1.0
_CHECK_INTERVAL_SECONDS = 0.1
# A reachable engine responds within a few milliseconds (1 ms to connect, 0.25 ms one
# way); callers notice a gap of 200 ms.
_REACHABILITY_TIMEOUT_SECONDS = 0.05
# If more engines of a pipeline are unreachable, this node's network is the likely
# cause.
_MAX_UNREACHABLE = 2


@attrs.define(kw_only=True)
class _ProbeRecord:
    at: float
    probes: int = 0
    clear_reports: int = 0
    """Reports in a row that named no engine as stalling requests."""


@attrs.define(kw_only=True)
class Prober:
    """Read reports of suspected engines and record which ones respond."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    control: engines.EngineControl
    slowdowns: slowdowns.SlowdownTracker
    signals: server_signals.ServerSignals
    on_run_ended: collections.abc.Callable[[ids.BackendServerId, int, float], None] = (
        lambda *_: None
    )
    """Record that a listed run of an engine has ended."""
    _slowdown_candidates: set[ids.BackendServerId] = attrs.field(
        factory=set, init=False
    )
    _probe_records: dict[ids.BackendServerId, _ProbeRecord] = attrs.field(
        factory=dict, init=False
    )

    async def run(self) -> None:
        """Probe unresponsive and slow engines until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await clocks.sleep_until_tick(_CHECK_INTERVAL_SECONDS)
                unresponsive = self.suspects.list_unresponsive()
                for name in unresponsive:
                    if not self._is_usable(name):
                        self.suspects.clear(name)
                    elif self._is_due(name):
                        nursery.start_soon(self.probe, name)
                for name in self._probe_records.keys() - set(unresponsive):
                    self._probe_records[name].probes = 0
                self._probe_slow(nursery)

    def schedule_slowdown_probes(
        self, names: collections.abc.Iterable[ids.BackendServerId]
    ) -> None:
        """Schedule probes of a pipeline's engines for their slowdown."""
        self._slowdown_candidates.update(names)

    def _probe_slow(self, nursery: trio.Nursery) -> None:
        now = clocks.read_boot_clock()
        names = self._slowdown_candidates.union(self.slowdowns.list_slow(now))
        self._slowdown_candidates.clear()
        for name in names:
            if self.slowdowns.start_probe(
                name, now, self._share_interval(_SLOW_PROBES_PER_SECOND)
            ):
                nursery.start_soon(self.probe, name)

    def _is_usable(self, name: ids.BackendServerId) -> bool:
        """Return whether an engine is listed and no plan excludes it as failed."""
        listed = self.blackboard.backends.listed.get(name)
        if listed is None:
            return False
        plans = self.blackboard.plans.plans
        return listed.service not in plans or not plans[listed.service].excludes(listed)

    def _is_due(self, name: ids.BackendServerId) -> bool:
        record = self._probe_records.get(name)
        if record is None:
            return True
        is_frequent = record.probes < _MAX_FREQUENT_PROBES
        interval = (
            _UNRESPONSIVE_INTERVAL_SECONDS
            if is_frequent
            else self._share_interval(_UNRESPONSIVE_PROBES_PER_SECOND)
        )
        return trio.current_time() - record.at >= interval

    def _share_interval(self, probes_per_second: float) -> float:
        """Return the interval of probes if the domain's nodes keep a rate."""
        return members.share_interval(
            members.count_neighbors(self.blackboard),
            per_second=probes_per_second,
            least=_MIN_SHARED_INTERVAL_SECONDS,
        )

    def may_probe(self, name: ids.BackendServerId) -> bool:
        """Return whether an engine may be probed again."""
        record = self._probe_records.get(name)
        clear_reports = record.clear_reports if record is not None else 0
        interval = _PROBE_INTERVAL_SECONDS * 2.0 ** max(0, clear_reports - 1)
        return self._has_interval_passed(
            name, min(interval, _MAX_PROBE_INTERVAL_SECONDS)
        )

    def _has_interval_passed(
        self, name: ids.BackendServerId, interval_seconds: float
    ) -> bool:
        record = self._probe_records.get(name)
        return record is None or trio.current_time() - record.at >= interval_seconds

    def _is_closed(self, name: ids.BackendServerId) -> bool:
        return self.signals.silences.is_closed(name, clocks.read_boot_clock())

    async def probe(self, name: ids.BackendServerId) -> None:
        """Probe an engine; suspect it, or those for which its requests wait.

        Of a plain service's server, only the end of its run is told.
        """
        if self._is_closed(name):
            return
        backend = self.blackboard.backends.listed.get(name)
        if backend is not None and not self._is_engine(backend):
            await self._check_listening(backend)
            return
        report = await self._read_report(name, _REPORT_TIMEOUT_SECONDS)
        record = self._probe_records.get(name)
        if record is not None:
            is_clear = report is not None and not report.stalled
            record.clear_reports = record.clear_reports + 1 if is_clear else 0
        if report is not None:
            await self._check_stalled(report)
        elif name in self.blackboard.backends.listed:
            reason = suspicion.SuspicionReason.UNRESPONSIVE
            self.suspects.suspect(name, reason, clocks.read_boot_clock())

    async def probe_pipeline(
        self, names: collections.abc.Set[ids.BackendServerId]
    ) -> None:
        """Probe engines for reachability; suspect the unreachable if they are few."""
        reports: dict[ids.BackendServerId, engines.EngineReport | None] = {}

        async def probe_one(name: ids.BackendServerId) -> None:
            """Store one engine's report."""
            reports[name] = await self._read_report(name, _REACHABILITY_TIMEOUT_SECONDS)

        interval = self._share_interval(_REACHABILITY_PROBES_PER_SECOND)
        async with trio.open_nursery() as nursery:
            for name in self.blackboard.backends.listed.keys() & names:
                if not self._is_closed(name) and self._has_interval_passed(
                    name, interval
                ):
                    # Set before the probe, as other streams of the pipeline are checked
                    # in the same pass.
                    record = self._probe_records.setdefault(name, _ProbeRecord(at=0.0))
                    record.at = trio.current_time()
                    nursery.start_soon(probe_one, name)
        unreachable = [name for name, report in reports.items() if report is None]
        if len(unreachable) > _MAX_UNREACHABLE:
            _LOGGER.info(
                "engines of a pipeline unreachable", extra={"backends": unreachable}
            )
            return
        now = clocks.read_boot_clock()
        async with trio.open_nursery() as nursery:
            for name in unreachable:
                # Streams leave it at once; only a probe with the full time limit counts
                # as evidence that it is dead.
                self.suspects.suspect(name, suspicion.SuspicionReason.LATE, now)
                nursery.start_soon(self.probe, name)

    async def _read_report(
        self, name: ids.BackendServerId, timeout_seconds: float
    ) -> engines.EngineReport | None:
        """Return an engine's report; None if it gives none or is not listed."""
        backend = self.blackboard.backends.listed.get(name)
        if backend is None:
            return None
        record = self._probe_records.setdefault(name, _ProbeRecord(at=0.0))
        record.at = trio.current_time()
        record.probes += 1
        try:
            with trio.fail_after(timeout_seconds):
                report = await self.control.read_report(backend)
        except (engines.EngineError, trio.TooSlowError) as error:
            if isinstance(error, engines.EngineEndedError):
                self.on_run_ended(name, backend.started_at, clocks.read_boot_clock())
            _LOGGER.info(
                "engine did not report", extra={"backend": name, "detail": str(error)}
            )
            return None
        if 0 < backend.started_at < report.started_at:
            self.on_run_ended(name, backend.started_at, clocks.read_boot_clock())
        signals = exchange.Signals(is_leaving=report.is_leaving, limit=report.limit)
        self.signals.record(name, backend.started_at, signals)
        if name in self.suspects.list_unresponsive():
            self.signals.record_recovered(name)
        self.suspects.record_response(name)
        self.slowdowns.record_slowdown(name, report.slowdown, clocks.read_boot_clock())
        return report

    def _is_engine(self, backend: backends.Backend) -> bool:
        declared = self.blackboard.configuration.declarations
        service = declared.services.get(backend.service) if declared else None
        return service is None or service.model is not None

    async def _check_listening(self, backend: backends.Backend) -> None:
        """Record the end of a server's run if nothing listens at its address."""
        record = self._probe_records.setdefault(backend.name, _ProbeRecord(at=0.0))
        record.at = trio.current_time()
        try:
            with trio.fail_after(_REPORT_TIMEOUT_SECONDS):
                await self.control.check_listening(backend)
        except engines.EngineEndedError:
            now = clocks.read_boot_clock()
            self.on_run_ended(backend.name, backend.started_at, now)
        except (engines.EngineError, trio.TooSlowError) as error:
            _LOGGER.info(
                "server did not accept a connection",
                extra={"backend": backend.name, "detail": str(error)},
            )

    async def _check_stalled(self, report: engines.EngineReport) -> None:
        """Suspect the engines that stalled requests wait for, and probe them."""
        addresses = {address for _, address in report.stalled}
        now = clocks.read_boot_clock()
        for backend in list(self.blackboard.backends.listed.values()):
            if backend.address not in addresses:
                continue
            reason = suspicion.SuspicionReason.NAMED_AT_FAULT
            self.suspects.suspect(backend.name, reason, now)
            if self.may_probe(backend.name):
                await self.probe(backend.name)
