import json
import time

import behave
import trio

from jujubepass.forwarding import feeds
from jujubepass.platform import store
from jujubepass.transport import _http_client, _http_server
from standins import processes


class SilentStore:
    """Answer only on connections that were opened after the silence began."""

    def __init__(self):
        self.silenced = None
        self.seen = set()
        self.used_silent = 0

    def begin_silence(self):
        self.silenced = set(self.seen)

    async def handle(self, request, responder):
        connection = id(responder._stream)
        self.seen.add(connection)
        if self.silenced is not None and connection in self.silenced:
            self.used_silent += 1
            await trio.sleep_forever()
        if self.silenced is None and request.path.startswith("/v1/rows-feed"):
            await trio.sleep_forever()
        body = {"rows": [], "ver": 7, "nowMs": 1_000, "hasMore": False}
        await responder.send(200, json.dumps(body).encode())


@behave.given("a store whose open connections fall silent")
def step_store(context):
    context.store = None


@behave.when(
    "a node waits {seconds:g} seconds for changes of a table and calls the store"
    " meanwhile"
)
def step_wait(context, seconds):
    async def run():
        """Serve the store, and call it before and after the silence begins."""
        silent = context.store = SilentStore()
        server = _http_server.Server(handler=silent.handle)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, processes.HOST, 0)
            address = _http_client.Address(host=processes.HOST, port=port)
            client = store.StoreClient(client=_http_client.Client(), address=address)
            await client.read_table("prompts")
            nursery.start_soon(follow, client)
            await trio.sleep(0.1)
            # Two connections, of which one is free, are open as the silence begins.
            await client.read_table("configuration")
            silent.begin_silence()
            context.began_at = time.monotonic()
            for _ in range(3):
                try:
                    await client.read_table("configuration")
                except feeds.FeedError:
                    continue
            with trio.move_on_after(seconds):
                while not hasattr(context, "changed_at"):
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    async def follow(client):
        """Wait for a change."""
        context.reply = await client.follow_table("prompts", 3, seconds)
        context.changed_at = time.monotonic()

    trio.run(run)


@behave.then("it has the changes within {seconds:g} seconds")
def step_changed(context, seconds):
    assert hasattr(context, "changed_at"), "no changes"
    assert context.changed_at - context.began_at < seconds
    assert context.reply.value["ver"] == 7


@behave.then("no connection from before the silence is used again")
def step_replaced(context):
    # The one call that found the silence.
    assert context.store.used_silent == 1, context.store.used_silent
