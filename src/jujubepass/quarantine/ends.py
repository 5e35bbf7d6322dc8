"""Ends of servers, each held against suspects only once it is confirmed."""

import collections.abc
import random

import attrs

from jujubepass import ids
from jujubepass.forwarding import board
from jujubepass.quarantine import suspects
from jujubepass.transport import _http_client

# Time in which the end of a server is confirmed after a run on it broke.
_CONFIRMATION_SECONDS = 10.0
_PROBING_SECONDS = 2.0
_MAX_RUNS = 1_000
# Suspects of all unconfirmed ends.
_MAX_SUSPECTS = 50_000
_MAX_CHOSEN_SUSPECTS = 64

Depths = dict[suspects.Key, int]
"""Suspects, parts with their index in the prompt."""


@attrs.define(kw_only=True)
class _PossibleEnd:
    since: float
    address: _http_client.Address | None
    is_probed: bool = False
    confirmed_at: float | None = None
    depths: Depths = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class ServerEnds:
    """Collect suspects of runs of servers that may have ended, until that is known."""

    area: board.BackendArea
    known: collections.abc.Container[suspects.Key]
    """Suspects of earlier ends."""
    random_source: random.Random = attrs.field(factory=random.Random)
    _ends: dict[suspects.ServerRun, _PossibleEnd] = attrs.field(
        factory=dict, init=False
    )
    _compared_revision: int | None = attrs.field(default=None, init=False)
    """Revision of the list with which all possible ends were compared."""

    def record_break(
        self,
        run: suspects.ServerRun,
        depths: Depths,
        now: float,
        *,
        is_probed: bool = True,
    ) -> Depths:
        """Record a request that broke on a run; return its suspects if that has ended.

        Without probes, only what is learned otherwise confirms the end.
        """
        end = self._find(run, now)
        if end.confirmed_at is not None:
            return depths
        end.is_probed |= is_probed
        if self._count_suspects() + len(depths) > _MAX_SUSPECTS:
            depths = self._choose(depths)
        end.depths |= depths
        return {}

    def _choose(self, depths: Depths) -> Depths:
        """Return those that are suspected already, and some others by chance."""
        others = [key for key in depths if key not in self.known]
        count = min(len(others), _MAX_CHOSEN_SUSPECTS)
        chosen = set(self.random_source.sample(others, count))
        return {
            key: depth
            for key, depth in depths.items()
            if key in self.known or key in chosen
        }

    def _count_suspects(self) -> int:
        return sum(len(each.depths) for each in self._ends.values())

    def confirm(self, run: suspects.ServerRun, now: float) -> Depths:
        """Record that a run has ended; return the suspects that may have ended it."""
        end = self._find(run, now)
        if end.confirmed_at is None:
            end.confirmed_at = now
        depths, end.depths = end.depths, {}
        return depths

    def list_restarted(self) -> list[suspects.ServerRun]:
        """Return unconfirmed runs whose addresses later runs are listed with.

        The list is searched only if it or the possible ends have changed.
        """
        if self._compared_revision == self.area.revision:
            return []
        self._compared_revision = self.area.revision
        waiting = {
            end.address: run
            for run, end in self._ends.items()
            if end.confirmed_at is None and end.address is not None
        }
        if not waiting:
            return []
        return [
            waiting[each.address]
            for each in self.area.listed.values()
            if each.address in waiting
            and each.started_at > waiting[each.address].started_at
        ]

    def list_unconfirmed(self, now: float) -> list[ids.BackendServerId]:
        """Return servers whose possible end is to be confirmed by a probe."""
        return [
            run.server
            for run, end in self._ends.items()
            if end.is_probed
            and end.confirmed_at is None
            and now - end.since <= _PROBING_SECONDS
        ]

    def rename(
        self, changed: collections.abc.Mapping[suspects.Key, suspects.Key]
    ) -> None:
        """Replace the keys of suspects that have changed."""
        for end in self._ends.values():
            end.depths = {
                changed.get(key, key): depth for key, depth in end.depths.items()
            }

    def remove_old(self, now: float) -> None:
        """Remove ends that are confirmed, or were not confirmed, for long enough."""
        for run, end in list(self._ends.items()):
            if now - (end.confirmed_at or end.since) > _CONFIRMATION_SECONDS:
                del self._ends[run]

    def has_ended(self, run: suspects.ServerRun) -> bool:
        """Return whether the end of a run was confirmed of late."""
        end = self._ends.get(run)
        return end is not None and end.confirmed_at is not None

    def _find(self, run: suspects.ServerRun, now: float) -> _PossibleEnd:
        while len(self._ends) >= _MAX_RUNS and run not in self._ends:
            del self._ends[next(iter(self._ends))]
        if run not in self._ends:
            listed = self.area.listed.get(run.server)
            address = listed.address if listed is not None else None
            self._ends[run] = _PossibleEnd(since=now, address=address)
            self._compared_revision = None
        return self._ends[run]
