"""Controller of the node's own state."""

import collections.abc

import attrs

from jujubepass.backends import _backend_messages
from jujubepass.configuration import _configuration_messages
from jujubepass.membership import _membership_messages
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.storage import _store_messages

_State = _node_messages.NodeState


@attrs.define(kw_only=True)
class NodeController:
    """Manage the state of the node, from starting to stopping."""

    blackboard: _blackboard.Blackboard
    resume_delay_seconds: float = 1.0
    _has_vm_list: bool = attrs.field(default=False, init=False)
    _vm_list_has_engines: bool = attrs.field(default=False, init=False)
    _has_configuration: bool = attrs.field(default=False, init=False)
    _pause_detected_at: float = attrs.field(default=float("-inf"), init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _backend_messages.VmsListed: self.record_vm_list,
            _configuration_messages.ConfigurationInstalled: self.record_configuration,
            _store_messages.RowsRead: self.end_pause,
            _membership_messages.HeartbeatReceived: self.end_pause,
            _node_messages.PauseDetected: self.record_pause,
            _node_messages.Tick: self.check_ready,
            _node_messages.StopRequested: self.drain,
            _node_messages.DrainEnded: self.stop,
        }

    def record_vm_list(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Record that a VM list has been read."""
        self._has_vm_list = True
        self._vm_list_has_engines = any(
            vm.role is _backend_messages.VmRole.ENGINE for vm in event.vms
        )
        self._update_readiness()
        return self.end_pause(event, now)

    def record_configuration(
        self, event: _configuration_messages.ConfigurationInstalled, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Record whether the newest configuration is in force."""
        self._has_configuration = self.blackboard.configuration.caught_up
        self._update_readiness()
        return ()

    def _update_readiness(self) -> None:
        node = self.blackboard.node
        if node.state is not _State.STARTING:
            return
        if self._has_vm_list and self._has_configuration and self._all_engines_polled():
            node.state = _State.READY

    def _all_engines_polled(self) -> bool:
        """Return whether every polled engine has answered or failed a poll."""
        backends = self.blackboard.backends
        engines = [backends.engines[name] for name in backends.list_polled()]
        if self._vm_list_has_engines and not engines:
            return False
        return all(engine.report or engine.failed_polls for engine in engines)

    def check_ready(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Become ready once VM list, configuration and engine reports are there."""
        self._update_readiness()
        return ()

    def record_pause(
        self, event: _node_messages.PauseDetected, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Refuse requests after a pause until new information has arrived."""
        node = self.blackboard.node
        node.pauses += 1
        node.paused_seconds += event.seconds
        self._pause_detected_at = now
        if node.state is _State.READY:
            node.state = _State.RESUMING
        return ()

    def end_pause(
        self,
        event: _backend_messages.VmsListed
        | _store_messages.RowsRead
        | _membership_messages.HeartbeatReceived,
        now: float,
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Become ready again after a pause.

        Messages that arrived during the pause are read first, so an event counts
        only once `resume_delay_seconds` have passed.
        """
        node = self.blackboard.node
        delay_passed = now - self._pause_detected_at >= self.resume_delay_seconds
        if node.state is _State.RESUMING and delay_passed:
            node.state = _State.READY
        return ()

    def drain(
        self, event: _node_messages.StopRequested, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Report as not ready, but still admit requests."""
        self.blackboard.node.state = _State.DRAINING
        return ()

    def stop(
        self, event: _node_messages.DrainEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Admit no more requests."""
        self.blackboard.node.state = _State.STOPPING
        return ()
