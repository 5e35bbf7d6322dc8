"""Mailboxes through which commands reach the requests they answer."""

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
    """Hold the replies of one request until its caller's task takes them."""

    _sender: trio.MemorySendChannel[Reply]
    _receiver: trio.MemoryReceiveChannel[Reply]
    backends: str = ""

    def put(self, reply: Reply) -> None:
        """Add a reply."""
        self._sender.send_nowait(reply)

    async def receive_ready(self) -> list[Reply]:
        """Wait for a reply and take all that are ready."""
        replies = [await self._receiver.receive()]
        try:
            while True:
                replies.append(self._receiver.receive_nowait())
        except trio.WouldBlock:
            return replies


@attrs.define(kw_only=True)
class Mailboxes:
    """Hold the mailbox of each request in progress."""

    _open: dict[ids.RequestId, Mailbox] = attrs.field(factory=dict, init=False)

    def open(self, request: ids.RequestId) -> Mailbox:
        """Open the mailbox of a new request."""
        sender, receiver = trio.open_memory_channel[Reply](math.inf)
        mailbox = Mailbox(sender=sender, receiver=receiver)
        self._open[request] = mailbox
        return mailbox

    def close(self, request: ids.RequestId) -> None:
        """Forget a request."""
        self._open.pop(request, None)

    def put(self, reply: Reply) -> None:
        """Hand a reply to its request, if its caller still waits."""
        mailbox = self._open.get(reply.request)
        if mailbox is not None:
            mailbox.put(reply)

    def note_backends(
        self, request: ids.RequestId, names: typing.Iterable[str]
    ) -> None:
        """Keep which backend servers a request went to."""
        mailbox = self._open.get(request)
        if mailbox is not None:
            mailbox.backends = ",".join(names)

    def __len__(self) -> int:
        return len(self._open)
