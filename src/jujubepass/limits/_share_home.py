"""Division of an account's limits among the nodes that request shares of it."""

import collections.abc
import math

import attrs

from jujubepass import declarations, ids
from jujubepass.limits import _share_messages
from jujubepass.membership import _rendezvous

_NODES_PER_RESERVE = 200
_MIN_RESERVED_FRACTION = 0.01
_MIN_REPORTED_DECREASE = 0.05
_HEADROOM_FACTOR = 1.5


@attrs.define(kw_only=True)
class _RequestingNode:
    demand: _share_messages.Demand
    requested_at: float
    last_grant: _share_messages.Grant | None = None
    is_answered: bool = False


@attrs.define(kw_only=True)
class ShareHome:
    """Divide the limits of the accounts whose home node this is.

    A share request counts until it is as old as the lifetime of a grant.
    """

    grant_lifetime_seconds: float
    homes: _rendezvous.HomeMap
    _requesters: dict[ids.AccountId, dict[ids.NodeId, _RequestingNode]] = attrs.field(
        factory=dict, init=False
    )

    def record_demands(
        self,
        node: ids.NodeId,
        demands: collections.abc.Iterable[_share_messages.Demand],
        now: float,
    ) -> None:
        """Record a node's share requests; the next division answers them."""
        for demand in demands:
            requesters = self._requesters.setdefault(demand.account, {})
            requester = requesters.get(node)
            if requester is None:
                requesters[node] = _RequestingNode(demand=demand, requested_at=now)
                continue
            requester.demand = demand
            requester.requested_at = now
            requester.is_answered = False

    def compute_grants(
        self,
        declared: collections.abc.Mapping[ids.AccountId, declarations.Account],
        divisor: int,
        now: float,
    ) -> dict[ids.NodeId, list[_share_messages.Grant]]:
        """Return the grants to send to each node."""
        grants_by_node: dict[ids.NodeId, list[_share_messages.Grant]] = {}
        for account in list(self._requesters):
            requesters = self._remove_expired(account, now)
            if not requesters or account not in declared:
                del self._requesters[account]
                continue
            if all(requester.is_answered for requester in requesters.values()):
                continue
            grants = self._divide_account(declared[account], requesters, divisor)
            for node, grant in grants.items():
                requester = requesters[node]
                if not requester.is_answered or _has_decreased(
                    requester.last_grant, grant
                ):
                    grants_by_node.setdefault(node, []).append(grant)
                    requester.last_grant = grant
                requester.is_answered = True
        return grants_by_node

    def _remove_expired(
        self, account: ids.AccountId, now: float
    ) -> dict[ids.NodeId, _RequestingNode]:
        requesters = self._requesters[account]
        expired_before = now - self.grant_lifetime_seconds
        for node in [
            name
            for name, requester in requesters.items()
            if requester.requested_at < expired_before
        ]:
            del requesters[node]
        return requesters

    def _divide_account(
        self,
        account: declarations.Account,
        requesters: collections.abc.Mapping[ids.NodeId, _RequestingNode],
        divisor: int,
    ) -> dict[ids.NodeId, _share_messages.Grant]:
        node_count = max(len(self.homes.nodes), len(requesters))
        divisor = max(divisor, node_count)
        base_rate = account.requests_per_second / divisor
        base_running = max(1, account.concurrency // divisor)
        if self.homes.has_moved(account.name):
            return _grant_held_shares(account.name, requesters, base_rate, base_running)
        reserved = get_reserved_fraction(node_count)
        reserved_shares = (node_count - len(requesters)) * reserved
        rates = divide_by_demand(
            {
                node: requester.demand.wanted_rate * _HEADROOM_FACTOR
                for node, requester in requesters.items()
            },
            base_rate * (node_count - reserved_shares),
        )
        running = divide_by_demand(
            {
                node: max(1.0, requester.demand.wanted_running * _HEADROOM_FACTOR)
                for node, requester in requesters.items()
            },
            account.concurrency / divisor * (node_count - reserved_shares),
        )
        return {
            node: _share_messages.Grant(
                account=account.name,
                rate=rates[node],
                running=max(1, math.floor(running[node])),
            )
            for node in requesters
        }


def get_reserved_fraction(nodes: int) -> float:
    """Return the fraction of its base share that a node uses without a request."""
    return min(0.5, max(_MIN_RESERVED_FRACTION, nodes / _NODES_PER_RESERVE))


def divide_by_demand(
    wanted: collections.abc.Mapping[ids.NodeId, float], total: float
) -> dict[ids.NodeId, float]:
    """Divide a total by max-min fairness, and any surplus evenly."""
    shares: dict[ids.NodeId, float] = {}
    remaining = total
    for index, node in enumerate(sorted(wanted, key=wanted.__getitem__)):
        shares[node] = min(wanted[node], remaining / (len(wanted) - index))
        remaining -= shares[node]
    return {node: share + remaining / len(wanted) for node, share in shares.items()}


def _grant_held_shares(
    account: ids.AccountId,
    requesters: collections.abc.Mapping[ids.NodeId, _RequestingNode],
    base_rate: float,
    base_running: int,
) -> dict[ids.NodeId, _share_messages.Grant]:
    """Grant each node what it holds, or its base share if that is larger.

    Grants of the previous home node may still be in use, so nothing more is free.
    """
    return {
        node: _share_messages.Grant(
            account=account,
            rate=max(base_rate, requester.demand.held_rate),
            running=max(base_running, requester.demand.held_running),
        )
        for node, requester in requesters.items()
    }


def _has_decreased(
    last_grant: _share_messages.Grant | None, grant: _share_messages.Grant
) -> bool:
    if last_grant is None:
        return True
    has_lower_rate = grant.rate < last_grant.rate * (1.0 - _MIN_REPORTED_DECREASE)
    return has_lower_rate or grant.running < last_grant.running
