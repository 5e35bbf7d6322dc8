"""Reports of this node's use, and the collectors that get them."""

import attrs

from jujubepass import ids
from jujubepass.capacity import codec, collector, outbox, own_use, shared_view
from jujubepass.forwarding import board, members

# With views every 0.25 s, what a node runs is known within 0.45 s and the time on the
# way. A longer interval would exceed the 0.5 s within which it must be known.
REPORT_INTERVAL_SECONDS = 0.2
IDLE_INTERVAL_SECONDS = 1.0
_IDLE_DELAY_SECONDS = 1.0
_COLLECTORS = 2
# A collector from which nothing came for this long is left to the next one in the
# order, which gets reports too. Collectors of idle nodes send once a second.
_SILENCE_SECONDS = 1.0
_IDLE_SILENCE_SECONDS = 2.25
_MAX_TARGETS = 6
_NEVER = float("-inf")

# Aliases, because a field has the same name as the module.
_Datagram = outbox.Datagram
_Outbox = outbox.Outbox


@attrs.define(kw_only=True)
class Pace:
    """Tell whether a message is due at the rate of a busy or of an idle sender."""

    is_idle: bool = attrs.field(default=True, init=False)
    busy_since: float = attrs.field(default=_NEVER, init=False)
    """Last time at which an idle sender became busy."""
    _busy_at: float = attrs.field(default=_NEVER, init=False)
    _sent_at: float = attrs.field(default=_NEVER, init=False)

    def take_turn(self, content: codec.Content, now: float) -> bool:
        """Return whether to send the content now."""
        if not content.is_empty:
            self._busy_at = now
            if self.is_idle:
                self.busy_since = now
        self.is_idle = now - self._busy_at > _IDLE_DELAY_SECONDS
        # The turns of a busy sender come a little earlier or later.
        pause = IDLE_INTERVAL_SECONDS - 0.5 * REPORT_INTERVAL_SECONDS
        if self.is_idle and now - self._sent_at < pause:
            return False
        self._sent_at = now
        return True


def find_next(due: float, now: float, interval_seconds: float) -> float:
    """Return the next time on a schedule, or a later one if that has passed."""
    following = due + interval_seconds
    return following if following > now else now + interval_seconds


@attrs.define(kw_only=True)
class Reporter:
    """Send this node's use to the collectors of its domain."""

    blackboard: board.Blackboard
    recorder: own_use.OwnUse
    view: shared_view.SharedView
    collector: collector.Collector
    """What this node itself collects."""
    outbox: _Outbox
    due: float = attrs.field(default=_NEVER, init=False)
    _pace: Pace = attrs.field(factory=Pace, init=False)
    _asked_at: dict[ids.NodeId, float] = attrs.field(factory=dict, init=False)
    """Since when this node has reported to each collector."""
    _heard_at: dict[ids.NodeId, float] = attrs.field(factory=dict, init=False)

    def start(self, at: float) -> None:
        """Begin to report at a time."""
        self.due = at
        self._asked_at.clear()
        self._heard_at.clear()

    def record_view(self, node: ids.NodeId, now: float) -> None:
        """Record that a view has come from a node."""
        self._heard_at[node] = now

    def poll(self, now: float) -> list[_Datagram]:
        """Return the report that is due."""
        if now < self.due:
            return []
        self.due = find_next(self.due, now, REPORT_INTERVAL_SECONDS)
        content = self.recorder.take_snapshot(now)
        full = self.view.list_full(now)
        if full:
            content = attrs.evolve(content, full=full)
        if not self._pace.take_turn(content, now):
            return []
        header = self.outbox.make_header(
            codec.Kind.REPORT, now, is_idle=content.is_empty
        )
        self.view.keep_report(header.number, content)
        bodies = codec.write_bodies(content)
        found = []
        for member in self.find_collectors(now):
            if member.node == self.blackboard.node:
                self.collector.add_report(member.node, header, content, now)
            else:
                found += self.outbox.seal(header, bodies, member)
        return found

    def find_collectors(self, now: float) -> list[members.Member]:
        """Return the first two nodes of the domain, and others for silent ones."""
        found: list[members.Member] = []
        limit = _IDLE_SILENCE_SECONDS if self._pace.is_idle else _SILENCE_SECONDS
        answering = 0
        for member in self.blackboard.members.neighbors:
            if member.address is None:
                continue
            found.append(member)
            asked_at = self._asked_at.setdefault(member.node, now)
            heard_at = max(
                asked_at,
                self._heard_at.get(member.node, _NEVER),
                # Before that, the collectors had a longer interval.
                self._pace.busy_since,
            )
            is_own = member.node == self.blackboard.node
            answering += is_own or now - heard_at <= limit
            if answering >= _COLLECTORS or len(found) >= _MAX_TARGETS:
                break
        kept = {each.node for each in found}
        for node in self._asked_at.keys() - kept:
            del self._asked_at[node]
            self._heard_at.pop(node, None)
        return found
