"""Controller of the node's own state."""

import collections.abc

import attrs

from jujubepass import (
    _backend_messages,
    _blackboard,
    _configuration_messages,
    _dispatch,
    _node_messages,
)


@attrs.define(kw_only=True)
class NodeController:
    """Write the node area."""

    blackboard: _blackboard.Blackboard
    _listed: bool = attrs.field(default=False, init=False)
    _configured: bool = attrs.field(default=False, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _backend_messages.VmsListed: self.note_list,
            _configuration_messages.ConfigurationInstalled: self.note_configuration,
            _node_messages.StopRequested: self.stop,
        }

    def note_list(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Note that the VM list is known."""
        self._listed = True
        return self._become_ready()

    def note_configuration(
        self, event: _configuration_messages.ConfigurationInstalled, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Note that the newest configuration is in force."""
        self._configured = self.blackboard.configuration.caught_up
        return self._become_ready()

    def _become_ready(self) -> collections.abc.Iterable[_dispatch.Command]:
        node = self.blackboard.node
        starting = node.state is _node_messages.NodeState.STARTING
        if starting and self._listed and self._configured:
            node.state = _node_messages.NodeState.READY
        return ()

    def stop(
        self, event: _node_messages.StopRequested, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Leave: take no new work."""
        self.blackboard.node.state = _node_messages.NodeState.STOPPING
        return ()
