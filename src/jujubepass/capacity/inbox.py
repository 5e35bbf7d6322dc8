"""Datagrams of other nodes: checked, put together, and dated."""

import collections
import collections.abc
import logging

import attrs

from jujubepass import ids
from jujubepass.capacity import codec
from jujubepass.forwarding import board, members

_LOGGER = logging.getLogger(__name__)

# Clocks drift apart by some 0.1 ms a second, so that the smallest delay seen must be
# forgotten after a while. Two windows are kept.
_CLOCK_WINDOW_SECONDS = 30.0
# A process that was heard within this time is not taken for replaced by one with an
# earlier clock.
_PROCESS_SECONDS = 1.0
_LOG_INTERVAL_SECONDS = 10.0


@attrs.define
class _Clock:
    """Date messages by the smallest delay seen between two clocks."""

    _least: float = attrs.field(default=float("inf"), init=False)
    _least_before: float = attrs.field(default=float("inf"), init=False)
    _window_at: float = attrs.field(default=float("-inf"), init=False)

    def find_age(self, sent_at: float, now: float) -> float:
        """Return how old a message is that has arrived now, in seconds."""
        difference = now - sent_at
        if now - self._window_at > _CLOCK_WINDOW_SECONDS:
            self._least_before, self._least = self._least, float("inf")
            self._window_at = now
        self._least = min(self._least, difference)
        return difference - min(self._least, self._least_before)


@attrs.define(kw_only=True)
class _Assembly:
    """Collect the parts of one message."""

    number: int
    parts: dict[int, bytes] = attrs.field(factory=dict)
    is_complete: bool = False


@attrs.define(kw_only=True)
class _Sender:
    process: int
    sent_at: float = float("-inf")
    """Latest time of its messages, on its clock."""
    heard_at: float = float("-inf")
    clock: _Clock = attrs.field(factory=_Clock)
    assemblies: dict[codec.Kind, _Assembly] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Message:
    """Describe a complete message of another node."""

    header: codec.Header
    member: members.Member
    content: codec.Content
    age_seconds: float


@attrs.define(kw_only=True)
class Inbox:
    """Read datagrams, and count those that are dropped by reason."""

    blackboard: board.Blackboard
    token: str = attrs.field(repr=False)
    drops: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _senders: dict[ids.NodeId, _Sender] = attrs.field(factory=dict, init=False)
    _members: dict[bytes, members.Member] = attrs.field(factory=dict, init=False)
    _live: object = attrs.field(default=None, init=False)
    _logged_at: float = attrs.field(default=float("-inf"), init=False)

    def receive(self, data: bytes, now: float) -> Message | None:
        """Return the message that a datagram completes, or None."""
        try:
            header, body = codec.unseal(data, self.token)
        except codec.MacError as error:
            self.drop("mac", now, str(error))
            return None
        except codec.CodecError as error:
            self.drop("invalid", now, str(error))
            return None
        member = self._find_member(header.sender)
        if member is None or member.node == self.blackboard.node:
            self.drop("unknown_node", now)
            return None
        sender = self._find_sender(header, member.node, now)
        if sender is None:
            self.drop("stale", now)
            return None
        age = sender.clock.find_age(header.sent_at, now)
        sender.sent_at = max(sender.sent_at, header.sent_at)
        sender.heard_at = now
        joined = self._assemble(sender, header, body)
        if joined is None:
            return None
        try:
            content = codec.read_content(joined)
        except codec.CodecError as error:
            self.drop("invalid", now, str(error))
            return None
        return Message(header=header, member=member, content=content, age_seconds=age)

    def drop(self, reason: str, now: float, detail: str = "") -> None:
        """Count a dropped datagram; at most one line in ten seconds tells of it."""
        self.drops[reason] += 1
        # Late and duplicate datagrams are no fault.
        if reason == "stale" or now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        _LOGGER.warning(
            "datagram of the shared view dropped",
            extra={"reason": reason, "detail": detail, "drops": dict(self.drops)},
        )

    def _find_member(self, digest: bytes) -> members.Member | None:
        area = self.blackboard.members
        if area.live is not self._live:
            self._live = area.live
            self._members = {codec.make_digest(each.node): each for each in area.live}
            for node in self._senders.keys() - area.nodes:
                del self._senders[node]
        return self._members.get(digest)

    def _find_sender(
        self, header: codec.Header, node: ids.NodeId, now: float
    ) -> _Sender | None:
        """Return the sender of a datagram; None if its process has been replaced."""
        sender = self._senders.get(node)
        if sender is not None and sender.process != header.process:
            is_later = header.sent_at > sender.sent_at
            if not is_later and now - sender.heard_at < _PROCESS_SECONDS:
                return None
            sender = None
        if sender is None:
            sender = self._senders[node] = _Sender(process=header.process)
        return sender

    def _assemble(
        self, sender: _Sender, header: codec.Header, body: bytes
    ) -> bytes | None:
        """Return the joined parts of a message once all of them are there."""
        known = sender.assemblies.get(header.kind)
        if known is None or header.number > known.number:
            known = _Assembly(number=header.number)
            sender.assemblies[header.kind] = known
        if header.number < known.number or known.is_complete:
            self.drops["stale"] += 1
            return None
        known.parts[header.part] = body
        if len(known.parts) < header.parts:
            return None
        known.is_complete = True
        return b"".join(body for _, body in sorted(known.parts.items()))
