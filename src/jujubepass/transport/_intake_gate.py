"""Gate that lets connections read in turn while the process is short of memory."""

import trio

from jujubepass.intake import ledger
from jujubepass.transport import _rejections

# Alias, because a field has the same name as the module.
_Holding = ledger.Holding
_Ledger = ledger.Ledger

# A client whose turn it is sends, or loses its place: others wait for it.
_MAX_TURN_SILENCE_SECONDS = 0.5
_POLL_INTERVAL_SECONDS = 0.02
# Requests up to about this size need no turn, so that health checks, queries of other
# nodes and requests without a body are answered during a shortage.
SMALL_BYTES = 4_096


class Gate:
    """Let connections read, or one after another above the ledger's bound."""

    def __init__(self, *, ledger: _Ledger) -> None:
        self.ledger = ledger
        self.parsing = trio.Lock()
        """Held while many small chunks are decoded, for one connection at a time."""
        self._turn = trio.Lock()
        self._owner: _Holding | None = None

    async def wait_readable(self, fileno: int, holding: _Holding) -> None:
        """Wait for data; raise RejectedInputError if it has the turn and sends none."""
        if self._owner is not holding:
            await trio.lowlevel.wait_readable(fileno)
            return
        self.ledger.shed_stalled(trio.current_time())
        with trio.move_on_after(_MAX_TURN_SILENCE_SECONDS):
            await trio.lowlevel.wait_readable(fileno)
            return
        self.ledger.record_shed("memory_turn", trio.current_time())
        raise _rejections.make_short_of_memory()

    def admits_small(self, holding: _Holding) -> bool:
        """Return whether a connection holds so little that it needs no turn."""
        self.ledger.shed_stalled(trio.current_time())
        return holding.held_bytes < ledger.CONNECTION_BYTES + SMALL_BYTES

    async def wait_for_turn(self, holding: _Holding, body_bytes: int) -> None:
        """Wait until a connection may read although the process is short of memory."""
        if self._owner is holding and self.ledger.has_room(body_bytes):
            return
        holding.is_waiting = True
        try:
            self.ledger.shed_stalled(trio.current_time())
            if self._owner is not holding:
                await self._turn.acquire()
                self._owner = holding
            # What has its turn is not shed in favour of those behind it.
            holding.is_waiting = False
            while not self.ledger.has_room(body_bytes):
                now = trio.current_time()
                holding.enter(holding.phase, now)
                self.ledger.shed_stalled(now, includes_waiting=True)
                await trio.sleep(_POLL_INTERVAL_SECONDS)
            if not self.ledger.is_over:
                self.end_turn(holding)
        finally:
            holding.is_waiting = False
            holding.enter(holding.phase, trio.current_time())

    def end_turn(self, holding: _Holding) -> None:
        """End the turn of a connection, if it has it."""
        if self._owner is holding:
            self._owner = None
            self._turn.release()
