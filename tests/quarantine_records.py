"""Events of a simulated fleet with parts of prompts that crash engines."""

import attrs


@attrs.define(kw_only=True)
class Arrival:
    """Describe a request that reached an engine."""

    at: float
    parts: tuple[str, ...]
    node: str
    engine: str
    started_at: int
    cause: str | None
    """What crashes the engine; None of a sound request."""


@attrs.frozen(kw_only=True)
class End:
    """Describe the end of an engine under a part, or under a request."""

    at: float
    part: str
    engine: str
    started_at: int


@attrs.frozen(kw_only=True)
class Outcome:
    """Describe how the first attempt of a caller's request ended."""

    at: float
    parts: tuple[str, ...]
    node: str
    has_begun: bool
    reason: str
