"""Rows of plans in the platform's table."""

import collections.abc
import typing

import attrs

from jujubepass import _decoding, ids
from jujubepass.forwarding import backends, plans
from jujubepass.storage import _store_messages

_PREFIX = "plan/"
# Of layers and of chains.
_MAX_NUMBER = 100_000


class PlanRowError(Exception):
    """Signal that a row contains no valid plan."""


def make_key(service: ids.ServiceId) -> str:
    """Return the key of a service's row."""
    return _PREFIX + service


def read_plan(key: str, version: int, value: typing.Any) -> plans.Plan:
    """Parse a plan from its row; raises PlanRowError."""
    if not key.startswith(_PREFIX):
        raise PlanRowError(f"{key!r} is not a plan's key")
    try:
        return plans.Plan(
            service=ids.ServiceId(key.removeprefix(_PREFIX)),
            version=version,
            revision=_decoding.read_integer(value["revision"]),
            author=ids.NodeId(_decoding.read_text(value["author"])),
            placements={
                ids.BackendServerId(name): _read_placement(placement)
                for name, placement in value["placements"].items()
            },
            excluded={
                ids.BackendServerId(name): _decoding.read_integer(started_at)
                for name, started_at in value["excluded"].items()
            },
        )
    except _decoding.MALFORMED_ERRORS as error:
        raise PlanRowError(f"{key!r} contains no valid plan: {error!r:.100}") from error


def _read_placement(value: collections.abc.Sequence[int]) -> plans.Placement:
    first, end, chain = value
    first = _decoding.read_integer(first, maximum=_MAX_NUMBER)
    end = _decoding.read_integer(end, minimum=first, maximum=_MAX_NUMBER)
    # Engines outside the chains have the number -1.
    chain = _decoding.read_integer(chain, minimum=-1, maximum=_MAX_NUMBER)
    return plans.Placement(span=backends.Span(first=first, end=end), chain=chain)


def write_plan(
    operation: _store_messages.OperationId, plan: plans.Plan
) -> _store_messages.Transact:
    """Return a write of a plan, on condition that its row has the plan's version."""
    key = make_key(plan.service)
    value = {
        "revision": plan.revision,
        "author": plan.author,
        "placements": {
            name: [placement.span.first, placement.span.end, placement.chain]
            for name, placement in plan.placements.items()
        },
        "excluded": dict(plan.excluded),
    }
    return _store_messages.Transact(
        operation=operation,
        conditions=(_store_messages.Condition(key=key, version=plan.version),),
        writes=(_store_messages.Write(key=key, value=value),),
    )


def apply_written_version(
    plan: plans.Plan, outcome: _store_messages.Transacted
) -> plans.Plan:
    """Return a plan with the row version of its write."""
    version = outcome.versions[make_key(plan.service)]
    return attrs.evolve(plan, version=version)
