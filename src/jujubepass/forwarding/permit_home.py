"""Division of servers' request limits by the node that is home to them."""

import collections
import math

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    clocks,
    home_leases,
    homes,
    members,
    request_limits,
)
from jujubepass.limits import _request_schedule

# Requests that may follow each other at once after a pause, by the home with the lease
# and by the others. Even all three homes together stay within what a server tolerates
# beyond its rate.
_BURST = 3.0
_SUBSTITUTE_BURST = 1.0
_ASKER_MEMORY_SECONDS = 2.0
_UNUSED_SECONDS = 60.0
# Time after which a home that gives out nothing may give out a part.
_NO_PART_SECONDS = 0.25
# Aliases, because fields have the same names as the modules.
_HomeLeases = home_leases.HomeLeases


@attrs.frozen(kw_only=True)
class Query:
    """Ask for permits to send requests to a server's run."""

    node: ids.NodeId
    """Node that asks."""
    server: homes.ServerRun
    failure_domain: ids.FailureDomainId
    """Failure domain of the server."""
    requests_per_second: float
    """Limit that the node knows; infinite if the server no longer names one."""
    limit_age_seconds: float
    waits: tuple[float, ...] = ()
    """Longest wait of each request in seconds, the longest first."""
    streams: int = 0
    """Model requests that run at the node."""


@attrs.frozen(kw_only=True)
class Reply:
    """Give a delay to each request of a query, or None if it would be too long."""

    requests_per_second: float
    limit_age_seconds: float
    delays: tuple[float | None, ...] = ()
    free_seconds: float = 0.0
    """Time until one more request could be sent."""
    askers: int = 1
    """Nodes that have asked for the same server within the last seconds."""
    mean_streams: float | None = None
    """Model requests that run at each of these nodes on average, if known."""
    leader: ids.NodeId | None = None
    """Home that may give out the whole limit, as far as known."""


@attrs.frozen(kw_only=True)
class _Asker:
    asked_at: float
    streams: int


@attrs.define(kw_only=True)
class _DividedLimit:
    schedule: _request_schedule.RequestSchedule
    askers: dict[ids.NodeId, _Asker] = attrs.field(factory=dict)
    used_at: float = 0.0

    def record_query(self, query: Query, now: float) -> None:
        """Record who asks, and forget who has not asked for some time."""
        oldest = now - _ASKER_MEMORY_SECONDS
        for node, each in list(self.askers.items()):
            if each.asked_at < oldest:
                del self.askers[node]
        self.askers[query.node] = _Asker(asked_at=now, streams=query.streams)
        self.used_at = now

    def compute_mean_streams(self) -> float:
        """Return how many model requests run at each asking node on average."""
        return sum(each.streams for each in self.askers.values()) / len(self.askers)


@attrs.define(kw_only=True)
class PermitHome:
    """Give out permits for the servers whose home this node is."""

    leases: _HomeLeases
    limits: request_limits.RequestLimits
    granted: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    denied: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    _divided: dict[homes.ServerRun, _DividedLimit] = attrs.field(
        factory=dict, init=False
    )

    async def reply(self, query: Query) -> Reply:
        """Get a lease of the server if none is held, and answer a query."""
        if query.waits and math.isfinite(query.requests_per_second):
            await self.leases.prepare(query.server, query.failure_domain)
        return self.answer(query, clocks.read_boot_clock())

    def answer(self, query: Query, now: float) -> Reply:
        """Reserve times for the requests of a query."""
        heard = request_limits.KnownLimit(
            requests_per_second=query.requests_per_second,
            observed_at=now - query.limit_age_seconds,
        )
        self.limits.merge(query.server, heard, now)
        known = self.limits.find_heard(query.server) or heard
        age = max(0.0, now - known.observed_at)
        if not known.is_finite:
            self._divided.pop(query.server, None)
            return Reply(
                requests_per_second=known.requests_per_second,
                limit_age_seconds=age,
                delays=(0.0,) * len(query.waits),
            )
        standing = self._find_standing(query, now)
        if standing.part <= 0.0:
            return Reply(
                requests_per_second=known.requests_per_second,
                limit_age_seconds=age,
                delays=(None,) * len(query.waits),
                free_seconds=_NO_PART_SECONDS,
                leader=standing.leader,
            )
        return self._reserve(query, known, standing, now)

    def _reserve(
        self,
        query: Query,
        known: request_limits.KnownLimit,
        standing: home_leases.Standing,
        now: float,
    ) -> Reply:
        """Reserve times for the requests of a query at the rate of a part."""
        part = standing.part
        divided = self._find_divided(query.server, now)
        divided.record_query(query, now)
        schedule = divided.schedule
        schedule.burst = _BURST if part >= 1.0 else _SUBSTITUTE_BURST
        schedule.set_rate(part * known.requests_per_second, now)
        delays = tuple(schedule.reserve(now, wait) for wait in query.waits)
        granted = sum(each is not None for each in delays)
        self.granted[query.server[0]] += granted
        self.denied[query.server[0]] += len(delays) - granted
        return Reply(
            requests_per_second=known.requests_per_second,
            limit_age_seconds=max(0.0, now - known.observed_at),
            delays=delays,
            free_seconds=schedule.find_delay(now),
            askers=len(divided.askers),
            mean_streams=divided.compute_mean_streams(),
            leader=standing.leader,
        )

    def _find_standing(self, query: Query, now: float) -> home_leases.Standing:
        """Return what this node may give out of the limit."""
        order = self.leases.order
        if not order.list_homes(query.server, query.failure_domain, now):
            # No node can be asked, so that each one uses an even part.
            share = members.find_share(order.blackboard, now)
            return home_leases.Standing(part=share, leader=order.blackboard.node)
        return self.leases.find_standing(query.server, query.failure_domain, now)

    def _find_divided(self, server: homes.ServerRun, now: float) -> _DividedLimit:
        divided = self._divided.get(server)
        if divided is None:
            for other, each in list(self._divided.items()):
                if now > each.used_at + _UNUSED_SECONDS:
                    del self._divided[other]
            schedule = _request_schedule.RequestSchedule(burst=_BURST)
            divided = self._divided[server] = _DividedLimit(schedule=schedule)
        return divided
