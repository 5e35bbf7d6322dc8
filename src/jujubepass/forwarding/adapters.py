"""Interfaces that a forwarding node needs from the platform it runs on."""

import collections.abc

import attrs

from jujubepass.forwarding import (
    backends,
    declarations,
    engines,
    exchange,
    feeds,
    members,
    plans,
)
from jujubepass.quarantine import suspects
from jujubepass.storage import _table_client

# Alias, because a field has the same name as the module.
_Suspect = suspects.Suspect


@attrs.frozen(kw_only=True)
class Adapter:
    """Provide the implementation of each interface to the platform."""

    wire: exchange.Wire
    control: engines.EngineControl
    table: _table_client.Table
    configuration: feeds.DecodedFeed[declarations.Declarations]
    backends: feeds.DecodedFeed[backends.Backend]
    plans: feeds.DecodedFeed[plans.Plan]
    member_table: _table_client.Table
    members: feeds.DecodedFeed[members.Member]
    suspect_table: _table_client.Table
    secret_table: _table_client.Table
    suspects: feeds.DecodedFeed[_Suspect]
    count_eras: collections.abc.Callable[[], collections.abc.Mapping[str, int]]
    """Return how often the store's era changed, and was missing or invalid."""
