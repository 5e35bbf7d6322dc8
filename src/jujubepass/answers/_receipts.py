"""Checks that a token is the next of its answer and ran every layer once."""

from jujubepass import reasons
from jujubepass.answers import _answer_area, _answer_messages

GAP_REASONS = frozenset({reasons.DropReason.POSITION_GAP, reasons.DropReason.LAYER_GAP})
"""Drop reasons after which an attempt can no longer produce the next token."""


def find_drop_reason(
    answer: _answer_area.Answer, token: _answer_messages.Token
) -> reasons.DropReason | None:
    """Return why a token must not reach the caller, or None."""
    if token.request != answer.arrived.request:
        return reasons.DropReason.CROSSED_TOKEN
    if token.epoch != answer.epoch:
        return reasons.DropReason.OLD_EPOCH
    position = len(answer.sent)
    if token.position < position:
        return reasons.DropReason.DUPLICATE_TOKEN
    if token.position > position or position >= answer.arrived.max_tokens:
        return reasons.DropReason.POSITION_GAP
    if token.receipts != answer.expected_receipts:
        return reasons.DropReason.LAYER_GAP
    return None


def is_regenerated(
    answer: _answer_area.Answer,
    token: _answer_messages.Token,
    reason: reasons.DropReason,
) -> bool:
    """Return whether a restarted attempt is regenerating its next token."""
    is_duplicate = reason is reasons.DropReason.DUPLICATE_TOKEN
    return is_duplicate and token.position == answer.attempt_next_position
