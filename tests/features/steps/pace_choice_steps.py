import attrs
import behave

from jujubepass import ids
from jujubepass.capacity import view
from jujubepass.forwarding import (
    backends,
    board,
    clocks,
    declarations,
    members,
    pacing,
    service_choice,
    silences,
    suspicion,
)
from jujubepass.transport import _http_client
from tests import shortage_domain, small_fleet

PLAIN = ids.ServiceId("visits")
DOMAIN = ids.FailureDomainId("a")
NEW = ids.BackendServerId("s-0")


def start_now():
    return round(clocks.read_wall_clock() * 1_000.0)


def make_server(number, started_at):
    return backends.Backend(
        name=ids.BackendServerId(f"s-{number}"),
        service=PLAIN,
        address=_http_client.Address(host="10.0.0.1", port=1),
        failure_domain=DOMAIN,
        state=backends.BackendState.READY,
        started_at=started_at,
        slots=16,
    )


def make_choice(context, *, uses_view):
    blackboard = board.Blackboard(node=ids.NodeId("n1"), failure_domain=DOMAIN)
    declared = small_fleet.make_declarations()
    blackboard.configuration.declarations = attrs.evolve(
        declared, services={PLAIN: declarations.Service(name=PLAIN)}
    )
    set_neighbors(blackboard, 2)
    servers = [make_server(0, start_now()), make_server(1, 1), make_server(2, 1)]
    blackboard.backends.listed.update({each.name: each for each in servers})
    context.now = clocks.read_boot_clock()
    context.choice = service_choice.ServiceChoice(
        blackboard=blackboard,
        suspects=suspicion.Suspects(),
        silences=silences.Silences(area=blackboard.backends),
        pacing=pacing.Pacing(
            blackboard=blackboard, uses_view=lambda service: uses_view
        ),
    )


def set_neighbors(blackboard, nodes):
    area = blackboard.members
    area.neighbors = tuple(
        members.Member(
            node=ids.NodeId(f"n{number + 1}"),
            version=1,
            failure_domain=blackboard.failure_domain,
            renewal_seconds=20.0,
        )
        for number in range(nodes)
    )


def choose_engine(context, avoided=frozenset()):
    fleet = context.fleet
    progress = attrs.make_class("Progress", ["avoided"])(set(avoided))
    admitted = attrs.make_class("Admitted", ["service"])(fleet.service)
    found = context.claims._choose_open(admitted, progress, None, set(), fleet.now)
    return found.stages[0].engine


def prepare_fleet(context, *, is_cold_start=False):
    context.fleet = small_fleet.make_planned_fleet()
    blackboard = context.fleet.blackboard
    blackboard.is_cold_start = is_cold_start
    set_neighbors(blackboard, 28)
    context.claims = small_fleet.make_claims(
        blackboard, context.fleet.choice, small_fleet.make_guard(blackboard)
    )
    context.claims.pacing = pacing.Pacing(
        blackboard=blackboard, uses_view=lambda service: True
    )
    context.claims.pacing.update(context.fleet.now)


def list_engine(context, engine):
    context.fleet.blackboard.backends.listed[engine.name] = engine
    context.fleet.blackboard.backends.revision += 1
    context.claims.pacing.update(context.fleet.now)


@behave.given("a plain service of which a server returns")
def step_plain(context):
    make_choice(context, uses_view=False)


@behave.given("a plain service with the shared view of which a server returns")
def step_plain_view(context):
    make_choice(context, uses_view=True)


@behave.given("a fleet of engines with the shared view, planned and loaded")
def step_fleet(context):
    prepare_fleet(context)


@behave.given(
    "a fleet of engines with the shared view, planned and loaded at a cold start"
)
def step_fleet_cold(context):
    prepare_fleet(context, is_cold_start=True)
    for engine in list(context.fleet.blackboard.backends.listed.values()):
        list_engine(context, attrs.evolve(engine, started_at=start_now()))


@behave.when("the first engine of the pipeline in use starts anew and has no place")
def step_anew(context):
    context.first = choose_engine(context)
    listed = context.fleet.blackboard.backends.listed
    # Another node has the two places of this run; each run has its own order.
    started_at = start_now()
    pace = context.claims.pacing.pace
    while pace.domain.find_rank(context.first, started_at) < 2:
        started_at += 1
    list_engine(context, attrs.evolve(listed[context.first], started_at=started_at))


@behave.when("a new engine is listed without layers and gets them 20 seconds later")
def step_layers(context):
    listed = context.fleet.blackboard.backends.listed
    engine = next(each for each in listed.values() if each.held is not None)
    context.first = ids.BackendServerId("i-new")
    started_at = start_now() - 20_000
    new = attrs.evolve(engine, name=context.first, started_at=started_at, held=None)
    list_engine(context, new)
    assert not context.claims.pacing.pace.is_starting(context.first)
    context.fleet.now += 20.0
    list_engine(context, attrs.evolve(new, held=engine.held))


@behave.then("the returned server is chosen for each request")
def step_chosen(context):
    for _ in range(3):
        found = context.choice.choose(PLAIN, frozenset(), context.now)
        assert found.name == NEW, found


@behave.then("the returned server is chosen for 1 of 3 requests at once")
def step_once(context):
    names = []
    for _ in range(3):
        found = context.choice.choose(PLAIN, frozenset(), context.now)
        names.append(found.name)
        context.choice.running[found.name] += 1
    assert names.count(NEW) == 1, names


@behave.then("it is chosen where all others have been tried")
def step_left(context):
    tried = context.choice.blackboard.backends.listed.keys() - {NEW}
    assert context.choice.choose(PLAIN, tried, context.now).name == NEW


@behave.then("pipelines begin at another engine")
def step_another(context):
    found = choose_engine(context)
    assert found != context.first, found


@behave.then("they begin at it again if no other engine may be used")
def step_again(context):
    pace = context.claims.pacing
    others = {
        name
        for name, each in context.fleet.blackboard.backends.listed.items()
        if each.held is not None and each.held.first == 0 and name != context.first
    }
    assert pace.list_closed(context.fleet.service.name, {}, context.fleet.now)
    assert choose_engine(context, others) == context.first


@behave.then("it has its slow start")
def step_starting(context):
    assert context.claims.pacing.pace.is_starting(context.first)


@behave.then("no engine is in its slow start")
def step_none(context):
    assert not context.claims.pacing.pace.list_starting()


@behave.when(
    "an engine of another domain starts anew and rejects a request each second"
)
def step_remote(context):
    fleet = context.fleet
    own = fleet.blackboard.failure_domain
    listed = fleet.blackboard.backends.listed
    engine = next(
        each
        for each in listed.values()
        if each.failure_domain != own and each.held is not None
    )
    context.remote = attrs.evolve(engine, started_at=start_now())
    list_engine(context, context.remote)
    assert not context.claims.pacing.is_open(context.remote, 0, fleet.now)


@behave.then("it may be used here after 10 seconds, and for {seconds:d} seconds")
def step_remote_open(context, seconds):
    pacing_ = context.claims.pacing
    began_at = context.fleet.now
    for number in range(10 * seconds):
        now = began_at + 0.1 * number
        if number % 10 == 0:
            pacing_.pace.record_rejected(context.remote.name, now)
        is_open = pacing_.is_open(context.remote, 0, now)
        assert is_open == (now - began_at >= 10.0), (now - began_at, is_open)


@attrs.define
class QueryRecorder:
    """Stand in for the choice by the view; it finds nothing."""

    rooms = None
    queries: list = attrs.field(factory=list)

    def choose(self, query):
        """Record what is asked."""
        self.queries.append(query)


@attrs.frozen
class EmptyView:
    """Know that nothing arrives or waits."""

    def find_demand(self, now):
        """Return no demand."""
        return shortage_domain.NO_DEMAND


@behave.then("the choice by the view may still send requests to another domain")
def step_may_spill(context):
    choice = context.fleet.choice
    choice.view, choice.uses_view = EmptyView(), lambda service: True
    choice.shared = QueryRecorder()
    progress = attrs.make_class("Progress", ["avoided"])(set())
    admitted = attrs.make_class("Admitted", ["service"])(context.fleet.service)
    context.claims._choose_open(admitted, progress, None, set(), context.fleet.now)
    query = choice.shared.queries[0]
    assert context.first not in query.entries
    assert query.may_spill


@attrs.define
class CountingView:
    """Know that nothing runs, and remember for which engines that is asked."""

    asked: set = attrs.field(factory=set)

    def find_use(self, engine, now):
        """Return no use."""
        self.asked.add(engine)
        return view.EngineUse(running=0.0, prefilling=0.0)

    def is_full(self, engine, now):
        """Return that no engine is full."""
        return False


@behave.when("{engines:d} engines start in this domain, {first:d} of them first ones")
def step_domain_starts(context, engines, first):
    blackboard = context.fleet.blackboard
    listed = blackboard.backends.listed
    engine = next(
        each
        for each in listed.values()
        if each.failure_domain == blackboard.failure_domain
    )
    listed.clear()
    for number in range(engines):
        start = 0 if number < first else 1
        new = attrs.evolve(
            engine,
            name=ids.BackendServerId(f"new-{number}"),
            started_at=start_now(),
            held=backends.Span(first=start, end=start + 1),
        )
        listed[new.name] = new
    blackboard.backends.revision += 1


@behave.then("the choice of a pipeline asks for the use of {engines:d} engines")
def step_asked(context, engines):
    own = context.claims.pacing
    own.pace.view = CountingView()
    own.list_closed(context.fleet.service.name, {}, context.fleet.now)
    assert len(own.pace.list_starting()) == 353
    assert len(own.pace.view.asked) == engines, len(own.pace.view.asked)


@behave.when("all other first engines have begun to leave")
def step_leaving(context):
    area = context.fleet.blackboard.backends
    for each in list(area.listed.values()):
        if each.held is None or each.held.first or each.name == context.first:
            continue
        list_engine(context, attrs.evolve(each, state=backends.BackendState.DRAINING))
        area.draining_since[each.name] = context.fleet.now


@behave.then("pipelines begin at it as without a pace")
def step_as_without(context):
    own = context.claims.pacing
    found = choose_engine(context)
    context.claims.pacing = None
    assert choose_engine(context) == context.first
    context.claims.pacing = own
    assert found == context.first, found
