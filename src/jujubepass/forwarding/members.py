"""Nodes of one deployment that know each other from rows in the store.

Each node renews its own row and reads the others'. What nodes share is divided by their
number, and a node takes part only while all others certainly count it.
"""

import collections
import collections.abc
import functools
import hashlib
import logging

import attrs

from jujubepass import ids
from jujubepass.forwarding import board, feeds
from jujubepass.transport import _http_client

_LOGGER = logging.getLogger(__name__)

READ_INTERVAL_SECONDS = 10.0
# Rows read longer ago may lack a node that already takes its share.
_MAX_READ_AGE_SECONDS = 12.5
_MIN_RENEWAL_SECONDS = 20.0
# Keeps the renewals of all nodes at about three a second in large deployments.
_RENEWAL_SECONDS_PER_NODE = 0.4
# A row that was not renewed for this many of its intervals no longer counts; after
# twice that time it is removed.
_EXPIRY_RENEWALS = 3.0
# Part that nodes share while the others may not count them yet. It suffices while fewer
# than 1.7 times as many nodes join at once as there are.
_NEWCOMER_PART = 0.1


@attrs.frozen(kw_only=True)
class Member:
    """Describe a node's row."""

    node: ids.NodeId
    version: int
    failure_domain: ids.FailureDomainId
    renewal_seconds: float
    """Longest time until the node renews its row."""
    address: _http_client.Address | None = None
    """Where the node answers queries for rows; None if it does not."""
    token: str = attrs.field(default="", repr=False)
    """Key of the messages that the node takes and sends."""
    since: float = 0.0
    """Wall-clock time at which the node joined; 0.0 if it was there from the start."""


@attrs.frozen(kw_only=True)
class _Observation:
    member: Member
    changed_at: float
    """Boot-clock time at which this node first read the row's version."""


@attrs.define(kw_only=True)
class MemberController:
    """Update the member area from rows and from renewals of the own row."""

    blackboard: board.Blackboard
    _observations: dict[ids.NodeId, _Observation] = attrs.field(
        factory=dict, init=False
    )
    _era: int = attrs.field(default=0, init=False)

    @property
    def renewal_seconds(self) -> float:
        """Return the interval in which this node renews its row."""
        count = len(self._observations)
        return max(_MIN_RENEWAL_SECONDS, _RENEWAL_SECONDS_PER_NODE * count)

    def apply(self, changes: feeds.Changes[Member], now: float) -> None:
        """Apply rows that were read; an unreadable row counts as removed."""
        is_restored = changes.era != self._era
        self._era = changes.era
        if changes.is_complete:
            for node in self._observations.keys() - changes.items.keys():
                del self._observations[node]
        for key, member in changes.items.items():
            node = ids.NodeId(key)
            known = self._observations.get(node)
            if member is None:
                self._observations.pop(node, None)
            elif known is None or is_restored or known.member.version != member.version:
                self._observations[node] = _Observation(member=member, changed_at=now)
        self.blackboard.members.confirmed_at = changes.confirmed_at
        self.count(now)

    def count(self, now: float) -> None:
        """Count the nodes whose rows have not expired."""
        area = self.blackboard.members
        live = [
            each.member
            for each in self._observations.values()
            if not _is_expired(each, now, 1.0)
        ]
        sizes = collections.Counter(each.failure_domain for each in live)
        if sizes != area.sizes:
            _LOGGER.info(
                "number of nodes changed",
                extra={"nodes": len(live), "domains": dict(sizes)},
            )
        area.nodes = frozenset(each.node for each in live)
        area.live = tuple(live)
        area.sizes = sizes
        area.neighbors = order_domain(live, self.blackboard.failure_domain)

    def find_abandoned(self, now: float) -> Member | None:
        """Return a row to remove, as its node has not renewed it for long."""
        return next(
            (
                each.member
                for each in self._observations.values()
                if _is_expired(each, now, 2.0)
            ),
            None,
        )

    def record_lost_renewal(self) -> None:
        """Record that other nodes may not count this one until it renews its row."""
        self.blackboard.members.counted_until = float("-inf")

    def record_renewal(
        self, *, sent_at: float, committed_at: float, seconds: float
    ) -> None:
        """Record that the own row was written, to be renewed within some seconds."""
        area = self.blackboard.members
        if sent_at > area.counted_until:
            # The others may have dropped the row in the meantime.
            area.announced_at = committed_at
        area.counted_until = sent_at + _EXPIRY_RENEWALS * seconds


def order_domain(
    live: collections.abc.Iterable[Member], domain: ids.FailureDomainId
) -> tuple[Member, ...]:
    """Return the nodes of a failure domain, in an order that all nodes share."""
    return tuple(
        sorted(
            (each for each in live if each.failure_domain == domain),
            key=lambda each: _hash_turn(f"rows/{domain}", each.node),
        )
    )


def find_share(blackboard: board.Blackboard, now: float) -> float:
    """Return this node's share of what all divide; 0.0 if it does not know the others.

    The shares of all nodes never add up to more than 1.
    """
    area = blackboard.members
    # All others have read this node's row by then. What they took before they knew it
    # must lie outside the window, except at the first start, when there was nothing.
    wait_seconds = _MAX_READ_AGE_SECONDS
    if not blackboard.is_first_start:
        wait_seconds += blackboard.bounds.retry_window_seconds
    if now - area.confirmed_at > _MAX_READ_AGE_SECONDS or now > area.counted_until:
        return 0.0
    is_counted = now >= area.announced_at + wait_seconds
    part = 1.0 - _NEWCOMER_PART if is_counted else _NEWCOMER_PART
    return part / max(1, len(area.nodes))


def count_neighbors(blackboard: board.Blackboard) -> int:
    """Return how many nodes, including this one, use the engines of its domain."""
    return max(1, blackboard.members.sizes[blackboard.failure_domain])


def share_interval(
    nodes: int, *, per_second: float, least: float, most: float = float("inf")
) -> float:
    """Return the interval of one node's actions if all nodes together keep a rate."""
    return min(most, max(least, nodes / per_second))


def find_turn(blackboard: board.Blackboard, task: str) -> int | None:
    """Return the turn at which this node does a task; None before its row is read.

    One node acts at turn 0, and at each further turn as many join as act already.
    """
    area = blackboard.members
    if blackboard.node not in area.nodes:
        return None
    return _find_position(area.nodes, blackboard.node, task).bit_length()


# Nodes change rarely, and the same tasks are asked for on each timer.
@functools.lru_cache(maxsize=64)
def _find_position(nodes: frozenset[ids.NodeId], node: ids.NodeId, task: str) -> int:
    own = _hash_turn(task, node)
    return sum(_hash_turn(task, each) < own for each in nodes)


@functools.lru_cache(maxsize=1_024)
def _hash_turn(task: str, node: ids.NodeId) -> bytes:
    return hashlib.blake2b(f"{task}/{node}".encode(), digest_size=8).digest()


def _is_expired(observation: _Observation, now: float, factor: float) -> bool:
    limit = factor * _EXPIRY_RENEWALS * observation.member.renewal_seconds
    return now - observation.changed_at > limit
