"""Controller that enforces the limits of client accounts and of the node."""

import collections.abc

import attrs

from jujubepass import declarations, ids, reasons
from jujubepass.answers import _answer_messages
from jujubepass.calls import _call_messages
from jujubepass.limits import _admission, _limit_area, _limit_messages
from jujubepass.nodes import _blackboard, _dispatch, _node_messages

_MIN_BURST = 4.0
_MIN_RETRY_AFTER_SECONDS = 1.0
_IDLE_TIMEOUT_SECONDS = 60.0
_SWEEP_INTERVAL_SECONDS = 5.0
_DURATION_WEIGHT = 0.1
_BYTES_PER_WORD = 64


@attrs.frozen(kw_only=True)
class NodeBounds:
    """Configure the limits on requests and bytes that a node handles concurrently."""

    running_requests: int = 2_000
    held_bytes: int = 100_000_000


@attrs.define(kw_only=True)
class _Admitted:
    admitted_at: float
    held_bytes: int


@attrs.define(kw_only=True)
class LimitController:
    """Admit, queue or refuse requests; write the limit area."""

    blackboard: _blackboard.Blackboard
    bounds: NodeBounds = attrs.field(factory=NodeBounds)
    admission: _admission.Admission = attrs.field()
    _admitted: dict[ids.RequestId, _Admitted] = attrs.field(factory=dict, init=False)
    _accounts: dict[ids.RequestId, ids.AccountId] = attrs.field(
        factory=dict, init=False
    )
    _held_bytes: int = attrs.field(default=0, init=False)
    _mean_seconds: float = attrs.field(default=1.0, init=False)
    _swept_at: float = attrs.field(default=0.0, init=False)

    @admission.default
    def _make_admission(self) -> _admission.Admission:
        return _admission.Admission(blackboard=self.blackboard)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _answer_messages.PromptArrived: self.admit,
            _call_messages.CallArrived: self.admit,
            _call_messages.CallAsked: self.admit,
            _call_messages.LookupArrived: self.admit,
            _answer_messages.AttemptEnded: self.record_attempt_end,
            _limit_messages.RequestEnded: self.release,
            _node_messages.Tick: self.start_queued,
        }

    def admit(
        self, event: _limit_messages.Arrival, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Admit, queue or refuse a request."""
        if event.request in self.blackboard.limits.admitted:
            return ()
        declared = self.blackboard.configuration.declared.accounts
        refusal = self._check_node(event)
        if refusal is None:
            refusal = self._check_account(event, declared[event.account], now)
        if refusal is None and isinstance(event, _answer_messages.PromptArrived):
            refusal = self.admission.admit_or_queue(event, now)
        if refusal is not None:
            return (refusal,)
        self._record_admission(event, now)
        return ()

    def _check_node(
        self, event: _limit_messages.Arrival
    ) -> _answer_messages.Refuse | None:
        state = self.blackboard.node.state
        if not _node_messages.admits_requests(state):
            stopping = _node_messages.is_leaving(state)
            reason = reasons.RefusalReason.NOT_READY
            if stopping:
                reason = reasons.RefusalReason.NODE_STOPPING
            return _admission.make_refusal(event, reason, 1.0)
        full = len(self._admitted) >= self.bounds.running_requests
        if full or self._held_bytes + _estimate_bytes(event) > self.bounds.held_bytes:
            wait_seconds = self._mean_seconds / max(1, len(self._admitted))
            return _admission.make_refusal(
                event, reasons.RefusalReason.NODE_OVERLOADED, wait_seconds
            )
        return None

    def _check_account(
        self, event: _limit_messages.Arrival, account: declarations.Account, now: float
    ) -> _answer_messages.Refuse | None:
        rate, running = self._get_share(account)
        usage = self._refill(account, rate, now)
        usage.arrivals += 1
        if usage.tokens < 1.0:
            usage.denials += 1
            wait_seconds = (1.0 - usage.tokens) / rate
            return _admission.make_refusal(
                event, reasons.RefusalReason.ACCOUNT_RATE, wait_seconds
            )
        if usage.running >= running:
            usage.denials += 1
            wait_seconds = max(
                _MIN_RETRY_AFTER_SECONDS, self._mean_seconds / usage.running
            )
            reason = reasons.RefusalReason.ACCOUNT_CONCURRENCY
            return _admission.make_refusal(event, reason, wait_seconds)
        return None

    def _get_share(self, account: declarations.Account) -> tuple[float, int]:
        """Return this node's share of an account's rate and concurrency."""
        shares = self.blackboard.shares
        grant = shares.grants.get(account.name)
        if grant is not None:
            return grant.rate, grant.running
        divisor = shares.divisor
        rate = account.requests_per_second / divisor
        return rate, max(1, account.concurrency // divisor)

    def _refill(
        self, account: declarations.Account, rate: float, now: float
    ) -> _limit_area.AccountUsage:
        share_fraction = rate / account.requests_per_second
        burst = max(min(_MIN_BURST, account.burst), account.burst * share_fraction)
        usages = self.blackboard.limits.usages
        usage = usages.get(account.name)
        if usage is None:
            usage = _limit_area.AccountUsage(tokens=burst, refilled_at=now)
            usages[account.name] = usage
        usage.tokens = min(burst, usage.tokens + (now - usage.refilled_at) * rate)
        usage.refilled_at = now
        return usage

    def _record_admission(self, event: _limit_messages.Arrival, now: float) -> None:
        usage = self.blackboard.limits.usages[event.account]
        usage.tokens -= 1.0
        usage.running += 1
        admitted = _Admitted(admitted_at=now, held_bytes=_estimate_bytes(event))
        self._held_bytes += admitted.held_bytes
        self._admitted[event.request] = admitted
        self._accounts[event.request] = event.account
        if not isinstance(event, _answer_messages.PromptArrived):
            self.blackboard.limits.admitted[event.request] = event.account

    def record_attempt_end(
        self, event: _answer_messages.AttemptEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Release the slot of an answer that the engines ended."""
        self.admission.record_attempt_end(event, now)
        return self.admission.start_queued(now)

    def release(
        self, event: _limit_messages.RequestEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Release the concurrency, memory and slot of a request that ended."""
        self.admission.remove_request(event.request)
        self.blackboard.limits.admitted.pop(event.request, None)
        admitted = self._admitted.pop(event.request, None)
        if admitted is not None:
            self._held_bytes -= admitted.held_bytes
            self.blackboard.limits.usages[
                self._accounts.pop(event.request)
            ].running -= 1
            seconds = now - admitted.admitted_at
            self._mean_seconds += _DURATION_WEIGHT * (seconds - self._mean_seconds)
        return self.admission.start_queued(now)

    def start_queued(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Start queued requests in free slots and refuse expired ones."""
        if now >= self._swept_at + _SWEEP_INTERVAL_SECONDS:
            self._swept_at = now
            self._remove_idle_usages(now)
        return self.admission.start_queued(now)

    def _remove_idle_usages(self, now: float) -> None:
        usages = self.blackboard.limits.usages
        for account in list(usages):
            usage = usages[account]
            if not usage.running and now > usage.refilled_at + _IDLE_TIMEOUT_SECONDS:
                del usages[account]


def _estimate_bytes(event: _limit_messages.Arrival) -> int:
    """Estimate the memory in bytes that a request occupies."""
    if isinstance(event, _answer_messages.PromptArrived):
        return len(event.prompt) * _BYTES_PER_WORD
    if isinstance(event, _call_messages.CallArrived):
        return len(event.body)
    return 0
