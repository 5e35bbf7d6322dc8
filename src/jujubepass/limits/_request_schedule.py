"""Schedule that spaces the requests to one backend server."""

import attrs

# A server that takes no requests is tried this often, as only an answer tells that it
# takes some again.
_TRIALS_PER_SECOND = 0.1


@attrs.define(kw_only=True)
class RequestSchedule:
    """Reserve times for requests at a rate (generic cell rate algorithm).

    It begins without savings, so that what came before it counts for it.
    """

    burst: float
    """Requests that may follow each other at once after a pause."""
    _rate: float = attrs.field(default=0.0, init=False)
    _next_at: float | None = attrs.field(default=None, init=False)
    """Time of the next request if all came evenly."""

    def set_rate(self, requests_per_second: float, now: float) -> None:
        """Change the rate; requests that are reserved ahead keep their number."""
        rate = requests_per_second or _TRIALS_PER_SECOND
        if self._next_at is None:
            self._next_at = now + self.burst / rate
        elif rate != self._rate:
            ahead = max(0.0, self._next_at - now)
            self._next_at = now + ahead * self._rate / rate
        self._rate = rate

    def find_delay(self, now: float) -> float:
        """Return the time in seconds until the next request could be sent."""
        assert self._next_at is not None
        saved_seconds = (self.burst - 1.0) / self._rate
        return max(0.0, self._next_at - saved_seconds - now)

    def reserve(self, now: float, longest_wait: float) -> float | None:
        """Reserve the next request and return its delay; None if that is too long."""
        delay = self.find_delay(now)
        if delay > longest_wait:
            return None
        assert self._next_at is not None
        self._next_at = max(self._next_at, now) + 1.0 / self._rate
        return delay
