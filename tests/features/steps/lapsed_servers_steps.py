"""Steps for leaving servers whose entries lapse and come back."""

import attrs
import behave

from jujubepass.forwarding import backends
from tests import small_fleet
from tests.features.steps import server_signals_steps


def announce_leaving(context, listed):
    server_signals_steps.record(
        context.fleet,
        context.first,
        server_signals_steps.read_head(200, ("server-leaving", "1")),
    )


def list_draining(context, listed):
    draining = attrs.evolve(listed, state=backends.BackendState.DRAINING)
    context.fleet.list_engines([draining])


def announce_without_entry(context, listed):
    """Deliver an answer to a request that was sent before the entry lapsed."""
    context.fleet.list_engines([], gone=[context.first])
    head = server_signals_steps.read_head(200, ("server-leaving", "1"))
    with server_signals_steps.Clock(fleet=context.fleet):
        context.fleet.signals.record(context.first, listed.started_at, head)


DEPARTURES = {
    "from its answers": announce_leaving,
    "from the list": list_draining,
    "from its missing entry": lambda context, listed: None,
    "from an answer without entry": announce_without_entry,
}


@behave.when(
    "the departure of a first engine is known {how} and its entry is away"
    " for {seconds:d} seconds"
)
def step_lapse(context, how, seconds):
    fleet = context.fleet
    context.listed = fleet.blackboard.backends.listed[context.first]
    DEPARTURES[how](context, context.listed)
    fleet.now += 1.0
    fleet.list_engines([], gone=[context.first])
    assert context.first not in fleet.blackboard.backends.listed
    for _ in range(seconds):
        fleet.now += 1.0
        # The list is confirmed without the entry.
        fleet.list_engines([])


@behave.when("its entry is back as draining")
def step_back(context):
    list_draining(context, context.listed)


@behave.then("it is in no pipeline now")
def step_not_used(context):
    fleet = context.fleet
    entries = {context.first}
    assert fleet.choice.choose(fleet.service, fleet.now, entries=entries) is None
    assert context.first not in server_signals_steps.choose_without_load(fleet).engines


@behave.then("streams are moved off it, and moves are not held against their requests")
def step_still_leaving(context):
    assert context.first in context.fleet.blackboard.backends.draining_since
    own_guard = small_fleet.make_guard(context.fleet.blackboard)
    assert own_guard._is_draining(context.first)
