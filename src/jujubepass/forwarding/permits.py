"""Permits that this node gets for requests to servers that name a request limit."""

import collections
import collections.abc
import logging
import math
import random
import typing

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import (
    board,
    clocks,
    declarations,
    demand,
    homes,
    members,
    permit_home,
    request_limits,
)

_LOGGER = logging.getLogger(__name__)

# An alias, because a field has the same name as the module.
_Demand = demand.Demand

# A reply that comes later is of no use, and the next home is asked.
_ASK_TIMEOUT_SECONDS = 0.12
_UNREACHABLE_SECONDS = 2.0
_MAX_WAITERS_PER_QUERY = 500
# All nodes together ask for a server that has no permits left this often, or as often
# as it has some.
_MIN_ASKS_PER_SECOND = 100.0
_ASKS_PER_PERMIT = 2.0
# Part of a route's latency goal that a request of the highest priority waits for a
# permit; each step of the priority number halves it.
_WAIT_GOALS = 0.8
# Part of the time left that a request may wait.
_WAIT_REMAINING_SHARE = 0.1
# A stream that has begun waits as long as its caller hardly notices.
RESUMED_WAIT_SECONDS = 1.0
_MIN_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 10.0


class PermitError(Exception):
    """Signal that a home gave no valid reply."""


class Transport(typing.Protocol):
    """Carry a query to a home; raises PermitError."""

    async def ask(
        self, home: members.Member, query: permit_home.Query, timeout_seconds: float
    ) -> permit_home.Reply:
        """Send a query and return the reply."""


@attrs.frozen(kw_only=True)
class Claim:
    """Describe whether a request may be sent now."""

    is_granted: bool
    wait_seconds: float = 0.0
    """Time until a permit could be had, if there is none now."""


_GRANTED = Claim(is_granted=True)


@attrs.define(kw_only=True)
class _Waiter:
    longest_wait: float
    settled: trio.Event = attrs.field(factory=trio.Event)
    send_at: float | None = None


@attrs.define(kw_only=True)
class _ServerState:
    """Track what is known of one server's permits."""

    free_at: float = float("-inf")
    """Time before which there is certainly no permit; others only move it on."""
    quiet_until: float = float("-inf")
    """Time before which this node does not ask again."""
    return_at: float = float("-inf")
    """Time for which the last refused caller was told to return."""
    askers: int = 1
    is_asking: bool = False
    waiting: list[_Waiter] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Permits:
    """Get permits from the homes of limited servers.

    Requests to servers without a limit need none and do not wait.
    """

    blackboard: board.Blackboard
    limits: request_limits.RequestLimits
    home: permit_home.PermitHome
    transport: Transport
    demand: _Demand = attrs.field(factory=_Demand)
    random_source: random.Random = attrs.field(factory=random.Random)
    asked: int = attrs.field(default=0, init=False)
    failures: int = attrs.field(default=0, init=False)
    granted: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    denied: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    _states: dict[homes.ServerRun, _ServerState] = attrs.field(factory=dict, init=False)
    _leaders: dict[homes.ServerRun, ids.NodeId] = attrs.field(factory=dict, init=False)
    """Homes that held the leases of servers when they were asked last."""
    _unreachable_until: dict[ids.NodeId, float] = attrs.field(factory=dict, init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.limits.on_change = self._report_change

    async def run(self) -> None:
        """Ask homes until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                await self.home.leases.run()
        finally:
            self._nursery = None

    def is_limited(self, name: ids.BackendServerId) -> bool:
        """Return whether requests to a server need permits."""
        return self.limits.find_listed(name) is not None

    def find_wait(self, name: ids.BackendServerId, now: float) -> float:
        """Return the least time until a server has a permit, as far as known here."""
        server = self._find_server(name)
        state = self._states.get(server) if server is not None else None
        if state is None or not self.is_limited(name):
            return 0.0
        return max(0.0, max(state.free_at, state.quiet_until) - now)

    async def claim(
        self, name: ids.BackendServerId, longest_wait: float = 0.0
    ) -> Claim:
        """Get a permit for a request to a server and wait until it may be sent."""
        server = self._find_server(name)
        if server is None or self.limits.find(server) is None:
            return _GRANTED
        wait = self.find_wait(name, clocks.read_boot_clock())
        if wait > longest_wait:
            self.denied[name] += 1
            return Claim(is_granted=False, wait_seconds=wait)
        waited = await self._wait_while_quiet(server)
        waiter = _Waiter(longest_wait=max(0.0, longest_wait - waited))
        self._start_asking(server, waiter)
        await waiter.settled.wait()
        now = clocks.read_boot_clock()
        if waiter.send_at is None:
            self.denied[name] += 1
            wait = max(self.find_wait(name, now), _MIN_RETRY_SECONDS)
            return Claim(is_granted=False, wait_seconds=wait)
        if waiter.send_at > now:
            before = self.limits.find(server)
            await trio.sleep(waiter.send_at - now)
            if self._has_fallen(server, before):
                # The time was reserved at the rate of the higher limit.
                self.denied[name] += 1
                return Claim(is_granted=False, wait_seconds=_MIN_RETRY_SECONDS)
        self.granted[name] += 1
        return _GRANTED

    def _has_fallen(
        self, server: homes.ServerRun, before: request_limits.KnownLimit | None
    ) -> bool:
        """Return whether a server's limit is lower than it was before."""
        known = self.limits.find(server)
        if known is None or before is None:
            return False
        return known.requests_per_second < before.requests_per_second

    def list_closed(self, now: float) -> set[ids.BackendServerId]:
        """Return the servers that have no permit now, as far as known here."""
        return {name for name, _ in self._states if self.find_wait(name, now) > 0.0}

    def assign_return(self, name: ids.BackendServerId, now: float) -> float:
        """Return when a refused caller may return, so that callers come at the rate."""
        server = self._find_server(name)
        known = self.limits.find(server) if server is not None else None
        if server is None or known is None:
            return _MIN_RETRY_SECONDS
        state = self._states.setdefault(server, _ServerState())
        rate = known.requests_per_second
        step = state.askers / rate if rate else _MAX_RETRY_SECONDS
        latest = now + _MAX_RETRY_SECONDS
        state.return_at = min(latest, max(state.return_at, state.free_at, now) + step)
        if state.return_at >= latest:
            # Beyond the longest time callers are spread over the whole of it.
            return self.random_source.uniform(
                min(_MAX_RETRY_SECONDS / 2.0, step), _MAX_RETRY_SECONDS
            )
        return max(_MIN_RETRY_SECONDS, state.return_at - now)

    async def _wait_while_quiet(self, server: homes.ServerRun) -> float:
        """Wait until a home may be asked again; return the time in seconds."""
        state = self._states.get(server)
        if state is None:
            return 0.0
        seconds = max(0.0, state.quiet_until - clocks.read_boot_clock())
        if seconds:
            await trio.sleep(seconds)
        return seconds

    def _find_server(self, name: ids.BackendServerId) -> homes.ServerRun | None:
        listed = self.blackboard.backends.listed.get(name)
        return (name, listed.started_at) if listed is not None else None

    def _start_asking(self, server: homes.ServerRun, waiter: _Waiter) -> None:
        state = self._states.get(server)
        if state is None:
            self._remove_unlisted()
            state = self._states[server] = _ServerState()
        state.waiting.append(waiter)
        if state.is_asking:
            return
        if self._nursery is None:
            self._settle(server, state, None)
            return
        state.is_asking = True
        self._nursery.start_soon(self._ask_all, server, state)

    async def _ask_all(self, server: homes.ServerRun, state: _ServerState) -> None:
        try:
            while state.waiting:
                state.waiting.sort(key=lambda each: each.longest_wait, reverse=True)
                asked = state.waiting[:_MAX_WAITERS_PER_QUERY]
                reply = await self._ask(server, [each.longest_wait for each in asked])
                later = state.waiting[len(asked) :]
                state.waiting = asked
                self._settle(server, state, reply)
                state.waiting = later
        finally:
            state.is_asking = False
            self._settle(server, state, None)

    async def _ask(
        self, server: homes.ServerRun, waits: collections.abc.Sequence[float]
    ) -> permit_home.Reply | None:
        """Return the reply of the first home that gives one."""
        listed = self.blackboard.backends.listed.get(server[0])
        known = self.limits.find_heard(server)
        if listed is None or known is None:
            return None
        now = clocks.read_boot_clock()
        query = permit_home.Query(
            node=self.blackboard.node,
            server=server,
            failure_domain=listed.failure_domain,
            requests_per_second=known.requests_per_second,
            limit_age_seconds=max(0.0, now - known.observed_at),
            waits=tuple(waits),
            streams=self.demand.streams,
        )
        order = self.home.leases.order
        found = order.list_homes(server, listed.failure_domain, now)
        if not found:
            return self.home.answer(query, now)
        return await self._ask_homes(found, query)

    async def _ask_homes(
        self, found: collections.abc.Iterable[members.Member], query: permit_home.Query
    ) -> permit_home.Reply | None:
        """Ask one home after the other until the one with the lease has replied.

        Others give out small parts while none has it.
        """
        left = _put_first(found, self._leaders.get(query.server))
        delays: list[float | None] = [None] * len(query.waits)
        last = None
        while left:
            home = left.pop(0)
            pending = [i for i, delay in enumerate(delays) if delay is None]
            waits = tuple(query.waits[i] for i in pending)
            reply = await self._ask_home(home, attrs.evolve(query, waits=waits))
            if reply is None:
                continue
            last = reply
            for i, delay in zip(pending, reply.delays, strict=False):
                delays[i] = delay
            if reply.leader is not None:
                self._leaders[query.server] = reply.leader
                left = _put_first(left, reply.leader)
            has_all = bool(delays) and None not in delays
            if has_all or reply.leader == home.node:
                break
        return None if last is None else attrs.evolve(last, delays=tuple(delays))

    async def _ask_home(
        self, home: members.Member, query: permit_home.Query
    ) -> permit_home.Reply | None:
        now = clocks.read_boot_clock()
        if home.node == self.blackboard.node:
            return await self.home.reply(query)
        if now < self._unreachable_until.get(home.node, float("-inf")):
            return None
        self.asked += 1
        try:
            with trio.fail_after(_ASK_TIMEOUT_SECONDS):
                reply = await self.transport.ask(home, query, _ASK_TIMEOUT_SECONDS)
        except (PermitError, trio.TooSlowError) as error:
            self.failures += 1
            self._unreachable_until[home.node] = now + _UNREACHABLE_SECONDS
            _LOGGER.info(
                "home of a backend server's limit gave no reply",
                extra={
                    "backend": query.server[0],
                    "home": home.node,
                    "detail": str(error) or "timed out",
                },
            )
            return None
        heard = request_limits.KnownLimit(
            requests_per_second=reply.requests_per_second,
            observed_at=clocks.read_boot_clock() - reply.limit_age_seconds,
        )
        self.limits.merge(query.server, heard, clocks.read_boot_clock())
        return reply

    def _settle(
        self,
        server: homes.ServerRun,
        state: _ServerState,
        reply: permit_home.Reply | None,
    ) -> None:
        """Tell those that wait when they may send, and remember when others may."""
        now = clocks.read_boot_clock()
        delays: tuple[float | None, ...] = reply.delays if reply is not None else ()
        for number, waiter in enumerate(state.waiting):
            delay = delays[number] if number < len(delays) else None
            waiter.send_at = None if delay is None else now + delay
            waiter.settled.set()
        was_denied = bool(state.waiting) and (not delays or None in delays)
        state.waiting = []
        if reply is None:
            if was_denied:
                state.quiet_until = now + _MIN_RETRY_SECONDS
            return
        state.askers = max(1, reply.askers)
        if reply.mean_streams is not None:
            self.demand.record_mean(server, reply.mean_streams, now)
        state.free_at = now + reply.free_seconds
        if was_denied and math.isfinite(reply.requests_per_second):
            asks = max(
                _MIN_ASKS_PER_SECOND, _ASKS_PER_PERMIT * reply.requests_per_second
            )
            state.quiet_until = now + state.askers / asks

    def _report_change(self, server: homes.ServerRun) -> None:
        """Tell the home that a server named a lower limit, or none."""
        if self.limits.find(server) is None:
            self._states.pop(server, None)
        if self._nursery is not None:
            self._nursery.start_soon(self._ask, server, ())

    def _remove_unlisted(self) -> None:
        for server in list(self._states):
            if self._find_server(server[0]) != server:
                del self._states[server]
                self._leaders.pop(server, None)


def _put_first(
    nodes: collections.abc.Iterable[members.Member], first: ids.NodeId | None
) -> list[members.Member]:
    """Return nodes in the same order, but for the one that comes first."""
    return sorted(nodes, key=lambda each: each.node != first)


def find_longest_wait(
    route: declarations.Route, priority: int, remaining_seconds: float
) -> float:
    """Return how long a request may wait for a permit, in seconds."""
    wait = _WAIT_GOALS * route.goal_seconds * 0.5 ** max(0, priority)
    return max(0.0, min(wait, _WAIT_REMAINING_SHARE * remaining_seconds))
