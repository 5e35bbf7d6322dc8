"""Steps for simulated nodes and engines with parts that crash engines."""

import behave
import trio

from jujubepass.forwarding import replies
from jujubepass.platform import wire
from jujubepass.quarantine import suspects
from tests import quarantine_callers, quarantine_fleet, quarantine_store


@behave.given("{count:d} simulated nodes")
def step_nodes(context, count):
    context.fleet = quarantine_fleet.Fleet(count=count)


def simulate(context, play):
    """Run a function of the fleet, which has started, on a simulated clock."""
    fleet = context.fleet

    async def main():
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            context.began = trio.current_time()
            await play(fleet, nursery)
            context.ended = trio.current_time()
            nursery.cancel_scope.cancel()

    quarantine_fleet.run_simulation(main)


def send_sound(fleet, nursery, seconds, rate=15.0, nodes=None):
    draw = quarantine_callers.draw_sound
    nursery.start_soon(fleet.send, rate, seconds, draw, nodes)


# Guards against requests with one part in their prompts that crashed engine after
# engine, as nothing linked a crash to what the requests share.
@behave.when(
    "sound requests and {rate:g} a second with a bad part come at any of them for"
    " {seconds:g} seconds"
)
def step_bad_part(context, rate, seconds):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, seconds + 3.0)
        await trio.sleep(3.0)
        await fleet.send(rate, seconds, quarantine_callers.make_bad())

    simulate(context, play)


@behave.then(
    "3 seconds after the fifth end no more than 3 requests with the bad part reach"
    " engines"
)
def step_bound(context):
    late = context.fleet.list_late("bad")
    assert len(late) <= quarantine_fleet.ALLOWED_REQUESTS_AFTER, (
        len(late),
        len(context.fleet.ends),
    )


# The rule allows half; undisturbed sound requests all begin here.
MIN_BEGUN_SHARE = 0.5


@behave.then("6 seconds after it sound requests begin as elsewhere")
def step_sound_after(context):
    start = context.fleet.find_deadline("bad") + quarantine_fleet.CONTACT_SECONDS
    share = context.fleet.share_begun(start, context.ended)
    assert share >= MIN_BEGUN_SHARE, share


@behave.then("sound requests begin as elsewhere")
def step_sound(context):
    share = context.fleet.share_begun(context.ended - 5.0, context.ended)
    assert share >= MIN_BEGUN_SHARE, share


@behave.then("no sound part is in quarantine")
def step_no_sound(context):
    found = context.fleet.list_sound_quarantined()
    assert not found, found


@behave.then("the store was called no more often than {rate:d} times a second")
def step_calls(context, rate):
    fleet = context.fleet
    # The long waits for changes are those of all tables, and not counted here.
    calls = fleet.store.count_calls(context.began, context.ended)
    waits = len(fleet.nodes) * (2 + (context.ended - context.began) / 20.0)
    changes = len(fleet.store.tables[quarantine_store.TABLE]) * len(fleet.nodes)
    writes = calls - waits - changes
    assert writes <= rate * (context.ended - context.began), (writes, calls)


@behave.when("sound requests come and 4 engines end together 3 times")
def step_mass_end(context):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, 30.0)
        for _ in range(3):
            await trio.sleep(5.0)
            for engine in fleet.random_source.sample(list(fleet.engines.values()), 4):
                fleet.crash(engine)
        await trio.sleep(15.0)

    simulate(context, play)


@behave.when("sound requests come and all connections are reset {times:d} times")
def step_resets(context, times):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, 20.0)
        for _ in range(times):
            await trio.sleep(2.0)
            fleet.resets += 1
        await trio.sleep(5.0)

    simulate(context, play)


@behave.when("sound requests come to a node that is cut off for 10 seconds")
def step_cut_off(context):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, 18.0, nodes=fleet.nodes[:1])
        await trio.sleep(2.0)
        fleet.nodes[0].is_cut_off = True
        fleet.resets += 1
        fleet.store.refused.add(fleet.nodes[0].name)
        await trio.sleep(10.0)
        fleet.nodes[0].is_cut_off = False
        fleet.store.refused.clear()
        await trio.sleep(5.0)

    simulate(context, play)


@behave.then("no part is suspected")
def step_none_suspected(context):
    for node in context.fleet.nodes:
        assert not node.blackboard.quarantine.records, (
            node.blackboard.quarantine.records
        )
    assert not context.fleet.store.find_rows(quarantine_store.TABLE)


@behave.when("a bad part comes while the store refuses one of them")
def step_store_refuses(context):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, 40.0)
        await trio.sleep(3.0)
        fleet.store.refused.add(fleet.nodes[0].name)
        nursery.start_soon(fleet.send, 5.0, 30.0, quarantine_callers.make_bad())
        await trio.sleep(15.0)
        fleet.store.refused.clear()
        context.returned = trio.current_time()
        await trio.sleep(15.0)

    simulate(context, play)


@behave.then("the others keep the bound")
def step_others(context):
    names = {each.name for each in context.fleet.nodes[1:]}
    late = context.fleet.list_late("bad", names)
    assert len(late) <= quarantine_fleet.ALLOWED_REQUESTS_AFTER, late


@behave.then("soon after the store's return that node knows the part too")
@behave.then("soon after the store's return no node sends the part to engines")
def step_after_return(context):
    start = context.returned + quarantine_fleet.CONTACT_SECONDS
    late = [
        each
        for each in context.fleet.arrivals
        if "bad" in each.parts and each.at > start
    ]
    assert len(late) <= quarantine_fleet.ALLOWED_REQUESTS_AFTER, late
    for node in context.fleet.nodes:
        assert node.list_quarantined() == {"bad"}, node.name


@behave.when("a bad part comes while the store is away")
def step_store_away(context):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, 40.0)
        await trio.sleep(3.0)
        fleet.store.is_available = False
        nursery.start_soon(fleet.send, 5.0, 30.0, quarantine_callers.make_bad())
        await trio.sleep(10.0)
        fleet.store.is_available = True
        context.returned = trio.current_time()
        await trio.sleep(15.0)

    simulate(context, play)


@behave.when("30 requests a second with a bad part come for 4 seconds")
def step_many(context):
    async def play(fleet, nursery):
        await fleet.send(30.0, 4.0, quarantine_callers.make_bad())
        # All writes are done within a second without requests.
        fleet.bad_parts.clear()
        await trio.sleep(1.0)

    simulate(context, play)


@behave.then("some writes met others")
def step_conflicts(context):
    assert context.fleet.store.conflicts, "no write met another one"


@behave.then("each node knows the ends in the row of the part, and no others")
def step_agree(context):
    stored = context.fleet.store.find_rows(quarantine_store.TABLE)["drafts/bad"]
    ended = {tuple(each) for each in stored.value["ended"]}
    assert len(ended) >= suspects.MIN_ENDED_RUNS, ended
    for node in context.fleet.nodes:
        (record,) = (
            each
            for key, each in node.blackboard.quarantine.records.items()
            if getattr(key, "part", None) == "bad"
        )
        found = {(run.server, run.started_at) for run in record.ended}
        assert found == ended, (node.name, found ^ ended)


@behave.when("a bad part comes and all nodes start again after 10 seconds")
def step_restart(context):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, 26.0)
        await trio.sleep(3.0)
        nursery.start_soon(fleet.send, 5.0, 23.0, quarantine_callers.make_bad())
        await trio.sleep(10.0)
        fleet.restart_nodes()
        await trio.sleep(15.0)

    simulate(context, play)


@behave.when("a part that was sound turns bad after 61 seconds without a request")
def step_turns_bad(context):
    async def play(fleet, nursery):
        fleet.bad_parts.clear()
        send_sound(fleet, nursery, 100.0, 5.0)
        await fleet.send(5.0, 5.0, quarantine_callers.make_bad())
        await trio.sleep(64.0)
        fleet.bad_parts.add("bad")
        await fleet.send(5.0, 20.0, quarantine_callers.make_bad())

    simulate(context, play)


@behave.when("a bad part becomes sound while it is in quarantine")
def step_becomes_sound(context):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, 60.0)
        nursery.start_soon(fleet.send, 5.0, 60.0, quarantine_callers.make_bad())
        await trio.sleep(10.0)
        assert all(each.list_quarantined() for each in fleet.nodes)
        fleet.bad_parts.clear()
        # The trial after the first one is due 20 s later.
        await trio.sleep(20.0)

    simulate(context, play)


@behave.then("it is released at all nodes by the next trial")
def step_released(context):
    for node in context.fleet.nodes:
        found = node.list_quarantined()
        assert not found, (node.name, found, node.blackboard.quarantine.records)
    trials = sum(each.quarantine.trials for each in context.fleet.nodes)
    assert 1 <= trials <= quarantine_fleet.ALLOWED_REQUESTS_AFTER, trials


@behave.when(
    "a part in quarantine becomes sound and all engines end as its trial is due"
)
def step_engines_end(context):
    async def play(fleet, nursery):
        # No sound request runs any more as the engines end.
        send_sound(fleet, nursery, 3.0)
        await trio.sleep(3.0)
        nursery.start_soon(fleet.send, 5.0, 40.0, quarantine_callers.make_bad())
        while not all(each.list_quarantined() for each in fleet.nodes):
            await trio.sleep(0.1)
        fleet.bad_parts.clear()
        # The first trial is due 2 s after the start of the quarantine, the next one
        # 20 s later.
        await trio.sleep(1.5)
        for engine in fleet.engines.values():
            if engine.is_up:
                fleet.crash(engine)
        await trio.sleep(12.0)

    simulate(context, play)


@behave.when("a bad part comes once a second for {seconds:g} seconds")
def step_long(context, seconds):
    async def play(fleet, nursery):
        await fleet.send(1.0, seconds, quarantine_callers.make_bad())

    simulate(context, play)


@behave.then("it was tried 3 times, each later than the one before")
def step_tried(context):
    fleet = context.fleet
    trials = sum(each.quarantine.trials for each in fleet.nodes)
    assert trials == 3, trials
    times = [each.at for each in fleet.arrivals]
    late = fleet.list_late("bad")
    assert len(late) <= quarantine_fleet.ALLOWED_REQUESTS_AFTER, late
    second, third = times[-2] - times[-3], times[-1] - times[-2]
    # A trial begins with the first request after its time, some seconds at most.
    assert 20.0 <= second <= 35.0, times
    assert 120.0 <= third <= 135.0, times


@behave.when("a single request with a bad part comes")
def step_single(context):
    async def play(fleet, nursery):
        node = fleet.nodes[0]
        request = fleet._make_request(
            quarantine_callers.make_bad()(fleet.random_source)
        )
        reply = replies.Reply(
            request=request,
            wire=wire.HttpWire(),
            responder=quarantine_callers.Responder(),
        )
        await fleet._serve(node, request, reply)
        context.reply = reply

    simulate(context, play)


@behave.then("it has ended no more than 2 engines")
def step_two_engines(context):
    assert 1 <= len(context.fleet.ends) <= 2, context.fleet.ends
    assert context.reply.reason == "outcome_unknown", context.reply


@behave.when("a bad part comes and all nodes know it")
def step_known(context):
    async def play(fleet, nursery):
        await fleet.send(5.0, 10.0, quarantine_callers.make_bad())
        assert all(each.list_quarantined() for each in fleet.nodes)
        arrived = len(fleet.arrivals)
        context.refusals = []
        for node in fleet.nodes:
            request = fleet._make_request(("system", "bad", "new"))
            responder = quarantine_callers.Responder()
            reply = replies.Reply(
                request=request, wire=wire.HttpWire(), responder=responder
            )
            await fleet._serve(node, request, reply)
            seconds = trio.current_time() - request.arrived_at
            context.refusals.append((reply, responder, seconds))
        assert len(fleet.arrivals) == arrived

    simulate(context, play)


@behave.then("a request with it is refused at once with 503 and a retry time")
def step_refused(context):
    for reply, responder, seconds in context.refusals:
        assert (reply.status, reply.reason) == (503, "prompt_quarantined"), reply
        assert 1.0 <= responder.retry_after_seconds <= 30.0, responder
        assert seconds < 0.05, seconds


@behave.when("all engines are full as a bad part is in quarantine")
def step_full(context):
    async def play(fleet, nursery):
        nursery.start_soon(fleet.send, 5.0, 60.0, quarantine_callers.make_bad())
        while not all(each.list_quarantined() for each in fleet.nodes):
            await trio.sleep(0.1)
        fleet.is_full = True
        await trio.sleep(50.0)

    simulate(context, play)
