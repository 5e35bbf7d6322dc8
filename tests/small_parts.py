"""Data of the simulated engines: speeds, line faults, counts and deliveries."""

import collections

import attrs

from jujubepass.transport import _http_client


@attrs.define(kw_only=True)
class Counts:
    """Record the counts and observations that controllers report."""

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

    def count_dropped_token(self, reason):
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
    """Describe the speed and state of one simulated engine."""

    name: str
    first_layer: int
    end_layer: int
    step_seconds: float = 0.010
    max_batch: int = 16
    prefill_tokens_per_second: float = 8_000.0
    slowdown: float = 1.0
    frozen: bool = False
    dead: bool = False
    incarnation: int = 1
    cached_tokens: dict = attrs.field(factory=dict)
    running: set = attrs.field(factory=set)
    past_running: collections.deque = attrs.field(factory=collections.deque)

    @property
    def address(self):
        return _http_client.Address(host=self.name, port=1)


@attrs.define(kw_only=True)
class LineFaults:
    """Configure the probability of each kind of faulty line."""

    duplicated: float = 0.0
    crossed: float = 0.0
    late: float = 0.0
    lost: float = 0.0
    layers_missing: float = 0.0
    cut: float = 0.0


@attrs.define(kw_only=True)
class Delivered:
    """Record the prompt of one caller and what it received."""

    prompt: tuple
    max_tokens: int
    expected: list
    sent_at: float
    tokens: list = attrs.field(factory=list)
    times: list = attrs.field(factory=list)
    end: object = None
    ended_at: float | None = None
    attempts: int = 0
    generated: int = 0


@attrs.define(kw_only=True)
class Node:
    """Describe one node and its controllers."""

    index: int
    board: object
    counts: Counts
    dispatcher: object


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """Describe one running attempt."""

    node: Node
    command: object
    position: int
