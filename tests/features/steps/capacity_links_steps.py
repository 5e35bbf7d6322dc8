import logging
import random
import socket

import attrs
import behave
import trio
import trio.testing

from jujubepass.capacity import datagrams
from jujubepass.forwarding import clocks, tasks
from jujubepass.transport import _http_client
from tests import capacity_network

HOST = "127.0.0.1"
POLL_SECONDS = 0.05


@attrs.define
class Lines(logging.Handler):
    """Keep the messages of warnings."""

    messages: list = attrs.field(factory=list)

    def __attrs_pre_init__(self):
        super().__init__(logging.WARNING)

    def emit(self, record):
        self.messages.append(record.getMessage())

    __hash__ = logging.Handler.__hash__


class LoopbackNodes(capacity_network.Network):
    """Run the tasks of one failure domain's nodes, each with its own socket."""

    def __init__(self, *, first_port):
        self.first_port = first_port
        super().__init__(count=9, whole_domains=1)
        self.links = {
            each.name: datagrams.DatagramLink(
                controller=each.capacity, address=each.row.address
            )
            for each in self.list_domain()
        }
        self.scopes = {}

    def _make_row(self, number, domains):
        row = super()._make_row(number, domains)
        port = self.first_port + number
        return attrs.evolve(row, address=_http_client.Address(host=HOST, port=port))

    async def run_node(self, name):
        with trio.CancelScope() as self.scopes[name]:
            await tasks.run_with_restarts(self.links[name].run)

    async def wait_until(self, condition, seconds):
        with trio.move_on_after(seconds):
            while not condition():
                await trio.sleep(POLL_SECONDS)
        return condition()

    def knows_all(self, node):
        self.now = clocks.read_boot_clock()
        return not self.find_wrong(node, self.list_engines())


@behave.given("{count:d} nodes' tasks with UDP sockets")
def step_nodes(context, count):
    context.nodes = LoopbackNodes(first_port=context.first_port)
    assert len(context.nodes.list_domain()) == count


@behave.given(
    "{count:d} nodes' tasks with UDP sockets, of which one finds its port in use"
)
def step_nodes_in_use(context, count):
    step_nodes(context, count)
    context.node = context.nodes.list_domain()[-1]
    taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(taken.close)
    taken.bind((HOST, context.node.row.address.port))
    context.lines = Lines()
    logger = logging.getLogger("jujubepass.capacity")
    logger.addHandler(context.lines)
    context.add_cleanup(logger.removeHandler, context.lines)


@behave.when("each of these nodes starts requests")
def step_start(context):
    nodes = context.nodes
    for number, node in enumerate(nodes.list_domain()):
        for _ in range(1 + number):
            node.start(nodes.draw_engines())


def run_nodes(context, check):
    """Run the nodes' tasks until a check of them has ended."""

    async def run():
        async with trio.open_nursery() as nursery:
            for node in context.nodes.list_domain():
                nursery.start_soon(context.nodes.run_node, node.name)
            await check()
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("within {seconds:d} seconds each of them knows the use of all engines")
def step_all_know(context, seconds):
    nodes = context.nodes

    async def check():
        assert await nodes.wait_until(
            lambda: all(nodes.knows_all(each) for each in nodes.list_domain()), seconds
        )

    run_nodes(context, check)


@behave.when("one of them stops and random datagrams arrive at the others")
def step_stop_one(context):
    context.stopped = context.nodes.list_domain()[0]


@behave.then(
    "the others still know their use {seconds:d} seconds later, and count what they"
    " dropped"
)
def step_others_know(context, seconds):
    nodes, stopped = context.nodes, context.stopped
    others = [each for each in nodes.list_domain() if each is not stopped]

    async def check():
        # The sockets are bound anew.
        await trio.sleep(10.0 * POLL_SECONDS)
        assert await nodes.wait_until(
            lambda: all(nodes.knows_all(each) for each in nodes.list_domain()), seconds
        )
        nodes.scopes[stopped.name].cancel()
        nodes.kill(stopped.name)
        random_source = random.Random(2)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for size in (0, 1, 31, 68, 400, 1_200, 1_201, 9_000):
                for each in others:
                    target = HOST, each.row.address.port
                    sender.sendto(random_source.randbytes(size), target)
        await trio.sleep(seconds)
        now = clocks.read_boot_clock()
        for each in others:
            assert each.capacity.inbox.drops.total() >= 8, each.capacity.inbox.drops
            assert each.view.count_covered(now) == len(others)
            for engine in nodes.list_engines():
                use = each.view.find_use(engine, now)
                # The stopped node is taken for an average one.
                least = nodes.count_use(engine)[0]
                assert least <= use.running <= 2 * least, (use, least)

    run_nodes(context, check)


@behave.then(
    "within {seconds:d} seconds that node has said so once, and knows nothing of the"
    " others"
)
def step_in_use(context, seconds):
    nodes, node = context.nodes, context.node
    others = [each for each in nodes.list_domain() if each is not node]
    context.covered = []

    async def check():
        await trio.sleep(seconds)
        now = clocks.read_boot_clock()
        assert not node.view.is_known(now)
        for engine in nodes.list_engines():
            assert node.view.find_use(engine, now) is None
        context.covered = [each.view.count_covered(now) for each in others]

    run_nodes(context, check)
    told = [each for each in context.lines.messages if "UDP" in each]
    assert len(told) == 1, context.lines.messages


@behave.then("the others take it for an average node")
def step_covered(context):
    assert context.covered == [2, 2], context.covered


class Receiver:
    """Keep the times at which datagrams were read."""

    def __init__(self):
        self.read_at = []

    def receive(self, data, now):
        self.read_at.append(trio.current_time())


@behave.given("a socket on loopback at which {count:d} datagrams have arrived")
def step_arrived(context, count):
    context.count = count
    context.bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.bound.setblocking(False)
    context.bound.bind((HOST, 0))
    context.add_cleanup(context.bound.close)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(count):
            sender.sendto(b"x", context.bound.getsockname())


@behave.then("all of them are read within {seconds:g} seconds")
def step_all_read(context, seconds):
    receiver = Receiver()
    link = datagrams.DatagramLink(controller=receiver, address=None)

    async def receive():
        with trio.move_on_after(1.0):
            await link._receive(context.bound)

    # Only pauses take time on this clock.
    trio.run(receive, clock=trio.testing.MockClock(autojump_threshold=0.01))
    assert len(receiver.read_at) == context.count, len(receiver.read_at)
    lasted = receiver.read_at[-1] - receiver.read_at[0]
    assert lasted <= seconds, lasted
