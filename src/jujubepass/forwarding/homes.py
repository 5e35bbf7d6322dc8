"""Nodes that divide the request limits of backend servers, by rendezvous hashing."""

import collections.abc
import hashlib

import attrs

from jujubepass import ids
from jujubepass.forwarding import board, clocks, members

# By then all nodes have read the row of a node that has joined, and clocks that are
# seconds apart agree that they have.
_SETTLED_SECONDS = 20.0
# A node that has joined is asked by all only after another difference of the clocks.
_CERTAIN_SECONDS = _SETTLED_SECONDS + 10.0
_REFRESH_SECONDS = 1.0

ServerRun = tuple[ids.BackendServerId, int]
"""Name of a backend server and the start of its run."""


@attrs.define(kw_only=True)
class HomeOrder:
    """Order the nodes that may divide a server's limit."""

    blackboard: board.Blackboard
    _settled: dict[ids.NodeId, members.Member] = attrs.field(factory=dict, init=False)
    _live: tuple[members.Member, ...] = attrs.field(default=(), init=False)
    _refresh_at: float = attrs.field(default=float("-inf"), init=False)
    _orders: dict[ServerRun, tuple[ids.NodeId, ...]] = attrs.field(
        factory=dict, init=False
    )

    def list_homes(
        self, server: ServerRun, domain: str, now: float
    ) -> tuple[members.Member, ...]:
        """Return the nodes to ask, in order; the first one shares the server's domain.

        The second one is of another failure domain, if there is one.
        """
        self._refresh(now)
        order = self._orders.get(server)
        if order is None:
            order = _order_homes(self._settled.values(), server, domain)
            self._orders[server] = order
        return tuple(self._settled[node] for node in order)

    def is_certain(self, now: float) -> bool:
        """Return whether all nodes that are in touch take this one for settled."""
        area = self.blackboard.members
        is_settled = clocks.read_wall_clock() >= area.since + _CERTAIN_SECONDS
        return now <= area.counted_until and (is_settled or not area.since)

    def _refresh(self, now: float) -> None:
        live = self.blackboard.members.live
        if live is self._live and now < self._refresh_at:
            return
        self._live, self._refresh_at = live, now + _REFRESH_SECONDS
        wall_now = clocks.read_wall_clock()
        settled = {
            each.node: each
            for each in live
            if each.address is not None
            and (not each.since or wall_now >= each.since + _SETTLED_SECONDS)
        }
        if settled.keys() != self._settled.keys():
            self._orders.clear()
        self._settled = settled


def _order_homes(
    nodes: collections.abc.Iterable[members.Member], server: ServerRun, domain: str
) -> tuple[ids.NodeId, ...]:
    ordered = sorted(nodes, key=lambda each: _hash_home(server, each.node))
    if not ordered:
        return ()
    first = next((each for each in ordered if each.failure_domain == domain), None)
    first = first or ordered[0]
    others = [each for each in ordered if each is not first]
    elsewhere = (each for each in others if each.failure_domain != first.failure_domain)
    second = next(elsewhere, None) or next(iter(others), None)
    third = next((each for each in others if each is not second), None)
    return tuple(each.node for each in (first, second, third) if each is not None)


def _hash_home(server: ServerRun, node: ids.NodeId) -> bytes:
    text = f"{server[0]}/{server[1]}/{node}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
