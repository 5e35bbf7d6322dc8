"""Input of one connection: what h11 has not read yet, heads and bodies."""

import collections.abc
import contextlib

import h11
import trio

from jujubepass.intake import blocks, chunks, ledger
from jujubepass.transport import _intake_gate, _rejections, _socket_io

_READ_BYTES = 65_536
# Bytes read while a request runs, to notice that its client has closed.
_READ_AHEAD_BYTES = 4_096
_END_OF_HEAD = b"\n\r\n", b"\n\n"
# The end of a head may begin with the last bytes that were read before.
_OVERLAP_BYTES = 2

# Aliases, because fields have the same names as the modules.
_Holding = ledger.Holding


class Input:
    """Read from one connection no more than a head, a body and a small buffer.

    h11 receives what belongs to the request in progress and nothing that follows it.
    """

    def __init__(
        self,
        *,
        connection: h11.Connection,
        stream: trio.SocketStream,
        gate: _intake_gate.Gate,
        holding: _Holding,
    ) -> None:
        self.pending = bytearray()
        """Received bytes that h11 has not been given."""
        self._connection = connection
        self._stream = stream
        self._gate = gate
        self._holding = holding
        self._head_bytes = 0
        self._head_tail = b""
        self._max_body_bytes = 0
        self._body_bytes = 0
        self.was_short = False
        """Whether the request in progress had to wait for memory."""

    @property
    def holding(self) -> _Holding:
        """Return what the connection holds."""
        return self._holding

    def enter(self, phase: ledger.Phase, body_bytes: int = 0) -> None:
        """Enter a phase in which a body of that size is held."""
        self._holding.enter(phase, trio.current_time())
        self._body_bytes = body_bytes
        self._gate.ledger.set_held(self._holding, len(self.pending) + body_bytes)

    def end_turn(self) -> None:
        """Let other connections read, if this one is the only one that may."""
        self._gate.end_turn(self._holding)

    async def receive_first(self, max_body_bytes: int) -> None:
        """Wait for the first bytes of a request; raises trio.BrokenResourceError."""
        self.was_short = False
        self._max_body_bytes = max_body_bytes
        self._head_bytes = 0
        self._head_tail = b""
        if not self.pending:
            await self._read(0, 0)
        self.enter(ledger.Phase.RECEIVING)

    async def receive_head(self, max_bytes: int) -> object:
        """Return the event of a head, or of the end of the connection.

        Raises RejectedInputError.
        """
        while True:
            self._feed_head()
            event = self._next_event()
            if event is not h11.NEED_DATA:
                self._head_bytes = 0
                return event
            if self._head_bytes > max_bytes:
                raise _rejections.make_long_header(max_bytes)
            await self._read(self._head_bytes, 0)

    def _feed_head(self) -> None:
        """Give h11 what has been received, up to the end of a head."""
        if not self.pending:
            return
        text = self._head_tail + self.pending
        ends = [text.find(end) + len(end) for end in _END_OF_HEAD if end in text]
        count = min(ends) - len(self._head_tail) if ends else len(self.pending)
        self._head_tail = bytes(text[-_OVERLAP_BYTES:])
        self._head_bytes += count
        self._give(count)

    def _give(self, count: int) -> None:
        """Give h11 the first bytes of what has been received."""
        data = bytes(self.pending[:count])
        del self.pending[:count]
        self._connection.receive_data(data)

    async def receive_body(
        self, head: h11.Request, max_trailer_bytes: int
    ) -> bytes | None:
        """Return the whole body, or None if the connection ended before.

        Raises RejectedInputError.
        """
        fields = dict(head.headers)
        if b"transfer-encoding" in fields:
            return await self._receive_chunks(max_trailer_bytes)
        left = int(fields.get(b"content-length", b"0"))
        body = blocks.Blocks()
        while True:
            if left and self.pending:
                count = min(left, len(self.pending))
                left -= count
                self._give(count)
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return body.join()
            if isinstance(event, h11.Data):
                body.append(event.data)
            elif event is h11.NEED_DATA:
                await self._read(0, len(body))
            else:
                return None

    async def _receive_chunks(self, max_trailer_bytes: int) -> bytes | None:
        decoder = chunks.ChunkDecoder(max_bytes=self._max_body_bytes)
        end = None
        while end is None:
            if not decoder.has_last:
                await self._decode(decoder)
            if decoder.has_last:
                end = chunks.find_end(self.pending)
            if end is None:
                is_data = decoder.has_data_left
                if not is_data and len(self.pending) > max_trailer_bytes:
                    raise _rejections.make_long_header(max_trailer_bytes)
                if not await self._read(0, len(decoder.body)):
                    self._next_event()
                    return None
        self._give(end)
        self._next_event()
        return decoder.body.join()

    async def _decode(self, decoder: chunks.ChunkDecoder) -> None:
        """Decode all chunks that have been received."""
        try:
            has_more = decoder.feed(self.pending)
            while has_more:
                # Other tasks go on between any two parts of small chunks.
                async with self._gate.parsing:
                    has_more = decoder.feed(self.pending)
        except chunks.MalformedChunkError as error:
            raise _rejections.make_malformed(400, str(error)) from error
        except chunks.OversizedChunkError as error:
            raise _rejections.make_oversized_chunk(error.left_bytes) from error

    def _next_event(self) -> object:
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise _rejections.make_malformed(status, str(error)) from error

    async def _wait_for_turn(self) -> int:
        """Wait until the process has memory; return how many bytes may be read."""
        if self._gate.admits_small(self._holding):
            return _intake_gate.SMALL_BYTES
        self.was_short = True
        await self._gate.wait_for_turn(self._holding, self._max_body_bytes)
        return _READ_BYTES

    async def _read(self, head_bytes: int, body_bytes: int) -> bool:
        """Read what has arrived; return whether the connection goes on.

        Raises trio.BrokenResourceError and RejectedInputError.
        """
        fileno = self._stream.socket.fileno()
        while True:
            await self._gate.wait_readable(fileno, self._holding)
            count = _READ_BYTES
            if self._gate.ledger.is_over:
                count = await self._wait_for_turn()
            data = _socket_io.read_now(self._stream, count)
            if data is not None:
                break
        if data:
            self.pending += data
            self._holding.record_received(len(data), trio.current_time())
        else:
            # h11 reports what the end of the connection means to the request.
            self._connection.receive_data(b"")
        self._gate.ledger.set_held(
            self._holding, head_bytes + len(self.pending), body_bytes
        )
        return bool(data)

    @contextlib.contextmanager
    def hold_write(self, count: int) -> collections.abc.Iterator[None]:
        """Account for a write that waits until the client reads."""
        phase, body_bytes = self._holding.phase, self._body_bytes
        self.enter(ledger.Phase.BLOCKED, body_bytes + count)
        try:
            yield
        finally:
            self.enter(phase, body_bytes)

    async def wait_for_close(self) -> None:
        """Return once the client has closed; read only a small buffer ahead."""
        try:
            while len(self.pending) < _READ_AHEAD_BYTES:
                await trio.lowlevel.wait_readable(self._stream.socket.fileno())
                data = _socket_io.read_now(self._stream, _READ_AHEAD_BYTES)
                if data == b"":
                    return
                self.pending += data or b""
            await _socket_io.wait_for_close(self._stream)
        except trio.BrokenResourceError:
            return
