"""Blackboard area of model requests; written by the answer controller."""

import collections

import attrs

from jujubepass import _answer_messages, ids

NO_EPOCH = ids.Epoch(0)


@attrs.define(kw_only=True)
class Answer:
    """Hold one answer in progress."""

    arrived: _answer_messages.PromptArrived
    layers: int
    epoch: ids.Epoch = NO_EPOCH
    stages: tuple[_answer_messages.Stage, ...] = ()
    expected_receipts: tuple[tuple[str, int, int], ...] = ()
    sent: list[str] = attrs.field(factory=list)
    progress_at: float = 0.0
    avoided: set[ids.BackendServerId] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class AnswerArea:
    """Hold answers in progress and when work went to each engine."""

    answers: dict[ids.RequestId, Answer] = attrs.field(factory=dict)
    dispatched_at: dict[ids.BackendServerId, collections.deque[float]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )
    running: collections.Counter[ids.BackendServerId] = attrs.field(
        factory=collections.Counter
    )
