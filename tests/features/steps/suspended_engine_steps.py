import time

import behave
import trio

from standins import path_engine

REQUEST = "r1"


class CheckedEngine(path_engine.Engine):
    """Find all stages, or none, after a time in which the process does not run."""

    def __init__(self, *, seconds, missing):
        arguments = path_engine.Arguments(name="e1", service="drafts", port=1, store=1)
        super().__init__(arguments=arguments)
        self.seconds, self.missing = seconds, missing
        self._pipelines[REQUEST] = []

    async def _find_missing_stage(self, stages, request_id):
        # The event loop stands still, as in a suspended process.
        time.sleep(self.seconds)
        await trio.sleep(0)
        return self.missing


def check_stages(*, seconds, missing):
    """Return whether an engine goes on with a stream, and after which time."""
    began_at = time.monotonic()
    try:
        engine = CheckedEngine(seconds=seconds, missing=missing)
        trio.run(engine._wait_for_pipeline, REQUEST)
    except trio.BrokenResourceError:
        return False, time.monotonic() - began_at
    return True, time.monotonic() - began_at


@behave.when(
    "an engine of a pipeline is suspended for {seconds:g} seconds inside a check of "
    "its stages"
)
def step_suspended(context, seconds):
    context.outcome = check_stages(seconds=seconds, missing=None)


@behave.then("it goes on with the stream")
def step_goes_on(context):
    assert context.outcome[0], context.outcome


@behave.when("a stage of the pipeline is missing")
def step_missing(context):
    context.outcome = check_stages(seconds=0.0, missing="127.0.0.1:1")


@behave.then("it breaks the stream off within {seconds:d} seconds")
def step_breaks_off(context, seconds):
    goes_on, lasted = context.outcome
    assert not goes_on and lasted < seconds, context.outcome
