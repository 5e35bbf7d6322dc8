"""Reports of engines and the orders that they accept."""

import enum
import typing

import attrs

from jujubepass import ids
from jujubepass.forwarding import backends, exchange, pipelines
from jujubepass.transport import _http_client


class EngineError(Exception):
    """Signal that an engine gave no usable response."""


class EngineEndedError(EngineError):
    """Signal that nothing listens at the engine's address."""


@attrs.frozen(kw_only=True)
class EngineReport:
    """Describe an engine's status, which is some hundred milliseconds old."""

    started_at: int
    held: backends.Span | None
    is_busy: bool
    """Whether an order is being carried out."""
    orders_begun: int
    running: int
    queued: int
    slowdown: float = 1.0
    """Slowdown factor; 1.0 is normal speed."""
    stalled: tuple[tuple[ids.RequestId, _http_client.Address], ...] = ()
    """Stalled requests, each with the address of the engine it waits for."""
    is_leaving: bool = False
    """Whether the engine wants no new requests any more."""
    limit: exchange.RequestLimit | None = None
    """What the engine says of its request limit."""


class OrderOutcome(enum.Enum):
    """Enumerate the outcomes of an order."""

    BEGUN = "begun"
    DONE = "done"
    REFUSED = "refused"


class MoveOutcome(enum.Enum):
    """Enumerate the outcomes of moving a request to another pipeline."""

    MOVED = "moved"
    ENDED = "ended"
    REFUSED = "refused"


class EngineControl(typing.Protocol):
    """Read reports of engines and send them orders; raises EngineError."""

    async def read_report(self, engine: backends.Backend) -> EngineReport:
        """Read an engine's report."""

    async def check_listening(self, server: backends.Backend) -> None:
        """Check that something listens at a server's address."""

    async def order_span(
        self,
        engine: backends.Backend,
        span: backends.Span,
        *,
        orders_begun: int,
        cuts_requests: bool,
    ) -> OrderOutcome:
        """Order an engine to load a span if its number of begun orders is unchanged."""

    async def move_request(
        self,
        engine: backends.Backend,
        request: ids.RequestId,
        pipeline: pipelines.Pipeline,
    ) -> MoveOutcome:
        """Move a running request to another pipeline that starts at the same engine."""
