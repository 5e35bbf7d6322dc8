"""Division of an account's limits among the nodes that ask its home node."""

import collections.abc
import math

import attrs

from jujubepass import declarations, ids
from jujubepass.limits import _share_messages
from jujubepass.membership import _rendezvous

_NODES_PER_RESERVE = 200
_LEAST_RESERVED_FRACTION = 0.01
_TOLD_CHANGE = 0.05
_HEADROOM = 1.5


@attrs.define(kw_only=True)
class _Asker:
    demand: _share_messages.Demand
    asked_at: float
    told: _share_messages.Grant | None = None
    answered: bool = False


@attrs.define(kw_only=True)
class ShareHome:
    """Hold what nodes ask of the accounts whose home this node is."""

    grant_seconds: float
    homes: _rendezvous.HomeMap
    _askers: dict[ids.AccountId, dict[ids.NodeId, _Asker]] = attrs.field(
        factory=dict, init=False
    )

    def keep(
        self,
        node: ids.NodeId,
        demands: collections.abc.Iterable[_share_messages.Demand],
        now: float,
    ) -> None:
        """Keep a node's demands; each is answered at the next division."""
        for demand in demands:
            askers = self._askers.setdefault(demand.account, {})
            asker = askers.get(node)
            if asker is None:
                askers[node] = _Asker(demand=demand, asked_at=now)
                continue
            asker.demand = demand
            asker.asked_at = now
            asker.answered = False

    def divide(
        self,
        declared: collections.abc.Mapping[ids.AccountId, declarations.Account],
        divisor: int,
        now: float,
    ) -> dict[ids.NodeId, list[_share_messages.Grant]]:
        """Return the grants to send, by node."""
        granted: dict[ids.NodeId, list[_share_messages.Grant]] = {}
        for account in list(self._askers):
            askers = self._drop_silent(account, now)
            if not askers or account not in declared:
                del self._askers[account]
                continue
            if all(asker.answered for asker in askers.values()):
                continue
            grants = self._divide_account(declared[account], askers, divisor)
            for node, grant in grants.items():
                asker = askers[node]
                if not asker.answered or _has_shrunk(asker.told, grant):
                    granted.setdefault(node, []).append(grant)
                    asker.told = grant
                asker.answered = True
        return granted

    def _drop_silent(
        self, account: ids.AccountId, now: float
    ) -> dict[ids.NodeId, _Asker]:
        askers = self._askers[account]
        oldest = now - self.grant_seconds
        for node in [name for name, one in askers.items() if one.asked_at < oldest]:
            del askers[node]
        return askers

    def _divide_account(
        self,
        account: declarations.Account,
        askers: collections.abc.Mapping[ids.NodeId, _Asker],
        divisor: int,
    ) -> dict[ids.NodeId, _share_messages.Grant]:
        live = max(len(self.homes.nodes), len(askers))
        divisor = max(divisor, live)
        base = account.requests_per_second / divisor
        base_running = max(1, account.concurrency // divisor)
        if self.homes.has_moved(account.name):
            return _repeat_held(account.name, askers, base, base_running)
        reserved = get_reserved_fraction(live)
        idle = (live - len(askers)) * reserved
        rates = divide_by_demand(
            {node: one.demand.wanted_rate * _HEADROOM for node, one in askers.items()},
            base * (live - idle),
        )
        running = divide_by_demand(
            {
                node: max(1.0, one.demand.wanted_running * _HEADROOM)
                for node, one in askers.items()
            },
            account.concurrency / divisor * (live - idle),
        )
        return {
            node: _share_messages.Grant(
                account=account.name,
                rate=rates[node],
                running=max(1, math.floor(running[node])),
            )
            for node in askers
        }


def get_reserved_fraction(nodes: int) -> float:
    """Return the part of its base share that a node may use without asking."""
    return min(0.5, max(_LEAST_RESERVED_FRACTION, nodes / _NODES_PER_RESERVE))


def divide_by_demand(
    wanted: collections.abc.Mapping[ids.NodeId, float], total: float
) -> dict[ids.NodeId, float]:
    """Divide a total: small demands in full, the rest evenly, what is over evenly."""
    shares: dict[ids.NodeId, float] = {}
    left = total
    for index, node in enumerate(sorted(wanted, key=wanted.__getitem__)):
        shares[node] = min(wanted[node], left / (len(wanted) - index))
        left -= shares[node]
    return {node: share + left / len(wanted) for node, share in shares.items()}


def _repeat_held(
    account: ids.AccountId,
    askers: collections.abc.Mapping[ids.NodeId, _Asker],
    base: float,
    base_running: int,
) -> dict[ids.NodeId, _share_messages.Grant]:
    """Grant no more than what nodes hold while an older home's grants may be in use."""
    return {
        node: _share_messages.Grant(
            account=account,
            rate=max(base, one.demand.held_rate),
            running=max(base_running, one.demand.held_running),
        )
        for node, one in askers.items()
    }


def _has_shrunk(
    told: _share_messages.Grant | None, grant: _share_messages.Grant
) -> bool:
    if told is None:
        return True
    less_rate = grant.rate < told.rate * (1.0 - _TOLD_CHANGE)
    return less_rate or grant.running < told.running
