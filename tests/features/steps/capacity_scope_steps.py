import unittest.mock

import attrs
import behave

from jujubepass import ids
from jujubepass.capacity import datagrams, engine_index, metrics, own_use, scope
from jujubepass.forwarding import (
    backends,
    clocks,
    declarations,
    exchange,
    placement,
    plans,
    stream_refusals,
)
from jujubepass.telemetry import _metric_registry
from tests import capacity_network, small_fleet


def needs_view(priorities=(), routes=(), plan=None, listed=None, **settings):
    declared = capacity_network.make_declarations(priorities)
    declared = attrs.evolve(declared, routes=(small_fleet.ROUTE, *routes), **settings)
    service = declared.services[small_fleet.SERVICE]
    return scope.needs_shared_view(declared, service, plan, listed or {})


@behave.then("a service with one route and accounts without priorities needs no view")
def step_needs_none(context):
    assert not needs_view((None,))
    assert not needs_view(())


@behave.then("one whose accounts all have the same priority needs no view")
def step_needs_none_same(context):
    assert not needs_view((4,))


@behave.then("one whose accounts have two priorities needs a view")
def step_needs(context):
    assert needs_view((0, 2))
    # Without a priority of its own, an account has the route's, which is 1.
    assert needs_view((None, 2))
    assert not needs_view((None, 1))


@behave.then("one with a route of another kind and another priority needs no view")
def step_needs_none_route(context):
    plain = attrs.evolve(
        small_fleet.ROUTE,
        priority=5,
        repeat_policy=declarations.RepeatPolicy.IDEMPOTENT,
    )
    assert not needs_view(routes=(plain,))


@behave.then("one with two streaming routes of unlike priorities needs a view")
def step_needs_routes(context):
    assert needs_view(routes=(attrs.evolve(small_fleet.ROUTE, priority=5),))


@behave.then("one whose priorities are 9 and 12 needs no view")
def step_needs_none_limit(context):
    assert not needs_view((9, 12))


def make_chains(slowdowns, layers):
    """Return a plan with a chain of one kind of engines for each slowdown."""
    accelerators = {
        f"kind-{number}": attrs.evolve(small_fleet.KINDS["l4"], step_slowdown=slowdown)
        for number, slowdown in enumerate(slowdowns)
    }
    model = attrs.evolve(small_fleet.MODEL, accelerators=accelerators)
    placements, listed = {}, {}
    for chain in range(len(slowdowns)):
        for half in range(2):
            name = ids.BackendServerId(f"{chain}-{half}")
            engine = small_fleet.make_engines()[0]
            listed[name] = attrs.evolve(engine, name=name, accelerator=f"kind-{chain}")
            span = backends.Span(first=40 * half, end=40 * half + layers[chain] // 2)
            placements[name] = plans.Placement(span=span, chain=chain)
    outside = ids.BackendServerId("outside")
    placements[outside] = plans.Placement(
        span=backends.Span(first=0, end=80), chain=placement.OUTSIDE_CHAINS
    )
    plan = plans.Plan(
        service=small_fleet.SERVICE,
        version=1,
        revision=1,
        author=ids.NodeId("n1"),
        placements=placements,
        excluded={},
    )
    service = declarations.Service(name=small_fleet.SERVICE, model=model)
    return {"plan": plan, "listed": listed, "services": {service.name: service}}


@behave.then(
    "one whose slowest pipeline takes {ratio:g} times as long as the fastest needs"
    " {need} view"
)
def step_ratio(context, ratio, need):
    given = make_chains((3.0, 3.0 * ratio), (80, 80))
    assert needs_view(**given) is (need == "a")


@behave.then("an incomplete pipeline is not compared")
def step_incomplete(context):
    assert not needs_view(**make_chains((3.0, 9.0), (80, 60)))


@behave.when("a node asks {count:d} times whether the service needs the view")
def step_ask(context, count):
    context.scope = context.network.list_domain()[0].capacity.scope
    for _ in range(count):
        assert context.scope.is_needed(small_fleet.SERVICE)


@behave.then("the rule was evaluated once")
def step_evaluated_once(context):
    assert context.scope.evaluations == 1, context.scope.evaluations


@behave.when(
    "its node starts {started:d} requests, {read:d} are read and {ended:d} of these"
    " ends"
)
def step_choice(context, started, read, ended):
    fleet = context.fleet
    index = engine_index.EngineIndex(blackboard=fleet.blackboard)
    context.recorder = fleet.choice.recorder = own_use.OwnUse(index=index)
    context.pipeline = small_fleet.choose(fleet)
    for _ in range(started):
        fleet.choice.record_start(context.pipeline)
    for _ in range(read):
        fleet.choice.record_prefilled(context.pipeline)
    for _ in range(ended):
        fleet.choice.record_end(context.pipeline, was_prefilled=True)


@behave.then(
    "the node reports {running:d} requests on these engines and {read:d} being read"
)
def step_reports(context, running, read):
    context.recorder.take_snapshot(1.0)
    content = context.recorder.take_snapshot(1.2)
    index = context.recorder.index
    expected = {
        index.find_digest(name): (running, read) for name in context.pipeline.engines
    }
    assert dict(content.uses) == expected, content
    assert content.ends == 0, content


@behave.then(
    "the page of a collector shows {count:d} nodes, {uses:d} uses and no name of an"
    " engine"
)
def step_page(context, count, uses):
    network = context.network
    node = network.list_domain()[0]
    registry = _metric_registry.Registry(version="1", distributions=())
    link = datagrams.DatagramLink(controller=node.capacity, address=node.row.address)
    metrics.add_capacity(registry, node.capacity, link)
    with unittest.mock.patch.object(clocks, "read_boot_clock", lambda: network.now):
        page = registry.expose().decode()
    lines = dict(
        each.rsplit(" ", 1) for each in page.splitlines() if each[:1] not in ("#", "")
    )
    assert float(lines["jujubepass_capacity_covered_nodes"]) == count, page
    assert float(lines['jujubepass_capacity_use{phase="running"}']) == uses, page
    assert 0.0 <= float(lines["jujubepass_capacity_view_age_seconds"]) <= 0.25, page
    assert float(lines["jujubepass_capacity_reports_total"]) > 0, page
    assert "engine-" not in page


def answer(status, **fields):
    return exchange.AnswerHead(
        kind=exchange.AnswerKind.NOT_RUN, status=status, fields=(), **fields
    )


@behave.then("answers 503 and 429 without a time tell that an engine has no room")
def step_for_room(context):
    for status in (429, 503):
        assert stream_refusals.is_for_room(answer(status))


@behave.then("answers 421, 400, of a leaving engine or with a time do not")
def step_not_for_room(context):
    for status in (400, 421):
        assert not stream_refusals.is_for_room(answer(status))
    assert not stream_refusals.is_for_room(answer(503, is_leaving=True))
    assert not stream_refusals.is_for_room(answer(503, retry_after_seconds=2.0))
