"""Counts of function calls and wake-ups, which do not depend on the machine."""

import sys

import trio


def count_function_calls(function):
    """Return how many function calls of Python a call makes."""
    count = 0

    def record(_frame, event, _argument):
        nonlocal count
        count += event == "call"

    before = sys.getprofile()
    sys.setprofile(record)
    try:
        function()
    finally:
        sys.setprofile(before)
    return count


class WakeUps(trio.abc.Instrument):
    """Count how often the event loop returns from its wait."""

    def __init__(self):
        self.count = 0

    def after_io_wait(self, timeout):
        self.count += 1
