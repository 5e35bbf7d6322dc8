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
    """Write the node area."""

    blackboard: _blackboard.Blackboard
    settling_seconds: float = 1.0
    _listed: bool = attrs.field(default=False, init=False)
    _lists_engines: bool = attrs.field(default=False, init=False)
    _configured: bool = attrs.field(default=False, init=False)
    _resumed_at: float = attrs.field(default=float("-inf"), init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _backend_messages.VmsListed: self.note_list,
            _configuration_messages.ConfigurationInstalled: self.note_configuration,
            _store_messages.RowsRead: self.note_contact,
            _membership_messages.HeartbeatReceived: self.note_contact,
            _node_messages.PauseDetected: self.resume,
            _node_messages.Tick: self.check_ready,
            _node_messages.StopRequested: self.drain,
            _node_messages.DrainEnded: self.stop,
        }

    def note_list(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Note that the VM list is known."""
        self._listed = True
        self._lists_engines = any(
            vm.role is _backend_messages.VmRole.ENGINE for vm in event.vms
        )
        self._become_ready()
        return self.note_contact(event, now)

    def note_configuration(
        self, event: _configuration_messages.ConfigurationInstalled, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Note that the newest configuration is in force."""
        self._configured = self.blackboard.configuration.caught_up
        self._become_ready()
        return ()

    def _become_ready(self) -> None:
        node = self.blackboard.node
        if node.state is not _State.STARTING:
            return
        if self._listed and self._configured and self._knows_engines():
            node.state = _State.READY

    def _knows_engines(self) -> bool:
        """Tell whether every engine to poll has answered or failed to."""
        backends = self.blackboard.backends
        engines = [backends.engines[name] for name in backends.list_polled()]
        if self._lists_engines and not engines:
            return False
        return all(engine.report or engine.failed_polls for engine in engines)

    def check_ready(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Become ready once all that requests need is known."""
        self._become_ready()
        return ()

    def resume(
        self, event: _node_messages.PauseDetected, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take no requests after a pause until fresh word has come."""
        node = self.blackboard.node
        node.pauses += 1
        node.paused_seconds += event.seconds
        self._resumed_at = now
        if node.state is _State.READY:
            node.state = _State.RESUMING
        return ()

    def note_contact(
        self,
        event: _backend_messages.VmsListed
        | _store_messages.RowsRead
        | _membership_messages.HeartbeatReceived,
        now: float,
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """End the wait after a pause; what came while paused is read before that."""
        node = self.blackboard.node
        settled = now - self._resumed_at >= self.settling_seconds
        if node.state is _State.RESUMING and settled:
            node.state = _State.READY
        return ()

    def drain(
        self, event: _node_messages.StopRequested, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Be not ready, but take what callers still send."""
        self.blackboard.node.state = _State.DRAINING
        return ()

    def stop(
        self, event: _node_messages.DrainEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Take no new work."""
        self.blackboard.node.state = _State.STOPPING
        return ()
