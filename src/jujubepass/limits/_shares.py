"""Controller that moves unused shares of account limits between nodes."""

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
_ARRIVALS_TO_ASK = 2.0
_ARRIVALS_FOR_SHORT_WINDOW = 5.0
_LEAST_WINDOW_SECONDS = 10.0
_QUIET_RATE = 1e-4


@attrs.frozen(kw_only=True)
class ShareBounds:
    """Set how often shares move and how long a silent node keeps its own."""

    period_seconds: float = 0.5
    refresh_seconds: float = 4.0
    grant_seconds: float = 12.0
    hold_seconds: float = 15.0
    rows_per_second: float = 15.0


@attrs.define(kw_only=True)
class _Watched:
    arrivals: int = 0
    denials: int = 0
    rate: float = 0.0
    long_rate: float = 0.0
    measured_at: float = 0.0
    asked_at: float = float("-inf")

    def estimate_rate(self) -> float:
        """Return the short-term rate where it rests on enough requests."""
        highest = max(self.rate, self.long_rate)
        if highest * _RATE_SMOOTHING_SECONDS >= _ARRIVALS_FOR_SHORT_WINDOW:
            return self.rate
        return self.long_rate


@attrs.define(kw_only=True)
class ShareController:
    """Ask each account's home node for a share, and divide as home; write the area."""

    blackboard: _blackboard.Blackboard
    bounds: ShareBounds = attrs.field(factory=ShareBounds)
    _watched: dict[ids.AccountId, _Watched] = attrs.field(factory=dict, init=False)
    _ran_at: float | None = attrs.field(default=None, init=False)
    _rows: float = attrs.field(default=0.0, init=False)
    _counts: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque, init=False
    )
    _homes: _rendezvous.HomeMap = attrs.field(factory=_rendezvous.HomeMap, init=False)
    _home: _share_home.ShareHome = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._home = _share_home.ShareHome(
            grant_seconds=self.bounds.grant_seconds, homes=self._homes
        )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.run,
            _share_messages.DemandsReceived: self.take_demands,
            _share_messages.GrantsReceived: self.take_grants,
        }

    def run(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Send the demands and grants that are due."""
        if self._ran_at is not None and now < self._ran_at + self.bounds.period_seconds:
            return ()
        elapsed = self.bounds.period_seconds
        if self._ran_at is not None:
            elapsed = now - self._ran_at
        self._ran_at = now
        self._rows += elapsed * self.bounds.rows_per_second
        self._rows = min(self._rows, 2.0 * self.bounds.rows_per_second)
        self._count_nodes(now)
        self._drop_expired(now)
        self._measure(elapsed, now)
        return [*self._ask(now), *self._send_grants(now)]

    def _count_nodes(self, now: float) -> None:
        identity = self.blackboard.identity
        members = self.blackboard.membership.list_members()
        nodes = tuple(sorted([identity.node, *members]))
        self._homes.set_nodes(nodes, now, keep_seconds=self.bounds.grant_seconds)
        count = len(nodes)
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while self._counts[0][0] < now - self.bounds.hold_seconds:
            self._counts.popleft()
        self.blackboard.shares.divisor = self._counts[0][1]

    def _drop_expired(self, now: float) -> None:
        grants = self.blackboard.shares.grants
        for account in [name for name, held in grants.items() if held.expires_at < now]:
            del grants[account]

    def _measure(self, elapsed: float, now: float) -> None:
        uses = self.blackboard.limits.uses
        for account in uses.keys() - self._watched.keys():
            self._watched[account] = _Watched(measured_at=now)
        for account in self._watched.keys() - uses.keys():
            del self._watched[account]
        weight = min(1.0, elapsed / _RATE_SMOOTHING_SECONDS)
        for account, watched in self._watched.items():
            arrived = uses[account].arrivals - watched.arrivals
            if not arrived and max(watched.rate, watched.long_rate) < _QUIET_RATE:
                continue
            watched.arrivals += arrived
            watched.rate += weight * (arrived / elapsed - watched.rate)
            window = self._compute_window(account)
            watched.long_rate *= math.exp((watched.measured_at - now) / window)
            watched.long_rate += arrived / window
            watched.measured_at = now

    def _compute_threshold(self, account: ids.AccountId) -> float:
        """Return the rate up to which this node uses an account without asking."""
        limits = self.blackboard.configuration.declared.accounts.get(account)
        if limits is None:
            return math.inf
        fraction = _share_home.get_reserved_fraction(len(self._homes.nodes))
        return fraction * limits.requests_per_second / self.blackboard.shares.divisor

    def _compute_window(self, account: ids.AccountId) -> float:
        """Return a time in which one request alone stays below the threshold."""
        threshold = self._compute_threshold(account)
        window = _ARRIVALS_TO_ASK / threshold
        return min(_MAX_WINDOW_SECONDS, max(_LEAST_WINDOW_SECONDS, window))

    def _ask(self, now: float) -> collections.abc.Iterator[_dispatch.Command]:
        by_home: dict[ids.NodeId, list[_share_messages.Demand]] = {}
        for account in self._list_due(now):
            if self._rows < 1.0:
                break
            self._rows -= 1.0
            self._watched[account].asked_at = now
            demand = self._describe(account)
            by_home.setdefault(self._homes.find_home(account), []).append(demand)
        for home, demands in by_home.items():
            if home == self.blackboard.identity.node:
                self._home.keep(home, demands, now)
                continue
            yield _share_messages.SendDemands(
                address=self.blackboard.membership.peers[home].address,
                node=self.blackboard.identity.node,
                demands=tuple(demands),
            )

    def _list_due(self, now: float) -> list[ids.AccountId]:
        """List the accounts to ask for, those refused first, then the oldest."""
        if len(self._homes.nodes) == 1:
            return []
        due = []
        for account, watched in self._watched.items():
            use = self.blackboard.limits.uses[account]
            over = watched.long_rate > self._compute_threshold(account)
            short = use.denials > watched.denials
            pause = self.bounds.refresh_seconds
            if short and account not in self.blackboard.shares.grants:
                pause = self.bounds.period_seconds
            waits = now < watched.asked_at + pause
            if (over or short or use.running > 1) and not waits:
                due.append((not short, watched.asked_at, account))
        return [account for _, _, account in sorted(due)]

    def _describe(self, account: ids.AccountId) -> _share_messages.Demand:
        watched = self._watched[account]
        use = self.blackboard.limits.uses[account]
        denied = use.denials - watched.denials
        watched.denials = use.denials
        held = self.blackboard.shares.grants.get(account)
        return _share_messages.Demand(
            account=account,
            wanted_rate=watched.estimate_rate(),
            held_rate=held.rate if held else 0.0,
            wanted_running=use.running + denied,
            held_running=held.running if held else 0,
        )

    def _send_grants(self, now: float) -> collections.abc.Iterator[_dispatch.Command]:
        declared = self.blackboard.configuration.declared.accounts
        divisor = self.blackboard.shares.divisor
        granted = self._home.divide(declared, divisor, now)
        for node, grants in granted.items():
            if node == self.blackboard.identity.node:
                self._keep_grants(grants, now)
                continue
            peer = self.blackboard.membership.peers.get(node)
            if peer is not None:
                yield _share_messages.SendGrants(
                    address=peer.address,
                    node=self.blackboard.identity.node,
                    grants=tuple(grants),
                )

    def take_demands(
        self, event: _share_messages.DemandsReceived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Keep a peer's demands until the next division."""
        self._home.keep(event.node, event.demands, now)
        return ()

    def take_grants(
        self, event: _share_messages.GrantsReceived, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Use what a home node granted."""
        self._keep_grants(event.grants, now)
        return ()

    def _keep_grants(
        self, grants: collections.abc.Iterable[_share_messages.Grant], now: float
    ) -> None:
        for grant in grants:
            if grant.account in self._watched:
                self.blackboard.shares.grants[grant.account] = _share_area.HeldGrant(
                    rate=grant.rate,
                    running=grant.running,
                    expires_at=now + self.bounds.grant_seconds,
                )
