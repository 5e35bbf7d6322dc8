"""Boot clock, which includes time in suspension, and deadlines on it."""

import math
import time

import attrs
import trio

# Share of a tick by which rounding may make the time seem earlier than it is.
_TICK_TOLERANCE = 1e-3


def read_boot_clock() -> float:
    """Return the seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_clock() -> float:
    """Return the time of day as Unix seconds; it may differ between nodes."""
    return time.time()


def move_on_at(boot_time: float) -> trio.CancelScope:
    """Return a scope that is cancelled at a time on the boot clock."""
    return trio.move_on_after(max(0.0, boot_time - read_boot_clock()))


async def sleep_until_tick(interval_seconds: float) -> None:
    """Sleep until the next multiple of an interval, so that tasks wake up together."""
    ticks = math.floor(trio.current_time() / interval_seconds + _TICK_TOLERANCE) + 1
    await trio.sleep_until(ticks * interval_seconds)


@attrs.define(kw_only=True)
class RemoteClock:
    """Convert another clock's timestamps to lower bounds of the local time.

    A timestamp is made after its request was sent. The answer with the shortest request
    delay gives the tightest bound, which holds for later timestamps too.
    """

    _offset_seconds: float | None = attrs.field(default=None, init=False)
    _last_timestamp_seconds: float = attrs.field(default=float("-inf"), init=False)

    def bound_local_time(self, timestamp_seconds: float, sent_at: float) -> float:
        """Return a lower bound of the local time at which a timestamp was made."""
        if (
            self._offset_seconds is None
            or timestamp_seconds < self._last_timestamp_seconds
        ):
            self._offset_seconds = sent_at - timestamp_seconds
        self._last_timestamp_seconds = timestamp_seconds
        self._offset_seconds = max(self._offset_seconds, sent_at - timestamp_seconds)
        return self._offset_seconds + timestamp_seconds
