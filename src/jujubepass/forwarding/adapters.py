"""What a forwarding node needs of the platform it runs on."""

import attrs

from jujubepass.forwarding import (
    backends,
    declarations,
    engines,
    exchange,
    feeds,
    plans,
)
from jujubepass.storage import _table_client


@attrs.frozen(kw_only=True)
class Adapter:
    """Hold one implementation of each part of the platform."""

    wire: exchange.Wire
    control: engines.EngineControl
    table: _table_client.Table
    configuration: feeds.Feed[declarations.Declarations]
    backends: feeds.Feed[backends.Backend]
    plans: feeds.Feed[plans.Plan]
