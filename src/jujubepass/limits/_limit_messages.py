"""Events and commands of admission."""

import attrs

from jujubepass import ids
from jujubepass.answers import _answer_messages
from jujubepass.calls import _call_messages

Arrival = (
    _answer_messages.PromptArrived
    | _call_messages.CallArrived
    | _call_messages.CallAsked
    | _call_messages.LookupArrived
)


@attrs.frozen(kw_only=True)
class RequestEnded:
    """Report a request that has ended and releases what it occupied."""

    request: ids.RequestId


@attrs.frozen(kw_only=True)
class StartQueued:
    """Command a repeated dispatch of a queued request's arrival, now admitted."""

    event: _answer_messages.PromptArrived
