import re

import behave
import trio

from jujubepass.transport import _http_client
from standins import forwarding_system, processes
from tests import uncontrolled_clients

MEGABYTE = 1_000_000
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": uncontrolled_clients.CALLERS_BODY_BYTES,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
# A node that takes longer hangs: its callers have gone by then.
ANSWER_TIMEOUT_SECONDS = 5.0
SLOW_CLIENTS = 24
SLOW_START_INTERVAL_SECONDS = 0.3
SLOW_SEND_SECONDS = 1.5
SLOW_PIECES = 64


class System(forwarding_system.ForwardingSystem):
    """Start nodes whose settings tell the limits of their VM."""

    limits = ""

    def write_settings(self, name, domain, first_start):
        return super().write_settings(name, domain, first_start) + self.limits


@behave.given("a node on a VM with {megabytes:d} MB and {descriptors:d} descriptors")
def step_node(context, megabytes, descriptors):
    system = context.system = System(first_port=context.first_port)
    system.limits = (
        f"[limits]\nmemory_megabytes = {megabytes}\ndescriptors = {descriptors}\n"
    )
    context.add_cleanup(system.processes.close)
    system.start_all(nodes=1)
    system.configure(forwarding_system.make_configuration(3, limits=LIMITS))
    processes.wait_for(lambda: accepts_long_body(system), "the limits in force")
    context.pid = system.processes.get_pid("n1")


def accepts_long_body(system):
    path = forwarding_system.LOOKUP_PATH
    answer = system.send_request("n1", "GET", path, body=b"x" * 70_000)
    return answer.status == 200


@behave.when("clients with {kind} come to each listener of the node at once")
def step_crowd(context, kind):
    system = context.system
    if kind == "slow reading of long streams":
        make_answers_long(system)
    context.crowd = uncontrolled_clients.Crowd(
        process_id=context.pid,
        ports={
            listener: getattr(system.nodes["n1"], listener)
            for listener in uncontrolled_clients.LISTENERS
        },
    )
    context.crowd.run(uncontrolled_clients.KINDS[kind])
    for port in system.ports.values():
        processes.change_knobs(port, endless_request="", event_filler_bytes=0)
    print(f"connected: {context.crowd.connected}")


def make_answers_long(system):
    """Let engines write long events, and servers answers without end."""
    filler = uncontrolled_clients.EVENT_FILLER_BYTES
    for member in forwarding_system.MEMBERS:
        knobs = (
            {"event_filler_bytes": filler}
            if member.kind
            else {"endless_request": "body"}
        )
        processes.change_knobs(system.ports[member.name], **knobs)


@behave.then("the node has not been started again and holds less than {megabytes:d} MB")
def step_memory(context, megabytes):
    system = context.system
    output = system.processes.read_output("n1")
    assert not system.processes.has_exited("n1"), output
    assert system.processes.get_pid("n1") == context.pid
    peak, held = (
        system.processes.read_memory("n1", field) / MEGABYTE
        for field in ("VmHWM", "VmRSS")
    )
    print(f"peak {peak:.1f} MB, now {held:.1f} MB")
    assert peak < megabytes, f"peak {peak:.1f} MB, now {held:.1f} MB"


@behave.then("the node has had fewer than {count:d} descriptors open")
def step_descriptors(context, count):
    print(f"descriptors: {context.crowd.most_descriptors}")
    assert context.crowd.most_descriptors < count, context.crowd.most_descriptors


@behave.then("an ordinary request is answered at each listener of the node")
def step_answered(context):
    # The relay refuses a query without the node's token.
    for listener, status in (("readiness", 200), ("metrics", 200), ("relay", 403)):
        port = getattr(context.system.nodes["n1"], listener)
        path = uncontrolled_clients.PATHS[listener]
        found = call(port, path, {})
        assert found == status, (listener, found)
    headers = {
        "host": forwarding_system.HOST_NAME,
        "x-request-id": "n1-ordinary",
        "x-key": "ana-key-1",
        "x-deadline-ms": str(int(ANSWER_TIMEOUT_SECONDS * 1_000)),
    }
    port = context.system.nodes["n1"].callers
    found = call(port, forwarding_system.LOOKUP_PATH, headers)
    assert found == 200, found


def call(port, path, headers):
    """Return the status of an answer, or the error in place of one."""
    try:
        return processes.call(
            "GET", port, path, headers=headers, timeout_seconds=ANSWER_TIMEOUT_SECONDS
        ).status
    except _http_client.ClientError as error:
        return str(error)


@behave.when(
    "clients send bodies of {size:d} bytes slowly, one after another has begun"
)
def step_slow(context, size):
    context.statuses = {}

    async def send(port, number):
        """Send one prompt in equal parts; record the status of its answer."""
        await trio.sleep(number * SLOW_START_INTERVAL_SECONDS)
        stream = await trio.open_tcp_stream(processes.HOST, port)
        async with stream:
            length = f"content-length: {size}"
            await stream.send_all(
                uncontrolled_clients.write_head(
                    "callers", number, length, "connection: close"
                )
            )
            for _ in range(SLOW_PIECES):
                await stream.send_all(b"x" * (size // SLOW_PIECES))
                await trio.sleep(SLOW_SEND_SECONDS / SLOW_PIECES)
            received = b""
            while part := await stream.receive_some(65_536):
                received += part
        found = re.match(rb"HTTP/1.1 (\d+)", received)
        context.statuses[number] = int(found[1]) if found else received

    async def run():
        """Send all of them."""
        port = context.system.nodes["n1"].callers
        async with trio.open_nursery() as nursery:
            for number in range(SLOW_CLIENTS):
                nursery.start_soon(send, port, number)

    trio.run(run)


@behave.then("each of them is served")
def step_served(context):
    assert len(context.statuses) == SLOW_CLIENTS, context.statuses
    assert set(context.statuses.values()) == {200}, context.statuses
