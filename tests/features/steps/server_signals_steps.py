import random
import time

import attrs
import behave
import trio

from jujubepass import ids
from jujubepass.forwarding import (
    backends,
    clocks,
    exchange,
    ordering,
    probing,
    settings,
)
from jujubepass.platform import wire
from standins import forwarding_system, processes
from tests import small_fleet

REQUEST = exchange.CallerRequest(
    request_id=ids.RequestId("r"),
    host="desk.example",
    method="POST",
    target="/drafts/new",
    key=None,
    arrived_at=0.0,
    timeout_seconds=None,
    resume_after=None,
    max_answer_tokens=0,
    fields=(),
    body=b"",
)


def read_head(status, *fields):
    return wire.HttpWire().read_answer(
        REQUEST, status, (("x-request-id", "r"), *fields), is_first=False
    )


class Clock:
    """Replace the boot clock by the fleet's."""

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.before = clocks.read_boot_clock

    def __enter__(self):
        clocks.read_boot_clock = lambda: self.fleet.now

    def __exit__(self, *_):
        clocks.read_boot_clock = self.before


def record(fleet, name, head):
    with Clock(fleet=fleet):
        fleet.signals.record(name, fleet.signals.find_run(name), head)


def list_again(fleet, name, listed=None, **changes):
    listed = listed or fleet.blackboard.backends.listed[name]
    ready = attrs.evolve(listed, state=backends.BackendState.READY, **changes)
    fleet.list_engines([ready])


def choose_without_load(fleet):
    return fleet.choice.choose(fleet.service, fleet.now)


@behave.given("a planned fleet with a drain bound of {bound:d} milliseconds")
def step_fleet(context, bound):
    context.fleet = small_fleet.make_planned_fleet()
    context.fleet.blackboard.bounds = settings.Bounds(drain_milliseconds=bound)
    context.bound_seconds = bound / 1_000
    context.first = choose_without_load(context.fleet).stages[0].engine


@behave.when("the first engine of a pipeline says that it leaves")
def step_leave(context):
    record(context.fleet, context.first, read_head(200, ("server-leaving", "1")))


@behave.when("the list names it as ready once more")
def step_list_ready(context):
    list_again(context.fleet, context.first)


@behave.then("it is in no pipeline once the bound has passed")
def step_left(context):
    fleet = context.fleet
    fleet.now += context.bound_seconds
    assert context.first not in choose_without_load(fleet).engines
    # Not even where nothing else could begin a pipeline.
    entries = {context.first}
    assert fleet.choice.choose(fleet.service, fleet.now, entries=entries) is None


@behave.when("a new run of it is listed")
def step_new_run(context):
    list_again(context.fleet, context.first, started_at=2)


@behave.then("it may be in a pipeline again")
def step_open(context):
    fleet = context.fleet
    assert fleet.choice.choose(fleet.service, fleet.now, entries={context.first})


@behave.when("the first engine of a pipeline refuses a request with Retry-After {text}")
def step_refuse(context, text):
    head = read_head(503, ("x-not-executed", "1"), ("retry-after", text))
    record(context.fleet, context.first, head)


@behave.then("it begins no pipeline for {seconds:g} seconds and is used afterwards")
def step_silent(context, seconds):
    fleet, began = context.fleet, context.fleet.now
    entries = {context.first}
    for share in (0.0, 0.5, 0.999):
        fleet.now = began + share * seconds
        found = fleet.choice.choose(fleet.service, fleet.now, entries=entries)
        assert (found is None) is (seconds > 0.0), (share, found)
    fleet.now = began + seconds
    assert fleet.choice.choose(fleet.service, fleet.now, entries=entries)


@behave.when(
    "the first engine refuses a request because of a later engine with Retry-After 3"
)
def step_refuse_later(context):
    fleet = context.fleet
    later = choose_without_load(fleet).stages[1]
    context.later = later.engine
    fields = (("retry-after", "3"), ("at-server", str(later.address)))
    record(fleet, context.first, read_head(503, ("x-not-executed", "1"), *fields))


@behave.then("neither begins a pipeline and the later one is in none")
def step_neither(context):
    fleet = context.fleet
    for name in (context.first, context.later):
        assert fleet.choice.choose(fleet.service, fleet.now, entries={name}) is None
    assert context.later not in choose_without_load(fleet).engines


@behave.then("the first one may run a later stage")
def step_later_stage(context):
    fleet = context.fleet
    assert not fleet.silences.is_silent(context.first, fleet.now)


class Control:
    """Count what is sent to engines."""

    def __init__(self):
        self.sent = 0

    async def read_report(self, engine):
        self.sent += 1
        raise AssertionError(engine)


@behave.then("it is not probed and not ordered to load layers")
def step_not_probed(context):
    fleet, control = context.fleet, Control()
    prober = probing.Prober(
        blackboard=fleet.blackboard,
        suspects=fleet.suspects,
        control=control,
        slowdowns=fleet.slowdowns,
        signals=fleet.signals,
    )

    async def probe():
        await prober.probe(context.first)
        await prober.probe_pipeline({context.first})

    with Clock(fleet=fleet):
        trio.run(probe)
    assert control.sent == 0
    assert not fleet.suspects.is_suspected(context.first, fleet.now)
    sender = ordering.OrderSender(
        blackboard=fleet.blackboard, control=control, silences=fleet.silences
    )
    engine = fleet.blackboard.backends.listed[context.first]
    fleet.list_engines([attrs.evolve(engine, held=None)])
    due = {each.name for each in sender._find_due(fleet.plan, fleet.now)}
    assert context.first not in due, due
    fleet.list_engines([engine])


class History:
    """Draw events for one fleet and remember what each engine said."""

    def __init__(self, *, seed):
        self.random_source = random.Random(seed)
        self.fleet = small_fleet.make_planned_fleet()
        self.bound_seconds = self.random_source.choice((0.5, 2.0, 4.0))
        self.fleet.blackboard.bounds = settings.Bounds(
            drain_milliseconds=round(1_000 * self.bound_seconds)
        )
        self.left_at = {}
        self.silent_until = {}
        self.entries = dict(self.fleet.blackboard.backends.listed)

    def step(self):
        name = self.random_source.choice(list(self.entries))
        listed = self.entries[name]
        run = name, listed.started_at
        kinds = ("leave", "silence", "run", "list", "lapse", "wait")
        event = self.random_source.choice(kinds)
        if name not in self.fleet.blackboard.backends.listed:
            # A server without an entry answers nothing until it is back or replaced.
            event = "run" if event == "run" else "list"
        if event == "leave":
            record(self.fleet, name, read_head(200, ("server-leaving", "1")))
            self.left_at.setdefault(run, self.fleet.now)
        elif event == "silence":
            seconds = self.random_source.uniform(0.1, 4.0)
            fields = (("x-not-executed", "1"), ("retry-after", f"{seconds:.3f}"))
            record(self.fleet, name, read_head(503, *fields))
            until = self.fleet.now + float(f"{seconds:.3f}")
            self.silent_until[run] = max(until, self.silent_until.get(run, 0.0))
        elif event == "run":
            self.entries[name] = attrs.evolve(listed, started_at=listed.started_at + 1)
            list_again(self.fleet, name, self.entries[name])
        elif event == "list":
            list_again(self.fleet, name, listed)
        elif event == "lapse":
            self.fleet.list_engines([], gone=[name])
        self.fleet.now += self.random_source.uniform(0.0, 0.4)
        self.fleet.list_engines([])

    def check(self):
        now = self.fleet.now
        pipeline = choose_without_load(self.fleet)
        if pipeline is None:
            return
        listed = self.fleet.blackboard.backends.listed
        for stage in pipeline.stages:
            run = stage.engine, listed[stage.engine].started_at
            left_at = self.left_at.get(run, now)
            assert now - left_at <= self.bound_seconds, (run, now - left_at)
        first = pipeline.stages[0].engine
        run = first, listed[first].started_at
        assert now >= self.silent_until.get(run, 0.0), (run, now)


@behave.given("{count:d} random histories of leaves, silences, new runs and lists")
def step_histories(context, count):
    context.histories = [History(seed=seed) for seed in range(1, count + 1)]


@behave.then("no pipeline uses a server that has left or begins at a silent one")
def step_check_histories(context):
    for history in context.histories:
        for _ in range(40):
            history.step()
            history.check()


def book(context, node="n1"):
    return context.system.send_request(
        node, "POST", forwarding_system.BOOKING_PATH, body=b"visit"
    )


def list_booking_servers():
    return [each.name for each in forwarding_system.MEMBERS if not each.kind]


def set_knobs(context, name, **values):
    processes.change_knobs(context.system.ports[name], **values)


def count_bookings(context, name):
    counts = context.system.read_counts(name)
    return sum(counts["runs"].values()) + counts["refused"]


@behave.when("a plain server says that it leaves while the list names it as ready")
def step_plain_leaves(context):
    for _ in range(4):
        book(context)
    context.server = max(
        list_booking_servers(), key=lambda each: count_bookings(context, each)
    )
    set_knobs(context, context.server, leaving=True)
    book(context)
    time.sleep(2.0)


@behave.then("it receives no booking more than 2 seconds later")
def step_no_booking(context):
    before = count_bookings(context, context.server)
    statuses = [book(context).status for _ in range(10)]
    assert statuses == [200] * 10, statuses
    assert count_bookings(context, context.server) == before


@behave.when("a plain server refuses a booking with Retry-After {seconds:d}")
def step_plain_refuses(context, seconds):
    for name in list_booking_servers():
        set_knobs(context, name, refuse=100, retry_after=str(seconds))
    context.server = None
    book(context)
    context.refused_at = time.time()
    refused = [
        name
        for name in list_booking_servers()
        if context.system.read_counts(name)["refused"]
    ]
    assert refused
    context.server = refused[0]
    for name in list_booking_servers():
        if name != context.server:
            set_knobs(context, name, refuse=0, retry_after="")


@behave.then(
    "it receives no booking from that node for {seconds:d} seconds,"
    " while others are served"
)
def step_silence_kept(context, seconds):
    before = count_bookings(context, context.server)
    while time.time() < context.refused_at + seconds - 0.3:
        book(context)
        time.sleep(0.05)
    assert count_bookings(context, context.server) == before


@behave.when("all plain servers refuse bookings with Retry-After {seconds:d}")
def step_all_refuse(context, seconds):
    for name in list_booking_servers():
        set_knobs(context, name, refuse=100, retry_after=str(seconds))
    for _ in range(len(list_booking_servers())):
        book(context)
    for name in list_booking_servers():
        set_knobs(context, name, refuse=0, retry_after="")


@behave.then(
    "a further booking is refused at once with a retry time of"
    " {least:d} to {most:d} seconds"
)
def step_told(context, least, most):
    began = time.monotonic()
    answer = book(context)
    assert time.monotonic() - began < 0.3
    assert answer.status == 503, answer
    context.retry_after = float(answer.headers["retry-after"])
    assert least <= context.retry_after <= most, context.retry_after


@behave.then("it is served after that time")
def step_served(context):
    time.sleep(context.retry_after)
    answer = book(context)
    assert answer.status == 200, answer
