"""Spill of requests to another failure domain while this one has no place for them."""

import collections
import collections.abc
import logging
import math
import random

import attrs

from jujubepass import ids

_LOGGER = logging.getLogger(__name__)

# Lines arrive once a second; one that is older than this says too little.
MAX_LINE_AGE_SECONDS = 3.0
# A domain with a smaller share of free places keeps them for its own requests.
_MIN_FREE_SHARE = 0.1
_SMOOTHING_SECONDS = 2.0
# Places of one line are used up over the time until the next line.
_LINE_SECONDS = 1.0
# From this probability on all requests are sent: the domain has a place for each.
_FULL_SHARE = 0.9
# A spill ends once no request was sent elsewhere for this time.
_END_SECONDS = 3.0


@attrs.frozen(kw_only=True)
class DomainRoom:
    """Describe the room of another failure domain by its line."""

    domain: ids.FailureDomainId
    free: float
    places: float
    waiting: float

    @property
    def has_room(self) -> bool:
        """Return whether requests of other domains may be sent to it."""
        return self.free > _MIN_FREE_SHARE * self.places


@attrs.define(kw_only=True)
class _Running:
    domain: ids.FailureDomainId
    last_at: float
    requests: int = 0


@attrs.define(kw_only=True)
class Spill:
    """Decide which of this node's requests another failure domain gets.

    The probability of a request to be sent is spent as an allowance that grows evenly,
    so that a request that asks again while it waits is not more likely to be sent.
    """

    random_source: random.Random
    spilled: collections.Counter[ids.FailureDomainId] = attrs.field(
        factory=collections.Counter, init=False
    )
    """Requests sent to other failure domains."""
    target: DomainRoom | None = attrs.field(default=None, init=False)
    _shares: dict[ids.FailureDomainId, float] = attrs.field(factory=dict, init=False)
    """Smoothed probability of a request to be sent, by failure domain."""
    _updated_at: float = attrs.field(default=-math.inf, init=False)
    _short_at: float = attrs.field(default=-math.inf, init=False)
    _allowance: float = attrs.field(default=0.0, init=False)
    _running: _Running | None = attrs.field(default=None, init=False)

    def update(
        self,
        rooms: collections.abc.Sequence[DomainRoom],
        now: float,
        *,
        is_short: bool,
        requests: float,
        nodes: int,
    ) -> None:
        """Update the probability and the allowance from the lines of other domains.

        `requests` wait or arrive in this failure domain until the next line.
        """
        passed_seconds = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._smooth_shares(rooms, requests, passed_seconds)
        self.target = max(
            (each for each in rooms if each.has_room),
            key=lambda each: each.free,
            default=None,
        )
        if is_short:
            self._extend_allowance(now, requests / max(1, nodes))
        self._check_end(now)

    def find_target(self) -> ids.FailureDomainId | None:
        """Return the failure domain that gets the next request, if any."""
        if self.target is None:
            return None
        has_room_for_all = self.get_share(self.target.domain) >= _FULL_SHARE
        is_sent = has_room_for_all or self._allowance >= 1.0
        return self.target.domain if is_sent else None

    def get_share(self, domain: ids.FailureDomainId) -> float:
        """Return the probability of a request to be sent to a failure domain."""
        return self._shares.get(domain, 0.0)

    def record(self, domain: ids.FailureDomainId, now: float) -> None:
        """Record that a request is sent to another failure domain."""
        self.spilled[domain] += 1
        self._allowance = max(0.0, self._allowance - 1.0)
        if self._running is not None and self._running.domain != domain:
            self._end()
        if self._running is None:
            self._running = _Running(domain=domain, last_at=now)
            _LOGGER.info(
                "requests are sent to another failure domain",
                extra={
                    "domain": domain,
                    "probability": round(self.get_share(domain), 3),
                    "free_places": round(self.target.free) if self.target else None,
                },
            )
        self._running.last_at = now
        self._running.requests += 1

    def _smooth_shares(
        self,
        rooms: collections.abc.Sequence[DomainRoom],
        requests: float,
        passed_seconds: float,
    ) -> None:
        # Domains without room send their waiting requests to the same places.
        others = sum(each.waiting for each in rooms if not each.has_room)
        part = 1.0 - math.exp(-passed_seconds / _SMOOTHING_SECONDS)
        shares = {}
        for each in rooms:
            share = 0.0
            if each.has_room:
                share = each.free / max(1.0, requests + each.waiting + others)
            before = self._shares.get(each.domain, 0.0)
            risen = before + part * (min(1.0, share) - before)
            # Places that are taken meanwhile are not promised again.
            shares[each.domain] = min(share, risen)
        self._shares = shares

    def _extend_allowance(self, now: float, requests_per_node: float) -> None:
        short_seconds = now - self._short_at
        self._short_at = now
        if short_seconds > _LINE_SECONDS:
            # Nodes that all began with the same allowance would send at one moment, and
            # more than the places that are free.
            self._allowance = self.random_source.random()
            return
        share = self.get_share(self.target.domain) if self.target else 0.0
        per_second = share * requests_per_node / _LINE_SECONDS
        most = max(1.0, per_second * _LINE_SECONDS)
        self._allowance = min(most, self._allowance + per_second * short_seconds)

    def _check_end(self, now: float) -> None:
        running = self._running
        if running is not None and now - running.last_at > _END_SECONDS:
            self._end()

    def _end(self) -> None:
        assert self._running is not None
        _LOGGER.info(
            "no more requests are sent to another failure domain",
            extra={"domain": self._running.domain, "requests": self._running.requests},
        )
        self._running = None
