"""Factory of the call and lookup controllers."""

import random

from jujubepass import counters
from jujubepass.calls import (
    _call_journal,
    _call_steps,
    _call_sweep,
    _calls,
    _lookups,
    _service_balance,
)
from jujubepass.nodes import _blackboard, _dispatch
from jujubepass.storage import _store_health, _store_writer


def make_controllers(
    *,
    blackboard: _blackboard.Blackboard,
    counters: counters.Counters,
    timing: _call_journal.CallTiming,
    random: random.Random,
    largest_group: int = _store_writer.MAX_GROUP_WRITES,
) -> list[_dispatch.Controller]:
    """Make the controllers; calls and lookups share one load balance."""
    balance = _service_balance.ServiceBalance(
        backends=blackboard.backends, random=random
    )
    writer = _store_writer.StoreWriter(name="calls/rows", largest_group=largest_group)
    steps = _call_steps.CallSteps(
        blackboard=blackboard,
        counters=counters,
        journal=_call_journal.CallJournal(
            blackboard=blackboard, timing=timing, writer=writer
        ),
        balance=balance,
    )
    health = _store_health.StoreHealth(
        area=blackboard.calls, probe_seconds=timing.probe_interval_seconds
    )
    return [
        _calls.CallController(
            blackboard=blackboard, counters=counters, steps=steps, health=health
        ),
        _call_sweep.CallSweepController(
            blackboard=blackboard,
            steps=steps,
            writer=_store_writer.StoreWriter(name="calls/removals"),
        ),
        _lookups.LookupController(
            blackboard=blackboard, counters=counters, balance=balance
        ),
    ]
