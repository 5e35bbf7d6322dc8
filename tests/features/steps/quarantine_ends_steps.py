import attrs
import behave
import trio

from jujubepass import ids
from jujubepass.forwarding import board
from jujubepass.quarantine import controller, suspects
from jujubepass.quarantine import ends as server_ends
from jujubepass.transport import _http_client
from standins import processes
from tests import small_fleet


@behave.when("a client connects to a port without a listener")
def step_connect(context):
    port = processes.Ports(first=context.first_port).allocate()
    address = _http_client.Address(host=processes.HOST, port=port)

    async def connect():
        try:
            await _http_client.Client().request("GET", address, "/")
        except _http_client.ClientError as error:
            return error

    context.error = trio.run(connect)


@behave.then("the error says that nothing listens there")
def step_refused(context):
    found = context.error
    assert isinstance(found, _http_client.RefusedConnectionError), repr(found)


@behave.given("an engine on which a request broke")
def step_broken(context):
    context.area = board.BackendArea()
    context.engine = small_fleet.make_engines()[0]
    context.area.listed[context.engine.name] = context.engine
    context.ends = server_ends.ServerEnds(area=context.area, known=())
    context.run = suspects.ServerRun(
        server=context.engine.name, started_at=context.engine.started_at
    )
    context.ends.record_break(context.run, {}, 1.0)
    assert context.ends.list_restarted() == []


@behave.when("an engine of another name is listed at its address")
def step_other(context):
    other = attrs.evolve(
        context.engine,
        name=ids.BackendServerId("other"),
        started_at=context.engine.started_at + 1,
    )
    context.area.listed[other.name] = other
    # As the controller of the list does with each change.
    context.area.revision += 1


@behave.then("the end of the first one is confirmed")
def step_confirmed(context):
    assert context.ends.list_restarted() == [context.run]


def record_ends(context, count, parts):
    """Record the ends of some engines under requests with these parts."""
    keys = make_keys(parts)
    for _ in range(count):
        context.ended += 1
        name = ids.BackendServerId(f"e{context.ended}")
        run = suspects.ServerRun(server=name, started_at=1)
        context.quarantine.record_break(keys, [run], 1.0)
        context.quarantine.record_end(name, 1, 1.0)


def make_keys(parts):
    names = tuple(map(ids.PromptPartId, parts))
    return suspects.list_part_keys(small_fleet.SERVICE, names)


def find_wait(context, parts, now):
    return context.quarantine.find_wait(make_keys(parts), now)


def start_quarantine(context):
    context.ended = 0
    context.quarantine = controller.Quarantine(
        blackboard=board.Blackboard(
            node=ids.NodeId("n1"), failure_domain=ids.FailureDomainId("centro")
        )
    )


def list_quarantined(context):
    return {each.part for each in context.quarantine.blackboard.quarantine.quarantined}


@behave.given(
    "a part that all prompts share, in quarantine for ends under two bad parts"
)
def step_shared(context):
    start_quarantine(context)
    # Three engines ran a sound request as well.
    record_ends(context, 3, ("shared", "sound", "bad-1"))
    record_ends(context, 4, ("shared", "bad-1"))
    record_ends(context, 7, ("shared", "bad-2"))
    assert list_quarantined(context) == {"shared"}, list_quarantined(context)


@behave.then(
    "a trial is due for sound prompts before it is due for those with bad parts"
)
def step_due_order(context):
    # The trial is due 2 s after the start of the quarantine.
    for late_seconds, parts, is_due in (
        (0.1, ("shared", "new"), True),
        (1.0, ("shared", "sound"), True),
        (1.0, ("shared", "sound", "bad-1"), False),
        (1.0, ("shared", "bad-2"), False),
        (3.1, ("shared", "bad-2"), True),
    ):
        wait = find_wait(context, parts, 3.0 + late_seconds)
        assert (wait <= 0.0) is is_due, (late_seconds, parts, wait)


@behave.when(
    "{ends:d} engines end under a bad part, {shared:d} of them with a sound one"
)
def step_many_ends(context, ends, shared):
    start_quarantine(context)
    record_ends(context, shared, ("bad", "sound"))
    record_ends(context, ends - shared, ("bad", "other"))


@behave.then("only the bad part is in quarantine")
def step_only_bad(context):
    assert list_quarantined(context) == {"bad"}, list_quarantined(context)
