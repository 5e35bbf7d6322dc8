"""Judgement whether the platform's table answers."""

import attrs

from jujubepass.calls import _call_area
from jujubepass.storage import _store_messages

_PROBE_PREFIX = "calls/probe/"
_SILENCES_TO_BE_DOWN = 2
_PROBE_KEY = "call/probe"


@attrs.define(kw_only=True)
class StoreHealth:
    """Hold the table down from failed writes until a probe is answered."""

    area: _call_area.CallArea
    probe_seconds: float
    _unclear: int = attrs.field(default=0, init=False)
    _probing: bool = attrs.field(default=False, init=False)
    _probes: int = attrs.field(default=0, init=False)
    _probe_at: float = attrs.field(default=float("inf"), init=False)

    def record_success(self) -> None:
        """Take the table for up."""
        self._unclear = 0
        self.area.store_is_down = False
        self._probe_at = float("inf")

    def note_refusal(self, now: float) -> None:
        """Take the table for down and probe it at once."""
        if not self.area.store_is_down:
            self.area.store_is_down = True
            if not self._probing:
                self._probe_at = now

    def note_silence(self, now: float) -> None:
        """Probe the table; take it for down when silence follows on silence."""
        self._unclear += 1
        if self._unclear >= _SILENCES_TO_BE_DOWN:
            self.note_refusal(now)
        elif not self._probing:
            self._probe_at = now

    def probe(self, now: float) -> tuple[_store_messages.ReadRows, ...]:
        """Read a row when that is due."""
        if now < self._probe_at:
            return ()
        self._probe_at = float("inf")
        self._probing = True
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
        self._probing = False
        if isinstance(event, _store_messages.RowsRead):
            self.record_success()
        else:
            self.area.store_is_down = True
            self._probe_at = now + self.probe_seconds
