"""Assembly of a node's relay from its controller, link, server and feeds."""

import collections
import collections.abc
import secrets

import attrs

from jujubepass.forwarding import board, clocks, feeds
from jujubepass.relay import area, feed, links, sources
from jujubepass.transport import _http_client

# Ages at which a node that other nodes serve reads a table of the store itself. Keys
# are accepted until the configuration is three seconds old.
_MAX_AGES_SECONDS = {
    "configuration": (1.85, 2.5),
    "backends": (2.6, 4.0),
    "plans": (23.0, 30.0),
    "members": (11.0, 12.0),
}
# Aliases, because fields have the same names as the modules.
_RelayArea = area.RelayArea
_RowFeed = feeds.RowFeed


@attrs.define(kw_only=True)
class Relay:
    """Combine the parts that relay rows from and to other nodes."""

    blackboard: board.Blackboard
    stores: collections.abc.Mapping[str, _RowFeed]
    """Feeds of the store by the names of their tables."""
    transport: links.Transport
    address: _http_client.Address | None
    """Where other nodes ask this one; None if it takes no part."""
    area: _RelayArea = attrs.field(factory=_RelayArea, init=False)
    token: str = attrs.field(
        factory=lambda: secrets.token_hex(16), init=False, repr=False
    )
    controller: sources.SourceController = attrs.field(init=False)
    link: links.RelayLink = attrs.field(init=False)
    server: links.RelayServer = attrs.field(init=False)
    feeds: dict[str, feed.RelayedFeed] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.controller = sources.SourceController(
            blackboard=self.blackboard, is_enabled=self.address is not None
        )
        self.link = links.RelayLink(
            area=self.area, controller=self.controller, transport=self.transport
        )
        self.server = links.RelayServer(area=self.area, token=self.token)
        self.feeds = {
            name: feed.RelayedFeed(
                name=name,
                store=store,
                area=self.area,
                controller=self.controller,
                max_age_seconds=_MAX_AGES_SECONDS[name],
                # The rows of nodes tell where the other rows can be had.
                waits_at_start=self.address is not None and name != "members",
            )
            for name, store in self.stores.items()
        }

    def reads_store(self) -> bool:
        """Return whether this node reads the store, for itself and for others."""
        return self.controller.is_reader(clocks.read_boot_clock())

    def count_reads(self) -> dict[str, int]:
        """Return the reads of the store by table."""
        return {name: each.reads.total() for name, each in self.feeds.items()}

    def count_reasons(self) -> dict[str, int]:
        """Return the reads of the store by reason."""
        reads = (each.reads for each in self.feeds.values())
        return dict(sum(reads, collections.Counter[str]()))

    def find_age(self, name: str) -> float:
        """Return the age of a table's rows in seconds."""
        return clocks.read_boot_clock() - self.area.histories[name].confirmed_at
