"""Rate limit with a bounded wait."""

import trio


class RateLimit:
    """Space calls at a rate; refuse those that would exceed the maximum wait."""

    def __init__(self, *, max_wait_seconds: float) -> None:
        self._max_wait_seconds = max_wait_seconds
        self._next_slot_at = 0.0

    async def acquire(self, per_second: float, amount: float = 1.0) -> bool:
        """Wait for a slot; return False if the wait would exceed the maximum."""
        now = trio.current_time()
        start = max(now, self._next_slot_at)
        if start - now > self._max_wait_seconds:
            return False
        self._next_slot_at = start + amount / per_second
        if start > now:
            await trio.sleep_until(start)
        return True
