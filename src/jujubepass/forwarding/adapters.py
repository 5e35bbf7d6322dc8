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
    prompt_parts,
)
from jujubepass.storage import _table_client


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
    prompt_table: _table_client.Table
    prompts: feeds.DecodedFeed[prompt_parts.SuspectedPart]
    count_eras: collections.abc.Callable[[], collections.abc.Mapping[str, int]]
    """Return how often the store's era changed, and was missing or invalid."""
