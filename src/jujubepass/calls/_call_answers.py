"""Classification of backend servers' answers to call attempts."""

import enum
import json

from jujubepass.calls import _call_messages

_CONFLICT = 409
_REFUSED_STATUSES = (429, 503)
_SERVER_ERROR = 500


class AttemptResult(enum.Enum):
    """Enumerate whether an answered attempt ran."""

    RUN = "run"
    REFUSED = "refused"
    OLD_FENCING = "old_fencing"
    UNCLEAR = "unclear"


def classify_answer(event: _call_messages.CallAnswered) -> AttemptResult:
    """Classify an answer; docs/interfaces.md lists the refusals."""
    if event.status == _CONFLICT and _is_old_fencing(event.body):
        return AttemptResult.OLD_FENCING
    if event.status in _REFUSED_STATUSES and event.retry_after_seconds is not None:
        return AttemptResult.REFUSED
    if event.status >= _SERVER_ERROR:
        return AttemptResult.UNCLEAR
    return AttemptResult.RUN


def _is_old_fencing(body: str) -> bool:
    try:
        value = json.loads(body)
    except ValueError:
        return False
    return isinstance(value, dict) and value.get("error") == "old_fencing"
