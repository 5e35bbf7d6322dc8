"""Events and commands that move unused shares of account limits between nodes."""

import attrs

from jujubepass import ids
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class Demand:
    """State what one node wants and holds of one account's limits."""

    account: ids.AccountId
    wanted_rate: float
    held_rate: float
    wanted_running: int
    held_running: int


@attrs.frozen(kw_only=True)
class Grant:
    """State what one node may use of one account's limits."""

    account: ids.AccountId
    rate: float
    running: int


@attrs.frozen(kw_only=True)
class SendDemands:
    """Command demands to the node that divides these accounts' limits."""

    address: _http_client.Address
    node: ids.NodeId
    demands: tuple[Demand, ...]


@attrs.frozen(kw_only=True)
class DemandsReceived:
    """Report a peer's demands."""

    node: ids.NodeId
    demands: tuple[Demand, ...]


@attrs.frozen(kw_only=True)
class SendGrants:
    """Command grants to a node that asked."""

    address: _http_client.Address
    node: ids.NodeId
    grants: tuple[Grant, ...]


@attrs.frozen(kw_only=True)
class GrantsReceived:
    """Report grants from a peer."""

    node: ids.NodeId
    grants: tuple[Grant, ...]
