"""Controller of the slow starts of servers; see docs/design/pace.md."""

import collections.abc
import logging

import attrs

from jujubepass import ids
from jujubepass.capacity import view as capacity_view
from jujubepass.pace import division, starts

_LOGGER = logging.getLogger(__name__)

# An entry that lapses in the list for less than this time has not left.
_LAPSE_SECONDS = 10.0
# Log lines about slow starts in a second; an outage returns all servers at once.
_LOG_LINES_PER_SECOND = 20

# An alias, because a field has the same name as the class in lower case.
_Domain = division.Domain


@attrs.define(kw_only=True)
class Pace:
    """Tell how many requests a server may have at once now, from all nodes."""

    domain: _Domain
    view: capacity_view.View | None = None
    begun: int = attrs.field(default=0, init=False)
    ended: int = attrs.field(default=0, init=False)
    _runs: dict[ids.BackendServerId, int] = attrs.field(factory=dict, init=False)
    _starts: dict[ids.BackendServerId, starts.SlowStart] = attrs.field(
        factory=dict, init=False
    )
    _missing_since: dict[ids.BackendServerId, float] = attrs.field(
        factory=dict, init=False
    )
    _log_second: int = attrs.field(default=0, init=False)
    _log_lines: int = attrs.field(default=0, init=False)

    def record_listed(
        self,
        server: ids.BackendServerId,
        started_at: int,
        is_first_start: bool,
        now: float,
        expected_seconds: float | None = None,
    ) -> None:
        """Begin the slow start of a new run, unless it is known from the first start.

        `expected_seconds` is the usual time of a response, as far as known.
        """
        self._missing_since.pop(server, None)
        if self._runs.get(server) == started_at:
            return
        self._runs[server] = started_at
        self._starts.pop(server, None)
        if not is_first_start:
            self._begin(server, now, expected_seconds)

    def record_recovered(self, server: ids.BackendServerId, now: float) -> None:
        """Begin a slow start of a run that responds again."""
        if server in self._runs and server not in self._starts:
            self._begin(server, now, None)

    def record_answer(
        self,
        server: ids.BackendServerId,
        seconds: float,
        expected_seconds: float,
        now: float,
    ) -> None:
        """Record the time of a response and the time that it should take."""
        start = self._starts.get(server)
        if start is not None:
            start.record_answer(seconds, expected_seconds, now)

    def record_rejected(self, server: ids.BackendServerId, now: float) -> None:
        """Record that a server rejected a request for lack of capacity."""
        start = self._starts.get(server)
        if start is not None:
            start.record_overload(now, is_rejection=True)

    def record_failed(self, server: ids.BackendServerId, now: float) -> None:
        """Record that a server failed to answer a request."""
        start = self._starts.get(server)
        if start is not None:
            start.record_failure(now)

    def remove_left(
        self, listed: collections.abc.Set[ids.BackendServerId], now: float
    ) -> None:
        """Remove the state of servers that have left the list."""
        for server in self._runs.keys() - listed:
            since = self._missing_since.setdefault(server, now)
            if now - since >= _LAPSE_SECONDS:
                del self._runs[server], self._missing_since[server]
                self._starts.pop(server, None)

    def is_starting(self, server: ids.BackendServerId) -> bool:
        """Return whether a server is in its slow start."""
        return server in self._starts

    def list_starting(self) -> list[ids.BackendServerId]:
        """Return the servers that are in their slow start."""
        return list(self._starts)

    def find_places(
        self, server: ids.BackendServerId, slots: float, now: float
    ) -> float:
        """Return how many requests a server may have at once, from all nodes."""
        start = self._starts.get(server)
        if start is None:
            return slots
        self._advance(server, start, now)
        if start.is_over(slots, now):
            self._end(server, start, now)
            return slots
        return min(slots, start.find_places(now))

    def is_settling(self, server: ids.BackendServerId, now: float) -> bool:
        """Return whether a server of another failure domain is to be spared here.

        Rejections do not prolong this, as the responses that it gives to its own
        domain are not known here.
        """
        start = self._starts.get(server)
        if start is not None and now - start.began_at >= starts.QUIET_SECONDS:
            self._end(server, start, now)
        return server in self._starts

    def read_places(self, server: ids.BackendServerId, now: float) -> float | None:
        """Return the places of a slow start as they are, or None if there is none."""
        start = self._starts.get(server)
        return None if start is None else start.find_places(now)

    def may_send(
        self,
        server: ids.BackendServerId,
        own_running: int,
        slots: float,
        now: float,
    ) -> bool:
        """Return whether this node may send a server one more request."""
        places = self.find_places(server, slots, now)
        start = self._starts.get(server)
        if start is None:
            return True
        own_places = self._divide(server, places)
        use = self._find_use(server, now)
        if use is None:
            return own_running < own_places
        free_places = places - max(use.running, own_running)
        if free_places < 1.0:
            return False
        if own_running < own_places:
            return True
        return own_running <= own_places and division.is_offered(
            free_places,
            start.offers,
            self.domain.count_nodes(),
            self._find_rank(server),
            now,
        )

    def _begin(
        self, server: ids.BackendServerId, now: float, expected_seconds: float | None
    ) -> None:
        start = starts.SlowStart(began_at=now)
        if expected_seconds is not None and expected_seconds > 0.0:
            start.expected_seconds = expected_seconds
        self._starts[server] = start
        self.begun += 1
        if self._may_log(now):
            _LOGGER.info(
                "slow start of a backend server began",
                extra={"backend": server, "started_at": self._runs[server]},
            )

    def _end(
        self, server: ids.BackendServerId, start: starts.SlowStart, now: float
    ) -> None:
        del self._starts[server]
        self.ended += 1
        if self._may_log(now):
            _LOGGER.info(
                "slow start of a backend server ended",
                extra={
                    "backend": server,
                    "seconds": round(now - start.began_at, 3),
                    "places": round(start.places, 1),
                    "rejections": start.rejections,
                },
            )

    def _may_log(self, now: float) -> bool:
        if int(now) != self._log_second:
            self._log_second, self._log_lines = int(now), 0
        self._log_lines += 1
        return self._log_lines <= _LOG_LINES_PER_SECOND

    def _advance(
        self, server: ids.BackendServerId, start: starts.SlowStart, now: float
    ) -> None:
        """Apply what is known of the other nodes' requests and their responses."""
        use = self._find_use(server, now)
        if use is None:
            # Without a place, a node assumes that the others' responses are in time.
            has_place = self._divide(server, start.places) > 0
            start.advance(now, is_used=False, is_assumed=not has_place)
            return
        assert self.view is not None
        if self.view.is_full(server, now):
            start.record_overload(now, is_rejection=True)
        elif use.running > use.prefilling:
            start.answered_at = now
        start.advance(now, is_used=use.running >= starts.USED_PART * start.places)

    def _find_use(
        self, server: ids.BackendServerId, now: float
    ) -> capacity_view.EngineUse | None:
        return None if self.view is None else self.view.find_use(server, now)

    def _find_rank(self, server: ids.BackendServerId) -> int:
        return self.domain.find_rank(server, self._runs[server])

    def _divide(self, server: ids.BackendServerId, places: float) -> int:
        return division.divide(
            places, self.domain.count_nodes(), self._find_rank(server)
        )
