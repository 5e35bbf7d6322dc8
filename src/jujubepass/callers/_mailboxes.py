"""Mailboxes that deliver replies to the requests in progress."""

import math
import typing

import attrs
import trio

from jujubepass import ids
from jujubepass.answers import _answer_messages
from jujubepass.calls import _call_messages

Reply = (
    _answer_messages.DeliverTokens
    | _answer_messages.FinishAnswer
    | _answer_messages.Refuse
    | _call_messages.AnswerCall
)


@attrs.define(kw_only=True)
class Mailbox:
    """Buffer the replies to one request until its task writes them."""

    _sender: trio.MemorySendChannel[Reply]
    _receiver: trio.MemoryReceiveChannel[Reply]
    backends: str = ""

    def put(self, reply: Reply) -> None:
        """Add a reply."""
        self._sender.send_nowait(reply)

    async def receive_all(self) -> list[Reply]:
        """Wait for a reply, then return all replies that have arrived."""
        replies = [await self._receiver.receive()]
        try:
            while True:
                replies.append(self._receiver.receive_nowait())
        except trio.WouldBlock:
            return replies


@attrs.define(kw_only=True)
class Mailboxes:
    """Manage the mailboxes of the requests in progress."""

    _open: dict[ids.RequestId, Mailbox] = attrs.field(factory=dict, init=False)

    def open(self, request: ids.RequestId) -> Mailbox:
        """Open the mailbox of a new request."""
        sender, receiver = trio.open_memory_channel[Reply](math.inf)
        mailbox = Mailbox(sender=sender, receiver=receiver)
        self._open[request] = mailbox
        return mailbox

    def close(self, request: ids.RequestId) -> None:
        """Remove the mailbox of a request."""
        self._open.pop(request, None)

    def put(self, reply: Reply) -> None:
        """Add a reply to its request's mailbox; drop it if the request has ended."""
        mailbox = self._open.get(reply.request)
        if mailbox is not None:
            mailbox.put(reply)

    def record_backends(
        self, request: ids.RequestId, names: typing.Iterable[str]
    ) -> None:
        """Record which backend servers a request was sent to."""
        mailbox = self._open.get(request)
        if mailbox is not None:
            mailbox.backends = ",".join(names)

    def __len__(self) -> int:
        return len(self._open)
