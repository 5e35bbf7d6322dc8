"""Boot clock, which includes time in suspension, and deadlines on it."""

import time

import trio


def read_boot_clock() -> float:
    """Return the seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def move_on_at(boot_time: float) -> trio.CancelScope:
    """Return a scope that is cancelled at a time on the boot clock."""
    return trio.move_on_after(max(0.0, boot_time - read_boot_clock()))
