"""Steps for simulated nodes and servers that some requests crash."""

import functools
import hashlib
import json

import behave
import trio

from jujubepass import ids, reasons
from jujubepass.forwarding import admission, clocks
from jujubepass.quarantine import fingerprints, guard, sharing, suspects
from tests import crashing_fleet, quarantine_fleet, quarantine_store

SOUND_RATE = 15.0
WARM_SECONDS = 3.0
RECOVERY_SECONDS = 2 * crashing_fleet.CONTACT_SECONDS
MIN_ANSWERED_SHARE = 0.5
QUARANTINED = "request_quarantined"
LOOKUP = crashing_fleet.KINDS["lookup"]
MAX_SUSPECTS = 5_000
MAX_ROWS, MAX_ROWS_PER_NODE = 2_000, 20


@behave.given("{count:d} simulated nodes with plain servers")
def step_nodes(context, count):
    context.count = count


def simulate(context, play, *bad):
    """Run a function of a fleet in which some requests crash servers."""
    fleet = context.fleet = crashing_fleet.Fleet(count=context.count, bad=bad)
    context.bad = bad[0] if bad else None

    async def main():
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            context.began = trio.current_time()
            await play(fleet, nursery)
            context.ended = trio.current_time()
            nursery.cancel_scope.cancel()

    quarantine_fleet.run_simulation(main)


def send_sound(fleet, nursery, seconds):
    nursery.start_soon(fleet.send_calls, SOUND_RATE, seconds, crashing_fleet.draw_sound)


async def send(fleet, rate, seconds, call, nodes=None):
    await fleet.send_calls(rate, seconds, lambda source: call, nodes)


@behave.when(
    "a {kind} that crashes servers comes {rate:g} times a second for {seconds:g}"
    " seconds beside sound requests"
)
def step_bad(context, kind, rate, seconds):
    call = crashing_fleet.KINDS[kind]

    async def play(fleet, nursery):
        send_sound(fleet, nursery, seconds + WARM_SECONDS)
        await trio.sleep(WARM_SECONDS)
        await send(fleet, rate, seconds, call)

    simulate(context, play, call)


@behave.then(
    "later than 3 seconds after its third crash it reached no more than 3 servers"
)
def step_bound(context):
    late = context.fleet.list_late(context.bad.identity)
    assert len(late) <= crashing_fleet.ALLOWED_SENDS_AFTER, (
        f"{len(late)} sends, {len(context.fleet.ends)} ends: {late[:8]}"
    )


@behave.then("6 seconds after it half of the sound requests and more are answered")
def step_sound(context):
    fleet = context.fleet
    start = fleet.find_deadline(context.bad.identity) + crashing_fleet.CONTACT_SECONDS
    found = fleet.list_outcomes(start, context.ended)
    assert len(found) >= 20, len(found)
    share = sum(each.has_begun for each in found) / len(found)
    assert share >= MIN_ANSWERED_SHARE, share


@behave.then("no sound request and no part of a prompt is in quarantine")
def step_none(context):
    for node in context.fleet.nodes:
        assert not node.list_quarantined(), (node.name, node.list_quarantined())
        found = node.list_quarantined_requests()
        assert len(found) == 1, (node.name, found)


@behave.when(
    "a lookup that crashes servers comes 4 times a second and all nodes start again one"
    " by one"
)
def step_restarts(context):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, 30.0)
        await trio.sleep(WARM_SECONDS)
        nursery.start_soon(send, fleet, 4.0, 27.0, LOOKUP)
        for node in fleet.nodes:
            await trio.sleep(2.0)
            node.kill()
            await trio.sleep(0.5)
            nursery.start_soon(node.run)
        await trio.sleep(5.0)

    simulate(context, play, LOOKUP)


@behave.when(
    "a lookup that crashes servers comes to a node that the store refuses, and later to"
    " all"
)
def step_store_refuses(context):
    async def play(fleet, nursery):
        alone = fleet.nodes[:1]
        fleet.store.refused.add(alone[0].name)
        await send(fleet, 4.0, 10.0, LOOKUP, alone)
        assert alone[0].list_quarantined_requests()
        fleet.store.refused.clear()
        context.returned = trio.current_time()
        await send(fleet, 4.0, 20.0, LOOKUP)

    simulate(context, play, LOOKUP)


@behave.then(
    "later than 3 seconds after the store's return it reached no more than 3 servers"
)
def step_returned(context):
    start = context.returned + crashing_fleet.CONTACT_SECONDS
    late = [
        each
        for each in context.fleet.arrivals
        if each.cause is not None and each.at > start
    ]
    assert len(late) <= crashing_fleet.ALLOWED_SENDS_AFTER, late
    for node in context.fleet.nodes:
        assert node.list_quarantined_requests(), node.name


@behave.when(
    "a popular lookup comes {rate:g} times a second and 3 servers end together 4 times"
)
def step_popular(context, rate):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, 40.0)
        nursery.start_soon(send, fleet, rate, 40.0, crashing_fleet.POPULAR)
        for _ in range(4):
            await trio.sleep(6.0)
            for server in fleet.random_source.sample(fleet.list_servers(), 3):
                if server.is_up:
                    fleet.crash(server)
        await trio.sleep(12.0)

    simulate(context, play)


@behave.then("it is refused by the quarantine for no longer than 6 seconds")
@behave.then(
    "the popular one is refused by the quarantine for no longer than 6 seconds"
)
def step_popular_refused(context):
    identity = crashing_fleet.POPULAR.identity
    found = context.fleet.list_outcomes(context.began, context.ended, identity)
    assert len(found) >= 100, len(found)
    times = [each.at for each in found if each.reason == QUARANTINED]
    spans, since, before = [0.0], None, None
    for at in times:
        # Refusals within a contact time of each other are of one quarantine.
        if before is None or at - before > crashing_fleet.CONTACT_SECONDS:
            since = at
        spans.append(at - since)
        before = at
    print("refused", len(times), "of", len(found), "longest", max(spans))
    assert max(spans) <= RECOVERY_SECONDS, (max(spans), len(times), len(found))


@behave.then("it is in quarantine at no node in the end")
def step_popular_free(context):
    for node in context.fleet.nodes:
        found = node.list_quarantined_requests()
        assert not found, (node.name, found)


@behave.when(
    "a popular lookup comes 20 times a second beside a lookup that crashes servers 4"
    " times a second"
)
def step_beside(context):
    async def play(fleet, nursery):
        send_sound(fleet, nursery, 40.0)
        nursery.start_soon(send, fleet, 20.0, 40.0, crashing_fleet.POPULAR)
        await send(fleet, 4.0, 40.0, LOOKUP)

    simulate(context, play, LOOKUP)


@behave.when("a lookup that crashes servers becomes sound while it is in quarantine")
def step_becomes_sound(context):
    async def play(fleet, nursery):
        nursery.start_soon(send, fleet, 4.0, 60.0, LOOKUP)
        await trio.sleep(10.0)
        assert all(each.list_quarantined_requests() for each in fleet.nodes)
        fleet.bad.clear()
        # The trial after the first one is due 20 s later.
        await trio.sleep(25.0)
        context.statuses = [
            (await fleet.serve_call(node, LOOKUP))[0].status for node in fleet.nodes
        ]

    simulate(context, play, LOOKUP)


@behave.then("it is answered at all nodes after no more than {count:d} trials")
def step_released(context, count):
    assert set(context.statuses) == {200}, context.statuses
    trials = sum(each.quarantine.trials for each in context.fleet.nodes)
    assert 1 <= trials <= count, trials


@behave.when("only sound requests come for {seconds:g} seconds")
def step_only_sound(context, seconds):
    context.identified = 0
    compute_digest = fingerprints.Identity.compute_digest

    def count(identity):
        context.identified += 1
        return compute_digest(identity)

    async def play(fleet, nursery):
        nursery.start_soon(send, fleet, 20.0, seconds, crashing_fleet.POPULAR)
        await fleet.send_calls(SOUND_RATE, seconds, crashing_fleet.draw_sound)

    fingerprints.Identity.compute_digest = count
    try:
        simulate(context, play)
    finally:
        fingerprints.Identity.compute_digest = compute_digest


@behave.then(
    "no request was identified and no row of a suspect or a secret was written"
)
def step_no_cost(context):
    assert context.identified == 0, context.identified
    for table in (quarantine_store.TABLE, quarantine_store.SECRET_TABLE):
        assert not context.fleet.store.tables[table], table
    calls = [
        each
        for each in context.fleet.store.calls
        if each.table == quarantine_store.SECRET_TABLE
    ]
    assert not calls, calls


@behave.when("{count:d} requests break on {ends:d} servers that end for other reasons")
def step_many(context, count, ends):
    async def play(fleet, nursery):
        for number in range(count):
            node = fleet.nodes[number % len(fleet.nodes)]
            call = crashing_fleet.Call(target=f"/history/{number}")
            request = fleet._make_request(call)
            node.blackboard.configuration.confirmed_at = request.arrived_at
            admitted = node.services.admission_control.admit(
                request, clocks.read_boot_clock()
            )
            await record_end(node, request, admitted, f"gone-{number % ends}")
        await trio.sleep(30.0)

    simulate(context, play)


async def record_end(node, request, admitted, name):
    """Record that a request broke on a server that has ended."""
    guarded = guard.track(request, admitted)
    server = ids.BackendServerId(name)
    guarded.server_runs = {server: suspects.ServerRun(server=server, started_at=1)}
    node.services.guard.record_break(guarded, {server})
    node.services.guard.record_refused_connection(guarded, server)


@behave.then(
    "no node knows more than 5000 suspects, and 2000 rows and 20 a node are written at"
    " most"
)
def step_bounded(context):
    for node in context.fleet.nodes:
        assert len(node.blackboard.quarantine.records) <= MAX_SUSPECTS
    rows = context.fleet.store.find_rows(quarantine_store.TABLE)
    assert len(rows) > MAX_ROWS // 2, len(rows)
    most = MAX_ROWS + MAX_ROWS_PER_NODE * len(context.fleet.nodes)
    assert len(rows) <= most, len(rows)


@behave.when("a booking that crashes servers comes and all nodes know it")
def step_booking(context):
    call = crashing_fleet.KINDS["booking"]

    async def play(fleet, nursery):
        await send(fleet, 4.0, 10.0, call)
        assert all(each.list_quarantined_requests() for each in fleet.nodes)
        arrived = len(fleet.arrivals)
        context.refusals = []
        for node in fleet.nodes:
            reply, responder = await fleet.serve_call(node, call)
            seconds = trio.current_time() - reply.request.arrived_at
            context.refusals.append((reply, responder, seconds))
        assert len(fleet.arrivals) == arrived

    simulate(context, play, call)


@behave.then(
    "its row has neither its path, nor its body, nor a digest without the secret"
)
def step_rows(context):
    rows = context.fleet.store.find_rows(quarantine_store.TABLE)
    text = json.dumps({key: row.value for key, row in rows.items()})
    call = context.bad
    assert rows
    for word in (call.target, call.body, "ana"):
        assert f'"{word}"' not in text and f"/{word}" not in text, text
    identity = fingerprints.Identity(
        host="desk.example", target=call.target, account="ana", body=call.body.encode()
    )
    digest = identity.compute_digest().hex()
    assert digest[:32] not in text
    other = fingerprints.Fingerprints().make_key(identity)
    assert other.digest not in text
    nodes = context.fleet.nodes
    found = {each.quarantine.fingerprints.make_key(identity).digest for each in nodes}
    assert len(found) == 1 and found.pop() in text, found
    guessed = hashlib.sha256(call.body.encode()).hexdigest()
    assert guessed[:32] not in text


@behave.then("the secret is not among the rows of suspects")
def step_secret(context):
    store = context.fleet.store
    rows = store.find_rows(quarantine_store.TABLE)
    secret = store.find_rows(quarantine_store.SECRET_TABLE)[sharing.SECRET_KEY]
    text = secret.value["secret"]
    assert len(text) == 2 * fingerprints.SECRET_BYTES
    assert text not in json.dumps({key: row.value for key, row in rows.items()})


@behave.then("it is refused at once as not run, without a time to retry")
def step_refused(context):
    for reply, responder, seconds in context.refusals:
        assert (reply.status, reply.reason) == (503, QUARANTINED), reply
        assert responder.retry_after_seconds is None, responder
        assert seconds < 0.05, seconds


@behave.when(
    "a lookup that crashes servers is known to all nodes and they lose the store"
)
def step_known_and_lost(context):
    async def play(fleet, nursery):
        await send(fleet, 4.0, 10.0, LOOKUP)
        assert all(each.list_quarantined_requests() for each in fleet.nodes)

    simulate(context, play, LOOKUP)


@behave.then("their refusals of it have no time to retry, and those of others have one")
def step_withheld(context):
    stale = admission.Refusal(
        reason=reasons.RefusalReason.CONFIGURATION_STALE, retry_after_seconds=0.5
    )
    for node in context.fleet.nodes:
        control = node.services.admission_control
        for call, expected in ((LOOKUP, None), (crashing_fleet.POPULAR, 0.5)):
            request = quarantine_fleet.run_simulation(
                functools.partial(make_request, context.fleet, call)
            )
            account = control.find_account(request)
            refusal = node.services.guard.withhold_retry(request, account, stale)
            assert refusal.retry_after_seconds == expected, (node.name, call, refusal)


async def make_request(fleet, call):
    return fleet._make_request(call)
