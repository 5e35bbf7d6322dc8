"""Choice of relays, each of which forwards a change to a segment of nodes."""

import collections.abc
import functools
import itertools

import attrs

from jujubepass import ids
from jujubepass.configuration import _configuration_messages
from jujubepass.transport import _http_client

FAN_OUT = 8

Location = tuple[str, str, str]
"""Region, failure domain and name of a node; nodes are ordered by it."""


@attrs.frozen(kw_only=True)
class Relay:
    """Identify a node to send to and the segment that it forwards to."""

    node: ids.NodeId
    address: _http_client.Address
    segment: _configuration_messages.Segment | None
    members: frozenset[ids.NodeId]


@attrs.frozen(kw_only=True)
class Target:
    """Describe the location and address of a live node."""

    location: Location
    address: _http_client.Address
    alive: bool = True


def choose_relays(
    targets: collections.abc.Iterable[Target],
    segment: _configuration_messages.Segment | None = None,
    fan_out: int = FAN_OUT,
) -> list[Relay]:
    """Split targets into at most `fan_out` segments, along regions if possible."""
    ordered = sorted(targets, key=lambda target: target.location)
    if segment is not None:
        ordered = [t for t in ordered if segment.first <= t.location <= segment.last]
    return [_make_relay(group) for group in _split(ordered, fan_out)]


def _make_relay(group: list[Target]) -> Relay:
    head = next((target for target in group if target.alive), group[0])
    rest = [target for target in group if target is not head]
    segment = None
    if rest:
        segment = _configuration_messages.Segment(
            first=rest[0].location, last=rest[-1].location
        )
    return Relay(
        node=ids.NodeId(head.location[2]),
        address=head.address,
        segment=segment,
        members=frozenset(ids.NodeId(target.location[2]) for target in group),
    )


def _split(ordered: list[Target], fan_out: int) -> list[list[Target]]:
    for depth in range(3):
        groups = [
            list(group)
            for _, group in itertools.groupby(
                ordered, functools.partial(_truncate_location, depth)
            )
        ]
        if 1 < len(groups) <= fan_out:
            return groups
        if len(groups) > fan_out:
            return _join(groups, fan_out)
    return groups if ordered else []


def _truncate_location(depth: int, target: Target) -> tuple[str, ...]:
    return target.location[: depth + 1]


def _join(groups: list[list[Target]], fan_out: int) -> list[list[Target]]:
    size, larger = divmod(len(groups), fan_out)
    joined = []
    start = 0
    for index in range(fan_out):
        end = start + size + (index < larger)
        joined.append(list(itertools.chain.from_iterable(groups[start:end])))
        start = end
    return joined
