"""Choice among the backend servers of a plain service."""

import collections
import collections.abc

import attrs

from jujubepass import _backend_area, ids

_FAILURES_TO_OPEN = 3
_FIRST_PAUSE_SECONDS = 0.5
_LONGEST_PAUSE_SECONDS = 10.0


@attrs.define(kw_only=True)
class _Circuit:
    failures: int = 0
    open_until: float = float("-inf")
    pause_seconds: float = _FIRST_PAUSE_SECONDS


@attrs.define(kw_only=True)
class ServiceBalance:
    """Spread calls by what is in flight; leave out servers that keep failing."""

    backends: _backend_area.BackendArea
    _in_flight: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    _circuits: dict[ids.BackendServerId, _Circuit] = attrs.field(
        factory=lambda: collections.defaultdict(lambda: _Circuit()), init=False
    )
    _turn: int = attrs.field(default=0, init=False)

    def choose(
        self,
        service: ids.ServiceId,
        now: float,
        *,
        avoid: collections.abc.Container[ids.BackendServerId] = (),
    ) -> _backend_area.BackendServer | None:
        """Choose the server with the least in flight; equal ones take turns."""
        usable = [
            backend
            for backend in self.backends.list_service(service)
            if backend.vm.name not in avoid
            and now >= self._circuits[ids.BackendServerId(backend.vm.name)].open_until
        ]
        if not usable:
            return None
        self._turn += 1
        start = self._turn % len(usable)
        usable = usable[start:] + usable[:start]
        return min(
            usable, key=lambda each: self._in_flight[ids.BackendServerId(each.vm.name)]
        )

    def find_pause(self, service: ids.ServiceId, now: float) -> float:
        """Return the seconds until a server of the service may be tried."""
        waits = [
            self._circuits[ids.BackendServerId(backend.vm.name)].open_until - now
            for backend in self.backends.list_service(service)
        ]
        return max(0.0, min(waits, default=_FIRST_PAUSE_SECONDS))

    def begin(self, backend: ids.BackendServerId) -> None:
        """Count an attempt in."""
        self._in_flight[backend] += 1

    def end(self, backend: ids.BackendServerId) -> None:
        """Count an attempt out."""
        self._in_flight[backend] -= 1

    def note_success(self, backend: ids.BackendServerId) -> None:
        """Close the server's circuit."""
        self._circuits.pop(backend, None)

    def note_failure(self, backend: ids.BackendServerId, now: float) -> None:
        """Open the server's circuit after several failures, longer each time."""
        circuit = self._circuits[backend]
        circuit.failures += 1
        if circuit.failures >= _FAILURES_TO_OPEN:
            circuit.open_until = now + circuit.pause_seconds
            circuit.pause_seconds = min(
                2 * circuit.pause_seconds, _LONGEST_PAUSE_SECONDS
            )
