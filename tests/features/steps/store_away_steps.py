import attrs
import behave

from jujubepass import reasons
from jujubepass.forwarding import (
    admission,
    backends,
    clocks,
    configuration,
    exchange,
    feeds,
)
from tests import small_fleet


@behave.when("the list has not been confirmed for 3 seconds and lacks an engine")
def step_old_list(context):
    fleet = context.fleet
    fleet.wait(3.0, confirmed=False)
    fleet.blackboard.backends.listed.pop("este-l4-3")
    fleet.blackboard.backends.revision += 1
    context.written = fleet.wait(2.0, confirmed=False)


@behave.when("the list is confirmed again")
def step_confirmed(context):
    context.written = context.fleet.wait(2.0)


@behave.then("a plan without the lost engine is written within two seconds")
def step_written(context):
    assert len(context.written) == 1, context.written
    assert "este-l4-3" not in context.fleet.plan.placements


@behave.when("the store is back and most entries are missing")
def step_missing(context):
    fleet = context.fleet
    fleet.list.record_store_recovery(fleet.now)
    listed = fleet.blackboard.backends.listed
    context.kept = dict(list(listed.items())[:5])
    changes = feeds.Changes(
        items=context.kept, version=9, confirmed_at=fleet.now, is_complete=True
    )
    fleet.list.apply(changes, fleet.now)


@behave.then("no engine is dropped for 1.7 seconds")
def step_not_dropped(context):
    context.fleet.list.remove_missing(context.fleet.now + 1.7)
    assert len(context.fleet.blackboard.backends.listed) == len(context.before)


@behave.then("those that are still missing after 2 seconds are gone")
def step_dropped(context):
    context.fleet.list.remove_missing(context.fleet.now + 2.0)
    assert context.fleet.blackboard.backends.listed == context.kept


def list_draining(context, seconds):
    """List an engine as draining and return how long it counts as draining."""
    fleet = context.fleet
    fleet.blackboard.backends.confirmed_at = fleet.now
    fleet.now += seconds
    listed = fleet.blackboard.backends.listed.values()
    engine = next(each for each in listed if each.state is backends.BackendState.READY)
    draining = attrs.evolve(engine, state=backends.BackendState.DRAINING)
    fleet.list_engines([draining])
    return fleet.now - fleet.blackboard.backends.draining_since[engine.name]


@behave.then(
    "an engine listed as draining 1.9 seconds after a confirmation drains from then on"
)
def step_draining_now(context):
    assert list_draining(context, 1.9) == 0.0


@behave.then(
    "one listed as draining 2.3 seconds after a confirmation from that confirmation on"
)
def step_draining_before(context):
    assert abs(list_draining(context, 2.3) - 2.3) < 1e-9


def make_request(key="ana-key", target="/drafts/1"):
    return exchange.CallerRequest(
        request_id="r1",
        host="desk.example",
        method="POST",
        target=target,
        key=key,
        arrived_at=0.0,
        timeout_seconds=20.0,
        resume_after=None,
        max_answer_tokens=0,
        fields=(),
        body=b"",
    )


def admit(context, age, **changes):
    fleet = context.fleet
    admission_control = admission.Admission(blackboard=fleet.blackboard)
    return admission_control.admit(
        make_request(**changes), fleet.blackboard.configuration.confirmed_at + age
    )


@behave.then("a request is admitted with a configuration confirmed 2.9 seconds ago")
def step_admitted(context):
    found = admit(context, 2.9)
    assert isinstance(found, exchange.Admitted), found
    assert found.account.name == "ana", found


@behave.then("refused as not run with one confirmed 3.1 seconds ago")
def step_stale(context):
    found = admit(context, 3.1)
    assert found.reason is reasons.RefusalReason.CONFIGURATION_STALE, found
    assert found.reason.status == 503, found
    assert found.retry_after_seconds, found


@behave.then(
    "a key or route is reported unknown only with one confirmed 1.4 seconds ago"
)
def step_denied(context):
    for changes, status in (({"key": "no"}, 401), ({"target": "/no/1"}, 404)):
        assert admit(context, 1.4, **changes).reason.status == status
        assert admit(context, 1.6, **changes).reason.status == 503


@behave.then(
    "with twice the time limit for changes, with one confirmed 2.8 seconds ago"
)
def step_denied_later(context):
    area = context.fleet.blackboard
    area.bounds = attrs.evolve(area.bounds, configuration_milliseconds=4_000)
    for changes, status in (({"key": "no"}, 401), ({"target": "/no/1"}, 404)):
        assert admit(context, 2.8, **changes).reason.status == status
        assert admit(context, 3.1, **changes).reason.status == 503


@behave.then(
    "a refusal with a configuration 3.1 seconds old gives a retry time of 0.5 seconds"
)
def step_keeps_retry(context):
    assert admit(context, 3.1).retry_after_seconds == 0.5


@behave.then("a refusal with one 5.6 seconds old gives a retry time of 0.5 seconds")
def step_waits(context):
    assert admit(context, 5.6).retry_after_seconds == 0.5


@behave.when("versions 5, 3 and 4 of the configuration arrive")
def step_versions(context):
    area = context.fleet.blackboard.configuration
    controller = configuration.ConfigurationController(area=area)
    for version in (5, 3, 4):
        items = {"config": small_fleet.make_declarations(version)}
        changes = feeds.Changes(items=items, version=version, confirmed_at=1.0)
        controller.apply(changes, 200.0)


@behave.then("version 5 is in force")
def step_version(context):
    assert context.fleet.blackboard.configuration.declarations.version == 5


@behave.then("a slow answer confirms the rows for no later time than it can")
def step_store_clock(context):
    clock = clocks.RemoteClock()
    # (timestamp, sent at): the store's clock is 50 s behind the local one.
    assert clock.bound_local_time(50.0, 99.99) == 99.99
    assert clock.bound_local_time(52.0, 100.0) == 101.99
    assert clock.bound_local_time(52.5, 102.495) == 102.495
    # A restarted store's clock starts anew and counts as evidence from then on.
    assert clock.bound_local_time(1.0, 104.0) == 104.0
