"""Controller that keeps what is known of backend servers."""

import collections.abc

import attrs

from jujubepass import (
    _backend_area,
    _backend_messages,
    _blackboard,
    _configuration_messages,
    _dispatch,
    _node_messages,
    ids,
)


@attrs.frozen(kw_only=True)
class BackendTiming:
    """Set how often backend servers and the VM list are asked."""

    load_poll_seconds: float
    vm_poll_seconds: float


@attrs.define(kw_only=True)
class BackendController:
    """Join the VM list, load reports and operators' drains."""

    blackboard: _blackboard.Blackboard
    timing: BackendTiming
    _vms_polled_at: float = attrs.field(default=float("-inf"), init=False)
    _listed: tuple[_backend_messages.Vm, ...] = attrs.field(default=(), init=False)
    _declared: object = attrs.field(default=None, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.poll,
            _backend_messages.VmsListed: self.join_list,
            _configuration_messages.ConfigurationInstalled: self.join_declared,
            _backend_messages.LoadReported: self.keep_report,
            _backend_messages.LoadUnanswered: self.count_silence,
            _backend_messages.CacheEventsReported: self.keep_cache_events,
        }

    def poll(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterator[_dispatch.Command]:
        """Ask for the VM list and the loads that are due."""
        if now - self._vms_polled_at >= self.timing.vm_poll_seconds:
            self._vms_polled_at = now
            yield _backend_messages.PollVms()
        for name, engine in self.blackboard.backends.engines.items():
            due = engine.polled_at + self.timing.load_poll_seconds
            if now >= due and not engine.poll_running:
                engine.polled_at = now
                engine.poll_running = True
                yield _backend_messages.PollLoad(engine=name, address=engine.vm.address)
                yield _backend_messages.PollCache(
                    engine=name, address=engine.vm.address, after=engine.cache_sequence
                )

    def join_list(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over the platform's list of engines and services."""
        self._listed = event.vms
        return self._join()

    def join_declared(
        self, event: _configuration_messages.ConfigurationInstalled, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take over the backend servers that operators added or drained."""
        declared = self.blackboard.configuration.declared
        seen = (declared.backends, declared.drained)
        if seen != self._declared:
            self._declared = seen
            self._join()
        return ()

    def _join(self) -> collections.abc.Iterable[_dispatch.Command]:
        area = self.blackboard.backends
        vms = {**self.blackboard.configuration.declared.backends}
        vms.update((ids.BackendServerId(vm.name), vm) for vm in self._listed)
        for role, known in (
            (_backend_messages.VmRole.ENGINE, area.engines),
            (_backend_messages.VmRole.SERVICE, area.services),
        ):
            listed = {name: vm for name, vm in vms.items() if vm.role is role}
            for name in [name for name in known if name not in listed]:
                del known[name]
            for name, vm in listed.items():
                self._join_vm(known, name, vm)
        return ()

    def _join_vm(
        self,
        known: dict[ids.BackendServerId, _backend_area.BackendServer],
        name: ids.BackendServerId,
        vm: _backend_messages.Vm,
    ) -> None:
        backend = known.get(name)
        if backend is None or backend.vm.address != vm.address:
            backend = known[name] = _backend_area.BackendServer(vm=vm)
        backend.vm = vm
        backend.leaving = self._is_leaving(backend)

    def _is_leaving(self, backend: _backend_area.BackendServer) -> bool:
        listed = backend.vm.state is _backend_messages.VmState.LEAVING
        told = backend.report is not None and backend.report.leaving
        drained = self.blackboard.configuration.declared.drained
        return listed or told or backend.vm.name in drained

    def keep_report(
        self, event: _backend_messages.LoadReported, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Keep an engine's newest load."""
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
        engine.report = event.report
        engine.reported_at = now - event.report.age_seconds
        engine.poll_running = False
        engine.failed_polls = 0
        engine.leaving = self._is_leaving(engine)
        return ()

    def count_silence(
        self, event: _backend_messages.LoadUnanswered, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Count polls without an answer."""
        engine = self.blackboard.backends.engines.get(event.engine)
        if engine is not None:
            engine.poll_running = False
            engine.failed_polls += 1
        return ()

    def keep_cache_events(
        self, event: _backend_messages.CacheEventsReported, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Keep which prefix blocks an engine stores, with the time of the news."""
        engine = self.blackboard.backends.engines.get(event.engine)
        if engine is None:
            return ()
        for cache_event in event.events:
            if cache_event.stored:
                engine.cached_prefixes[cache_event.prefix] = now
            else:
                engine.cached_prefixes.pop(cache_event.prefix, None)
        engine.cache_sequence = event.next_sequence
        return ()
