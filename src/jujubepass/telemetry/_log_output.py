"""Rate-limited, buffered log output that never blocks the process."""

import collections
import collections.abc
import logging
import os
import time

# Average rate and burst; a node with many faults wrote about 100 lines a second.
_MAX_LINES_PER_SECOND = 200.0
_MAX_BURST_LINES = 400.0
# Lines buffered while the reader of the descriptor does not read.
_MAX_BUFFERED_BYTES = 262_144


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor; drop and count lines over the limits.

    Warnings and errors are dropped only when the buffer is full.
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
        self._buffered: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._allowed_lines = _MAX_BURST_LINES
        self._refilled_at = read_clock()
        self._reported_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line, or drop it."""
        try:
            if not self._pass_rate_limit(record.levelno):
                self.dropped += 1
                return
            unreported = self.dropped - self._reported_dropped
            if unreported and self._write(self._make_report(record, unreported)):
                self._reported_dropped += unreported
            if not self._write(self.format(record)):
                self.dropped += 1
        except OSError:
            # The output failed; the next report of dropped lines counts this line.
            self.dropped += 1
        except Exception:
            self.handleError(record)

    def _pass_rate_limit(self, level: int) -> bool:
        now = self._read_clock()
        refill = (now - self._refilled_at) * _MAX_LINES_PER_SECOND
        self._allowed_lines = min(_MAX_BURST_LINES, self._allowed_lines + refill)
        self._refilled_at = now
        if self._allowed_lines >= 1.0:
            self._allowed_lines -= 1.0
            return True
        return level >= logging.WARNING

    def _make_report(self, record: logging.LogRecord, unreported: int) -> str:
        report = logging.makeLogRecord(
            {
                "name": __name__,
                "levelname": "WARNING",
                "levelno": logging.WARNING,
                "msg": "log lines dropped",
                "created": record.created,
                "msecs": record.msecs,
                "lines": unreported,
            }
        )
        return self.format(report)

    def _write(self, line: str) -> bool:
        """Write or buffer a line; return False if the buffer is full."""
        data = line.encode(errors="backslashreplace") + b"\n"
        if self._buffered_bytes + len(data) > _MAX_BUFFERED_BYTES:
            self._flush_buffer()
        if self._buffered_bytes + len(data) > _MAX_BUFFERED_BYTES:
            return False
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        self._flush_buffer()
        return True

    def _flush_buffer(self) -> None:
        while self._buffered:
            data = self._buffered.popleft()
            self._buffered_bytes -= len(data)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            if written < len(data):
                # The rest of the line is written first, so that the line stays whole.
                self._buffered.appendleft(data[written:])
                self._buffered_bytes += len(data) - written
                return
