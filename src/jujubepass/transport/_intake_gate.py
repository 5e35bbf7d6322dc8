"""Gate that lets connections read in turn while the process is short of memory."""

import collections

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
    """Let connections read, or one after another above the ledger's bound.

    Each listener has its own turns: those of callers would otherwise make other nodes
    wait behind any number of their bodies.
    """

    def __init__(self, *, ledger: _Ledger) -> None:
        self.ledger = ledger
        self.parsing = trio.Lock()
        """Held while many small chunks are decoded, for one connection at a time."""
        self._turns: dict[str, trio.Lock] = collections.defaultdict(trio.Lock)
        self._owners: dict[str, _Holding] = {}

    def _has_turn(self, holding: _Holding) -> bool:
        """Return whether a connection is the one of its listener that may read."""
        return self._owners.get(holding.listener) is holding

    async def wait_readable(self, fileno: int, holding: _Holding) -> None:
        """Wait for data; raise RejectedInputError if it has the turn and sends none."""
        if not self.ledger.is_over:
            # The shortage has ended: a client may pause as at other times.
            self.end_turn(holding)
        if not self._has_turn(holding):
            await trio.lowlevel.wait_readable(fileno)
            return
        self.ledger.shed_stalled(trio.current_time())
        with trio.move_on_after(_MAX_TURN_SILENCE_SECONDS):
            await trio.lowlevel.wait_readable(fileno)
            return
        if self.ledger.is_over:
            self.ledger.record_shed("memory_turn", trio.current_time())
            raise _rejections.make_short_of_memory()
        self.end_turn(holding)
        await trio.lowlevel.wait_readable(fileno)

    def admits_small(self, holding: _Holding) -> bool:
        """Return whether a connection holds so little that it needs no turn."""
        self.ledger.shed_stalled(trio.current_time())
        return holding.held_bytes < ledger.CONNECTION_BYTES + SMALL_BYTES

    async def wait_for_turn(self, holding: _Holding, body_bytes: int) -> None:
        """Wait until a connection may read although the process is short of memory."""
        if self._has_turn(holding) and self.ledger.has_room(body_bytes):
            return
        holding.is_waiting = True
        try:
            self.ledger.shed_stalled(trio.current_time())
            if not self._has_turn(holding):
                await self._turns[holding.listener].acquire()
                self._owners[holding.listener] = holding
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
        if self._has_turn(holding):
            del self._owners[holding.listener]
            self._turns[holding.listener].release()
