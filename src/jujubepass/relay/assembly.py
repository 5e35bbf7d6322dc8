"""Assembly of a node's relay from its controller, link, server and feeds."""

import collections
import collections.abc
import random
import secrets

import attrs

from jujubepass.forwarding import board, clocks, feeds
from jujubepass.relay import area, feed, links, sources
from jujubepass.transport import _http_client

# Ages at which a node that other nodes serve reads a table of the store itself.
_MAX_PLANS_AGES_SECONDS = (23.0, 30.0)
_MAX_PROMPTS_AGES_SECONDS = (23.0, 30.0)
_MAX_MEMBERS_AGES_SECONDS = (11.0, 12.0)
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
    random_source: random.Random = attrs.field(factory=random.Random)
    area: _RelayArea = attrs.field(factory=_RelayArea, init=False)
    token: str = attrs.field(
        factory=lambda: secrets.token_hex(16), init=False, repr=False
    )
    controller: sources.SourceController = attrs.field(init=False)
    link: links.RelayLink = attrs.field(init=False)
    server: links.RelayServer = attrs.field(init=False)
    feeds: dict[str, feed.RelayedFeed] = attrs.field(init=False)
    _read_ages: dict[str, collections.abc.Callable[[], tuple[float, float]]] = (
        attrs.field(init=False)
    )

    def __attrs_post_init__(self) -> None:
        self.controller = sources.SourceController(
            blackboard=self.blackboard,
            is_enabled=self.address is not None,
            random_source=self.random_source,
        )
        self.link = links.RelayLink(
            area=self.area, controller=self.controller, transport=self.transport
        )
        self.server = links.RelayServer(
            node=self.blackboard.node,
            area=self.area,
            controller=self.controller,
            token=self.token,
        )
        controller = self.controller
        self._read_ages = {
            "configuration": lambda: controller.find_read_ages(
                controller.find_configuration_bound()
            ),
            "backends": lambda: controller.find_read_ages(
                controller.find_drain_bound()
            ),
            "plans": lambda: _MAX_PLANS_AGES_SECONDS,
            "members": lambda: _MAX_MEMBERS_AGES_SECONDS,
            "prompts": lambda: _MAX_PROMPTS_AGES_SECONDS,
        }
        self.feeds = {
            name: feed.RelayedFeed(
                name=name,
                store=store,
                area=self.area,
                controller=self.controller,
                find_read_ages=self._read_ages[name],
                # The rows of nodes tell where the other rows can be had.
                waits_at_start=self.address is not None and name != "members",
                random_source=self.random_source,
            )
            for name, store in self.stores.items()
        }

    def find_configuration_wait(self) -> float:
        """Return the wait for changes of the configuration, in seconds."""
        return self.controller.find_wait(self.controller.find_configuration_bound())

    def find_backends_wait(self) -> float:
        """Return the wait for changes of the list, in seconds."""
        return self.controller.find_wait(self.controller.find_drain_bound())

    def reads_store(self) -> bool:
        """Return whether this node reads the store, for itself and for others."""
        now = clocks.read_boot_clock()
        return self.controller.is_reader(now) or self.controller.is_substitute()

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
