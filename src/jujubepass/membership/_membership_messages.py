"""Events and commands of the exchange of heartbeats between nodes."""

import attrs

from jujubepass import ids
from jujubepass.nodes import _node_messages
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class Place:
    """Describe the address, region and failure domain of a node."""

    address: _http_client.Address
    region: ids.RegionId
    failure_domain: ids.FailureDomainId


@attrs.frozen(kw_only=True)
class NodeRow:
    """Describe the state of a node as seen by another node."""

    node: ids.NodeId
    incarnation: str
    sequence: int
    leaving: bool = False
    accusers: frozenset[ids.NodeId] = frozenset()
    place: Place | None = None


@attrs.frozen(kw_only=True)
class DepartureRow:
    """Describe a backend server that reported itself leaving.

    The age is the time since that report.
    """

    backend: ids.BackendServerId
    incarnation: str
    age_seconds: float


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Describe a node's own state and, in a bounded number of rows, other nodes."""

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
    """Command the sending of a heartbeat to a peer."""

    peer: ids.NodeId
    address: _http_client.Address
    heartbeat: Heartbeat


@attrs.frozen(kw_only=True)
class HeartbeatReceived:
    """Report a heartbeat received from a peer."""

    heartbeat: Heartbeat


@attrs.frozen(kw_only=True)
class ForgetPeer:
    """Command the closing of the connection to a removed node."""

    address: _http_client.Address
