"""Journal of calls, stored as rows that are written in groups."""

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
    """Configure the time limits and intervals of call processing."""

    send_window_seconds: float = 8.0
    take_over_margin_seconds: float = 2.0
    initial_poll_seconds: float = 0.05
    max_poll_seconds: float = 0.5
    probe_interval_seconds: float = 0.25
    closing_timeout_seconds: float = 300.0
    sweep_interval_seconds: float = 0.25
    keep_seconds: float = 86_400.0


@attrs.define(kw_only=True)
class CallJournal:
    """Write the rows of calls and detect rows that other nodes abandoned."""

    blackboard: _blackboard.Blackboard
    timing: CallTiming
    writer: _store_writer.StoreWriter
    _wall_offset: float = attrs.field(default=0.0, init=False)

    def set_clock(self, event: _call_messages.WallClockRead, now: float) -> None:
        """Set the offset between the node's clock and wall-clock time."""
        self._wall_offset = event.seconds - now

    def read_wall_clock(self, now: float) -> float:
        """Return the wall-clock time for a time on the node's clock."""
        return now + self._wall_offset

    def write(
        self, call: _call_area.OpenCall, now: float
    ) -> collections.abc.Sequence[_store_messages.Transact]:
        """Queue the row for the call's current step; return transactions to start."""
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
        latest_deadline = max(call.waiters.values(), default=now)
        valid_seconds = max(self.timing.send_window_seconds, latest_deadline - now)
        state = _State.DISPATCHED if opening else call.closing_state
        return _call_rows.CallRow(
            state=state,
            digest=call.digest,
            attempt=call.uncertain_attempt if state is _State.UNKNOWN else call.attempt,
            node=identity.node,
            incarnation=identity.incarnation,
            backend=call.backend,
            backend_key=call.backend_key,
            written_at=wall,
            until=wall + valid_seconds if opening else wall,
            status=0 if opening else call.closing_status,
            body=None if opening else call.closing_body,
        )

    def is_abandoned(self, row: _call_rows.CallRow, now: float) -> bool:
        """Return whether the node that wrote a row no longer processes the call."""
        identity = self.blackboard.identity
        if row.node == identity.node:
            return True
        takeover_at = row.until + self.timing.take_over_margin_seconds
        if self.read_wall_clock(now) > takeover_at:
            return True
        peer = self.blackboard.membership.peers.get(row.node)
        if peer is None:
            return False
        restarted = peer.incarnation not in ("", row.incarnation)
        return restarted or peer.state is _membership_area.PeerState.DEAD
