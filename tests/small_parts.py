"""Data of the small engines: speeds, noise, counts and what callers got."""

import collections

import attrs

from jujubepass.transport import _http_client


@attrs.define(kw_only=True)
class Counts:
    """Count what the controllers report."""

    refusals: collections.Counter = attrs.field(factory=collections.Counter)
    retries: collections.Counter = attrs.field(factory=collections.Counter)
    drops: collections.Counter = attrs.field(factory=collections.Counter)
    tokens: int = 0
    recoveries: list = attrs.field(factory=list)
    first_tokens: list = attrs.field(factory=list)
    between_tokens: list = attrs.field(factory=list)

    def count_refusal(self, reason):
        self.refusals[reason] += 1

    def count_retry(self, reason):
        self.retries[reason] += 1

    def count_drop(self, reason):
        self.drops[reason] += 1

    def count_tokens(self, count):
        self.tokens += count

    def observe_recovery(self, seconds):
        self.recoveries.append(seconds)

    def observe_first_token(self, seconds):
        self.first_tokens.append(seconds)

    def observe_between_tokens(self, seconds):
        self.between_tokens.append(seconds)


@attrs.define(kw_only=True)
class Engine:
    """Hold one engine's speed and state."""

    name: str
    first_layer: int
    end_layer: int
    step_seconds: float = 0.010
    max_batch: int = 16
    prefill_tokens_per_second: float = 8_000.0
    slow_factor: float = 1.0
    frozen: bool = False
    dead: bool = False
    incarnation: int = 1
    kept: dict = attrs.field(factory=dict)
    running: set = attrs.field(factory=set)
    past_running: collections.deque = attrs.field(factory=collections.deque)

    @property
    def address(self):
        return _http_client.Address(host=self.name, port=1)


@attrs.define(kw_only=True)
class Noise:
    """Set how likely each foreign, lost or wrong line is."""

    duplicated: float = 0.0
    crossed: float = 0.0
    late: float = 0.0
    lost: float = 0.0
    layers_missing: float = 0.0
    cut: float = 0.0


@attrs.define(kw_only=True)
class Delivered:
    """Hold what one caller got."""

    prompt: tuple
    max_tokens: int
    expected: list
    asked_at: float
    tokens: list = attrs.field(factory=list)
    times: list = attrs.field(factory=list)
    end: object = None
    ended_at: float | None = None
    starts: int = 0
    generated: int = 0


@attrs.define(kw_only=True)
class Node:
    """Hold one node's controllers."""

    index: int
    board: object
    counts: Counts
    dispatcher: object


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """Hold one running attempt."""

    node: Node
    command: object
    position: int
