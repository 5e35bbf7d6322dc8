import behave

from jujubepass import reasons
from jujubepass.forwarding import (
    admission,
    backends,
    configuration,
    exchange,
    feeds,
    ordering,
    paths,
    placement,
    stall_watch,
    suspicion,
)
from jujubepass.platform import store
from tests import small_fleet

# 30,000 tokens: a calm chain carries 25 requests of about 950 tokens. 12,000: a mended
# chain carries half of them, as the other failure domains take the rest.
LAYERS = small_fleet.MODEL.layers


@behave.given("the engines of a site, planned and loaded")
def step_fleet(context):
    context.fleet = small_fleet.make_planned_fleet()
    context.before = dict(context.fleet.plan.placements)


def list_layers(placements, domain):
    return sorted(
        layer
        for name, placed in placements.items()
        if name.startswith(domain) and placed.chain != placement.BESIDE
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


def find_room(name, span):
    """Return for how many tokens an engine has room beside a span."""
    kind = small_fleet.KINDS[name.split("-")[1]]
    model = small_fleet.MODEL
    free = kind.memory_megabytes - len(span) * model.layer_megabytes
    return free * 1_000.0 / (model.token_kilobytes / model.layers * len(span))


def assert_room(placements, tokens):
    for name, placed in placements.items():
        room = find_room(name, placed.span)
        assert room >= tokens, (name, str(placed.span), room)


@behave.then("each engine has room for {tokens:d} tokens beside its layers")
def step_room(context, tokens):
    for placements in getattr(context, "mended", [context.fleet.plan.placements]):
        assert_room(placements, tokens)


def assert_path(path):
    layer = 0
    for part in path.parts:
        assert part.span.first == layer, path
        layer = part.span.end
    assert layer == LAYERS, path
    assert len(path.engines) == len(path.parts), path


def choose(context, avoided=frozenset(), entries=None):
    fleet = context.fleet
    path = fleet.choice.choose(fleet.service, fleet.now, avoided, entries)
    assert path is not None
    assert_path(path)
    return path


@behave.then("a path in the caller's failure domain runs every layer once and in order")
def step_path(context):
    assert all(name.startswith("centro") for name in choose(context).engines)


@behave.then("after the loss of any single engine every layer is held again")
def step_any_loss(context):
    engines = small_fleet.make_engines()
    context.mended = []
    context.loads = []
    for lost in engines:
        rest = [each for each in engines if each != lost]
        candidates = small_fleet.make_candidates(rest, context.before)
        mended = placement.mend_placements(
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
        # The largest engine holds a third of its chain: all others must help.
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


@behave.when("an engine of the caller's path falls silent")
def step_silent(context):
    context.silent = sorted(choose(context).engines)[3]
    reason = suspicion.SuspicionReason.SILENT
    fleet = context.fleet
    fleet.suspects.suspect(context.silent, reason, fleet.now)
    context.begun_at = fleet.now
    context.written = fleet.wait(0.4)
    fleet.suspects.suspect(context.silent, reason, fleet.now)


@behave.then("the next path leaves it out and runs every layer once and in order")
def step_round(context):
    assert context.silent not in choose(context).engines


@behave.then("a plan without it is written within a second")
def step_planned_around(context):
    # The followers of a plan's author wait up to a second longer for it.
    context.written += context.fleet.wait(0.6)
    assert context.written, "no plan"
    assert context.silent not in context.fleet.plan.placements


@behave.when("a request has begun at two engines")
def step_begun(context):
    first = choose(context).parts[0].engine
    second = choose(context, avoided={first}).parts[0].engine
    assert first != second
    context.entries = {first: 1, second: 1}


@behave.then("its next path begins at one of them")
def step_begins_there(context):
    running = context.fleet.choice.find_running(context.entries)
    assert running == set(context.entries), running
    assert choose(context, entries=running).parts[0].engine in context.entries


@behave.when("one of them has ended")
def step_ended(context):
    context.fleet.list_engines([], gone=[next(iter(context.entries))])


@behave.then("its next path may begin anywhere")
def step_anywhere(context):
    running = context.fleet.choice.find_running(context.entries)
    assert len(running) < small_fleet.ROUTE.most_attempts, running


def span(first, end):
    return backends.Span(first=first, end=end)


@behave.then("an engine that is to move keeps what only it holds")
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


@behave.then("an engine never has more layers ordered, old and new, than it holds")
def step_fits(context):
    most = 8
    for first in range(20):
        for wanted_first in range(20):
            held = span(first, first + most)
            wanted = span(wanted_first, wanted_first + most - 1)
            decision = ordering.decide_order(wanted, held, most, lambda layer: True)
            if decision.span is None:
                continue
            old = set(range(held.first, held.end))
            new = set(range(decision.span.first, decision.span.end))
            assert len(old | new) <= most or decision.cuts_requests, decision
            assert len(new) <= most, decision


@behave.when("an engine refuses requests for 5 seconds and answers questions")
def step_refuses(context):
    context.refusing = choose(context).parts[2].engine
    context.written = []
    for _ in range(20):
        reason = suspicion.SuspicionReason.FULL
        context.fleet.suspects.suspect(context.refusing, reason, context.fleet.now)
        context.fleet.suspects.note_answered(context.refusing)
        assert context.refusing not in choose(context).engines
        context.written += context.fleet.wait(0.25)


@behave.then("no plan is written")
def step_no_plan(context):
    assert not context.written, context.written


@behave.then("it gets requests again a moment after the last refusal")
def step_again(context):
    context.fleet.wait(0.3)
    assert context.refusing in choose(context).engines


@behave.when("{count:d} engines fall silent at once")
def step_many_silent(context, count):
    context.written = []
    names = sorted(context.fleet.plan.placements)[:count]
    for _ in range(5):
        for name in names:
            reason = suspicion.SuspicionReason.SILENT
            context.fleet.suspects.suspect(name, reason, context.fleet.now)
        context.written += context.fleet.wait(0.4)


def make_watched():
    patience = stall_watch.Patience(
        first_suspicious=0.6, first_longest=1.8, gap_suspicious=0.4, gap_longest=1.8
    )
    return stall_watch.Watched(
        path=paths.Path(parts=(), step_seconds=0.01),
        request="r",
        patience=patience,
        last_data_at=0.0,
        has_begun=True,
    )


@behave.then("a stream that was silent for 1.5 seconds is checked and not given up")
def step_slow_stream(context):
    watched = make_watched()
    verdicts = [watched.judge(each / 10, has_suspect=False) for each in range(16)]
    assert verdicts[0] is stall_watch.Verdict.GOES_ON, verdicts
    assert verdicts[-1] is stall_watch.Verdict.CHECK, verdicts


@behave.then("one whose path has a suspect is given up after 0.2 seconds")
def step_suspect_stream(context):
    verdict = make_watched().judge(0.2, has_suspect=True)
    assert verdict is stall_watch.Verdict.GIVE_UP, verdict


@behave.then("one that was silent for longer than its caller waits is given up")
def step_long_stream(context):
    verdict = make_watched().judge(1.9, has_suspect=False)
    assert verdict is stall_watch.Verdict.GIVE_UP, verdict


@behave.when("the list has not been proven for 3 seconds and an engine is gone from it")
def step_old_list(context):
    fleet = context.fleet
    fleet.wait(3.0, proven=False)
    fleet.blackboard.backends.listed.pop("este-l4-3")
    context.written = fleet.wait(2.0, proven=False)


@behave.when("the list is proven again")
def step_proven(context):
    context.written = context.fleet.wait(2.0)


@behave.then("a plan without the lost engine is written within two seconds")
def step_written(context):
    assert len(context.written) == 1, context.written
    assert "este-l4-3" not in context.fleet.plan.placements


@behave.when("the store is back and most entries are missing")
def step_missing(context):
    fleet = context.fleet
    fleet.list.note_contact_regained(fleet.now)
    listed = fleet.blackboard.backends.listed
    context.kept = dict(list(listed.items())[:5])
    changes = feeds.Changes(
        items=context.kept, version=9, proven_at=fleet.now, is_whole=True
    )
    fleet.list.apply(changes, fleet.now)


@behave.then("no engine is dropped for 1.7 seconds")
def step_not_dropped(context):
    context.fleet.list.drop_missing(context.fleet.now + 1.7)
    assert len(context.fleet.blackboard.backends.listed) == len(context.before)


@behave.then("those that are still missing after 2 seconds are gone")
def step_dropped(context):
    context.fleet.list.drop_missing(context.fleet.now + 2.0)
    assert context.fleet.blackboard.backends.listed == context.kept


def ask(key="ana-key", target="/drafts/1"):
    return exchange.Ask(
        request="r1",
        host="desk.example",
        method="POST",
        target=target,
        key=key,
        arrived_at=0.0,
        patience_seconds=20.0,
        resume_after=None,
        answer_tokens=0,
        fields=(),
        body=b"",
    )


def admit(context, age, **changes):
    fleet = context.fleet
    gate = admission.Admission(blackboard=fleet.blackboard, keyed_age_seconds=3.0)
    return gate.admit(ask(**changes), fleet.blackboard.configuration.proven_at + age)


@behave.then("a request is admitted with a configuration proven 2.9 seconds ago")
def step_admitted(context):
    found = admit(context, 2.9)
    assert isinstance(found, exchange.Admitted), found
    assert found.account.name == "ana", found


@behave.then("refused as not run with one proven 3.1 seconds ago")
def step_stale(context):
    found = admit(context, 3.1)
    assert found.reason is reasons.RefusalReason.CONFIGURATION_STALE, found
    assert found.reason.status == 503, found
    assert found.retry_after_seconds, found


@behave.then("a key or route is denied only with one proven 1.4 seconds ago")
def step_denied(context):
    for changes, status in (({"key": "no"}, 401), ({"target": "/no/1"}, 404)):
        assert admit(context, 1.4, **changes).reason.status == status
        assert admit(context, 1.6, **changes).reason.status == 503


@behave.when("versions 5, 3 and 4 of the configuration arrive")
def step_versions(context):
    area = context.fleet.blackboard.configuration
    controller = configuration.ConfigurationController(area=area)
    for version in (5, 3, 4):
        items = {"config": small_fleet.make_declarations(version)}
        changes = feeds.Changes(items=items, version=version, proven_at=1.0)
        controller.apply(changes, 200.0)


@behave.then("version 5 is in force")
def step_version(context):
    assert context.fleet.blackboard.configuration.declarations.version == 5


@behave.then("an answer that took long proves no more than it can")
def step_store_clock(context):
    clock = store.StoreClock()
    # (stamp, sent at): the store's clock is 50 s behind ours.
    assert clock.find_time(50.0, 99.99) == 99.99
    assert clock.find_time(52.0, 100.0) == 101.99
    assert clock.find_time(52.5, 102.495) == 102.495
    # A restarted store's clock begins anew, and proves from there.
    assert clock.find_time(1.0, 104.0) == 104.0
