"""Events and commands between nodes."""

import attrs

from jujubepass import _http_client, _node_messages, ids


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Hold what a node tells of itself."""

    node: ids.NodeId
    incarnation: str
    state: _node_messages.NodeState
    configuration_number: ids.ChangeNumber
    configuration_digest: str


@attrs.frozen(kw_only=True)
class SendHeartbeat:
    """Command a heartbeat to a peer."""

    peer: ids.NodeId
    address: _http_client.Address
    heartbeat: Heartbeat


@attrs.frozen(kw_only=True)
class HeartbeatReceived:
    """Report a peer's heartbeat."""

    heartbeat: Heartbeat
