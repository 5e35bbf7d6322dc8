"""Steps for moves of suspected requests, callers that leave, and many suspects."""

import functools
import time

import attrs
import behave
import trio

from jujubepass import ids
from jujubepass.forwarding import (
    backends,
    board,
    clocks,
    engines,
    exchange,
    feeds,
    moves,
)
from jujubepass.quarantine import controller, fingerprints, guard, suspects
from tests import crashing_fleet, small_fleet
from tests.features.steps import crashing_requests_fleet_steps, quarantine_steps

LEAVE_SECONDS = 0.03
LOOKUP = crashing_fleet.KINDS["lookup"]
MAX_DECISION_SECONDS = 0.1


class Control:
    """Count orders to move requests."""

    def __init__(self):
        self.orders = 0

    async def move_request(self, engine, request, pipeline):
        self.orders += 1
        return engines.MoveOutcome.MOVED


def track(fleet, own_guard, body):
    now = clocks.read_boot_clock()
    fleet.blackboard.configuration.confirmed_at = now + 30.0
    request = attrs.evolve(quarantine_steps.make_request(now), body=body)
    declared = fleet.blackboard.configuration.declarations
    admitted = exchange.Admitted(
        route=small_fleet.ROUTE,
        service=declared.services[small_fleet.SERVICE],
        account=declared.accounts["ana-key"],
        version=1,
        deadline=now + 20.0,
    )
    return guard.track(request, admitted)


def make_stream(fleet, own_guard, guarded):
    stream = small_fleet.make_watched_stream(
        small_fleet.choose(fleet), ids.RequestId("r"), None
    )
    stream.may_move = functools.partial(own_guard.may_move, guarded)
    stream.on_move = functools.partial(own_guard.record_move, guarded)
    return stream


def put_in_quarantine(quarantine, guarded, now):
    """Read a row in which other nodes hold enough ended runs against a request."""
    key = quarantine.fingerprints.make_key(guarded.identity)
    ended = frozenset(
        suspects.ServerRun(server=ids.BackendServerId(f"gone-{each}"), started_at=1)
        for each in range(suspects.MIN_ENDED_RUNS)
    )
    row = suspects.Suspect(key=key, version=1, ended=ended, depth=0)
    changes = feeds.Changes(items={str(key): row}, version=1, confirmed_at=now)
    quarantine.apply(changes, now)


@behave.when("a stream's request is put into quarantine and one of its engines fails")
def step_not_moved(context):
    fleet, context.orders = context.fleet, []

    async def main():
        own_guard = small_fleet.make_guard(fleet.blackboard)
        bad, sound = (track(fleet, own_guard, body) for body in (b"bad", b"sound"))
        put_in_quarantine(own_guard.quarantine, bad, clocks.read_boot_clock())
        for guarded in (bad, sound):
            control = Control()
            mover = moves.Mover(
                blackboard=fleet.blackboard,
                choice=fleet.choice,
                control=control,
                permits=small_fleet.make_permits(fleet.blackboard),
            )
            stream = make_stream(fleet, own_guard, guarded)
            with own_guard.watch(guarded, stream.pipeline.engines):
                # Not every engine has a substitute with the same layers.
                for stage in stream.pipeline.stages[1:]:
                    if not control.orders:
                        await mover.move(stream, frozenset({stage.engine}))
            context.orders.append(control.orders)

    quarantine_steps.run(main)


@behave.then("no order moves the stream, but one moves a sound stream")
def step_orders(context):
    assert context.orders == [0, 1], context.orders


@behave.when("a stream is moved from an engine that ends")
def step_moved(context):
    fleet = context.fleet
    own_guard = small_fleet.make_guard(fleet.blackboard)
    context.quarantine = own_guard.quarantine

    async def main():
        guarded = track(fleet, own_guard, b"moved")
        context.key = own_guard.quarantine.fingerprints.make_key(guarded.identity)
        names = sorted(fleet.blackboard.backends.listed)[:4]
        context.ended, leaving = names[0], names[1]
        listed = fleet.blackboard.backends.listed
        listed[leaving] = attrs.evolve(
            listed[leaving], state=backends.BackendState.DRAINING
        )
        with own_guard.watch(guarded, names[:2]):
            own_guard.record_move(guarded, {context.ended, leaving}, names[2:])
            assert set(guarded.server_runs) == set(names[2:]), guarded.server_runs
        now = clocks.read_boot_clock()
        for name in (context.ended, leaving):
            own_guard.quarantine.record_end(name, listed[name].started_at, now)

    quarantine_steps.run(main)


@behave.then(
    "the end is held against the stream's request, and one of a leaving engine is not"
)
def step_blamed(context):
    record = context.quarantine.blackboard.quarantine.records[context.key]
    assert {run.server for run in record.ended} == {context.ended}, record


@behave.when(
    "a lookup that crashes servers comes 4 times a second from callers that leave after"
    " 30 ms"
)
def step_leave(context):
    async def leave(fleet, node):
        with trio.move_on_after(LEAVE_SECONDS):
            await fleet.serve_call(node, LOOKUP)

    async def play(fleet, nursery):
        crashing_requests_fleet_steps.send_sound(fleet, nursery, 30.0)
        for _ in range(100):
            nursery.start_soon(leave, fleet, fleet.random_source.choice(fleet.nodes))
            await trio.sleep(0.25)

    crashing_requests_fleet_steps.simulate(context, play, LOOKUP)


@behave.when(
    "5000 requests are suspected, 500 of them for three ends and 50 parts as well"
)
def step_thousands(context):
    names = ids.NodeId("n1"), ids.FailureDomainId("a")
    area = board.Blackboard(node=names[0], failure_domain=names[1])
    quarantine = controller.Quarantine(blackboard=area)
    for number in range(5_000):
        identity = fingerprints.Identity(
            host="h", target=f"/{number}", account="", body=b""
        )
        keys = [quarantine.fingerprints.make_key(identity)]
        if number < 500:
            part = ids.PromptPartId(f"p{number % 50}")
            keys = [*suspects.list_part_keys(small_fleet.SERVICE, [part]), *keys]
        for run in range(3 if number < 500 else 1):
            server = ids.BackendServerId(f"s{number}-{run}")
            ended = suspects.ServerRun(server=server, started_at=1)
            quarantine.ends.record_break(ended, dict.fromkeys(keys, 0), 1.0)
            for key, depth in quarantine.ends.confirm(ended, 1.0).items():
                record = quarantine._records.find(key, 1.0)
                record.depth = depth
                record.ended[ended] = 1.0
    quarantine.check(2.0)
    began_at = time.process_time()
    quarantine.check(4.0)
    context.seconds = time.process_time() - began_at
    context.found = len(area.quarantine.quarantined)


@behave.then("a decision takes less than 0.1 seconds of processor time")
def step_decided(context):
    assert context.found >= 450, context.found
    assert context.seconds < MAX_DECISION_SECONDS, context.seconds


@behave.when("all servers are full as a lookup that crashes servers is in quarantine")
def step_full(context):
    async def play(fleet, nursery):
        nursery.start_soon(crashing_requests_fleet_steps.send, fleet, 4.0, 60.0, LOOKUP)
        await trio.sleep(1.0)
        while not all(each.list_quarantined_requests() for each in fleet.nodes):
            await trio.sleep(0.1)
        fleet.is_full = True
        context.full_since = trio.current_time()
        await trio.sleep(50.0)

    crashing_requests_fleet_steps.simulate(context, play, LOOKUP)


@behave.then("each trial has reached one server")
def step_one_each(context):
    fleet = context.fleet
    trials = sum(each.quarantine.trials for each in fleet.nodes)
    reached = [each for each in fleet.arrivals if each.at >= context.full_since]
    assert 1 <= len(reached) <= trials, (len(reached), trials)
