"""Controller of backend servers: their discovery, load and cache contents."""

import collections.abc
import heapq

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_area, _backend_messages
from jujubepass.configuration import _configuration_messages
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.routing import _subsets

_REMOVAL_FAILED_POLLS = 3
_MAX_CACHED_PREFIXES = 1_024
_MAX_POLLS_PER_SECOND = 96.0
_GAP_SMOOTHING = 0.2
_POLL_SMOOTHING = 0.3
_MAX_POLL_GROWTH = 2.0
_POLL_SLACK_SECONDS = 0.005


@attrs.frozen(kw_only=True)
class BackendTiming:
    """Configure the poll intervals of engines and of the VM list."""

    load_poll_seconds: float
    vm_poll_seconds: float


@attrs.define(kw_only=True)
class BackendController:
    """Track backend servers by VM list, declarations and load reports."""

    blackboard: _blackboard.Blackboard
    timing: BackendTiming
    _vms_polled_at: float = attrs.field(default=float("-inf"), init=False)
    _listed_vms: tuple[_backend_messages.Vm, ...] = attrs.field(default=(), init=False)
    _installed_declarations: object = attrs.field(default=None, init=False)
    _poll_schedule: list[tuple[float, ids.BackendServerId]] = attrs.field(
        factory=list, init=False
    )
    _scheduled: set[ids.BackendServerId] = attrs.field(factory=set, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.poll,
            _backend_messages.VmsListed: self.merge_vm_list,
            _configuration_messages.ConfigurationInstalled: self.merge_declared,
            _backend_messages.LoadReported: self.record_report,
            _backend_messages.LoadUnanswered: self.count_failed_poll,
            _backend_messages.CacheEventsReported: self.record_cache_events,
        }

    def poll(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterator[_dispatch.Command]:
        """Request the VM list and the load reports that are due."""
        if now - self._vms_polled_at >= self.timing.vm_poll_seconds:
            self._vms_polled_at = now
            yield _backend_messages.PollVms()
        while self._poll_schedule and self._poll_schedule[0][0] <= now:
            yield from self._poll_engine(heapq.heappop(self._poll_schedule)[1], now)

    def _poll_engine(
        self, name: ids.BackendServerId, now: float
    ) -> collections.abc.Iterator[_dispatch.Command]:
        engine = self.blackboard.backends.engines.get(name)
        polled = self.blackboard.backends.polled
        if engine is None or name not in polled:
            self._scheduled.discard(name)
            return
        period = max(self.timing.load_poll_seconds, len(polled) / _MAX_POLLS_PER_SECOND)
        heapq.heappush(self._poll_schedule, (now + period, name))
        if engine.poll_running:
            return
        engine.poll_running = True
        engine.polled_at = now
        address = engine.vm.address
        yield _backend_messages.PollLoad(engine=name, address=address)
        yield _backend_messages.PollCache(
            engine=name, address=address, after=engine.cache_sequence
        )

    def merge_vm_list(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Merge the platform's VM list; an unlisted engine that answers polls stays."""
        self.blackboard.backends.listed_at = now - event.age_seconds
        self._listed_vms = event.vms
        return self._merge(now)

    def merge_declared(
        self, event: _configuration_messages.ConfigurationInstalled, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Merge the backend servers that operators added or drained."""
        declared = self.blackboard.configuration.declared
        seen = (declared.backends, declared.drained, declared.models)
        if seen != self._installed_declarations:
            self._installed_declarations = seen
            self._merge(now)
        return ()

    def _merge(self, now: float) -> collections.abc.Iterable[_dispatch.Command]:
        area = self.blackboard.backends
        vms = {**self.blackboard.configuration.declared.backends}
        vms.update((ids.BackendServerId(vm.name), vm) for vm in self._listed_vms)
        for role, current in (
            (_backend_messages.VmRole.ENGINE, area.engines),
            (_backend_messages.VmRole.SERVICE, area.services),
        ):
            listed = {name: vm for name, vm in vms.items() if vm.role is role}
            for name in [name for name in current if name not in listed]:
                # An engine that is not polled cannot prove that it is still running.
                unresponsive = current[name].failed_polls >= _REMOVAL_FAILED_POLLS
                if name not in area.polled or unresponsive:
                    del current[name]
            for name, vm in listed.items():
                self._merge_vm(current, name, vm)
        self._choose_polled(now)
        return ()

    def _choose_polled(self, now: float) -> None:
        """Choose the engines that this node polls and uses."""
        area = self.blackboard.backends
        area.polled = _subsets.choose_engines(
            area.engines, self.blackboard.configuration.declared.models
        )
        for name in area.polled:
            if name not in self._scheduled:
                self._scheduled.add(name)
                heapq.heappush(self._poll_schedule, (now, name))

    def _merge_vm(
        self,
        current: dict[ids.BackendServerId, _backend_area.BackendServer],
        name: ids.BackendServerId,
        vm: _backend_messages.Vm,
    ) -> None:
        backend = current.get(name)
        if backend is None or backend.vm.address != vm.address:
            rank = _subsets.rank_engine(self.blackboard.identity.node, name)
            backend = current[name] = _backend_area.BackendServer(vm=vm, rank=rank)
        backend.vm = vm

    def record_report(
        self, event: _backend_messages.LoadReported, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Record an engine's newest load report."""
        engine = self.blackboard.backends.engines.get(event.report.engine)
        if engine is None:
            return ()
        restarted = (
            engine.report is not None
            and engine.report.incarnation != event.report.incarnation
        )
        if restarted:
            engine.cached_prefixes.clear()
            engine.cache_sequence = 0
        if engine.poll_running:
            max_seconds = _MAX_POLL_GROWTH * engine.poll_seconds + _POLL_SLACK_SECONDS
            elapsed = min(now - engine.polled_at, max_seconds)
            engine.poll_seconds += _POLL_SMOOTHING * (elapsed - engine.poll_seconds)
        engine.report = event.report
        engine.reported_at = now - event.report.age_seconds
        engine.report_received_at = now
        engine.poll_running = False
        engine.failed_polls = 0
        return ()

    def count_failed_poll(
        self, event: _backend_messages.LoadUnanswered, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Count a poll without an answer."""
        engine = self.blackboard.backends.engines.get(event.engine)
        if engine is not None:
            engine.poll_running = False
            engine.failed_polls += 1
            if engine.failed_polls == 1:
                self._choose_polled(now)
        return ()

    def record_cache_events(
        self, event: _backend_messages.CacheEventsReported, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Record the prefix blocks that an engine stores and when it reported them."""
        engine = self.blackboard.backends.engines.get(event.engine)
        if engine is None:
            return ()
        cached = engine.cached_prefixes
        for cache_event in event.events:
            cached.pop(cache_event.prefix, None)
            if cache_event.stored:
                cached[cache_event.prefix] = now
        while len(cached) > _MAX_CACHED_PREFIXES:
            cached.popitem(last=False)
        expected = max(1, event.next_sequence - engine.cache_sequence)
        missing = max(0.0, 1.0 - len(event.events) / expected)
        engine.cache_gap_share += _GAP_SMOOTHING * (missing - engine.cache_gap_share)
        engine.cache_sequence = event.next_sequence
        return ()
