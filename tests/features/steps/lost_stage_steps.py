import behave

from jujubepass.forwarding import backends, ordering, placement, suspicion
from tests import small_fleet

# 30,000 tokens: a chain under normal load carries 25 requests of about 950 tokens.
# 12,000: a repaired chain carries half of them, as the other failure domains take over
# the rest.
LAYERS = small_fleet.MODEL.layers


@behave.given("a fleet of engines, planned and loaded")
def step_fleet(context):
    context.fleet = small_fleet.make_planned_fleet()
    context.before = dict(context.fleet.plan.placements)


@behave.given("a fleet of engines whose first model request comes after 10 seconds")
def step_cold_fleet(context):
    context.fleet = small_fleet.Fleet()
    context.fleet.blackboard.is_cold_start = True
    context.fleet.list_engines(small_fleet.make_engines())
    context.fleet.wait(10.0)
    context.fleet.blackboard.is_cold_start = False


@behave.then("engines outside the chains hold a second copy of layers within 5 seconds")
def step_extra_after_start(context):
    context.fleet.wait(5.0)
    assert list_extra(context.fleet.plan.placements), context.fleet.plan.placements


def list_layers(placements, domain):
    return sorted(
        layer
        for name, placed in placements.items()
        if name.startswith(domain) and placed.chain != placement.OUTSIDE_CHAINS
        for layer in range(placed.span.first, placed.span.end)
    )


@behave.then("each failure domain holds every layer once")
def step_once(context):
    for domain in small_fleet.FLEET:
        layers = list_layers(context.fleet.plan.placements, domain)
        assert layers == list(range(LAYERS)), (domain, layers)


@behave.then("each failure domain holds every layer")
def step_every(context):
    step_once(context)


def compute_token_capacity(name, span):
    """Return the token capacity of an engine beside the layers of a span."""
    kind = small_fleet.KINDS[name.split("-")[1]]
    model = small_fleet.MODEL
    free = kind.memory_megabytes - len(span) * model.layer_megabytes
    return free * 1_000.0 / (model.token_kilobytes / model.layers * len(span))


def assert_capacity(placements, tokens):
    for name, placed in placements.items():
        capacity = compute_token_capacity(name, placed.span)
        assert capacity >= tokens, (name, str(placed.span), capacity)


@behave.then("each engine has capacity for {tokens:d} tokens beside its layers")
def step_capacity(context, tokens):
    for placements in getattr(context, "mended", [context.fleet.plan.placements]):
        assert_capacity(placements, tokens)


@behave.then(
    "a pipeline in the caller's failure domain runs every layer once and in order"
)
def step_pipeline(context):
    assert all(
        name.startswith("centro") for name in small_fleet.choose(context.fleet).engines
    )


@behave.then("after the loss of any single engine every layer is held again")
def step_any_loss(context):
    engines = small_fleet.make_engines()
    context.mended = []
    context.loads = []
    for lost in engines:
        rest = [each for each in engines if each != lost]
        candidates = small_fleet.make_candidates(rest, context.before)
        mended = placement.repair_placements(
            small_fleet.MODEL, candidates, context.before
        )
        domain = lost.failure_domain
        assert list_layers(mended, domain) == list(range(LAYERS)), (lost, mended)
        moved = {
            name
            for name, placed in mended.items()
            if set(range(placed.span.first, placed.span.end))
            - set(range(context.before[name].span.first, context.before[name].span.end))
        }
        context.mended.append(mended)
        context.loads.append((lost.name, domain, moved))


@behave.then("fewer than half of its chain's engines load anything")
def step_few_loads(context):
    for name, domain, moved in context.loads:
        size = sum(small_fleet.FLEET[domain].values())
        # The largest engine holds a third of its chain, so that all others must load.
        if "h100" not in name:
            assert len(moved) < size / 2, (name, moved)
        assert all(each.startswith(domain) for each in moved), (name, moved)


@behave.when("two engines of each failure domain are lost")
def step_two_lost(context):
    for domain in small_fleet.FLEET:
        for name in (f"{domain}-l4-0", f"{domain}-t4-1"):
            context.fleet.list_engines([], gone=[name])
            context.fleet.wait(2.0)


@behave.when("an engine of a kind is replaced by another one of that kind")
def step_replaced(context):
    old = context.fleet.blackboard.backends.listed["este-l4-3"]
    new = backends.Backend(
        name="este-l4-new",
        service=old.service,
        address=old.address,
        failure_domain=old.failure_domain,
        state=old.state,
        accelerator=old.accelerator,
    )
    context.fleet.list_engines([new], gone=["este-l4-3"])
    context.written = context.fleet.wait(3.0)


@behave.then("only the new one loads layers")
def step_only_new(context):
    after = context.fleet.plan.placements
    changed = {name for name in after if after[name] != context.before.get(name)}
    assert changed == {"este-l4-new"}, changed


@behave.when("an engine of the caller's pipeline becomes unresponsive")
def step_unresponsive(context):
    context.unresponsive = sorted(small_fleet.choose(context.fleet).engines)[3]
    reason = suspicion.SuspicionReason.UNRESPONSIVE
    fleet = context.fleet
    fleet.suspects.suspect(context.unresponsive, reason, fleet.now)
    context.begun_at = fleet.now
    context.written = fleet.wait(0.4)
    fleet.suspects.suspect(context.unresponsive, reason, fleet.now)


@behave.then("the next pipeline excludes it and runs every layer once and in order")
def step_excluded(context):
    assert context.unresponsive not in small_fleet.choose(context.fleet).engines


@behave.then("a plan without it is written within a second")
def step_planned_around(context):
    # Nodes other than the plan's author wait up to a second longer before they write.
    context.written += context.fleet.wait(0.6)
    assert context.written, "no plan"
    assert context.unresponsive not in context.fleet.plan.placements


@behave.when("a request has begun at two engines")
def step_begun(context):
    first = small_fleet.choose(context.fleet).stages[0].engine
    second = small_fleet.choose(context.fleet, avoided={first}).stages[0].engine
    assert first != second
    context.entries = {first: 1, second: 1}


@behave.then("its next pipeline begins at one of them")
def step_begins_there(context):
    running = context.fleet.choice.filter_listed(context.entries)
    assert running == set(context.entries), running
    assert (
        small_fleet.choose(context.fleet, entries=running).stages[0].engine
        in context.entries
    )


@behave.when("one of them has ended")
def step_ended(context):
    context.fleet.list_engines([], gone=[next(iter(context.entries))])


@behave.then("its next pipeline may begin anywhere")
def step_anywhere(context):
    running = context.fleet.choice.filter_listed(context.entries)
    assert len(running) < small_fleet.ROUTE.max_attempts, running


def span(first, end):
    return backends.Span(first=first, end=end)


@behave.then("an engine with a new span keeps the layers that only it holds")
def step_keeps(context):
    held, wanted = span(10, 17), span(13, 20)
    alone = ordering.decide_order(wanted, held, 12, lambda layer: False)
    assert alone.span == span(10, 20), alone
    covered = ordering.decide_order(wanted, span(10, 20), 12, lambda layer: layer < 13)
    assert covered.span == wanted, covered
    waits = ordering.decide_order(wanted, span(10, 20), 12, lambda layer: False)
    assert waits.step is ordering.Step.WAIT, waits
    done = ordering.decide_order(wanted, wanted, 12, lambda layer: False)
    assert done.step is ordering.Step.NOTHING, done


@behave.then("old and ordered layers together never exceed what an engine can hold")
def step_fits(context):
    max_layers = 8
    for first in range(20):
        for wanted_first in range(20):
            held = span(first, first + max_layers)
            wanted = span(wanted_first, wanted_first + max_layers - 1)
            decision = ordering.decide_order(
                wanted, held, max_layers, lambda layer: True
            )
            if decision.span is None:
                continue
            old = set(range(held.first, held.end))
            new = set(range(decision.span.first, decision.span.end))
            assert len(old | new) <= max_layers or decision.cuts_requests, decision
            assert len(new) <= max_layers, decision


def list_extra(placements):
    return {
        name: placed
        for name, placed in placements.items()
        if placed.chain == placement.OUTSIDE_CHAINS
    }


def holds(placed, other):
    return placed.span.first <= other.span.first and other.span.end <= placed.span.end


@behave.given("engines outside the chains that hold a second copy of layers")
def step_extra(context):
    context.fleet.wait(3.0)
    context.fleet.load_planned()
    context.before = dict(context.fleet.plan.placements)
    context.extra = list_extra(context.before)
    assert context.extra


def lose_engine(context, *, is_held_twice):
    """Lose an engine of the first failure domain, which contains the spare engines."""
    domain = next(iter(context.extra)).split("-")[0]
    lost = next(
        name
        for name, placed in sorted(context.before.items())
        if name.startswith(domain)
        and name not in context.extra
        and any(holds(each, placed) for each in context.extra.values()) is is_held_twice
        and "h100" not in name
    )
    context.fleet.list_engines([], gone=[lost])
    assert context.fleet.wait(2.0)


@behave.when("an engine whose layers have a second copy is lost")
def step_lose_twice(context):
    lose_engine(context, is_held_twice=True)


@behave.when("an engine whose layers have no second copy is lost")
def step_lose_once(context):
    lose_engine(context, is_held_twice=False)


@behave.then("no engine loads layers")
def step_no_load(context):
    after = context.fleet.plan.placements
    moved = {
        name for name, now in after.items() if not holds(context.before[name], now)
    }
    assert not moved, moved


@behave.then("the engines outside the chains are unchanged")
def step_extra_stay(context):
    assert list_extra(context.fleet.plan.placements) == context.extra
