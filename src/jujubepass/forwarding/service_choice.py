"""Choice of a plain service's backend server."""

import collections
import collections.abc
import contextlib

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    backend_list,
    backends,
    board,
    members,
    pacing,
    silences,
    suspicion,
)

# Alias, because a field has the same name as the module.
_Pacing = pacing.Pacing


@attrs.define(kw_only=True)
class ServiceChoice:
    """Choose a service's backend server by suspicion, distance and load."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    silences: silences.Silences
    pacing: _Pacing | None = None
    running: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter
    )

    @contextlib.contextmanager
    def count(self, name: ids.BackendServerId) -> collections.abc.Iterator[None]:
        """Count a request that runs at a server."""
        self.running[name] += 1
        try:
            sharing = contextlib.nullcontext()
            with self.pacing.share_use(name) if self.pacing else sharing:
                yield
        finally:
            self.running[name] -= 1

    def choose(
        self,
        service: ids.ServiceId,
        tried: collections.abc.Set[ids.BackendServerId],
        now: float,
    ) -> backends.Backend | None:
        """Return the backend server for the next attempt, or None."""
        ready = [
            each
            for each in backend_list.list_ready(self.blackboard.backends, service)
            if each.name not in tried and not self.silences.is_closed(each.name, now)
        ]
        return min(ready, key=lambda each: self._rank(each, now), default=None)

    def find_open(
        self, service: ids.ServiceId, name: ids.BackendServerId, now: float
    ) -> backends.Backend | None:
        """Return a backend server if it accepts new requests."""
        if self.silences.is_closed(name, now):
            return None
        ready = backend_list.list_ready(self.blackboard.backends, service)
        return next((each for each in ready if each.name == name), None)

    def find_end_of_silence(self, service: ids.ServiceId, now: float) -> float | None:
        """Return when the first silent server of a service takes requests again."""
        ready = backend_list.list_ready(self.blackboard.backends, service)
        names = [each.name for each in ready]
        if not all(self.silences.is_closed(name, now) for name in names):
            return None
        return self.silences.find_end(names, now)

    def _rank(
        self, backend: backends.Backend, now: float
    ) -> tuple[bool, bool, bool, bool, int]:
        is_suspected = self.suspects.is_suspected(backend.name, now)
        is_remote = backend.failure_domain != self.blackboard.failure_domain
        running = self.running[backend.name]
        # Slots are for all nodes, of which those of this failure domain use a server as
        # this one does.
        neighbors = members.count_neighbors(self.blackboard)
        is_full = running * neighbors >= backend.slots
        has_no_pace = self.pacing is not None and not self.pacing.is_open(
            backend, running, now
        )
        return is_suspected, has_no_pace, is_full, is_remote, running
