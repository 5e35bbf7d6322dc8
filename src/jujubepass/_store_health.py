"""Judgement whether the platform's table answers."""

import attrs

from jujubepass import _call_area, _store_messages

_PROBE_PREFIX = "calls/probe/"
_PROBE_KEY = "call/probe"


@attrs.define(kw_only=True)
class StoreHealth:
    """Hold the table down from a failed write until a probe is answered."""

    area: _call_area.CallArea
    probe_seconds: float
    _probes: int = attrs.field(default=0, init=False)
    _probe_at: float = attrs.field(default=float("inf"), init=False)

    def note_success(self) -> None:
        """Take the table for up."""
        self.area.store_is_down = False
        self._probe_at = float("inf")

    def note_failure(self, now: float) -> None:
        """Take the table for down and probe it at once."""
        if not self.area.store_is_down:
            self.area.store_is_down = True
            self._probe_at = now

    def probe(self, now: float) -> tuple[_store_messages.ReadRows, ...]:
        """Read a row when that is due."""
        if now < self._probe_at:
            return ()
        self._probe_at = float("inf")
        self._probes += 1
        operation = _store_messages.OperationId(f"{_PROBE_PREFIX}{self._probes}")
        return (_store_messages.ReadRows(operation=operation, keys=(_PROBE_KEY,)),)

    def note_read(
        self,
        event: _store_messages.RowsRead | _store_messages.ReadFailed,
        now: float,
    ) -> None:
        """Judge by the answer to a probe."""
        if not event.operation.startswith(_PROBE_PREFIX):
            return
        if isinstance(event, _store_messages.RowsRead):
            self.note_success()
        elif self.area.store_is_down:
            self._probe_at = now + self.probe_seconds
