import behave

from jujubepass import declarations, ids
from jujubepass.answers import _answer_messages, _recovery
from jujubepass.limits import _admission, _limit_messages, _limits
from jujubepass.nodes import _dispatch, _node_messages
from jujubepass.routing import _routes
from standins import processes, system
from tests import small_engines, small_parts


@behave.given("a node whose only slot is in use and one queued request")
def step_one_slot(context):
    engines = [small_parts.Engine(name="e0", first_layer=0, end_layer=32, max_batch=1)]
    trial = small_engines.Trial(engines=engines, make_policies=make_policies)
    trial.run_until(1.0)
    (node,) = trial.nodes
    node.board.node.state = _node_messages.NodeState.READY
    account = declarations.Account(
        name=ids.AccountId("a"), template=ids.TemplateId("t"), key_hash="k"
    )
    node.board.configuration.declared.accounts[account.name] = account
    limits = _limits.LimitController(blackboard=node.board)
    admission = _dispatch.Dispatcher(controllers=[limits])
    context.post = lambda event: (
        admission.dispatch(event, trial.now)
        + node.dispatcher.dispatch(event, trial.now)
    )
    (context.start,) = context.post(make_prompt("r1"))
    assert not context.post(make_prompt("r2"))
    assert node.board.limits.queued == 1


def make_policies(source):
    return (
        _routes.PredictedTimePolicy(random_source=source),
        _recovery.ResumePolicy(min_stall_seconds=0.5),
    )


def make_prompt(request):
    return _answer_messages.PromptArrived(
        request=ids.RequestId(request),
        account=ids.AccountId("a"),
        model=small_engines.MODEL,
        prompt=("why",),
        max_tokens=10,
        priority=1,
        deadline=60.0,
    )


def end_attempt(context, end):
    started = context.start
    ended = _answer_messages.AttemptEnded(
        request=started.request, epoch=started.epoch, end=end
    )
    return context.post(ended)


@behave.when("the engines end the running answer before its last token")
def step_end_early(context):
    context.commands = end_attempt(context, _answer_messages.AnswerEnd.LENGTH)


@behave.then("the answer is restarted and the queued request stays queued")
def step_still_waits(context):
    assert not find_started(context.commands), context.commands
    (context.start,) = [
        each
        for each in context.commands
        if isinstance(each, _answer_messages.StartAttempt)
    ]
    assert context.start.request == "r1", context.start


def find_started(commands):
    kind = _limit_messages.StartQueued
    return [each.event.request for each in commands if isinstance(each, kind)]


@behave.when("the engines report the running answer complete")
def step_end_whole(context):
    context.commands = end_attempt(context, _answer_messages.AnswerEnd.STOP)


@behave.then("the queued request is started")
def step_started(context):
    assert find_started(context.commands) == ["r2"], context.commands


@behave.then("an account of any weight gets half the share at each next priority")
def step_priorities(context):
    for weight in (0.01, 1.0, 1_000.0):
        parts = [compute_weight(weight, priority) for priority in range(10)]
        assert parts == [2.0 * weight * 0.5**step for step in range(10)], parts


def compute_weight(weight, priority):
    account = declarations.Account(
        name=ids.AccountId("a"),
        template=ids.TemplateId("t"),
        key_hash="k",
        priority=priority,
        weight=weight,
    )
    return _admission.compute_weight(account)


@behave.given("a node process whose settings limit held bytes to one mebibyte")
def step_settings(context):
    context.system = system.System(
        first_port=context.first_port, settings={"limits": {"held_bytes": 1_048_576}}
    )
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=1)


@behave.then(
    'a prompt of {count:d} words is refused as "{code}" and a short one is not'
)
def step_long_prompt(context, count, code):
    refused = context.system.send_model_request("node-1", "why " * count)
    assert refused.status != 200 and refused.read_json()["code"] == code, refused
    processes.wait_for(
        lambda: (
            context.system.send_model_request("node-1", "why", max_tokens=1).status
            == 200
        ),
        "an answer to a short prompt",
    )
