"""Refusals of model requests, with times after which callers may retry."""

import attrs

from jujubepass import reasons
from jujubepass.forwarding import admission, exchange

_PIPELINE_RETRY_SECONDS = 1.5
_FULL_RETRY_SECONDS = 0.5
# Retry time of a request that another node can serve while this one stops.
_STOP_RETRY_SECONDS = 0.05

OUTCOME_UNKNOWN = admission.Refusal(reason=reasons.RefusalReason.OUTCOME_UNKNOWN)
EXPIRED = admission.Refusal(reason=reasons.RefusalReason.DEADLINE_PASSED)
STOPPING = admission.Refusal(
    reason=reasons.RefusalReason.NODE_STOPPING, retry_after_seconds=_STOP_RETRY_SECONDS
)
FULL = admission.Refusal(
    reason=reasons.RefusalReason.ENGINES_FULL, retry_after_seconds=_FULL_RETRY_SECONDS
)
BUDGET_SPENT = admission.Refusal(
    reason=reasons.RefusalReason.RETRY_BUDGET_SPENT,
    retry_after_seconds=_FULL_RETRY_SECONDS,
)
NO_PIPELINE = admission.Refusal(
    reason=reasons.RefusalReason.NO_ROUTE, retry_after_seconds=_PIPELINE_RETRY_SECONDS
)
_TEMPORARY_REASONS = (
    BUDGET_SPENT.reason,
    NO_PIPELINE.reason,
    reasons.RefusalReason.BACKEND_LIMITED,
)


# An engine that misses layers or gets another one's request answers otherwise.
_NO_ROOM_STATUSES = (429, 503)


def is_for_room(head: exchange.AnswerHead) -> bool:
    """Return whether an engine that did not run a request had no room for it."""
    return (
        head.status in _NO_ROOM_STATUSES
        and not head.is_leaving
        and head.retry_after_seconds is None
    )


def is_temporary(refusal: admission.Refusal | None) -> bool:
    """Return whether an answer that has begun waits until a refusal's cause ends."""
    return refusal is not None and refusal.reason in _TEMPORARY_REASONS


def refuse_silent(seconds: float) -> admission.Refusal:
    """Return the refusal while engines ask for no requests for some seconds."""
    return attrs.evolve(
        NO_PIPELINE, retry_after_seconds=max(_PIPELINE_RETRY_SECONDS, seconds)
    )


def refuse_limited(seconds: float) -> admission.Refusal:
    """Return the refusal while the first engines take no more requests a second."""
    return admission.Refusal(
        reason=reasons.RefusalReason.BACKEND_LIMITED, retry_after_seconds=seconds
    )


def refuse_shortage(seconds: float) -> admission.Refusal:
    """Return the refusal of a request that would wait too long for a place."""
    return admission.Refusal(
        reason=reasons.RefusalReason.SHORTAGE, retry_after_seconds=seconds
    )


def refuse_full(seconds: float | None) -> admission.Refusal:
    """Return the refusal by full engines; without a prediction, its time is fixed."""
    if seconds is None:
        return FULL
    return attrs.evolve(FULL, retry_after_seconds=seconds)
