"""Output of log lines that is bounded and never blocks its process."""

import collections
import collections.abc
import logging
import os
import time

# Lines a second on average, and at once; a node in trouble wrote about 100 a second.
_LINES_PER_SECOND = 200.0
_LINES_AT_ONCE = 400.0
# Lines that wait for a reader that does not read.
_WAITING_BYTES = 262_144


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor; drop and count what goes beyond the bounds.

    Warnings and errors are dropped only when nobody reads.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        read_clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._allowed = _LINES_AT_ONCE
        self._refilled_at = read_clock()
        self._reported = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop it."""
        try:
            if not self._take_turn(record.levelno):
                self.dropped += 1
                return
            missing = self.dropped - self._reported
            if missing and self._put(self._make_report(record, missing)):
                self._reported += missing
            if not self._put(self.format(record)):
                self.dropped += 1
        except OSError:
            # There is nowhere left to say it; the count shows in the next line.
            self.dropped += 1
        except Exception:
            self.handleError(record)

    def _take_turn(self, level: int) -> bool:
        now = self._read_clock()
        refill = (now - self._refilled_at) * _LINES_PER_SECOND
        self._allowed = min(_LINES_AT_ONCE, self._allowed + refill)
        self._refilled_at = now
        if self._allowed >= 1.0:
            self._allowed -= 1.0
            return True
        return level >= logging.WARNING

    def _make_report(self, record: logging.LogRecord, missing: int) -> str:
        report = logging.makeLogRecord(
            {
                "name": __name__,
                "levelname": "WARNING",
                "levelno": logging.WARNING,
                "msg": "log lines dropped",
                "created": record.created,
                "msecs": record.msecs,
                "lines": missing,
            }
        )
        return self.format(report)

    def _put(self, line: str) -> bool:
        """Write a line or let it wait; return False when there is no room."""
        data = line.encode(errors="backslashreplace") + b"\n"
        if self._waiting_bytes + len(data) > _WAITING_BYTES:
            self._write_waiting()
        if self._waiting_bytes + len(data) > _WAITING_BYTES:
            return False
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self._write_waiting()
        return True

    def _write_waiting(self) -> None:
        while self._waiting:
            data = self._waiting.popleft()
            self._waiting_bytes -= len(data)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            if written < len(data):
                # A line goes on where it was cut, so that it stays one line.
                self._waiting.appendleft(data[written:])
                self._waiting_bytes += len(data) - written
                return
