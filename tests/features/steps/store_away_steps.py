import behave

from jujubepass import reasons
from jujubepass.forwarding import admission, configuration, exchange, feeds
from jujubepass.platform import store
from tests import small_fleet


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
    gate = admission.Admission(blackboard=fleet.blackboard)
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


@behave.then(
    "one refused with knowledge 3.1 seconds old comes back after half a second"
)
def step_keeps_retry(context):
    assert admit(context, 3.1).retry_after_seconds == 0.5


@behave.then("one refused with knowledge 5.6 seconds old after half a second")
def step_waits(context):
    assert admit(context, 5.6).retry_after_seconds == 0.5


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
    # (timestamp, sent at): the store's clock is 50 s behind the local one.
    assert clock.find_time(50.0, 99.99) == 99.99
    assert clock.find_time(52.0, 100.0) == 101.99
    assert clock.find_time(52.5, 102.495) == 102.495
    # A restarted store's clock starts anew and counts as evidence from then on.
    assert clock.find_time(1.0, 104.0) == 104.0
