"""Runs of servers that are leaving or gone, and since when."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, board
from jujubepass.server_runs import memory


@attrs.define(kw_only=True)
class Departures:
    """Track departures; writes `draining_since` of the backends area."""

    area: board.BackendArea
    _since: memory.RunMemory[float] = attrs.field(factory=memory.RunMemory, init=False)
    """Boot-clock time since which a run is known as leaving or gone."""
    _announced: memory.RunMemory[bool] = attrs.field(
        factory=memory.RunMemory, init=False
    )
    """Runs that leave whatever the list says."""
    _removed: memory.RunMemory[bool] = attrs.field(factory=memory.RunMemory, init=False)
    """Runs that were removed from the list."""

    def record_announcement(
        self, name: ids.BackendServerId, started_at: int, now: float
    ) -> bool:
        """Record that a run leaves for good; return whether that is new."""
        if self._announced.find(name, started_at):
            return False
        self._announced.record(name, started_at, True)
        self._begin(name, started_at, now)
        return True

    def apply(self, backend: backends.Backend) -> backends.Backend:
        """Return an entry as draining if its run leaves for good."""
        if self._announced.find(backend.name, backend.started_at):
            return attrs.evolve(backend, state=backends.BackendState.DRAINING)
        return backend

    def record_listed(self, backend: backends.Backend, since: float) -> None:
        """Record an entry, which may be draining since that time.

        What was known of the run before counts: it may have been without an entry.
        """
        name = backend.name
        self._removed.forget(name)
        if backend.state is backends.BackendState.DRAINING:
            self._begin(name, backend.started_at, since)
            return
        self._since.forget(name)
        self._announced.forget(name)
        self.area.draining_since.pop(name, None)

    def record_removed(self, backend: backends.Backend, now: float) -> None:
        """Record that the entry of a run was removed from the list."""
        name, started_at = backend.name, backend.started_at
        self._removed.record(name, started_at, True)
        if self._since.find(name, started_at) is None:
            self._remember(name, started_at, now)

    def keep_leaving(self, listed: collections.abc.Iterable[backends.Backend]) -> None:
        """Keep servers leaving, whatever a restored list says."""
        for backend in listed:
            if backend.state is backends.BackendState.DRAINING:
                self._announced.record(backend.name, backend.started_at, True)

    def was_removed(self, backend: backends.Backend) -> bool:
        """Return whether the run of an entry was removed from the list before."""
        return self._removed.find(backend.name, backend.started_at) is not None

    def _begin(self, name: ids.BackendServerId, started_at: int, now: float) -> None:
        since = self._since.find(name, started_at)
        if since is None:
            since = now
            self._remember(name, started_at, since)
        self.area.draining_since[name] = since

    def _remember(self, name: ids.BackendServerId, started_at: int, now: float) -> None:
        for forgotten in self._since.record(name, started_at, now):
            if forgotten not in self.area.listed:
                self.area.draining_since.pop(forgotten, None)
