import behave

from standins import processes
from tests.features.steps import accepted_requests_steps

EVENTS = 20
# More than a request has attempts.
DROPPED_REQUESTS = 100.0


@behave.given("engines that close kept connections when the next stream arrives")
def step_close_kept(context):
    # Leaves an idle connection to each engine that streams begin at.
    assert context.system.request_stream("n1").status == 200
    for each in accepted_requests_steps.ENGINES:
        port = context.system.ports[each.name]
        processes.change_knobs(port, drop_kept=DROPPED_REQUESTS)


@behave.when("a caller requests a stream")
def step_request(context):
    context.events = EVENTS
    accepted_requests_steps.send_in_background(
        context, lambda: context.system.request_stream("n1", EVENTS)
    )


@behave.then("the stream ran once")
def step_ran_once(context):
    context.background.join()
    assert context.system.count_runs(context.system.last_request) == 1
