"""Rendezvous hashing of client accounts over the live nodes."""

import collections
import hashlib

import attrs

from jujubepass import ids

_MASK = 2**64 - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


@attrs.frozen(kw_only=True)
class _NodeSet:
    until: float
    nodes: tuple[ids.NodeId, ...]
    seeds: tuple[int, ...]


@attrs.define(kw_only=True)
class HomeMap:
    """Map accounts to home nodes and remember recent sets of nodes."""

    nodes: tuple[ids.NodeId, ...] = ()
    _seeds: tuple[int, ...] = attrs.field(default=(), init=False)
    _homes: dict[ids.AccountId, ids.NodeId] = attrs.field(factory=dict, init=False)
    _previous_sets: collections.deque[_NodeSet] = attrs.field(
        factory=collections.deque, init=False
    )

    def set_nodes(
        self, nodes: tuple[ids.NodeId, ...], now: float, *, keep_seconds: float
    ) -> None:
        """Replace the set of live nodes; keep previous sets for `keep_seconds`."""
        while self._previous_sets and self._previous_sets[0].until < now - keep_seconds:
            self._previous_sets.popleft()
        if nodes == self.nodes:
            return
        previous = _NodeSet(until=now, nodes=self.nodes, seeds=self._seeds)
        self._previous_sets.append(previous)
        self.nodes = nodes
        self._seeds = tuple(map(_hash_name, nodes))
        self._homes.clear()

    def find_home(self, account: ids.AccountId) -> ids.NodeId:
        """Return the node that divides an account's limits into shares."""
        home = self._homes.get(account)
        if home is None:
            home = self._homes[account] = _choose(account, self.nodes, self._seeds)
        return home

    def has_moved(self, account: ids.AccountId) -> bool:
        """Return whether another node may have granted shares recently."""
        home = self.find_home(account)
        return any(
            not previous.nodes
            or _choose(account, previous.nodes, previous.seeds) != home
            for previous in self._previous_sets
        )


def _choose(
    account: ids.AccountId,
    nodes: tuple[ids.NodeId, ...],
    seeds: tuple[int, ...],
) -> ids.NodeId:
    account_hash = _hash_name(account)
    scored = zip(seeds, nodes, strict=True)
    return max(((_mix(account_hash ^ seed), node) for seed, node in scored))[1]


def _hash_name(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _mix(value: int) -> int:
    value = (value ^ (value >> 32)) * _MULTIPLIER & _MASK
    return (value ^ (value >> 29)) * _MULTIPLIER & _MASK
