"""Rate limit whose callers wait for a bounded time."""

import trio


class RateLimit:
    """Pace calls at a rate; refuse those that would wait too long."""

    def __init__(self, *, longest_wait_seconds: float) -> None:
        self._longest_wait_seconds = longest_wait_seconds
        self._next_free = 0.0

    async def take(self, per_second: float, amount: float = 1.0) -> bool:
        """Wait for a turn; return False when the wait would be too long."""
        now = trio.current_time()
        start = max(now, self._next_free)
        if start - now > self._longest_wait_seconds:
            return False
        self._next_free = start + amount / per_second
        if start > now:
            await trio.sleep_until(start)
        return True
