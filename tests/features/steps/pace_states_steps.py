import math

import attrs
import behave

from jujubepass.capacity import view
from jujubepass.pace import controller, division
from tests import pace_fleet

SERVER = "s0"
SLOTS = 16


@attrs.define
class FixedView:
    """Tell of a number of requests on any server, and whether it is full."""

    running: float = 0.0
    full_until: float = -1.0

    def find_use(self, engine, now):
        """Return the requests on a server."""
        return view.EngineUse(running=self.running, prefilling=0.0)

    def is_full(self, engine, now):
        """Return whether a server has just rejected a request."""
        return now < self.full_until


def list_run(context, started_at=1, *, is_first_start=False):
    context.pace.record_listed(SERVER, started_at, is_first_start, context.now)


def find_places(context):
    return context.pace.find_places(SERVER, SLOTS, context.now)


def answer(context, seconds=0.1, expected_seconds=0.1):
    context.pace.record_answer(SERVER, seconds, expected_seconds, context.now)


def let_pass(context, seconds, each=0.05):
    for _ in range(round(seconds / each)):
        context.now += each
        yield


@behave.given("a pace of a domain of {nodes:d} nodes")
def step_pace(context, nodes):
    context.now = 100.0
    context.pace = controller.Pace(domain=pace_fleet.Rank(index=0, nodes=nodes))
    # This node is the first one in the order for the first run of the server.
    rank = next(
        index
        for index in range(nodes)
        if pace_fleet.Rank(index=index, nodes=nodes).find_rank(SERVER, 1) == 0
    )
    context.pace.domain = pace_fleet.Rank(index=rank, nodes=nodes)


@behave.given("a pace of a domain of {nodes:d} nodes with a view")
def step_pace_view(context, nodes):
    step_pace(context, nodes)
    context.view = context.pace.view = FixedView()


@behave.when("a server is listed that is known since the first start")
def step_first(context):
    list_run(context, is_first_start=True)


@behave.when("a server has had its slow start")
def step_had(context):
    list_run(context)
    for _ in let_pass(context, 5.0):
        answer(context)
        find_places(context)
    assert not context.pace.is_starting(SERVER)


@behave.when("it is missing in the list for {seconds:d} seconds and listed again")
def step_lapse(context, seconds):
    step_missing(context, seconds)
    list_run(context)
    context.pace.remove_left({SERVER}, context.now)


@behave.when("it is missing in the list for {seconds:d} seconds")
def step_missing(context, seconds):
    context.pace.remove_left(frozenset(), context.now)
    context.now += seconds
    context.pace.remove_left(frozenset(), context.now)


@behave.when("the next run of it is listed")
def step_new_run(context):
    list_run(context, 2)


@behave.when("a server is listed and gets no requests for 10 seconds")
def step_unused(context):
    list_run(context)
    context.now += 10.0


@behave.when("a server rejects each request for {seconds:d} seconds")
def step_rejects(context, seconds):
    list_run(context)
    context.trials = 0
    for _ in let_pass(context, seconds):
        if context.pace.may_send(SERVER, 0, SLOTS, context.now):
            context.trials += 1
            context.pace.record_rejected(SERVER, context.now)
    context.trial_seconds = seconds


@behave.when("all nodes use a server for a second")
def step_use(context):
    list_run(context)
    for _ in let_pass(context, 1.0):
        context.view.running = find_places(context)
    context.before = find_places(context)
    assert context.before > 4.0, context.before


@behave.when("another node's rejection shows in the view")
def step_full(context):
    context.view.full_until = context.now + 0.25
    context.now += 0.05


@behave.when("a server responds to probes and fails requests for 20 seconds")
def step_probes(context):
    list_run(context)
    for _ in let_pass(context, 20.0):
        context.pace.record_recovered(SERVER, context.now)
        if context.pace.may_send(SERVER, 0, SLOTS, context.now):
            context.pace.record_failed(SERVER, context.now)


@behave.when("a slow server once responds in a tenth of its time")
def step_lucky(context):
    list_run(context)
    answer(context, 0.1, 0.2)
    context.reached = []
    for _ in let_pass(context, 10.0, 0.25):
        answer(context, 1.0, 0.2)
        context.reached.append(find_places(context))


@behave.when("a server is listed and responses have invalid times")
def step_invalid(context):
    list_run(context)
    for seconds in (math.nan, math.inf, -1.0):
        answer(context, seconds, 0.1)
        answer(context, 0.1, seconds)
    context.now += 0.5


@behave.when("a server accepts requests and gives no response for 3 seconds")
def step_mute(context):
    list_run(context)
    context.own = 0
    for _ in let_pass(context, 3.0):
        if context.pace.may_send(SERVER, context.own, SLOTS, context.now):
            context.own += 1


@behave.then("it has all its places")
def step_all(context):
    assert find_places(context) == SLOTS, find_places(context)


@behave.then("it has {count:d} places")
@behave.then("it has {count:d} place")
def step_places(context, count):
    assert find_places(context) == count, find_places(context)


@behave.then("nothing is known of it")
def step_nothing(context):
    assert not context.pace.is_starting(SERVER)
    assert not context.pace._runs, context.pace._runs
    assert not context.pace._missing_since, context.pace._missing_since


@behave.then(
    "the nodes of a deployment of {nodes:d} nodes have exactly the places of a server"
)
def step_divided(context, nodes):
    for places in (0.0, 1.0, 2.7, 16.0, 1000.0):
        for count in (nodes, -(-nodes // pace_fleet.DOMAINS[nodes])):
            parts = [division.divide(places, count, rank) for rank in range(count)]
            assert sum(parts) == int(places), (places, count, parts)
            assert max(parts) - min(parts) <= 1, parts


@behave.then("it had at most 2 trials a second, and more than 1")
def step_trial_rate(context):
    rate = context.trials / context.trial_seconds
    assert 1.0 < rate <= 2.0, rate


@behave.then("its slow start goes on")
def step_goes_on(context):
    assert context.pace.is_starting(SERVER)


@behave.then("it has fewer places than before")
def step_fewer(context):
    found = find_places(context)
    assert found < context.before, (found, context.before)


@behave.then("it has all its places within 10 seconds")
def step_within(context):
    assert SLOTS in context.reached, context.reached


@behave.then("this node has at most 1 request there")
def step_one(context):
    assert context.own <= 1, context.own


@behave.when("a server of which responses take {seconds:d} seconds rests for that time")
def step_rests(context, seconds):
    list_run(context)
    answer(context, seconds=float(seconds), expected_seconds=float(seconds))
    context.now += seconds
