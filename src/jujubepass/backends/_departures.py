"""Controller that keeps which backend servers are leaving, by whose word."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.answers import _answer_messages
from jujubepass.backends import _backend_area, _backend_messages, _departure_area
from jujubepass.configuration import _configuration_messages
from jujubepass.membership import _membership_messages
from jujubepass.nodes import _blackboard, _dispatch, _node_messages

_Source = _departure_area.DepartureSource
_UNCONFIRMED_WORD_SECONDS = 300.0
_SWEEP_SECONDS = 1.0


@attrs.define(kw_only=True)
class DepartureController:
    """Write the departure area and each backend server's `leaving`."""

    blackboard: _blackboard.Blackboard
    _newest_list: float = attrs.field(default=float("-inf"), init=False)
    _drained: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _swept_at: float = attrs.field(default=float("-inf"), init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.keep_drains,
            _configuration_messages.ConfigurationInstalled: self.keep_declared,
            _backend_messages.VmsListed: self.keep_list,
            _backend_messages.LoadReported: self.keep_report,
            _backend_messages.LeavingAnswered: self.keep_answer,
            _answer_messages.AttemptFailed: self.keep_refusal,
            _membership_messages.HeartbeatReceived: self.keep_peer_word,
        }

    def keep_drains(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over what operators drain, and forget what nobody confirmed."""
        drained = self.blackboard.configuration.declared.drained
        if drained is not self._drained:
            for name in map(ids.BackendServerId, drained - self._drained):
                self._add(name, _Source.OPERATOR, now)
            for name in map(ids.BackendServerId, self._drained - drained):
                self._remove(name, _Source.OPERATOR)
            self._drained = drained
        if now - self._swept_at >= _SWEEP_SECONDS:
            self._swept_at = now
            self._forget_unconfirmed(now)
        return ()

    def keep_declared(
        self, event: _configuration_messages.ConfigurationInstalled, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Judge backend servers that operators added or removed."""
        self._refresh_all()
        return ()

    def _refresh_all(self) -> None:
        self._forget_gone()
        area = self.blackboard.backends
        for name in (*area.engines, *area.services):
            self._refresh(name)

    def _forget_unconfirmed(self, now: float) -> None:
        words = self.blackboard.departures.words
        for (name, source), word in list(words.items()):
            unconfirmed = source is _Source.ITSELF and not word.incarnation
            if unconfirmed and now - word.since >= _UNCONFIRMED_WORD_SECONDS:
                self._remove(name, source)

    def keep_list(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over the list, unless a newer one was seen; absent means leaving."""
        as_of = now - event.age_seconds
        area = self.blackboard.backends
        if as_of >= self._newest_list:
            self._newest_list = as_of
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

    def _forget_gone(self) -> None:
        area = self.blackboard.backends
        words = self.blackboard.departures.words
        for name, source in list(words):
            known = name in area.engines or name in area.services
            if not known and source is not _Source.OPERATOR:
                del words[name, source]

    def keep_report(
        self, event: _backend_messages.LoadReported, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over an engine's own word; only a newer one takes it back."""
        report = event.report
        word = self.blackboard.departures.words.get((report.engine, _Source.ITSELF))
        as_of = now - report.age_seconds
        if report.leaving:
            if word is None or word.incarnation != report.incarnation:
                self._add(report.engine, _Source.ITSELF, as_of, report.incarnation)
        elif word is not None:
            restarted = word.incarnation not in ("", report.incarnation)
            if restarted or as_of > word.since:
                self._remove(report.engine, _Source.ITSELF)
        return ()

    def keep_answer(
        self, event: _backend_messages.LeavingAnswered, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over a refusal that says the backend server is leaving."""
        self._keep_own_word(event.backend, now)
        return ()

    def keep_refusal(
        self, event: _answer_messages.AttemptFailed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over an engine's refusal that says it is leaving."""
        if event.engine and event.fault is _answer_messages.AttemptFault.LEAVING:
            self._keep_own_word(event.engine, now)
        return ()

    def _keep_own_word(self, name: ids.BackendServerId, now: float) -> None:
        if (name, _Source.ITSELF) not in self.blackboard.departures.words:
            self._add(name, _Source.ITSELF, now, self._get_incarnation(name))

    def keep_peer_word(
        self, event: _membership_messages.HeartbeatReceived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over what a peer heard from a backend server, unless it is older."""
        for row in event.heartbeat.departures:
            if (row.backend, _Source.ITSELF) in self.blackboard.departures.words:
                continue
            since = now - row.age_seconds
            engine = self.blackboard.backends.engines.get(row.backend)
            known = self._get_incarnation(row.backend)
            same = not row.incarnation or not known or row.incarnation == known
            newer = engine is None or since > engine.reported_at
            if same and newer:
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
        words = self.blackboard.departures.words
        if (name, source) in words and not incarnation:
            return
        words[name, source] = _departure_area.Departure(
            backend=name, source=source, since=since, incarnation=incarnation
        )
        self._refresh(name)

    def _remove(
        self, name: ids.BackendServerId, source: _departure_area.DepartureSource
    ) -> None:
        if self.blackboard.departures.words.pop((name, source), None) is not None:
            self._refresh(name)

    def _find(self, name: ids.BackendServerId) -> _backend_area.BackendServer | None:
        area = self.blackboard.backends
        return area.engines.get(name) or area.services.get(name)

    def _refresh(self, name: ids.BackendServerId) -> None:
        backend = self._find(name)
        if backend is not None:
            backend.leaving = self.blackboard.departures.is_leaving(name)
