"""Events and commands of orders to engines."""

import attrs

from jujubepass import ids
from jujubepass.orders import _order_area
from jujubepass.transport import _http_client


@attrs.frozen(kw_only=True)
class ReadEngineState:
    """Command a read of the wanted and actual deployment of an engine."""

    engine: ids.BackendServerId
    address: _http_client.Address


@attrs.frozen(kw_only=True)
class EngineStateRead:
    """Report an engine's wanted and actual deployment and whether it is loading."""

    engine: ids.BackendServerId
    wanted: _order_area.Deployment
    actual: _order_area.Deployment
    loading: bool


@attrs.frozen(kw_only=True)
class EngineStateUnread:
    """Report a failed read of an engine's state."""

    engine: ids.BackendServerId


@attrs.frozen(kw_only=True)
class SendOrder:
    """Command the sending of an order unless the node's clock has reached `until`."""

    engine: ids.BackendServerId
    address: _http_client.Address
    fencing: ids.FencingNumber
    until: float
    wanted: _order_area.Deployment


@attrs.frozen(kw_only=True)
class OrderTaken:
    """Report an order that an engine accepted."""

    engine: ids.BackendServerId


@attrs.frozen(kw_only=True)
class OrderRefused:
    """Report an order that an engine refused because of its fencing number."""

    engine: ids.BackendServerId


@attrs.frozen(kw_only=True)
class OrderWithheld:
    """Report an order that was not sent because its lease had expired."""

    engine: ids.BackendServerId


@attrs.frozen(kw_only=True)
class OrderUnclear:
    """Report an order that may or may not have reached the engine."""

    engine: ids.BackendServerId
