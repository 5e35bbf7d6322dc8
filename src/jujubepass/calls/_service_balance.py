"""Load balancing over the backend servers of a plain service."""

import collections
import collections.abc
import random

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_area
from jujubepass.calls import _breakers

_NO_BACKEND_WAIT_SECONDS = 1.0


@attrs.define(kw_only=True)
class ServiceBalance:
    """Balance attempts by number in flight; skip servers with an open breaker."""

    backends: _backend_area.BackendArea
    random: random.Random
    _in_flight: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter, init=False
    )
    _breaker_by_server: dict[ids.BackendServerId, _breakers.Breaker] = attrs.field(
        factory=dict, init=False
    )
    _rotation: int = attrs.field(default=0, init=False)

    def choose(
        self,
        service: ids.ServiceId,
        now: float,
        *,
        exclude: collections.abc.Container[ids.BackendServerId] = (),
    ) -> _backend_area.BackendServer | None:
        """Choose the server with the fewest attempts in flight; rotate among ties."""
        usable = [
            backend
            for backend in self.backends.list_service_backends(service)
            if backend.vm.name not in exclude
            and not self._find_breaker(backend.vm.name).is_open(now)
        ]
        if not usable:
            return None
        self._rotation += 1
        start = self._rotation % len(usable)
        usable = usable[start:] + usable[:start]
        return min(
            usable, key=lambda each: self._in_flight[ids.BackendServerId(each.vm.name)]
        )

    def predict_wait_seconds(self, service: ids.ServiceId, now: float) -> float:
        """Return how long until a server of the service accepts attempts."""
        waits = [
            self._find_breaker(backend.vm.name).predict_wait_seconds(now)
            for backend in self.backends.list_service_backends(service)
        ]
        return min(waits, default=_NO_BACKEND_WAIT_SECONDS)

    def begin_attempt(self, backend: ids.BackendServerId, now: float) -> None:
        """Record an attempt as in flight."""
        self._in_flight[backend] += 1
        breaker = self._find_breaker(backend)
        if not breaker.is_open(now):
            breaker.record_dispatch(now)

    def end_attempt(self, backend: ids.BackendServerId) -> None:
        """Record that an attempt is no longer in flight."""
        self._in_flight[backend] -= 1

    def record_success(self, backend: ids.BackendServerId, now: float) -> None:
        """Record an answer at the server's circuit breaker."""
        self._find_breaker(backend).record_success()

    def record_failure(self, backend: ids.BackendServerId, now: float) -> None:
        """Record a failure at the server's circuit breaker."""
        self._find_breaker(backend).count_fault(now)

    def _find_breaker(self, backend: str) -> _breakers.Breaker:
        name = ids.BackendServerId(backend)
        breaker = self._breaker_by_server.get(name)
        if breaker is None:
            bounds = _breakers.SERVICE_BOUNDS
            breaker = _breakers.Breaker(bounds=bounds, jitter_random=self.random)
            self._breaker_by_server[name] = breaker
        return breaker
