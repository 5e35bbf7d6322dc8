"""Health checks of the platform's table."""

import attrs

from jujubepass.calls import _call_area
from jujubepass.storage import _store_messages

_PROBE_PREFIX = "calls/probe/"
_TIMEOUTS_BEFORE_DOWN = 2
_PROBE_KEY = "call/probe"


@attrs.define(kw_only=True)
class StoreHealth:
    """Mark the table down after failed writes until a probe succeeds."""

    area: _call_area.CallArea
    probe_seconds: float
    _consecutive_timeouts: int = attrs.field(default=0, init=False)
    _probing: bool = attrs.field(default=False, init=False)
    _probes: int = attrs.field(default=0, init=False)
    _probe_at: float = attrs.field(default=float("inf"), init=False)

    def record_success(self) -> None:
        """Mark the table up."""
        self._consecutive_timeouts = 0
        self.area.store_is_down = False
        self._probe_at = float("inf")

    def record_refusal(self, now: float) -> None:
        """Mark the table down and probe it at once."""
        if not self.area.store_is_down:
            self.area.store_is_down = True
            if not self._probing:
                self._probe_at = now

    def record_unclear_write(self, now: float) -> None:
        """Schedule a probe; mark the table down after consecutive unclear outcomes."""
        self._consecutive_timeouts += 1
        if self._consecutive_timeouts >= _TIMEOUTS_BEFORE_DOWN:
            self.record_refusal(now)
        elif not self._probing:
            self._probe_at = now

    def probe(self, now: float) -> tuple[_store_messages.ReadRows, ...]:
        """Return the read command of a probe if one is due."""
        if now < self._probe_at:
            return ()
        self._probe_at = float("inf")
        self._probing = True
        self._probes += 1
        operation = _store_messages.OperationId(f"{_PROBE_PREFIX}{self._probes}")
        return (_store_messages.ReadRows(operation=operation, keys=(_PROBE_KEY,)),)

    def record_probe(
        self,
        event: _store_messages.RowsRead | _store_messages.ReadFailed,
        now: float,
    ) -> None:
        """Mark the table up or down from the outcome of a probe."""
        if not event.operation.startswith(_PROBE_PREFIX):
            return
        self._probing = False
        if isinstance(event, _store_messages.RowsRead):
            self.record_success()
        else:
            self.area.store_is_down = True
            self._probe_at = now + self.probe_seconds
