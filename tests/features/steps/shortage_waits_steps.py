"""Steps for waits for places at a node, with fakes of the view and of places."""

import collections
import contextlib
from unittest import mock

import behave
import trio
import trio.testing

from jujubepass import reasons
from jujubepass.forwarding import (
    admission,
    clocks,
    exchange,
    sending,
    stream_exchange,
)
from jujubepass.limits import _retry_budget
from jujubepass.shortage import entries
from tests import shortage_node, small_fleet
from tests.features.steps import fleet_refusal_steps


def arrive(count):
    async def act(trial):
        for number in range(count):
            trial.nursery.start_soon(trial.wait, f"r{number}")
        await trio.sleep(0.001)

    return act


def sleep(seconds):
    async def act(trial):
        await trio.sleep(seconds)

    return act


async def start_own(trial):
    """Let one stream of this node run when the places become scarce."""
    trial.places.free = 1.0
    await trial.wait(shortage_node.OWN_STREAM)
    trial.places.free = 0.0
    await trio.sleep(0.26)


async def end_own(trial):
    trial.choices = 0
    trial.gate.release(trial.progresses[shortage_node.OWN_STREAM].entry)


@behave.given("a node of a domain without free places, and {count:d} waiting requests")
def step_waiting(context, count):
    context.trial, context.count = shortage_node.Trial(), count
    context.actions = [start_own, arrive(count)]


@behave.given("a node that does not use the view for its service")
def step_unused(context):
    context.trial, context.actions = shortage_node.Trial(uses_view=False), []


@behave.given("a node whose view is unknown")
def step_unknown_view(context):
    context.trial, context.actions = shortage_node.Trial(), []
    context.trial.view.is_known = False


@behave.when("{count:d} model requests arrive there")
def step_arrive(context, count):
    context.actions.append(arrive(count))


@behave.when("the callers of {count:d} of them leave")
def step_leave(context, count):
    async def leave(trial):
        for number in range(count):
            trial.scopes[f"r{number}"].cancel()
        await trio.sleep(0.001)

    context.actions.append(leave)


@behave.then("{count:d} requests wait, here and in the counts for other nodes")
def step_count(context, count):
    async def check(trial):
        counts = [
            len(trial.gate.queue.waiting),
            sum(trial.gate.count_waiting().values()),
            sum(trial.recorder.waiting.values()),
        ]
        assert counts == [count] * 3, counts
        assert trial.recorder.arrivals == context.count + 1, trial.recorder.arrivals

    context.actions.append(check)
    if count == 0:
        context.trial.run(*context.actions)


@behave.when("the node stops")
def step_stop(context):
    async def stop(trial):
        for scope in trial.scopes.values():
            scope.cancel()
        await trio.sleep(0.001)

    context.actions.append(stop)


@behave.when("an own stream ends")
def step_end(context):
    context.actions += [end_own, sleep(0.001)]


@behave.then(
    "{count:d} of them starts at once, after {choices:d} further choice of a pipeline"
)
def step_one_starts(context, count, choices):
    context.trial.run(*context.actions)
    started = context.trial.list_started()
    assert len(started) == 1 + count, started
    assert context.trial.choices == choices, context.trial.choices


@behave.when("a view shows {places:d} free places")
def step_view(context, places):
    async def show(trial):
        trial.places.free, trial.choices = float(places), 0
        # The view is taken over as the next one is due.
        await trio.sleep(0.25)

    context.actions.append(show)


@behave.then("all {count:d} start within 0.1 seconds")
def step_all_start(context, count):
    context.trial.run(*context.actions, sleep(0.1))
    started = set(context.trial.list_started()) - {shortage_node.OWN_STREAM}
    assert len(started) == count, context.trial.found


@behave.when("an own stream ends and the caller of the started request leaves at once")
def step_end_and_leave(context):
    async def leave(trial):
        await end_own(trial)
        (name,) = (
            name
            for name, each in trial.progresses.items()
            if name != shortage_node.OWN_STREAM
            and each.entry.state is entries.State.STARTED
        )
        trial.scopes[name].cancel()
        context.left = name

    context.actions += [leave, sleep(0.1)]


@behave.then("the other one has started, and holds the only place")
def step_other(context):
    context.trial.run(*context.actions)
    started = set(context.trial.list_started()) - {shortage_node.OWN_STREAM}
    assert started >= {"r0", "r1"} - {context.left}, started
    entries_left = [each.entry.state for each in context.trial.progresses.values()]
    assert entries_left.count(entries.State.STARTED) == 1, entries_left


@behave.when("{seconds:f} seconds pass without a free place")
def step_pass(context, seconds):
    context.trial.view.ends = 1_000.0
    context.actions.append(sleep(seconds))


@behave.then('all {count:d} are refused as "{code}" with a time to return')
def step_refused(context, count, code):
    context.trial.run(*context.actions)
    found = [
        each
        for name, each in context.trial.found.items()
        if name != shortage_node.OWN_STREAM
    ]
    assert len(found) == count, found
    for each in found:
        assert each.reason is reasons.RefusalReason(code), each
        assert 0.5 <= each.retry_after_seconds <= 20.0 / 3.0, each
        assert each.reason.status == 503, each


@behave.when("a view shows {places:d} free places and no first engine has one")
def step_no_place(context, places):
    context.trial.view.ends = 1_000.0

    async def show(trial):
        trial.places.free, trial.places.has_any = float(places), False
        trial.choices = 0

    context.actions.append(show)


@behave.then(
    "after {seconds:f} seconds {count:d} requests wait, after {most:d} choices of a "
    "pipeline at most"
)
def step_few_choices(context, seconds, count, most):
    async def check(trial):
        await trio.sleep(seconds)
        assert len(trial.gate.queue.waiting) == count, trial.gate.queue.waiting
        assert trial.choices <= most, trial.choices

    context.trial.run(*context.actions, check)


@behave.then(
    "a request that full engines rejected is told to return in {seconds:g} seconds"
)
def step_full(context, seconds):
    check_full(context.trial, seconds)


@behave.then(
    "a request that full engines rejected is told to return in {seconds:g} seconds or "
    "more"
)
def step_full_predicted(context, seconds):
    context.trial.run(*context.actions, lambda trial: check(trial, seconds))


async def check(trial, seconds):
    refusal = trial.claims.refuse_full(trial.progresses[shortage_node.OWN_STREAM])
    assert refusal.reason is reasons.RefusalReason.ENGINES_FULL, refusal
    assert refusal.retry_after_seconds >= seconds, refusal


def check_full(trial, seconds):
    with mock.patch.object(clocks, "read_boot_clock", lambda: trial.fleet.now):
        refusal = trial.claims.refuse_full(next(iter(trial.progresses.values())))
    assert refusal.retry_after_seconds == seconds, refusal


class Sender:
    """Count attempts, none of which an engine runs."""

    attempts = 0

    @contextlib.asynccontextmanager
    async def open(self, request, attempt, address):
        self.attempts += 1
        raise sending.NotRunError(
            detail="answered 503",
            head=exchange.AnswerHead(
                kind=exchange.AnswerKind.NOT_RUN, status=503, fields=()
            ),
        )
        yield


class Reply:
    """Keep the refusal that a caller gets."""

    started = False
    refusal = None

    def record_attempt(self, backend):
        """Ignore the attempt."""

    async def end(self, refusal):
        assert not self.started
        self.refusal = refusal


async def serve(trial, name):
    """Serve one request through the exchange; return its reply and the attempts."""
    now = clocks.read_boot_clock()
    unlimited = _retry_budget.RetryBudgetBounds(capacity=1e9)
    sender, reply = Sender(), Reply()
    streams = stream_exchange.StreamExchange(
        sender=sender,
        admission_control=admission.Admission(blackboard=trial.fleet.blackboard),
        choice=trial.fleet.choice,
        claims=trial.claims,
        suspects=trial.fleet.suspects,
        stalls=fleet_refusal_steps.Stalls(),
        guard=small_fleet.make_guard(trial.fleet.blackboard),
        budgets=collections.defaultdict(
            lambda: _retry_budget.RetryBudget(bounds=unlimited)
        ),
        count_retry=lambda reason: None,
        observe_first_event=lambda seconds: None,
    )
    request = shortage_node.make_request(name, now)
    admitted = streams.admission_control.admit(request, now)
    await streams.serve(request, admitted, reply)
    return reply.refusal, sender.attempts


@behave.when(
    "a further request comes through the whole exchange for {seconds:g} seconds"
)
def step_exchange(context, seconds):
    context.replies = []

    async def act(trial):
        context.replies.append(await serve(trial, "refused"))
        await trio.sleep(seconds)
        trial.places.free = 50.0
        await trio.sleep(0.3)
        context.replies.append(await serve(trial, "sent"))
        context.queue = trial.gate.queue

    context.trial.run(*context.actions, act)


@behave.then('it is refused as "{code}", was not sent and holds no place')
def step_not_sent(context, code):
    refusal, attempts = context.replies[0]
    assert refusal.reason is reasons.RefusalReason(code), refusal
    assert attempts == 0, attempts


@behave.then(
    "one that comes while there are places is sent, and holds no place once it ends"
)
def step_sent(context):
    refusal, attempts = context.replies[1]
    assert refusal.reason is reasons.RefusalReason.ENGINES_FULL, refusal
    assert 0.5 <= refusal.retry_after_seconds <= 20.0 / 3.0, refusal
    assert attempts == 4, attempts
    assert not context.queue.waiting
