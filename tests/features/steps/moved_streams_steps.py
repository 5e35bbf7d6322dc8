import behave
import trio

from jujubepass import ids
from jujubepass.capacity import engine_index, own_use
from jujubepass.forwarding import (
    engines,
    evacuation,
    moves,
    probing,
    stall_watch,
    stream_timeouts,
    suspicion,
)
from standins import processes
from tests import small_fleet
from tests.features.steps import accepted_requests_steps, quarantine_steps

ORDER_SECONDS = 0.09
LATE_SECONDS = 0.5


class Mover:
    """Take some time for each move, and count those at once."""

    def __init__(self):
        self.running = self.most = self.moves = 0

    async def move(self, stream, avoided):
        self.running += 1
        self.moves += 1
        self.most = max(self.most, self.running)
        await trio.sleep(ORDER_SECONDS)
        self.running -= 1
        return True


class EndingControl:
    """Let a stream end while the order to move it is on its way."""

    def __init__(self):
        self.orders = 0
        self.leaves = None

    async def move_request(self, engine, request, pipeline):
        self.orders += 1
        self.leaves.set()
        await trio.sleep(0.01)
        return engines.MoveOutcome.MOVED


class Control:
    """Leave requests for reports unanswered."""

    async def read_report(self, engine):
        await trio.sleep_forever()


async def drain_during_stream(fleet, mover):
    prober = probing.Prober(
        blackboard=fleet.blackboard,
        suspects=fleet.suspects,
        control=Control(),
        slowdowns=fleet.slowdowns,
        signals=fleet.signals,
    )
    stalls = stall_watch.StallWatch(
        blackboard=fleet.blackboard, suspects=fleet.suspects, prober=prober, mover=mover
    )
    leaving = evacuation.Evacuation(
        blackboard=fleet.blackboard, stalls=stalls, mover=mover
    )
    pipeline = small_fleet.choose(fleet)
    engine = pipeline.stages[-1].engine
    fleet.blackboard.backends.draining_since[engine] = trio.current_time()
    reason = suspicion.SuspicionReason.UNRESPONSIVE
    fleet.suspects.suspect(engine, reason, trio.current_time())
    timeouts = stream_timeouts.make_stall_timeouts(small_fleet.ROUTE)
    with trio.move_on_after(0.5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stalls.run)
            nursery.start_soon(leaving.run)
            watching = stalls.watch(
                pipeline, ids.RequestId("r"), timeouts, is_repeatable=True
            )
            with watching:
                await trio.sleep_forever()


async def end_during_move(fleet, control):
    mover = moves.Mover(
        blackboard=fleet.blackboard,
        choice=fleet.choice,
        control=control,
        permits=small_fleet.make_permits(fleet.blackboard),
    )
    stalls = stall_watch.StallWatch(
        blackboard=fleet.blackboard, suspects=fleet.suspects, prober=None, mover=mover
    )
    pipeline = small_fleet.choose(fleet)
    # Not every engine has a substitute with the same layers.
    for stage in pipeline.stages[1:]:
        control.leaves = trio.Event()
        async with trio.open_nursery() as nursery:
            stream = await nursery.start(
                run_stream, fleet, stalls, pipeline, control.leaves
            )
            await mover.move(stream, frozenset({stage.engine}))
            control.leaves.set()


async def run_stream(fleet, stalls, pipeline, leaves, task_status):
    """Run a stream until its caller leaves."""
    timeouts = stream_timeouts.make_stall_timeouts(small_fleet.ROUTE)
    watching = stalls.watch(pipeline, ids.RequestId("r"), timeouts, is_repeatable=True)
    with watching as stream:
        fleet.choice.record_start(pipeline)
        task_status.started(stream)
        await leaves.wait()
        fleet.choice.record_end(stream.pipeline, was_prefilled=False)


@behave.when("a stream ends while an order moves it to another engine")
def step_end_during_move(context):
    index = engine_index.EngineIndex(blackboard=context.fleet.blackboard)
    context.fleet.choice.recorder = own_use.OwnUse(index=index)
    context.control = EndingControl()
    quarantine_steps.run(lambda: end_during_move(context.fleet, context.control))


@behave.then("no request is left in the counts, here or for other nodes")
def step_none_left(context):
    choice = context.fleet.choice
    assert context.control.orders, "no order"
    assert choice.demand.streams == 0, choice.demand
    used = {name: n for name, n in choice._running.items() if n}
    assert not used, used
    assert not choice.recorder.take_snapshot(1.0).uses


@behave.when("an engine that a stream uses drains and becomes unresponsive")
def step_drain(context):
    context.mover = Mover()
    quarantine_steps.run(lambda: drain_during_stream(context.fleet, context.mover))


@behave.then("the stream was moved by one order at a time")
def step_one_at_a_time(context):
    assert context.mover.moves, "no move"
    assert context.mover.most == 1, (context.mover.most, context.mover.moves)


@behave.given("engines that carry out moves half a second late")
def step_late_moves(context):
    for each in accepted_requests_steps.ENGINES:
        port = context.system.ports[each.name]
        processes.change_knobs(port, move_delay_seconds=LATE_SECONDS)


@behave.then("the stream ran at most twice")
def step_at_most_twice(context):
    context.background.join()
    assert context.system.count_runs(context.system.last_request) <= 2


@behave.then("an order to move the stream was given up")
def step_given_up(context):
    context.background.join()
    outcomes = [
        line["outcome"]
        for line in context.system.read_log("n1")
        if line["message"] == "attempted to move a request"
        and line["request"] == context.system.last_request
    ]
    assert any(each.startswith("unclear") for each in outcomes), outcomes


@behave.then("the stream ran once and was moved")
def step_moved(context):
    system = context.system
    assert system.count_runs(system.last_request) == 1
    engines = [each.name for each in accepted_requests_steps.ENGINES]
    moves = {
        name: system.read_counts(name)["moves"]
        for name in engines
        if processes.can_connect(system.ports[name])
    }
    assert any(moves.values()), moves
