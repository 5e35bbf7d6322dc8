import unittest.mock

import behave
import trio
import trio.testing

from jujubepass.forwarding import (
    clocks,
    evacuation,
    ordering,
    planning,
    probing,
    stall_watch,
)
from tests import profiles


# Guards against checks of all engines ten times a second at each node.
@behave.when("plans and orders are checked for {seconds:d} seconds without a change")
def step_check_unchanged(context, seconds):
    fleet = context.fleet
    context.sender = ordering.OrderSender(
        blackboard=fleet.blackboard, control=None, silences=fleet.silences
    )
    context.checks = 10 * seconds

    def check():
        for _ in range(context.checks):
            assert not fleet.wait(0.1)
            assert not list(context.sender._find_due(fleet.plan, fleet.now))

    check()
    context.check_calls = profiles.count_function_calls(check)


@behave.then("a check takes at most {count:d} function calls")
def step_check_calls(context, count):
    calls = context.check_calls / context.checks
    assert calls <= count, calls


def make_periodic_tasks(fleet):
    prober = probing.Prober(
        blackboard=fleet.blackboard,
        suspects=fleet.suspects,
        control=None,
        slowdowns=fleet.slowdowns,
        signals=fleet.signals,
    )
    stalls = stall_watch.StallWatch(
        blackboard=fleet.blackboard, suspects=fleet.suspects, prober=prober, mover=None
    )
    return [
        planning.Planning(
            blackboard=fleet.blackboard, controller=fleet.planner, table=None
        ),
        ordering.OrderSender(
            blackboard=fleet.blackboard, control=None, silences=fleet.silences
        ),
        prober,
        stalls,
        evacuation.Evacuation(blackboard=fleet.blackboard, stalls=stalls, mover=None),
    ]


# Guards against timers of their own for each task, each of which costs a wake-up.
@behave.when("the node's periodic tasks run for {seconds:d} seconds without a request")
def step_idle(context, seconds):
    tasks = make_periodic_tasks(context.fleet)
    wake_ups = profiles.WakeUps()

    async def run():
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for number, task in enumerate(tasks):
                    nursery.start_soon(run_later, task, 0.013 * number)

    async def run_later(task, delay):
        await trio.sleep(delay)
        await task.run()

    clock = trio.testing.MockClock(autojump_threshold=0.0)
    with unittest.mock.patch.object(clocks, "read_boot_clock", trio.current_time):
        trio.run(run, clock=clock, instruments=[wake_ups])
    # With this clock each wake-up takes a second, idle wait.
    context.wake_ups = wake_ups.count / 2 / seconds


@behave.then("it wakes up at most {count:d} times a second")
def step_wake_ups(context, count):
    assert context.wake_ups <= count, context.wake_ups
