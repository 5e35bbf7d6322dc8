"""Datagrams that a node sends: numbered, sealed for each receiver, and counted."""

import collections
import collections.abc

import attrs

from jujubepass.capacity import codec
from jujubepass.forwarding import board, members
from jujubepass.transport import _http_client

_NUMBER_MASK = 0x7FFFFFFF


@attrs.frozen(kw_only=True)
class Datagram:
    """Describe a datagram to send."""

    address: _http_client.Address
    data: bytes


@attrs.define(kw_only=True)
class Outbox:
    """Number and seal messages of this process."""

    blackboard: board.Blackboard
    process: int
    """Random id of this process, of 32 bits."""
    sent: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    """Datagrams by kind."""
    sent_bytes: int = attrs.field(default=0, init=False)
    _number: int = attrs.field(init=False)
    _sender: bytes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        # Numbers of an earlier process are not taken for those of this one.
        self._number = self.process & _NUMBER_MASK
        self._sender = codec.make_digest(self.blackboard.node)

    def make_header(
        self, kind: codec.Kind, now: float, *, is_idle: bool = False
    ) -> codec.Header:
        """Return the header of a new message."""
        self._number += 1
        return codec.Header(
            kind=kind,
            sender=self._sender,
            process=self.process,
            number=self._number,
            sent_at=now,
            is_idle=is_idle,
        )

    def seal(
        self,
        header: codec.Header,
        bodies: collections.abc.Sequence[bytes],
        member: members.Member,
        *,
        echo: int = 0,
    ) -> list[Datagram]:
        """Return the datagrams of a message for one node."""
        if member.address is None:
            return []
        found = []
        for part, body in enumerate(bodies):
            data = codec.seal(
                header, body, member.token, part=part, parts=len(bodies), echo=echo
            )
            found.append(Datagram(address=member.address, data=data))
            self.sent_bytes += len(data)
        self.sent[header.kind.name.lower()] += len(bodies)
        return found
