"""Journal of calls: builds their rows and writes them in groups."""

import collections.abc

import attrs

from jujubepass.calls import _call_area, _call_messages, _call_rows
from jujubepass.membership import _membership_area
from jujubepass.nodes import _blackboard
from jujubepass.storage import _store_messages, _store_writer

_State = _call_area.CallState
_OPENING_STEPS = (_call_area.CallStep.OPENING, _call_area.CallStep.TAKING_OVER)


@attrs.frozen(kw_only=True)
class CallTiming:
    """Set how long a node may act on a row, and how often it looks again."""

    send_window_seconds: float = 8.0
    take_over_margin_seconds: float = 2.0
    poll_seconds: float = 0.05
    longest_poll_seconds: float = 0.5
    probe_seconds: float = 0.25
    closing_seconds: float = 300.0
    sweep_seconds: float = 0.25
    keep_seconds: float = 86_400.0


@attrs.define(kw_only=True)
class CallJournal:
    """Write calls' rows and judge the rows of other nodes."""

    blackboard: _blackboard.Blackboard
    timing: CallTiming
    writer: _store_writer.StoreWriter
    _wall_offset: float = attrs.field(default=0.0, init=False)

    def set_clock(self, event: _call_messages.WallClockRead, now: float) -> None:
        """Take over the time of day."""
        self._wall_offset = event.seconds - now

    def read_wall_clock(self, now: float) -> float:
        """Return the time of day."""
        return now + self._wall_offset

    def write(
        self, call: _call_area.OpenCall, now: float
    ) -> collections.abc.Sequence[_store_messages.Transact]:
        """Write the row that the call's step asks for."""
        opening = call.step in _OPENING_STEPS
        lane = _store_writer.Lane.OPEN if opening else _store_writer.Lane.CLOSE
        row = self._make_row(call, now)
        return self.writer.add(
            lane,
            _store_writer.RowWrite(
                key=call.key,
                version=call.version,
                value=row.write_value(),
                characters=len(row.body or ""),
            ),
        )

    def _make_row(self, call: _call_area.OpenCall, now: float) -> _call_rows.CallRow:
        identity = self.blackboard.identity
        wall = self.read_wall_clock(now)
        opening = call.step in _OPENING_STEPS
        latest = max(call.waiters.values(), default=now)
        hold = max(self.timing.send_window_seconds, latest - now)
        state = _State.DISPATCHED if opening else call.closing_state
        return _call_rows.CallRow(
            state=state,
            digest=call.digest,
            attempt=call.doubted if state is _State.UNKNOWN else call.attempt,
            node=identity.node,
            incarnation=identity.incarnation,
            backend=call.backend,
            backend_key=call.backend_key,
            written_at=wall,
            until=wall + hold if opening else wall,
            status=0 if opening else call.closing_status,
            body=None if opening else call.closing_body,
        )

    def is_abandoned(self, row: _call_rows.CallRow, now: float) -> bool:
        """Tell whether the node that wrote a row no longer works on it."""
        identity = self.blackboard.identity
        if row.node == identity.node:
            return True
        late = row.until + self.timing.take_over_margin_seconds
        if self.read_wall_clock(now) > late:
            return True
        peer = self.blackboard.membership.peers.get(row.node)
        if peer is None:
            return False
        restarted = peer.incarnation not in ("", row.incarnation)
        return restarted or peer.state is _membership_area.PeerState.DEAD
