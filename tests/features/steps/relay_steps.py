import behave
import trio

from jujubepass.forwarding import feeds
from jujubepass.relay import codec
from tests import relay_fleet

START_SECONDS = 14.0
# Keys are refused with an older configuration.
MAX_AGE_SECONDS = 3.0


@behave.given(
    "{count:d} nodes in {domains:d} failure domains, started within 0.3 seconds"
)
def step_fleet(context, count, domains):
    context.simulation = relay_fleet.Simulation(count=count, domains=domains)
    context.add_cleanup(context.simulation.close)
    context.domains = domains

    async def start(fleet):
        await fleet.run(2.0)
        fleet.configured_after_start = fleet.list_outdated()
        await fleet.run(START_SECONDS - 2.0)
        fleet.worst_age = 0.0
        fleet.measured_from = trio.current_time()
        fleet.measured_until = float("inf")

    context.simulation.do(start)


@behave.then("each node has the configuration 2 seconds after the start")
def step_configured(context):
    outdated = context.simulation.fleet.configured_after_start
    assert not outdated, outdated


@behave.when("the nodes run for {seconds:d} seconds")
def step_pass(context, seconds):
    async def wait(fleet):
        fleet.measured_from = trio.current_time()
        await fleet.run(seconds)
        fleet.measured_until = trio.current_time()

    context.simulation.do(wait)
    context.seconds = seconds


@behave.when("the configuration changes {count:d} times in {seconds:d} seconds")
def step_storm(context, count, seconds):
    async def change(fleet):
        fleet.measured_from = trio.current_time()
        for _ in range(count):
            fleet.configure()
            await fleet.run(seconds / count)

    context.simulation.do(change)


@behave.then("each node has the configuration {seconds:g} seconds later")
def step_later(context, seconds):
    async def wait(fleet):
        await fleet.run(seconds)
        fleet.measured_until = trio.current_time()
        return fleet.list_outdated()

    outdated = context.simulation.do(wait)
    assert not outdated, outdated


@behave.then(
    "the store was called at most {rate:d} times a second for each failure domain"
)
def step_rate(context, rate):
    calls = context.simulation.fleet.count_calls()
    allowed = rate * context.domains * context.seconds
    assert calls <= allowed, (calls, allowed)


@behave.then("the store was called at most {count:d} times for each failure domain")
def step_calls(context, count):
    calls = context.simulation.fleet.count_calls()
    assert calls <= count * context.domains, (calls, count * context.domains)


@behave.then("no second had more than {count:d} calls to the store")
def step_busiest(context, count):
    busiest = context.simulation.fleet.store.find_busiest_second()
    assert busiest <= count, busiest


def select_reader(fleet):
    return fleet.list_readers("d0")[:1]


def select_readers(fleet):
    return fleet.list_readers("d0")


def select_domain(fleet):
    return [each for each in fleet.nodes if each.domain == "d0"]


def select_all_but_one(fleet):
    return select_domain(fleet)[1:]


async def freeze(fleet, node):
    node.freeze()
    await trio.sleep(8.0)
    node.thaw()


async def kill(fleet, node):
    node.scope.cancel()


async def cut_from_store(fleet, node):
    fleet.store.refused.add(node.name)


async def cut_off(fleet, node):
    node.is_cut_off = True


# Selection of the nodes, what happens to them, and whether their own rows may be old.
FAULTS = {
    "a reader is killed": (select_reader, kill, True),
    "a reader is frozen for 8 seconds": (select_reader, freeze, True),
    "a reader is cut from the store": (select_reader, cut_from_store, False),
    "a reader is cut from its neighbors": (select_reader, cut_off, False),
    "all readers of a domain are killed": (select_readers, kill, True),
    "all readers of a domain are frozen for 8 seconds": (select_readers, freeze, True),
    "all readers of a domain are cut from the store": (
        select_readers,
        cut_from_store,
        False,
    ),
    "all but one node of a domain are cut from the store": (
        select_all_but_one,
        cut_from_store,
        False,
    ),
    "all nodes of a domain are cut from their neighbors": (
        select_domain,
        cut_off,
        False,
    ),
}


@behave.when(
    "{fault}, while the configuration changes each second for {seconds:d} seconds"
)
def step_fault(context, fault, seconds):
    select, harm, may_be_old = FAULTS[fault]

    async def run(fleet):
        harmed = select(fleet)
        assert harmed
        watched = [each for each in fleet.nodes if not may_be_old or each not in harmed]
        async with trio.open_nursery() as nursery:
            for node in harmed:
                nursery.start_soon(harm, fleet, node)
            for _ in range(seconds):
                fleet.configure()
                await fleet.run(1.0, watched=watched)

    context.simulation.do(run)


@behave.when("the store refuses a third of the nodes for {seconds:d} seconds")
def step_refuse(context, seconds):
    async def run(fleet):
        count = len(fleet.nodes) // 3
        chosen = fleet.random_source.sample(fleet.nodes, count)
        fleet.store.refused |= {each.name for each in chosen}
        await fleet.run(seconds)
        fleet.store.refused.clear()

    context.simulation.do(run)


@behave.when("the store is away for {seconds:d} seconds")
def step_away(context, seconds):
    async def run(fleet):
        fleet.store.is_available = False
        await fleet.run(seconds - 4.0)
        fleet.measured_from = trio.current_time()
        await fleet.run(4.0)
        fleet.measured_until = trio.current_time()
        fleet.calls_away = fleet.count_calls()
        fleet.store.is_available = True
        fleet.configure()

    context.simulation.do(run)


@behave.when(
    "the store returns from a copy that is {seconds:d} seconds old, and its writers"
    " write again"
)
def step_restore(context, seconds):
    async def run(fleet):
        fleet.store.copy()
        for _ in range(seconds):
            fleet.configure()
            await fleet.run(1.0)
        fleet.store.is_available = False
        await fleet.run(0.5)
        fleet.store.is_available = True
        fleet.store.restore()
        fleet.restored_version = fleet.store.version
        await fleet.run(0.5)
        fleet.configure()

    context.simulation.do(run)


@behave.then("each node has written its row again {seconds:d} seconds later")
def step_rows_again(context, seconds):
    async def wait(fleet):
        await fleet.run(seconds)
        return {
            row.key
            for row in fleet.store.tables["members"]
            if row.version > fleet.restored_version
        }

    written = context.simulation.do(wait)
    missing = {each.name for each in context.simulation.fleet.nodes} - written
    assert not missing, missing


@behave.then(
    "in its last 4 seconds away it was called at most {rate:d} times a second"
    " for each domain and {besides:d} times besides"
)
def step_away_rate(context, rate, besides):
    calls = context.simulation.fleet.calls_away
    allowed = 4 * (rate * context.domains + besides)
    assert calls <= allowed, (calls, allowed)


@behave.then("no other node's configuration was ever older than 3 seconds")
def step_age(context):
    assert context.simulation.fleet.worst_age <= MAX_AGE_SECONDS, (
        context.simulation.fleet.worst_age
    )


@behave.then("no node took its rows for newer than they were")
def step_true_ages(context):
    faults = context.simulation.fleet.list_faults()
    assert not faults, faults[:5]


@behave.when("a node's row is replaced by one that cannot be read")
def step_unreadable(context):
    async def write(fleet):
        fleet.store.write("members", fleet.nodes[2].name, {"renewal_seconds": "x"})
        await fleet.run(11.0)

    context.simulation.do(write)


@behave.then("the two other nodes are known and the row is counted")
def step_others_known(context):
    first = context.simulation.fleet.nodes[0]
    neighbors = {each.node for each in first.relay.blackboard.members.neighbors}
    assert {"n0", "n1"} <= neighbors, neighbors
    assert first.members_feed.unreadable_rows >= 1


@behave.then("queries with a wrong token, cut short or changed are rejected")
def step_rejected(context):
    query = codec.Query(
        nonce="n",
        node="n1",
        row_age_seconds=float("inf"),
        wait_seconds=0.0,
        positions={"plans": codec.Position(version=1, era=0, confirmed_at=None)},
    )

    async def ask(fleet):
        server = fleet.nodes[0].relay.server
        valid = codec.write_query(query, server.token)
        changed = bytearray(valid)
        changed[-2] ^= 1
        assert await server.answer(valid)
        for data in (
            codec.write_query(query, "another"),
            valid[:-1],
            valid[:10],
            b"",
            bytes(changed),
        ):
            try:
                await server.answer(data)
            except codec.MessageError:
                continue
            raise AssertionError(data)
        return server.rejected

    assert context.simulation.do(ask) == 5


@behave.then("a report for another query is rejected")
def step_wrong_report(context):
    changes = feeds.RowChanges(rows=(), version=1, confirmed_at=0.0)
    report = codec.Report(nonce="a", now=1.0, changes={"plans": changes})
    data = codec.write_report(report, "token")
    assert codec.read_report(data, "token", "a") == report
    try:
        codec.read_report(data, "token", "b")
    except codec.MessageError:
        return
    raise AssertionError("accepted")
