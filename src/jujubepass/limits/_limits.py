"""Controller that admits requests within each client account's limits."""

import collections.abc

import attrs

from jujubepass import declarations, ids, reasons
from jujubepass.answers import _answer_messages
from jujubepass.calls import _call_messages
from jujubepass.limits import _admission, _limit_area, _limit_messages
from jujubepass.nodes import _blackboard, _dispatch, _node_messages

_LEAST_BURST = 4.0
_RETRY_SECONDS = 1.0
_IDLE_SECONDS = 60.0
_SWEEP_SECONDS = 5.0
_DURATION_WEIGHT = 0.1
_BYTES_PER_WORD = 64


@attrs.frozen(kw_only=True)
class NodeBounds:
    """Bound what one node carries at once."""

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
            _answer_messages.AttemptEnded: self.finish_engines,
            _limit_messages.RequestEnded: self.release,
            _node_messages.Tick: self.start_queued,
        }

    def admit(
        self, event: _limit_messages.Arrival, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Admit or queue a request, or refuse it at once."""
        if event.request in self.blackboard.limits.admitted:
            return ()
        declared = self.blackboard.configuration.declared.accounts
        refusal = self._check_node(event)
        if refusal is None:
            refusal = self._check_account(event, declared[event.account], now)
        if refusal is None and isinstance(event, _answer_messages.PromptArrived):
            refusal = self.admission.arrive(event, now)
        if refusal is not None:
            return (refusal,)
        self._take(event, now)
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
            return _admission.refuse(event, reason, 1.0)
        full = len(self._admitted) >= self.bounds.running_requests
        if full or self._held_bytes + _measure(event) > self.bounds.held_bytes:
            wait = self._mean_seconds / max(1, len(self._admitted))
            return _admission.refuse(event, reasons.RefusalReason.NODE_OVERLOADED, wait)
        return None

    def _check_account(
        self, event: _limit_messages.Arrival, account: declarations.Account, now: float
    ) -> _answer_messages.Refuse | None:
        rate, running = self._find_share(account)
        use = self._refill(account, rate, now)
        use.arrivals += 1
        if use.tokens < 1.0:
            use.denials += 1
            wait = (1.0 - use.tokens) / rate
            return _admission.refuse(event, reasons.RefusalReason.ACCOUNT_RATE, wait)
        if use.running >= running:
            use.denials += 1
            wait = max(_RETRY_SECONDS, self._mean_seconds / use.running)
            reason = reasons.RefusalReason.ACCOUNT_CONCURRENCY
            return _admission.refuse(event, reason, wait)
        return None

    def _find_share(self, account: declarations.Account) -> tuple[float, int]:
        """Return the rate and concurrency that this node may use of an account."""
        shares = self.blackboard.shares
        held = shares.grants.get(account.name)
        if held is not None:
            return held.rate, held.running
        divisor = shares.divisor
        rate = account.requests_per_second / divisor
        return rate, max(1, account.concurrency // divisor)

    def _refill(
        self, account: declarations.Account, rate: float, now: float
    ) -> _limit_area.AccountUse:
        part = rate / account.requests_per_second
        burst = max(min(_LEAST_BURST, account.burst), account.burst * part)
        uses = self.blackboard.limits.uses
        use = uses.get(account.name)
        if use is None:
            use = _limit_area.AccountUse(tokens=burst, refilled_at=now)
            uses[account.name] = use
        use.tokens = min(burst, use.tokens + (now - use.refilled_at) * rate)
        use.refilled_at = now
        return use

    def _take(self, event: _limit_messages.Arrival, now: float) -> None:
        use = self.blackboard.limits.uses[event.account]
        use.tokens -= 1.0
        use.running += 1
        admitted = _Admitted(admitted_at=now, held_bytes=_measure(event))
        self._held_bytes += admitted.held_bytes
        self._admitted[event.request] = admitted
        self._accounts[event.request] = event.account
        if not isinstance(event, _answer_messages.PromptArrived):
            self.blackboard.limits.admitted[event.request] = event.account

    def finish_engines(
        self, event: _answer_messages.AttemptEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Free the place of an answer that the engines ended."""
        self.admission.finish_engines(event, now)
        return self.admission.start_queued(now)

    def release(
        self, event: _limit_messages.RequestEnded, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Free what a request held."""
        self.admission.forget(event.request)
        self.blackboard.limits.admitted.pop(event.request, None)
        admitted = self._admitted.pop(event.request, None)
        if admitted is not None:
            self._held_bytes -= admitted.held_bytes
            self.blackboard.limits.uses[self._accounts.pop(event.request)].running -= 1
            seconds = now - admitted.admitted_at
            self._mean_seconds += _DURATION_WEIGHT * (seconds - self._mean_seconds)
        return self.admission.start_queued(now)

    def start_queued(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Start what has a place now and refuse what can no longer be in time."""
        if now >= self._swept_at + _SWEEP_SECONDS:
            self._swept_at = now
            self._forget_idle(now)
        return self.admission.start_queued(now)

    def _forget_idle(self, now: float) -> None:
        uses = self.blackboard.limits.uses
        for account in list(uses):
            use = uses[account]
            if not use.running and now > use.refilled_at + _IDLE_SECONDS:
                del uses[account]


def _measure(event: _limit_messages.Arrival) -> int:
    """Estimate the memory that a request holds."""
    if isinstance(event, _answer_messages.PromptArrived):
        return len(event.prompt) * _BYTES_PER_WORD
    if isinstance(event, _call_messages.CallArrived):
        return len(event.body)
    return 0
