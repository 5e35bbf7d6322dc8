"""Events and commands that shift unused shares of account limits between nodes."""

import attrs

from jujubepass import ids
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class Demand:
    """Request of a node for a share of one account's limits, with what it holds."""

    account: ids.AccountId
    wanted_rate: float
    held_rate: float
    wanted_running: int
    held_running: int


@attrs.frozen(kw_only=True)
class Grant:
    """Share of one account's limits that a node may use."""

    account: ids.AccountId
    rate: float
    running: int


@attrs.frozen(kw_only=True)
class SendDemands:
    """Command to send share requests to the accounts' home node."""

    address: _http_client.Address
    node: ids.NodeId
    demands: tuple[Demand, ...]


@attrs.frozen(kw_only=True)
class DemandsReceived:
    """Event: share requests arrived from a peer."""

    node: ids.NodeId
    demands: tuple[Demand, ...]


@attrs.frozen(kw_only=True)
class SendGrants:
    """Command to send grants to a requesting node."""

    address: _http_client.Address
    node: ids.NodeId
    grants: tuple[Grant, ...]


@attrs.frozen(kw_only=True)
class GrantsReceived:
    """Event: grants arrived from a home node."""

    node: ids.NodeId
    grants: tuple[Grant, ...]
