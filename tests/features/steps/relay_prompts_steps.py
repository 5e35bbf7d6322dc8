import itertools

import behave
import trio

from tests.features.steps import relay_steps

PARTS = 5
# Each seventh write deletes a row.
DELETION_INTERVAL = 7


def make_writes():
    """Yield keys and values of new, changed and deleted rows."""
    for number in itertools.count(1):
        is_deletion = number % DELETION_INTERVAL == 0
        value = None if is_deletion else {"ended": [[f"e{number}", number]]}
        yield f"drafts/part-{number % PARTS}", value


async def write_rows(fleet, count, interval):
    for key, value in itertools.islice(make_writes(), count):
        fleet.write_prompt(key, value)
        await fleet.run(interval)


@behave.when("{count:d} rows of suspected parts are written in {seconds:d} seconds")
def step_write(context, count, seconds):
    async def write(fleet):
        fleet.measured_from = trio.current_time()
        await write_rows(fleet, count, seconds / count)

    context.simulation.do(write)
    context.watched = context.simulation.fleet.nodes


@behave.when(
    "{fault}, while a row of a suspected part is written each second for {count:d}"
    " seconds"
)
def step_write_with_fault(context, fault, count):
    select, harm, may_be_old = relay_steps.FAULTS[fault]

    async def run(fleet):
        harmed = select(fleet)
        assert harmed
        async with trio.open_nursery() as nursery:
            for node in harmed:
                nursery.start_soon(harm, fleet, node)
            await write_rows(fleet, count, 1.0)
        return [each for each in fleet.nodes if not may_be_old or each not in harmed]

    context.watched = context.simulation.do(run)


@behave.then("each node has each row within {seconds:d} seconds")
@behave.then("each other node has each row within {seconds:d} seconds")
def step_known(context, seconds):
    async def wait(fleet):
        await fleet.run(seconds)
        fleet.measured_until = trio.current_time()
        return fleet.find_worst_delay(context.watched)

    delay, node, written_at = context.simulation.do(wait)
    assert delay <= seconds, (delay, node, written_at)


@behave.then("the table was read at most {count:d} times for each failure domain")
def step_reads(context, count):
    calls = context.simulation.fleet.count_calls("prompts")
    assert calls <= count * context.domains, (calls, count * context.domains)
