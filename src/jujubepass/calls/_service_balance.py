"""Choice among the backend servers of a plain service."""

import collections
import collections.abc
import random

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_area
from jujubepass.calls import _breakers

_NO_BACKEND_PAUSE_SECONDS = 1.0


@attrs.define(kw_only=True)
class ServiceBalance:
    """Spread calls by what is in flight; leave out servers that keep failing."""

    backends: _backend_area.BackendArea
    random: random.Random
    _in_flight: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    _by_server: dict[ids.BackendServerId, _breakers.Breaker] = attrs.field(
        factory=dict, init=False
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
            and not self._find_breaker(backend.vm.name).is_open(now)
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
            self._find_breaker(backend.vm.name).predict_wait_seconds(now)
            for backend in self.backends.list_service(service)
        ]
        return min(waits, default=_NO_BACKEND_PAUSE_SECONDS)

    def begin(self, backend: ids.BackendServerId, now: float) -> None:
        """Count an attempt in."""
        self._in_flight[backend] += 1
        breaker = self._find_breaker(backend)
        if not breaker.is_open(now):
            breaker.note_dispatch(now)

    def end(self, backend: ids.BackendServerId) -> None:
        """Count an attempt out."""
        self._in_flight[backend] -= 1

    def note_success(self, backend: ids.BackendServerId, now: float) -> None:
        """Report an answer to the server's circuit breaker."""
        self._find_breaker(backend).note_success()

    def note_failure(self, backend: ids.BackendServerId, now: float) -> None:
        """Report a failure to the server's circuit breaker."""
        self._find_breaker(backend).count_fault(now)

    def _find_breaker(self, backend: str) -> _breakers.Breaker:
        name = ids.BackendServerId(backend)
        breaker = self._by_server.get(name)
        if breaker is None:
            bounds = _breakers.SERVICE_BOUNDS
            breaker = _breakers.Breaker(bounds=bounds, jitter_random=self.random)
            self._by_server[name] = breaker
        return breaker
