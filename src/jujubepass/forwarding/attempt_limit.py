"""Interruption of attempts that are late while another server would be tried."""

import collections.abc

import attrs
import trio

from jujubepass.forwarding import sending

# A lookup without an answer after this time is sent to another backend server. It is
# three times the latency goal of lookups (150 ms).
LOOKUP_SECONDS = 0.45
"""Time that a lookup has at each server, in seconds."""


def never() -> bool:
    """Return that no other attempt would be sent."""
    return False


@attrs.define(kw_only=True)
class AttemptLimit:
    """Interrupt an attempt that is late once another one would be sent."""

    may_retry: collections.abc.Callable[[], bool]
    seconds: float = LOOKUP_SECONDS
    is_answered: bool = False
    """Whether the server has answered, so that the attempt may take its time."""
    _progress_at: float = attrs.field(factory=trio.current_time, init=False)

    def record_progress(self) -> None:
        """Begin the limit anew, for what the server is still to send."""
        self.is_answered = False
        self._progress_at = trio.current_time()

    async def run(
        self,
        send: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Send an attempt within the limit; raises sending.AttemptError."""
        if self.may_retry is never:
            await send()
            return
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as scope:
                nursery.start_soon(self._watch, scope)
                try:
                    await send()
                except Exception as error:
                    # Raised below, as the nursery would wrap it in a group.
                    failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if scope.cancelled_caught:
            raise sending.OutcomeUnknownError(f"no answer within {self.seconds:g} s")

    async def _watch(self, scope: trio.CancelScope) -> None:
        checked_at = self._progress_at
        while True:
            await trio.sleep_until(max(checked_at, self._progress_at) + self.seconds)
            checked_at = trio.current_time()
            if checked_at < self._progress_at + self.seconds:
                checked_at = self._progress_at
            elif not self.is_answered and self.may_retry():
                scope.cancel()
