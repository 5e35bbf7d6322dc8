"""Events and commands that shift unused shares of account limits between nodes."""

import attrs

from jujubepass import ids
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class Demand:
    """Describe a node's share request for one account's limits, with what it holds."""

    account: ids.AccountId
    wanted_rate: float
    held_rate: float
    wanted_running: int
    held_running: int


@attrs.frozen(kw_only=True)
class Grant:
    """Describe a share of one account's limits that a node may use."""

    account: ids.AccountId
    rate: float
    running: int


@attrs.frozen(kw_only=True)
class SendDemands:
    """Command the sending of share requests to the accounts' home node."""

    address: _http_client.Address
    node: ids.NodeId
    demands: tuple[Demand, ...]


@attrs.frozen(kw_only=True)
class DemandsReceived:
    """Report share requests received from a peer."""

    node: ids.NodeId
    demands: tuple[Demand, ...]


@attrs.frozen(kw_only=True)
class SendGrants:
    """Command the sending of grants to a requesting node."""

    address: _http_client.Address
    node: ids.NodeId
    grants: tuple[Grant, ...]


@attrs.frozen(kw_only=True)
class GrantsReceived:
    """Report grants received from a home node."""

    node: ids.NodeId
    grants: tuple[Grant, ...]
