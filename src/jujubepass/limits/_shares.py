"""Controller that shifts unused shares of account limits between nodes."""

import collections
import collections.abc
import math

import attrs

from jujubepass import ids
from jujubepass.limits import _share_area, _share_home, _share_messages
from jujubepass.membership import _rendezvous
from jujubepass.nodes import _blackboard, _dispatch, _node_messages

_RATE_SMOOTHING_SECONDS = 2.0
_MAX_WINDOW_SECONDS = 120.0
_ARRIVALS_TO_REQUEST_SHARE = 2.0
_ARRIVALS_FOR_SHORT_WINDOW = 5.0
_MIN_WINDOW_SECONDS = 10.0
_NEGLIGIBLE_RATE_PER_SECOND = 1e-4


@attrs.frozen(kw_only=True)
class ShareBounds:
    """Configure how often shares are requested and how long they stay valid.

    A node that left the membership still counts for `departed_node_hold_seconds`, since
    it may still be using its share.
    """

    period_seconds: float = 0.5
    refresh_interval_seconds: float = 4.0
    grant_lifetime_seconds: float = 12.0
    departed_node_hold_seconds: float = 15.0
    rows_per_second: float = 15.0


@attrs.define(kw_only=True)
class _AccountTraffic:
    arrivals: int = 0
    denials: int = 0
    rate: float = 0.0
    long_rate: float = 0.0
    measured_at: float = 0.0
    requested_at: float = float("-inf")

    def estimate_rate(self) -> float:
        """Return the short-term rate if it is based on enough requests."""
        max_rate = max(self.rate, self.long_rate)
        if max_rate * _RATE_SMOOTHING_SECONDS >= _ARRIVALS_FOR_SHORT_WINDOW:
            return self.rate
        return self.long_rate


@attrs.define(kw_only=True)
class ShareController:
    """Request shares from home nodes and grant them as a home node.

    This controller writes the share area of the blackboard.
    """

    blackboard: _blackboard.Blackboard
    bounds: ShareBounds = attrs.field(factory=ShareBounds)
    _traffic: dict[ids.AccountId, _AccountTraffic] = attrs.field(
        factory=dict, init=False
    )
    _ran_at: float | None = attrs.field(default=None, init=False)
    _row_allowance: float = attrs.field(default=0.0, init=False)
    _node_counts: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque, init=False
    )
    _homes: _rendezvous.HomeMap = attrs.field(factory=_rendezvous.HomeMap, init=False)
    _home: _share_home.ShareHome = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._home = _share_home.ShareHome(
            grant_lifetime_seconds=self.bounds.grant_lifetime_seconds, homes=self._homes
        )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.run,
            _share_messages.DemandsReceived: self.record_demands,
            _share_messages.GrantsReceived: self.apply_grants,
        }

    def run(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Send the share requests and grants that are due."""
        if self._ran_at is not None and now < self._ran_at + self.bounds.period_seconds:
            return ()
        elapsed = self.bounds.period_seconds
        if self._ran_at is not None:
            elapsed = now - self._ran_at
        self._ran_at = now
        self._row_allowance += elapsed * self.bounds.rows_per_second
        self._row_allowance = min(
            self._row_allowance, 2.0 * self.bounds.rows_per_second
        )
        self._count_nodes(now)
        self._remove_expired_grants(now)
        self._measure_arrivals(elapsed, now)
        return [*self._send_demands(now), *self._send_grants(now)]

    def _count_nodes(self, now: float) -> None:
        identity = self.blackboard.identity
        members = self.blackboard.membership.list_members()
        nodes = tuple(sorted([identity.node, *members]))
        self._homes.set_nodes(
            nodes, now, keep_seconds=self.bounds.grant_lifetime_seconds
        )
        count = len(nodes)
        while self._node_counts and self._node_counts[-1][1] <= count:
            self._node_counts.pop()
        self._node_counts.append((now, count))
        while self._node_counts[0][0] < now - self.bounds.departed_node_hold_seconds:
            self._node_counts.popleft()
        self.blackboard.shares.divisor = self._node_counts[0][1]

    def _remove_expired_grants(self, now: float) -> None:
        grants = self.blackboard.shares.grants
        for account in [
            name for name, grant in grants.items() if grant.expires_at < now
        ]:
            del grants[account]

    def _measure_arrivals(self, elapsed: float, now: float) -> None:
        usages = self.blackboard.limits.usages
        for account in usages.keys() - self._traffic.keys():
            self._traffic[account] = _AccountTraffic(measured_at=now)
        for account in self._traffic.keys() - usages.keys():
            del self._traffic[account]
        weight = min(1.0, elapsed / _RATE_SMOOTHING_SECONDS)
        for account, traffic in self._traffic.items():
            new_arrivals = usages[account].arrivals - traffic.arrivals
            if (
                not new_arrivals
                and max(traffic.rate, traffic.long_rate) < _NEGLIGIBLE_RATE_PER_SECOND
            ):
                continue
            traffic.arrivals += new_arrivals
            traffic.rate += weight * (new_arrivals / elapsed - traffic.rate)
            window = self._compute_window(account)
            traffic.long_rate *= math.exp((traffic.measured_at - now) / window)
            traffic.long_rate += new_arrivals / window
            traffic.measured_at = now

    def _compute_threshold(self, account: ids.AccountId) -> float:
        """Return the rate up to which this node uses an account without a request."""
        limits = self.blackboard.configuration.declared.accounts.get(account)
        if limits is None:
            return math.inf
        fraction = _share_home.get_reserved_fraction(len(self._homes.nodes))
        return fraction * limits.requests_per_second / self.blackboard.shares.divisor

    def _compute_window(self, account: ids.AccountId) -> float:
        """Return a window in which a single request stays below the threshold."""
        threshold = self._compute_threshold(account)
        window = _ARRIVALS_TO_REQUEST_SHARE / threshold
        return min(_MAX_WINDOW_SECONDS, max(_MIN_WINDOW_SECONDS, window))

    def _send_demands(self, now: float) -> collections.abc.Iterator[_dispatch.Command]:
        by_home: dict[ids.NodeId, list[_share_messages.Demand]] = {}
        for account in self._list_due_accounts(now):
            if self._row_allowance < 1.0:
                break
            self._row_allowance -= 1.0
            self._traffic[account].requested_at = now
            demand = self._make_demand(account)
            by_home.setdefault(self._homes.find_home(account), []).append(demand)
        for home, demands in by_home.items():
            if home == self.blackboard.identity.node:
                self._home.record_demands(home, demands, now)
                continue
            yield _share_messages.SendDemands(
                address=self.blackboard.membership.peers[home].address,
                node=self.blackboard.identity.node,
                demands=tuple(demands),
            )

    def _list_due_accounts(self, now: float) -> list[ids.AccountId]:
        """List the accounts whose share requests are due.

        Accounts with refusals come first, then those with the oldest request.
        """
        if len(self._homes.nodes) == 1:
            return []
        due = []
        for account, traffic in self._traffic.items():
            usage = self.blackboard.limits.usages[account]
            over_threshold = traffic.long_rate > self._compute_threshold(account)
            has_refusals = usage.denials > traffic.denials
            interval_seconds = self.bounds.refresh_interval_seconds
            if has_refusals and account not in self.blackboard.shares.grants:
                interval_seconds = self.bounds.period_seconds
            is_recent = now < traffic.requested_at + interval_seconds
            if (over_threshold or has_refusals or usage.running > 1) and not is_recent:
                due.append((not has_refusals, traffic.requested_at, account))
        return [account for _, _, account in sorted(due)]

    def _make_demand(self, account: ids.AccountId) -> _share_messages.Demand:
        traffic = self._traffic[account]
        usage = self.blackboard.limits.usages[account]
        new_denials = usage.denials - traffic.denials
        traffic.denials = usage.denials
        grant = self.blackboard.shares.grants.get(account)
        return _share_messages.Demand(
            account=account,
            wanted_rate=traffic.estimate_rate(),
            held_rate=grant.rate if grant else 0.0,
            wanted_running=usage.running + new_denials,
            held_running=grant.running if grant else 0,
        )

    def _send_grants(self, now: float) -> collections.abc.Iterator[_dispatch.Command]:
        declared = self.blackboard.configuration.declared.accounts
        divisor = self.blackboard.shares.divisor
        grants_by_node = self._home.compute_grants(declared, divisor, now)
        for node, grants in grants_by_node.items():
            if node == self.blackboard.identity.node:
                self._store_grants(grants, now)
                continue
            peer = self.blackboard.membership.peers.get(node)
            if peer is not None:
                yield _share_messages.SendGrants(
                    address=peer.address,
                    node=self.blackboard.identity.node,
                    grants=tuple(grants),
                )

    def record_demands(
        self, event: _share_messages.DemandsReceived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Record a peer's share requests until the next division."""
        self._home.record_demands(event.node, event.demands, now)
        return ()

    def apply_grants(
        self, event: _share_messages.GrantsReceived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Apply the grants of a home node."""
        self._store_grants(event.grants, now)
        return ()

    def _store_grants(
        self, grants: collections.abc.Iterable[_share_messages.Grant], now: float
    ) -> None:
        for grant in grants:
            if grant.account in self._traffic:
                self.blackboard.shares.grants[grant.account] = _share_area.HeldGrant(
                    rate=grant.rate,
                    running=grant.running,
                    expires_at=now + self.bounds.grant_lifetime_seconds,
                )
