"""Controller of departures: which backend servers are leaving."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.answers import _answer_messages
from jujubepass.backends import _backend_area, _backend_messages, _departure_area
from jujubepass.configuration import _configuration_messages
from jujubepass.membership import _membership_messages
from jujubepass.nodes import _blackboard, _dispatch, _node_messages

_Source = _departure_area.DepartureSource
_UNCONFIRMED_TIMEOUT_SECONDS = 300.0
_SWEEP_INTERVAL_SECONDS = 1.0


@attrs.define(kw_only=True)
class DepartureController:
    """Write the departure area and each backend server's `leaving`."""

    blackboard: _blackboard.Blackboard
    _newest_list_at: float = attrs.field(default=float("-inf"), init=False)
    _drained: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _swept_at: float = attrs.field(default=float("-inf"), init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.apply_drains,
            _configuration_messages.ConfigurationInstalled: self.refresh_declared,
            _backend_messages.VmsListed: self.apply_vm_list,
            _backend_messages.LoadReported: self.record_report,
            _backend_messages.LeavingAnswered: self.record_refusal,
            _answer_messages.AttemptFailed: self.record_failed_attempt,
            _membership_messages.HeartbeatReceived: self.merge_peer_departures,
        }

    def apply_drains(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Apply the drains of operators and expire unconfirmed departures."""
        drained = self.blackboard.configuration.declared.drained
        if drained is not self._drained:
            for name in map(ids.BackendServerId, drained - self._drained):
                self._add(name, _Source.OPERATOR, now)
            for name in map(ids.BackendServerId, self._drained - drained):
                self._remove(name, _Source.OPERATOR)
            self._drained = drained
        if now - self._swept_at >= _SWEEP_INTERVAL_SECONDS:
            self._swept_at = now
            self._expire_unconfirmed(now)
        return ()

    def refresh_declared(
        self, event: _configuration_messages.ConfigurationInstalled, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Update all backend servers, as operators may have added or removed some."""
        self._refresh_all()
        return ()

    def _refresh_all(self) -> None:
        self._remove_unknown()
        area = self.blackboard.backends
        for name in (*area.engines, *area.services):
            self._refresh(name)

    def _expire_unconfirmed(self, now: float) -> None:
        records = self.blackboard.departures.records
        for (name, source), departure in list(records.items()):
            unconfirmed = source is _Source.ITSELF and not departure.incarnation
            if unconfirmed and now - departure.since >= _UNCONFIRMED_TIMEOUT_SECONDS:
                self._remove(name, source)

    def apply_vm_list(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Apply a VM list unless it is outdated; an unlisted server is leaving."""
        as_of = now - event.age_seconds
        area = self.blackboard.backends
        if as_of >= self._newest_list_at:
            self._newest_list_at = as_of
            staying = {
                vm.name
                for vm in event.vms
                if vm.state is _backend_messages.VmState.LIVE
            }
            staying.update(self.blackboard.configuration.declared.backends)
            for name in (*area.engines, *area.services):
                if name in staying:
                    self._remove(name, _Source.LIST)
                else:
                    self._add(name, _Source.LIST, now)
        self._refresh_all()
        return ()

    def _remove_unknown(self) -> None:
        area = self.blackboard.backends
        records = self.blackboard.departures.records
        for name, source in list(records):
            known = name in area.engines or name in area.services
            if not known and source is not _Source.OPERATOR:
                del records[name, source]

    def record_report(
        self, event: _backend_messages.LoadReported, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Record an engine's own departure; only a newer report can revoke it."""
        report = event.report
        departure = self.blackboard.departures.records.get(
            (report.engine, _Source.ITSELF)
        )
        as_of = now - report.age_seconds
        if report.leaving:
            if departure is None or departure.incarnation != report.incarnation:
                self._add(report.engine, _Source.ITSELF, as_of, report.incarnation)
        elif departure is not None:
            restarted = departure.incarnation not in ("", report.incarnation)
            if restarted or as_of > departure.since:
                self._remove(report.engine, _Source.ITSELF)
        return ()

    def record_refusal(
        self, event: _backend_messages.LeavingAnswered, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Record that a backend server refused a request because it is leaving."""
        self._add_self_reported(event.backend, now)
        return ()

    def record_failed_attempt(
        self, event: _answer_messages.AttemptFailed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Record that an engine refused an attempt because it is leaving."""
        if event.engine and event.fault is _answer_messages.AttemptFault.LEAVING:
            self._add_self_reported(event.engine, now)
        return ()

    def _add_self_reported(self, name: ids.BackendServerId, now: float) -> None:
        if (name, _Source.ITSELF) not in self.blackboard.departures.records:
            self._add(name, _Source.ITSELF, now, self._get_incarnation(name))

    def merge_peer_departures(
        self, event: _membership_messages.HeartbeatReceived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Merge departures that a peer reports, if newer than the engine's report."""
        for row in event.heartbeat.departures:
            if (row.backend, _Source.ITSELF) in self.blackboard.departures.records:
                continue
            since = now - row.age_seconds
            engine = self.blackboard.backends.engines.get(row.backend)
            known = self._get_incarnation(row.backend)
            matches = not row.incarnation or not known or row.incarnation == known
            is_newer = engine is None or since > engine.reported_at
            if matches and is_newer:
                self._add(row.backend, _Source.ITSELF, since, row.incarnation)
        return ()

    def _get_incarnation(self, name: ids.BackendServerId) -> str:
        engine = self.blackboard.backends.engines.get(name)
        if engine is None or engine.report is None:
            return ""
        return engine.report.incarnation

    def _add(
        self,
        name: ids.BackendServerId,
        source: _departure_area.DepartureSource,
        since: float,
        incarnation: str = "",
    ) -> None:
        if source is not _Source.OPERATOR and self._find(name) is None:
            return
        records = self.blackboard.departures.records
        if (name, source) in records and not incarnation:
            return
        records[name, source] = _departure_area.Departure(
            backend=name, source=source, since=since, incarnation=incarnation
        )
        self._refresh(name)

    def _remove(
        self, name: ids.BackendServerId, source: _departure_area.DepartureSource
    ) -> None:
        if self.blackboard.departures.records.pop((name, source), None) is not None:
            self._refresh(name)

    def _find(self, name: ids.BackendServerId) -> _backend_area.BackendServer | None:
        area = self.blackboard.backends
        return area.engines.get(name) or area.services.get(name)

    def _refresh(self, name: ids.BackendServerId) -> None:
        backend = self._find(name)
        if backend is not None:
            backend.leaving = self.blackboard.departures.is_leaving(name)
