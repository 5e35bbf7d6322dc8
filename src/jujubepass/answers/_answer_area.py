"""Blackboard area of model requests; written by the answer controller."""

import collections

import attrs

from jujubepass import ids
from jujubepass.answers import _answer_messages
from jujubepass.calls import _breakers

NO_EPOCH = ids.Epoch(0)


@attrs.define(kw_only=True)
class Answer:
    """Track one answer in progress and its current attempt."""

    arrived: _answer_messages.PromptArrived
    layers: int
    arrived_at: float = 0.0
    blocks: tuple[str, ...] = ()
    epoch: ids.Epoch = NO_EPOCH
    stages: tuple[_answer_messages.Stage, ...] = ()
    expected_receipts: tuple[tuple[str, int, int], ...] = ()
    sent: list[str] = attrs.field(factory=list)
    first_token_seconds: float = 0.0
    token_seconds: float = 0.0
    mean_interval_seconds: float = 0.0
    attempt_next_position: int = 0
    attempt_has_token: bool = False
    last_progress_at: float = 0.0
    last_token_at: float | None = None
    is_recovering: bool = False
    attempts: int = 0
    attempts_without_token: int = 0
    timeout_factor: float = 1.0
    avoided_at: dict[ids.BackendServerId, float] = attrs.field(factory=dict)
    retried_engines: set[ids.BackendServerId] = attrs.field(factory=set)
    holders: dict[ids.BackendServerId, _answer_messages.Stage] = attrs.field(
        factory=dict
    )
    probe: "Probe | None" = None
    next_slow_check_at: float = 0.0

    @property
    def tokens_left(self) -> int:
        """Return how many tokens the answer may still receive."""
        return self.arrived.max_tokens - len(self.sent)

    def is_truncated(self, end: _answer_messages.AnswerEnd) -> bool:
        """Return whether an end at full length came before the last token."""
        at_length = end is _answer_messages.AnswerEnd.LENGTH
        return at_length and self.tokens_left > 0


@attrs.define(kw_only=True)
class Probe:
    """Track the probes of an answer's stages and their results."""

    started_at: float
    checks_slowness: bool
    pending: set[ids.BackendServerId]
    unresponsive: set[ids.BackendServerId] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class AnswerArea:
    """Track answers in progress and the load and faults of their engines."""

    answers: dict[ids.RequestId, Answer] = attrs.field(factory=dict)
    dispatched_at: dict[ids.BackendServerId, collections.deque[float]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )
    running: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter
    )
    breakers: dict[ids.BackendServerId, _breakers.Breaker] = attrs.field(factory=dict)

    def is_open(self, engine: ids.BackendServerId, now: float, heard_at: float) -> bool:
        """Return whether an engine's circuit breaker rejects attempts."""
        breaker = self.breakers.get(engine)
        return breaker is not None and breaker.is_open(now, heard_at)
