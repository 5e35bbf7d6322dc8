"""Leases under which one home of a server at a time gives out its whole limit.

A home holds a lease while most homes of the server lend it their votes. A vote is lent
to one home at a time, for longer than that home uses it.
"""

import collections.abc
import enum
import functools
import logging
import typing

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import board, clocks, homes, members

_LOGGER = logging.getLogger(__name__)

# A home uses votes for less time than they are lent, from before it asks for them.
_LEASE_SECONDS = 2.0
_VOTE_SECONDS = 2.5
_RENEWAL_SECONDS = 0.5
_RETRY_SECONDS = 0.25
# Nodes wait for a reply while the home asks for votes.
_VOTE_TIMEOUT_SECONDS = 0.06
_UNUSED_SECONDS = 60.0
# Parts of a limit that homes without a lease give out. With a lease elsewhere all parts
# add up to less than the factor by which a server's limit may be exceeded, as do those
# of both homes if there are two.
_PART = 0.2
_PART_OF_TWO = 0.65
_STRANGER_PART = 0.1


class VoteError(Exception):
    """Signal that a home gave no valid reply to a request for its vote."""


class Vote(enum.Enum):
    """Enumerate the replies of a home that is asked for its vote."""

    LENT = "lent"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class VoteRequest:
    """Ask a home of a server's run for its vote."""

    node: ids.NodeId
    """Home that asks."""
    server: homes.ServerRun
    failure_domain: ids.FailureDomainId
    """Failure domain of the server."""


class Transport(typing.Protocol):
    """Carry requests for votes; raises VoteError."""

    async def ask_vote(
        self, voter: members.Member, request: VoteRequest, timeout_seconds: float
    ) -> Vote:
        """Ask another home for its vote."""


@attrs.frozen(kw_only=True)
class Standing:
    """Describe what a node may give out of a server's limit."""

    part: float
    leader: ids.NodeId | None = None
    """Home that may hold the lease, as far as known."""


@attrs.frozen(kw_only=True)
class _LentVote:
    node: ids.NodeId
    until: float


@attrs.define(kw_only=True)
class _Candidacy:
    lease_until: float = float("-inf")
    renew_at: float = float("-inf")
    used_at: float = float("-inf")
    ended: trio.Event | None = None
    """Set once the requests for votes that are under way have ended."""


@attrs.define(kw_only=True)
class HomeLeases:
    """Hold leases of servers, and lend votes to other homes."""

    order: homes.HomeOrder
    transport: Transport
    changes: int = attrs.field(default=0, init=False)
    """Leases that this node has got while it had none."""
    _votes: dict[homes.ServerRun, _LentVote] = attrs.field(factory=dict, init=False)
    _candidacies: dict[homes.ServerRun, _Candidacy] = attrs.field(
        factory=dict, init=False
    )
    _abstains_until: float = attrs.field(default=float("-inf"), init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)

    async def run(self) -> None:
        """Renew leases that are in use until cancelled."""
        if not self.order.blackboard.is_first_start:
            # An earlier process of this node may have lent votes.
            self._abstains_until = clocks.read_boot_clock() + _VOTE_SECONDS
        try:
            async with trio.open_nursery() as self._nursery:
                await trio.sleep_forever()
        finally:
            self._nursery = None

    async def prepare(self, server: homes.ServerRun, domain: str) -> None:
        """Get a lease of a server if none is held, or renew it in the background."""
        now = clocks.read_boot_clock()
        if not self._is_candidate(server, domain, now):
            return
        candidacy = self._find_candidacy(server, now)
        if now >= candidacy.renew_at and candidacy.ended is None:
            candidacy.ended = trio.Event()
            campaign = functools.partial(self._campaign, server, domain, candidacy)
            if self._nursery is None:
                await campaign()
            else:
                self._nursery.start_soon(campaign)
        if candidacy.ended is not None and now >= candidacy.lease_until:
            await candidacy.ended.wait()

    def find_standing(
        self, server: homes.ServerRun, domain: str, now: float
    ) -> Standing:
        """Return the part of a server's limit that this node may give out."""
        own = self.order.blackboard.node
        listed = self.order.list_homes(server, domain, now)
        if all(each.node != own for each in listed):
            return Standing(part=_STRANGER_PART)
        if not self.order.is_certain(now):
            return Standing(part=_PART)
        candidacy = self._candidacies.get(server)
        has_lease = candidacy is not None and now < candidacy.lease_until
        if has_lease or len(listed) == 1:
            return Standing(part=1.0, leader=own)
        lent = self._find_lent(server, now)
        if lent is not None and lent.node != own:
            return Standing(part=0.0, leader=lent.node)
        return Standing(part=_PART_OF_TWO if len(listed) == 2 else _PART)

    def vote(self, request: VoteRequest, now: float) -> Vote:
        """Lend this node's vote to another home, unless it is lent already."""
        server, own = request.server, self.order.blackboard.node
        if now < self._abstains_until or not self.order.is_certain(now):
            return Vote.REFUSED
        listed = self.order.list_homes(server, request.failure_domain, now)
        if not {own, request.node} <= {each.node for each in listed}:
            return Vote.REFUSED
        lent = self._find_lent(server, now)
        if lent is not None and lent.node != request.node:
            return Vote.REFUSED
        self._lend(server, request.node, now)
        return Vote.LENT

    def list_leases(self, now: float) -> list[homes.ServerRun]:
        """Return the runs of servers whose leases this node holds."""
        return [
            server
            for server, each in self._candidacies.items()
            if now < each.lease_until
        ]

    def _is_candidate(self, server: homes.ServerRun, domain: str, now: float) -> bool:
        """Return whether this node may hold a lease of a server.

        A node that stops renews none, so that another home gets it before its exit.
        """
        own, state = self.order.blackboard.node, self.order.blackboard.state
        if now < self._abstains_until or not self.order.is_certain(now):
            return False
        if state is board.NodeState.DRAINING:
            return False
        lent = self._find_lent(server, now)
        if lent is not None and lent.node != own:
            return False
        listed = self.order.list_homes(server, domain, now)
        return any(each.node == own for each in listed)

    def _find_candidacy(self, server: homes.ServerRun, now: float) -> _Candidacy:
        candidacy = self._candidacies.get(server)
        if candidacy is None:
            for other, each in list(self._candidacies.items()):
                if now > each.used_at + _UNUSED_SECONDS:
                    del self._candidacies[other]
            candidacy = self._candidacies[server] = _Candidacy()
        candidacy.used_at = now
        return candidacy

    async def _campaign(
        self, server: homes.ServerRun, domain: str, candidacy: _Candidacy
    ) -> None:
        """Ask the other homes for their votes until most of all votes are lent."""
        sent_at = clocks.read_boot_clock()
        own = self.order.blackboard.node
        listed = self.order.list_homes(server, domain, sent_at)
        others = [each for each in listed if each.node != own]
        self._lend(server, own, sent_at)
        try:
            votes = await self._collect_votes(server, domain, others)
            now = clocks.read_boot_clock()
            if 2 * votes > len(listed):
                self._record_lease(server, candidacy, sent_at)
            else:
                candidacy.renew_at = now + _RETRY_SECONDS
                lent = self._votes.get(server)
                # After a pause of this process the vote may be lent to another home.
                if now >= candidacy.lease_until and lent and lent.node == own:
                    del self._votes[server]
        finally:
            assert candidacy.ended is not None
            candidacy.ended.set()
            candidacy.ended = None

    async def _collect_votes(
        self,
        server: homes.ServerRun,
        domain: str,
        others: collections.abc.Sequence[members.Member],
    ) -> int:
        """Return the number of votes, the own one included, once they suffice."""
        request = VoteRequest(
            node=self.order.blackboard.node,
            server=server,
            failure_domain=ids.FailureDomainId(domain),
        )
        votes = 1
        with trio.move_on_after(_VOTE_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:

                async def ask(voter: members.Member) -> None:
                    """Count one home's vote."""
                    nonlocal votes
                    try:
                        reply = await self.transport.ask_vote(
                            voter, request, _VOTE_TIMEOUT_SECONDS
                        )
                    except VoteError:
                        return
                    votes += reply is Vote.LENT
                    if 2 * votes > len(others) + 1:
                        nursery.cancel_scope.cancel()

                for each in others:
                    nursery.start_soon(ask, each)
        return votes

    def _record_lease(
        self, server: homes.ServerRun, candidacy: _Candidacy, sent_at: float
    ) -> None:
        if clocks.read_boot_clock() >= candidacy.lease_until:
            self.changes += 1
            _LOGGER.info(
                "this node gives out a backend server's request limit",
                extra={"backend": server[0]},
            )
        candidacy.lease_until = sent_at + _LEASE_SECONDS
        candidacy.renew_at = sent_at + _RENEWAL_SECONDS

    def _find_lent(self, server: homes.ServerRun, now: float) -> _LentVote | None:
        lent = self._votes.get(server)
        return lent if lent is not None and now < lent.until else None

    def _lend(self, server: homes.ServerRun, node: ids.NodeId, now: float) -> None:
        if server not in self._votes:
            for other, each in list(self._votes.items()):
                if now >= each.until:
                    del self._votes[other]
        self._votes[server] = _LentVote(node=node, until=now + _VOTE_SECONDS)
