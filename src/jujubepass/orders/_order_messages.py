"""Events and commands of orders to engines."""

import attrs

from jujubepass import ids
from jujubepass.orders import _order_area
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class ReadEngineState:
    """Command a read of what an engine was told and serves."""

    engine: ids.BackendServerId
    address: _http_client.Address


@attrs.frozen(kw_only=True)
class EngineStateRead:
    """Report what an engine was told, what it serves and whether it loads."""

    engine: ids.BackendServerId
    wanted: _order_area.Deployment
    actual: _order_area.Deployment
    loading: bool


@attrs.frozen(kw_only=True)
class EngineStateUnread:
    """Report that an engine did not tell its state."""

    engine: ids.BackendServerId


@attrs.frozen(kw_only=True)
class SendOrder:
    """Command an order, unless the clock has reached `until` when it is sent."""

    engine: ids.BackendServerId
    address: _http_client.Address
    fencing: ids.FencingNumber
    until: float
    wanted: _order_area.Deployment


@attrs.frozen(kw_only=True)
class OrderTaken:
    """Report that an engine took an order."""

    engine: ids.BackendServerId


@attrs.frozen(kw_only=True)
class OrderRefused:
    """Report that an engine has seen a higher fencing number."""

    engine: ids.BackendServerId


@attrs.frozen(kw_only=True)
class OrderWithheld:
    """Report that the lease had run out before the order was sent."""

    engine: ids.BackendServerId


@attrs.frozen(kw_only=True)
class OrderUnclear:
    """Report that an order may or may not have reached an engine."""

    engine: ids.BackendServerId
