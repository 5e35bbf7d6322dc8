"""Events and commands between nodes."""

import attrs

from jujubepass import ids
from jujubepass.nodes import _node_messages
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class Place:
    """Tell where a node stands and listens."""

    address: _http_client.Address
    region: ids.RegionId
    failure_domain: ids.FailureDomainId


@attrs.frozen(kw_only=True)
class NodeRow:
    """Hold what a node believes of another."""

    node: ids.NodeId
    incarnation: str
    sequence: int
    leaving: bool = False
    accusers: frozenset[ids.NodeId] = frozenset()
    place: Place | None = None


@attrs.frozen(kw_only=True)
class DepartureRow:
    """Hold that a backend server said it is leaving, and how long ago."""

    backend: ids.BackendServerId
    incarnation: str
    age_seconds: float


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Hold what a node tells of itself and, in bounded rows, of others."""

    node: ids.NodeId
    incarnation: str
    state: _node_messages.NodeState
    configuration_number: ids.ChangeNumber
    configuration_digest: str
    sequence: int = 0
    members_digest: int = 0
    place: Place | None = None
    nodes: tuple[NodeRow, ...] = ()
    departures: tuple[DepartureRow, ...] = ()


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


@attrs.frozen(kw_only=True)
class ForgetPeer:
    """Command that the connection to a node that is gone be closed."""

    address: _http_client.Address
