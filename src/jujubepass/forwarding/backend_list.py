"""Controller that maintains the list of backend servers."""

import collections.abc
import logging

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, board, feeds
from jujubepass.server_runs import departures

_LOGGER = logging.getLogger(__name__)

# Servers whose entries expired during an outage of the store register again within
# about two seconds of its return. Missing ones stay listed until shortly before.
LAPSE_GRACE_SECONDS = 1.8
_DEFAULT_WAIT_SECONDS = 2.0
# Longest usual delay of a change on its way from the store.
_MAX_DELAY_SECONDS = 0.1
# If one change removes more than this share of the list, the entries have expired
# together, as after an outage of the store.
_MASS_LAPSE_SHARE = 0.5


@attrs.define(kw_only=True)
class BackendController:
    """Update the backends area from changes of the list."""

    area: board.BackendArea
    find_wait: collections.abc.Callable[[], float] = lambda: _DEFAULT_WAIT_SECONDS
    """Return the usual time between two confirmations of the list, in seconds."""
    leaving_announced: int = attrs.field(default=0, init=False)
    _departures: departures.Departures = attrs.field(init=False)
    _era: int = attrs.field(default=0, init=False)
    _missing_until: dict[ids.BackendServerId, float] = attrs.field(
        factory=dict, init=False
    )

    def __attrs_post_init__(self) -> None:
        self._departures = departures.Departures(area=self.area)

    def record_store_recovery(self, now: float) -> None:
        """Keep missing entries listed until their servers can register again."""
        self.area.lapse_grace_until = now + LAPSE_GRACE_SECONDS

    def apply(self, changes: feeds.Changes[backends.Backend], now: float) -> None:
        """Apply changes of the list; an unreadable entry counts as removed."""
        items = changes.items
        if changes.era != self._era:
            items = self._remove_restored(changes.items)
            self._era = changes.era
        removed = [
            name
            for name, backend in items.items()
            if backend is None and name in self.area.listed
        ]
        if changes.is_complete:
            removed += [name for name in self.area.listed if name not in items]
        if len(removed) > max(1, _MASS_LAPSE_SHARE * len(self.area.listed)):
            self.record_store_recovery(now)
        for name, backend in items.items():
            if backend is not None:
                self._missing_until.pop(ids.BackendServerId(name), None)
                self._add(backend, now)
        for name in removed:
            self._record_missing(ids.BackendServerId(name), now)
        self.remove_missing(now)
        self.area.is_initialized = True
        self.area.confirmed_at = max(self.area.confirmed_at, changes.confirmed_at)

    def record_leaving(
        self, name: ids.BackendServerId, started_at: int, now: float
    ) -> None:
        """Record that a run of a server said that it leaves, whatever the list says."""
        if not self._departures.record_announcement(name, started_at, now):
            return
        self.leaving_announced += 1
        _LOGGER.info(
            "backend server said that it leaves",
            extra={"backend": name, "started_at": started_at},
        )
        listed = self.area.listed.get(name)
        if listed is not None and listed.started_at == started_at:
            self._add(listed, now)

    def _remove_restored(
        self,
        items: collections.abc.Mapping[str, backends.Backend | None],
    ) -> collections.abc.Mapping[str, backends.Backend | None]:
        """Return the entries of an older copy of the list without those known as gone.

        A server that is listed as leaving stays so, whatever the copy says.
        """
        self._departures.keep_leaving(self.area.listed.values())
        return {
            name: backend
            for name, backend in items.items()
            if backend is None or not self._departures.was_removed(backend)
        }

    def _add(self, backend: backends.Backend, now: float) -> None:
        backend = self._departures.apply(backend)
        before = self.area.listed.get(backend.name)
        self.area.listed[backend.name] = backend
        self.area.revision += 1
        if before is None or before.started_at != backend.started_at:
            self.area.restarted.append(backend.name)
        self._departures.record_listed(backend, self._find_draining_since(now))
        if before is None or before.state is not backend.state:
            _LOGGER.info(
                "backend server listed",
                extra={
                    "backend": backend.name,
                    "service": backend.service,
                    "state": backend.state.value,
                    "started_at": backend.started_at,
                },
            )

    def _find_draining_since(self, now: float) -> float:
        """Return the time since which a server may have been draining.

        A change that came later than usual may be as old as the last confirmation.
        """
        is_late = now - self.area.confirmed_at > self.find_wait() + _MAX_DELAY_SECONDS
        return self.area.confirmed_at if is_late else now

    def _record_missing(self, name: ids.BackendServerId, now: float) -> None:
        until = max(now, self.area.lapse_grace_until)
        self._missing_until.setdefault(name, until)

    def remove_missing(self, now: float) -> None:
        """Remove missing servers that have not registered again in time."""
        for name, until in list(self._missing_until.items()):
            if now < until:
                continue
            del self._missing_until[name]
            backend = self.area.listed.pop(name, None)
            if backend is not None:
                self._departures.record_removed(backend, now)
                self.area.revision += 1
                _LOGGER.info(
                    "backend server removed from the list", extra={"backend": name}
                )


def list_ready(
    area: board.BackendArea, service: ids.ServiceId
) -> collections.abc.Iterator[backends.Backend]:
    """Yield a service's backend servers that accept new requests."""
    for backend in area.listed.values():
        if backend.service == service and backend.state is backends.BackendState.READY:
            yield backend
