"""Views of a failure domain, and its line for the others, sent by collectors."""

import attrs

from jujubepass import ids
from jujubepass.capacity import (
    codec,
    collector,
    outbox,
    own_use,
    reporting,
    shared_view,
)
from jujubepass.forwarding import board, members

VIEW_INTERVAL_SECONDS = 0.25
LINE_INTERVAL_SECONDS = 1.0
_COLLECTORS = 2
_NEVER = float("-inf")
_NOT_DUE = float("inf")

# Aliases, because a field has the same name as the module.
_Datagram = outbox.Datagram
_Outbox = outbox.Outbox


@attrs.define(kw_only=True)
class Spreader:
    """Send what this node collects to the nodes that report to it."""

    blackboard: board.Blackboard
    recorder: own_use.OwnUse
    view: shared_view.SharedView
    collector: collector.Collector
    outbox: _Outbox
    due: float = attrs.field(default=_NEVER, init=False)
    _lines_due: float = attrs.field(default=_NEVER, init=False)
    _lines_passed_at: float = attrs.field(default=_NEVER, init=False)
    _pace: reporting.Pace = attrs.field(factory=reporting.Pace, init=False)
    _members: dict[ids.NodeId, members.Member] = attrs.field(factory=dict, init=False)
    _targets: dict[ids.FailureDomainId, list[members.Member]] = attrs.field(
        factory=dict, init=False
    )
    """Collectors of the other failure domains."""
    _live: object = attrs.field(default=None, init=False)

    def start(self, at: float) -> None:
        """Begin to send at a time."""
        self.due = self._lines_due = at

    def poll(self, now: float) -> list[_Datagram]:
        """Return the view, and the domain's line, that are due."""
        if self.due == _NOT_DUE and self.collector.has_reports:
            self.start(now)
        if now < self.due:
            return []
        self.due = reporting.find_next(self.due, now, VIEW_INTERVAL_SECONDS)
        receivers = self.collector.list_receivers(now)
        if not receivers:
            # Most nodes collect nothing, and need no wake-up for it.
            self.due = _NOT_DUE
            return []
        self._update_members()
        content = self.collector.sum_reports(now)
        found = self._send_lines(content, now) if now >= self._lines_due else []
        return found + self._send_view(content, receivers, now)

    def seal_for(
        self,
        receivers: list[ids.NodeId],
        kind: codec.Kind,
        content: codec.Content,
        now: float,
        *,
        echo: int,
    ) -> list[_Datagram]:
        """Return a message for some nodes of the domain."""
        self._update_members()
        header = self.outbox.make_header(kind, now)
        bodies = codec.write_bodies(content)
        found = []
        for node in receivers:
            member = self._members.get(node)
            if member is not None and node != self.blackboard.node:
                found += self.outbox.seal(header, bodies, member, echo=echo)
        return found

    def _send_view(
        self, content: codec.Content, receivers: list[ids.NodeId], now: float
    ) -> list[_Datagram]:
        full = self.view.list_full(now)
        if full:
            content = attrs.evolve(content, full=full)
        if not self._pace.take_turn(content, now):
            return []
        content = attrs.evolve(content, remote_uses={})
        # Lines change once a second.
        if now - self._lines_passed_at >= LINE_INTERVAL_SECONDS:
            self._lines_passed_at = now
            content = attrs.evolve(content, lines=self.collector.list_lines(now))
        header = self.outbox.make_header(codec.Kind.VIEW, now, is_idle=content.is_empty)
        bodies = codec.write_bodies(content)
        found = []
        for node in receivers:
            member = self._members.get(node)
            if member is None:
                continue
            echo = self.collector.find_echo(node, now)
            if node == self.blackboard.node:
                own_header = attrs.evolve(header, echo=echo)
                self.view.install(node, own_header, content, now)
            else:
                found += self.outbox.seal(header, bodies, member, echo=echo)
        return found

    def _send_lines(self, content: codec.Content, now: float) -> list[_Datagram]:
        """Return this domain's line for the collectors of each other domain."""
        self._lines_due = reporting.find_next(
            self._lines_due, now, LINE_INTERVAL_SECONDS
        )
        uses: dict[bytes, dict[bytes, tuple[int, int]]] = {}
        for (remote, digest), use in content.remote_uses.items():
            uses.setdefault(remote, {})[digest] = use
        line = codec.Line(
            domain=codec.make_digest(self.blackboard.failure_domain),
            free_places=self.recorder.free_places,
            waiting=content.waiting,
        )
        found = []
        for domain, targets in self._list_targets(now).items():
            header = self.outbox.make_header(codec.Kind.DOMAIN, now)
            bodies = codec.write_bodies(
                codec.Content(
                    uses=uses.get(codec.make_digest(domain), {}), lines=(line,)
                )
            )
            for member in targets:
                found += self.outbox.seal(header, bodies, member)
        return found

    def _list_targets(
        self, now: float
    ) -> dict[ids.FailureDomainId, list[members.Member]]:
        """Return the first two nodes of each domain, and those that sent a line."""
        found = {domain: list(each) for domain, each in self._targets.items()}
        for node in self.collector.list_domain_senders(now):
            member = self._members.get(node)
            if member is not None:
                known = found.setdefault(member.failure_domain, [])
                if member not in known:
                    known.append(member)
        return found

    def _update_members(self) -> None:
        area = self.blackboard.members
        if area.live is self._live:
            return
        self._live = area.live
        self._members = {each.node: each for each in area.live}
        reachable = [each for each in area.live if each.address is not None]
        self._targets = {
            domain: list(members.order_domain(reachable, domain)[:_COLLECTORS])
            for domain in area.sizes
            if domain != self.blackboard.failure_domain
        }
