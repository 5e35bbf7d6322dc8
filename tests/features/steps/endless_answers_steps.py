import contextlib
import threading
import time

import behave

from jujubepass.transport import _http_client
from standins import forwarding_system, processes

ENGINES = tuple(each.name for each in forwarding_system.MEMBERS if each.kind)
SERVERS = ("s1", "s2")
FORMS = ("head", "interim heads", "body", "failure")
EVENTS = 20
SILENCE_SECONDS = 1.0
MEGABYTE = 1_000_000
OTHERS_INTERVAL_SECONDS = 0.1
MIN_OTHERS = 5
MAX_STREAMS = 10
# The time limit of the routes to the plain service, and a margin.
MAX_PLAIN_SECONDS = 1.2 + 0.3
MAX_OTHER_SECONDS = 1.0
CROWD_SECONDS = 4.0


def set_knobs(context, names, **changes):
    for name in names:
        processes.change_knobs(context.system.ports[name], **changes)


def send(context, node, method, path, request, **options):
    """Send a request; return its status, or 0 if its answer broke off."""
    with contextlib.suppress(_http_client.ClientError):
        return context.system.send_request(
            node, method, path, headers={"x-request-id": request}, **options
        ).status
    return 0


def record_memory(context):
    system = context.system
    context.memory = {name: system.processes.read_memory(name) for name in system.nodes}


@contextlib.contextmanager
def send_others(context, exchange):
    """Send other requests during the block and record their statuses."""
    stopping = threading.Event()

    def run():
        while not stopping.wait(OTHERS_INTERVAL_SECONDS):
            began_at = time.monotonic()
            context.others.append((exchange(), time.monotonic() - began_at))

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        stopping.set()
        thread.join()


def send_lookups(context, node):
    path = forwarding_system.LOOKUP_PATH
    return send_others(
        context, lambda: send(context, node, "GET", path, f"other-{time.time()}")
    )


def request_stream(context, node):
    """Request a short stream; return its status, or 0 if its answer broke off."""
    with contextlib.suppress(_http_client.ClientError):
        return context.system.request_stream(node, request_id=f"o-{time.time()}").status
    return 0


def list_endless(context, names, message="endless"):
    """Return the log lines of bytes without end that ended, or have begun."""
    return [
        line
        for name in names
        for line in context.system.read_log(name)
        if line["message"] == message
    ]


@behave.when(
    'the engines of a node\'s failure domain answer a stream with "{form}" without end'
)
def step_streams(context, form):
    record_memory(context)
    context.others = []
    set_knobs(context, ("e1", "e2", "e3"), endless_request=form)
    context.events = EVENTS

    def run():
        with contextlib.suppress(_http_client.ClientError):
            context.answers.append(context.system.request_stream("n1", EVENTS))

    context.answers = []
    with send_lookups(context, "n1"):
        for _ in range(MAX_STREAMS):
            context.background = threading.Thread(target=run)
            context.background.start()
            context.background.join()
            # The node may suspect those engines, and use the other domain's meanwhile.
            if list_endless(context, ENGINES, "endless begun"):
                break
        time.sleep(1.0)


@behave.when("a server answers a lookup and a booking with each form without end")
def step_plain(context):
    record_memory(context)
    context.others, context.exchanges = [], []
    for form in FORMS:
        for server, node, method, path in (
            ("s1", "n1", "GET", forwarding_system.LOOKUP_PATH),
            ("s2", "n2", "POST", forwarding_system.BOOKING_PATH),
        ):
            set_knobs(context, [server], endless_request=form)
            with send_others(context, lambda node=node: request_stream(context, node)):
                began_at = time.monotonic()
                status = send(context, node, method, path, f"{method} {form}")
                seconds = time.monotonic() - began_at
                context.exchanges.append((method, form, status, seconds))
                time.sleep(1.0)
            set_knobs(context, [server], endless_request="")
            wait_until_used(context, server, node)


def wait_until_used(context, server, node):
    """Wait until a node sends lookups to a server again."""
    requests = []

    def has_run():
        requests.append(f"again-{time.time()}")
        send(context, node, "GET", forwarding_system.LOOKUP_PATH, requests[-1])
        return requests[-1] in context.system.read_counts(server)["runs"]

    processes.wait_for(has_run, f"{server} used")


@behave.then("each of them has ended within its time limit")
def step_ended(context):
    for method, form, status, seconds in context.exchanges:
        assert seconds < MAX_PLAIN_SECONDS, context.exchanges
        # A large answer is passed on as it arrives and can only be broken off.
        if method == "GET" and form != "body":
            assert status == 200, context.exchanges
        elif method == "POST":
            assert status in (0, 502, 504), context.exchanges


@behave.then("no booking ran twice")
def step_once(context):
    endless = [line["request"] for line in list_endless(context, SERVERS)]
    for form in FORMS:
        request = f"POST {form}"
        runs = context.system.count_runs(request) + endless.count(request)
        assert runs == 1, (request, runs)


@behave.then("other requests were served at that node meanwhile")
def step_others(context):
    assert len(context.others) >= MIN_OTHERS, context.others
    for status, seconds in context.others:
        assert status == 200, context.others
        assert seconds < MAX_OTHER_SECONDS, context.others


@behave.then("the {kind} connections were closed within {seconds:d} seconds")
def step_closed(context, kind, seconds):
    names = ENGINES if kind == "engines'" else SERVERS
    begun = list_endless(context, names, "endless begun")
    assert begun, "no server was asked"
    processes.wait_for(
        lambda: len(list_endless(context, names)) >= len(begun),
        f"{len(begun)} connections that were closed",
    )
    for line in list_endless(context, names):
        assert line["seconds"] < seconds, line


@behave.then("the node's memory has grown by less than {megabytes:d} MB")
def step_memory(context, megabytes):
    for node, before in context.memory.items():
        peak = context.system.processes.read_memory(node, "VmHWM")
        grown = (peak - before) / MEGABYTE
        assert grown < megabytes, f"{node}: {grown:.0f} MB"


@behave.when('engines report with "{form}" without end while one of them is silent')
def step_reports(context, form):
    record_memory(context)
    context.others = []
    set_knobs(context, ENGINES, endless_report=form)
    with send_lookups(context, "n1"):
        thread = threading.Thread(target=lambda: request_stream(context, "n1"))
        thread.start()
        time.sleep(0.05)
        context.system.processes.suspend("e2")
        time.sleep(SILENCE_SECONDS)
        context.system.processes.resume("e2")
        thread.join()
        time.sleep(1.0)


@behave.when(
    "the engines of a failure domain are started again and answer orders with "
    '"{form}" without end'
)
def step_orders(context, form):
    record_memory(context)
    members = [each for each in forwarding_system.MEMBERS if each.name in ENGINES[:3]]
    for member in members:
        context.system.processes.kill(member.name)
    for member in members:
        context.system.start_member(member, endless_order=form)
    processes.wait_for(lambda: list_endless(context, ENGINES), "an order")
    time.sleep(1.0)
    set_knobs(context, ENGINES[:3], endless_order="")


@behave.when("the store answers with each form without end for {seconds:d} seconds")
def step_store(context, seconds):
    record_memory(context)
    for form in FORMS:
        processes.change_knobs(context.system.store_port, endless=form)
        time.sleep(seconds)
    processes.change_knobs(context.system.store_port, endless="")


@behave.when(
    '{count:d} streams at a node meet engines that answer with "{form}" without end'
)
def step_crowd(context, count, form):
    record_memory(context)
    set_knobs(context, ENGINES, endless_request=form)
    context.statuses = []

    def run(number):
        with contextlib.suppress(_http_client.ClientError):
            answer = context.system.request_stream(
                "n1",
                EVENTS,
                request_id=f"n1-crowd-{number}",
                request_timeout_seconds=CROWD_SECONDS,
            )
            context.statuses.append(answer.status)
            return
        context.statuses.append(0)

    threads = [threading.Thread(target=run, args=(each,)) for each in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    set_knobs(context, ENGINES, endless_request="")
    assert len(context.statuses) == count
    assert list_endless(context, ENGINES, "endless begun")


@behave.then("each of these streams has ended")
def step_crowd_ended(context):
    assert not set(context.statuses) - {0, 502, 503, 504}, context.statuses


@behave.then(
    "the node has not ended, and its memory has grown by less than {megabytes:d} MB"
)
def step_crowd_memory(context, megabytes):
    assert not context.system.processes.has_exited("n1")
    step_memory(context, megabytes)
