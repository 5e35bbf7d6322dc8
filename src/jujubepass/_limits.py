"""Controller that admits requests within each client account's limits."""

import collections.abc

import attrs

from jujubepass import (
    _answer_messages,
    _blackboard,
    _call_messages,
    _dispatch,
    _limit_area,
    _node_messages,
    declarations,
    ids,
    reasons,
)

Arrival = (
    _answer_messages.PromptArrived
    | _call_messages.CallArrived
    | _call_messages.LookupArrived
)


@attrs.frozen(kw_only=True)
class RequestEnded:
    """Report that a request's answer is out, so that its share is free."""

    request: ids.RequestId


@attrs.define(kw_only=True)
class LimitController:
    """Admit or refuse requests; write the limit area."""

    blackboard: _blackboard.Blackboard

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _answer_messages.PromptArrived: self.admit,
            _call_messages.CallArrived: self.admit,
            _call_messages.LookupArrived: self.admit,
            RequestEnded: self.release,
        }

    def admit(
        self, event: Arrival, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Admit a request or refuse it at once."""
        state = self.blackboard.node.state
        if not _node_messages.admits_requests(state):
            return (_refuse(event, _explain_state(state), 1.0),)
        declared = self.blackboard.configuration.declared.accounts
        account = declared[event.account]
        use = self._refill(account, now)
        if use.tokens < 1.0:
            wait = (1.0 - use.tokens) / account.requests_per_second
            return (_refuse(event, reasons.RefusalReason.ACCOUNT_RATE, wait),)
        if use.running >= account.concurrency:
            return (_refuse(event, reasons.RefusalReason.ACCOUNT_CONCURRENCY, 1.0),)
        use.tokens -= 1.0
        use.running += 1
        self.blackboard.limits.admitted[event.request] = event.account
        return ()

    def _refill(
        self, account: declarations.Account, now: float
    ) -> _limit_area.AccountUse:
        nodes = self.blackboard.membership.count_live_nodes()
        burst = max(1.0, account.burst / nodes)
        rate = account.requests_per_second / nodes
        uses = self.blackboard.limits.uses
        use = uses.get(account.name)
        if use is None:
            use = _limit_area.AccountUse(tokens=burst, refilled_at=now)
            uses[account.name] = use
        use.tokens = min(burst, use.tokens + (now - use.refilled_at) * rate)
        use.refilled_at = now
        return use

    def release(
        self, event: RequestEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Free what a request held."""
        account = self.blackboard.limits.admitted.pop(event.request, None)
        if account is not None:
            self.blackboard.limits.uses[account].running -= 1
        return ()


def _explain_state(state: _node_messages.NodeState) -> reasons.RefusalReason:
    if _node_messages.is_leaving(state):
        return reasons.RefusalReason.NODE_STOPPING
    return reasons.RefusalReason.NOT_READY


def _refuse(
    event: Arrival, reason: reasons.RefusalReason, retry_after_seconds: float
) -> _answer_messages.Refuse:
    return _answer_messages.Refuse(
        request=event.request,
        reason=reason,
        detail=f"Not run: {reason.value.replace('_', ' ')}.",
        retry_after_seconds=retry_after_seconds,
    )
