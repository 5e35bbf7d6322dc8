"""What an engine reports of itself and which orders it takes."""

import enum
import typing

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, paths
from jujubepass.transport import _http_client


class EngineError(Exception):
    """Report an engine that gave no answer to use."""


@attrs.frozen(kw_only=True)
class EngineReport:
    """Hold an engine's state, some hundred milliseconds old."""

    started_at: int
    held: backends.Span | None
    is_busy: bool
    """Whether an order is in progress."""
    orders_begun: int
    running: int
    queued: int
    pace: float = 1.0
    """How many times slower than usual the engine works."""
    stalled: tuple[tuple[ids.RequestId, _http_client.Address], ...] = ()
    """Requests that wait for an engine of their path, and that engine."""


class OrderOutcome(enum.Enum):
    """Say what became of an order."""

    BEGUN = "begun"
    DONE = "done"
    REFUSED = "refused"


class MoveOutcome(enum.Enum):
    """Say what became of a request's move to another path."""

    MOVED = "moved"
    ENDED = "ended"
    REFUSED = "refused"


class EngineControl(typing.Protocol):
    """Read and order engines; raises EngineError."""

    async def read_report(self, engine: backends.Backend) -> EngineReport:
        """Read an engine's report."""

    async def order_span(
        self,
        engine: backends.Backend,
        span: backends.Span,
        *,
        orders_begun: int,
        cuts_requests: bool,
    ) -> OrderOutcome:
        """Order an engine to hold a span, if it has begun so many orders."""

    async def move_request(
        self, engine: backends.Backend, request: ids.RequestId, path: paths.Path
    ) -> MoveOutcome:
        """Let a running request go on over another path from the same engine."""
