import attrs
import behave
import trio

from jujubepass.nodes import _dispatch, _node_messages, _shell


@attrs.frozen
class Note:
    pass


class FailingController:
    def __init__(self):
        self.handled = []
        self.shell = None
        self.follow_ups = {}

    def list_handlers(self):
        return {_node_messages.Tick: self.fail, Note: self.record}

    def post_follow_up(self, event):
        if type(event) in self.follow_ups:
            self.shell.post(self.follow_ups[type(event)])

    def fail(self, event, now):
        self.post_follow_up(event)
        raise ValueError("a fault")

    def record(self, event, now):
        self.post_follow_up(event)
        self.handled.append(event)
        return ()


@behave.given("a shell whose controller fails on ticks")
def step_shell(context):
    context.controller = FailingController()
    dispatcher = _dispatch.Dispatcher(controllers=[context.controller])
    context.shell = _shell.Shell(dispatcher=dispatcher, nursery=None)
    context.controller.shell = context.shell


def run_in_trio(action):
    async def run():
        action()

    trio.run(run)


@behave.when("a timer posts a tick whose handler posts an event")
def step_timer(context):
    context.controller.follow_ups = {_node_messages.Tick: Note()}
    run_in_trio(lambda: context.shell.post_or_log(_node_messages.Tick()))


@behave.then("the event is handled and 1 fault is counted")
def step_handled(context):
    assert context.controller.handled == [Note()], context.controller.handled
    assert context.shell.faults == 1, context.shell.faults


@behave.when("a tick is posted by a task that waits for it")
def step_wait(context):
    context.fault = None
    try:
        run_in_trio(lambda: context.shell.post(_node_messages.Tick()))
    except ValueError as error:
        context.fault = error


@behave.then("the task sees the fault")
def step_fault(context):
    assert context.fault is not None


@behave.when("an event is posted whose handler posts a tick")
def step_follow_up(context):
    context.controller.follow_ups = {Note: _node_messages.Tick()}
    run_in_trio(lambda: context.shell.post(Note()))


@behave.then("the task that posted it sees no fault and 1 fault is counted")
def step_counted(context):
    assert context.controller.handled == [Note()], context.controller.handled
    assert context.shell.faults == 1, context.shell.faults
