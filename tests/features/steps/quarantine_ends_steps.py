import attrs
import behave
import trio

from jujubepass import ids
from jujubepass.forwarding import board, engine_ends, prompt_parts
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
    context.ends = engine_ends.EngineEnds(area=context.area)
    context.run = prompt_parts.EngineRun(
        engine=context.engine.name, started_at=context.engine.started_at
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


@behave.then("the end of the first one is confirmed")
def step_confirmed(context):
    assert context.ends.list_restarted() == [context.run]
