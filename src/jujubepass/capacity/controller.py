"""Controller that shares what this node runs: what to send when, and what arrives."""

import collections.abc
import logging

import attrs

from jujubepass import ids
from jujubepass.capacity import (
    codec,
    collector,
    engine_index,
    inbox,
    outbox,
    own_use,
    reporting,
    scope,
    shared_view,
    spreading,
)
from jujubepass.forwarding import board

_LOGGER = logging.getLogger(__name__)

# Rejections are reported at once, but no more often than this.
_FULL_INTERVAL_SECONDS = 0.05
_SCOPE_INTERVAL_SECONDS = 0.25
_LOG_INTERVAL_SECONDS = 10.0
_NEVER = float("-inf")

# Aliases, because fields have the same names as the modules.
_Collector = collector.Collector
_Inbox = inbox.Inbox
_Message = inbox.Message
_Datagram = outbox.Datagram
_Outbox = outbox.Outbox
_Scope = scope.Scope


@attrs.define(kw_only=True)
class CapacityController:
    """Combine the parts of the shared view; other parts use three of them.

    These are `view`, `recorder`, and `scope`, which tells whether a service needs them.
    """

    blackboard: board.Blackboard
    token: str = attrs.field(repr=False)
    """Key of the datagrams for this node, as its row names it."""
    process: int
    """Random id of this process, of 32 bits."""
    has_address: bool = True
    """Whether other nodes can reach this one."""
    is_enabled: bool = True
    """Whether the settings allow sharing."""
    on_urgent: collections.abc.Callable[[], None] = lambda: None
    """Called when a datagram is due earlier than find_delay has told."""
    index: engine_index.EngineIndex = attrs.field(init=False)
    recorder: own_use.OwnUse = attrs.field(init=False)
    view: shared_view.SharedView = attrs.field(init=False)
    scope: _Scope = attrs.field(init=False)
    collector: _Collector = attrs.field(init=False)
    inbox: _Inbox = attrs.field(init=False)
    outbox: _Outbox = attrs.field(init=False)
    _reporter: reporting.Reporter = attrs.field(init=False)
    _spreader: spreading.Spreader = attrs.field(init=False)
    _full_due: float = attrs.field(default=_NEVER, init=False)
    _scope_due: float = attrs.field(default=_NEVER, init=False)
    _own_full: dict[bytes, float] = attrs.field(factory=dict, init=False)
    """Ends of new rejections that this node is to report."""
    _forwarded_full: dict[bytes, float] = attrs.field(factory=dict, init=False)
    """Ends of new rejections that this collector is to pass on."""
    _was_known: bool = attrs.field(default=False, init=False)
    _logged_at: float = attrs.field(default=_NEVER, init=False)
    _logged_invalid: int = attrs.field(default=0, init=False)
    _invalid_logged_at: float = attrs.field(default=_NEVER, init=False)

    def __attrs_post_init__(self) -> None:
        board_ = self.blackboard
        self.index = engine_index.EngineIndex(blackboard=board_)
        self.recorder = own_use.OwnUse(index=self.index, on_full=self._record_full)
        self.view = shared_view.SharedView(
            blackboard=board_, index=self.index, own=self.recorder
        )
        self.scope = scope.Scope(blackboard=board_, is_enabled=self.is_enabled)
        self.collector = collector.Collector(index=self.index)
        self.inbox = inbox.Inbox(blackboard=board_, token=self.token)
        self.outbox = outbox.Outbox(blackboard=board_, process=self.process)
        self._reporter = reporting.Reporter(
            blackboard=board_,
            recorder=self.recorder,
            view=self.view,
            collector=self.collector,
            outbox=self.outbox,
        )
        self._spreader = spreading.Spreader(
            blackboard=board_,
            recorder=self.recorder,
            view=self.view,
            collector=self.collector,
            outbox=self.outbox,
        )

    @property
    def is_in_use(self) -> bool:
        """Return whether this node shares what it runs."""
        return self.view.is_in_use

    def receive(self, data: bytes, now: float) -> None:
        """Take a datagram that has arrived."""
        if not self.is_in_use:
            return
        message = self.inbox.receive(data, now)
        if message is None:
            return
        kind, member = message.header.kind, message.member
        is_neighbor = member.failure_domain == self.blackboard.failure_domain
        if is_neighbor == (kind is codec.Kind.DOMAIN):
            self.inbox.drop("wrong_domain", now)
            return
        if kind is codec.Kind.VIEW:
            self._reporter.record_view(member.node, now)
            made_at = now - message.age_seconds
            self.view.install(member.node, message.header, message.content, made_at)
        elif kind is not codec.Kind.FULL:
            self.collector.add_message(message, now)
        if is_neighbor and message.content.full:
            self._take_full(message, now)

    def _take_full(self, message: _Message, now: float) -> None:
        """Record rejections that others report; a collector passes new ones on."""
        # Nodes mark what they report themselves, so that it is passed on only once.
        is_report = message.header.kind is codec.Kind.FULL and not message.header.echo
        for digest, seconds in message.content.full.items():
            until = now + seconds - message.age_seconds
            self.view.add_full(digest, until, now)
            if is_report:
                self._forwarded_full[digest] = until
        if is_report:
            self.on_urgent()

    def _record_full(self, engine: ids.BackendServerId, now: float) -> None:
        digest = self.index.find_digest(engine)
        if digest is None or not self.is_in_use:
            return
        until = now + codec.MAX_FULL_SECONDS
        self.view.add_full(digest, until, now)
        self._own_full[digest] = until
        self.on_urgent()

    def find_delay(self, now: float) -> float:
        """Return the seconds until poll must be called again."""
        due = self._scope_due
        if self.is_in_use:
            # The scope is looked at along with a report, which saves wake-ups.
            due = min(self._reporter.due, self._spreader.due)
            if self._own_full or self._forwarded_full:
                due = min(due, self._full_due)
        return max(0.0, due - now)

    def poll(self, now: float) -> list[_Datagram]:
        """Return the datagrams that are due."""
        if now >= self._scope_due:
            self._scope_due = now + _SCOPE_INTERVAL_SECONDS
            self._update_scope(now)
        if not self.is_in_use:
            return []
        found = self._send_full(now)
        found += self._reporter.poll(now)
        found += self._spreader.poll(now)
        return found

    def _send_full(self, now: float) -> list[_Datagram]:
        """Return new rejections for the collectors, or for all nodes."""
        if not (self._own_full or self._forwarded_full) or now < self._full_due:
            return []
        self._full_due = now + _FULL_INTERVAL_SECONDS
        own, forwarded = self._own_full, self._forwarded_full
        self._own_full, self._forwarded_full = {}, {}
        found = []
        collectors = [each.node for each in self._reporter.find_collectors(now)]
        if own and self.blackboard.node in collectors:
            forwarded = {**forwarded, **own}
            collectors.remove(self.blackboard.node)
        if own:
            found += self._seal_full(collectors, own, now, echo=0)
        if forwarded:
            receivers = self.collector.list_receivers(now)
            found += self._seal_full(receivers, forwarded, now, echo=1)
        return found

    def _seal_full(
        self,
        receivers: list[ids.NodeId],
        full: dict[bytes, float],
        now: float,
        *,
        echo: int,
    ) -> list[_Datagram]:
        left = {digest: until - now for digest, until in full.items() if until > now}
        if not left:
            return []
        content = codec.Content(full=left)
        return self._spreader.seal_for(
            receivers, codec.Kind.FULL, content, now, echo=echo
        )

    def _update_scope(self, now: float) -> None:
        is_needed = self.has_address and self.scope.is_any_needed()
        if is_needed and not self.is_in_use:
            # Nodes that start together send at different times.
            share = self.process % 1_000 / 1_000.0
            self._reporter.start(now + share * reporting.REPORT_INTERVAL_SECONDS)
            self._spreader.start(now + share * spreading.VIEW_INTERVAL_SECONDS)
        if not is_needed and self.is_in_use:
            self.view.clear()
        self.view.is_in_use = is_needed
        self._log_change(now)
        self._log_invalid(now)

    def count_invalid(self) -> int:
        """Return how many counts could not be right and were ignored."""
        return self.index.absurd_counts + self.recorder.invalid_values

    def _log_invalid(self, now: float) -> None:
        invalid = self.count_invalid()
        if (
            invalid == self._logged_invalid
            or now - self._invalid_logged_at < _LOG_INTERVAL_SECONDS
        ):
            return
        self._logged_invalid, self._invalid_logged_at = invalid, now
        _LOGGER.warning(
            "invalid counts of requests ignored",
            extra={
                "of_engines": self.index.absurd_counts,
                "of_this_node": self.recorder.invalid_values,
            },
        )

    def _log_change(self, now: float) -> None:
        is_known = self.view.is_known(now)
        if is_known == self._was_known or now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        self._was_known, self._logged_at = is_known, now
        _LOGGER.info(
            "shared view known" if is_known else "shared view unknown",
            extra={
                "in_use": self.is_in_use,
                "collector": self.view.find_collector(now),
                "covered": self.view.count_covered(now),
                "listed": len(self.blackboard.members.neighbors),
                "drops": dict(self.inbox.drops),
            },
        )
