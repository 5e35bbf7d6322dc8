"""Checks that a token is the answer's next one and ran every layer once."""

from jujubepass import reasons
from jujubepass.answers import _answer_area, _answer_messages

GAPS = frozenset({reasons.DropReason.POSITION_GAP, reasons.DropReason.LAYER_GAP})
"""Reasons after which an attempt cannot give the next token any more."""


def find_drop_reason(
    answer: _answer_area.Answer, token: _answer_messages.Token
) -> reasons.DropReason | None:
    """Return why a token may not reach the caller, or None."""
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


def is_repeated_work(
    answer: _answer_area.Answer,
    token: _answer_messages.Token,
    reason: reasons.DropReason,
) -> bool:
    """Tell whether an attempt that started again gives its next token anew."""
    is_duplicate = reason is reasons.DropReason.DUPLICATE_TOKEN
    return is_duplicate and token.position == answer.attempt_next_position
