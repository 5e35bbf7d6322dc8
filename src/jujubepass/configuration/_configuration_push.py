"""Choice of the nodes that pass a change on, each to a segment of the rest."""

import collections.abc
import functools
import itertools

import attrs

from jujubepass import ids
from jujubepass.configuration import _configuration_messages
from jujubepass.transport import _http_client

FAN_OUT = 8

Place = tuple[str, str, str]
"""Region, failure domain and name of a node, which order all nodes."""


@attrs.frozen(kw_only=True)
class Relay:
    """Name a node to send to, and the segment that it passes on to."""

    node: ids.NodeId
    address: _http_client.Address
    segment: _configuration_messages.Segment | None
    members: frozenset[ids.NodeId]


@attrs.frozen(kw_only=True)
class Target:
    """Hold where a live node stands and listens."""

    place: Place
    address: _http_client.Address
    alive: bool = True


def choose_relays(
    targets: collections.abc.Iterable[Target],
    segment: _configuration_messages.Segment | None = None,
    fan_out: int = FAN_OUT,
) -> list[Relay]:
    """Split targets into at most `fan_out` segments, at region borders first."""
    ordered = sorted(targets, key=lambda target: target.place)
    if segment is not None:
        ordered = [t for t in ordered if segment.first <= t.place <= segment.last]
    return [_make_relay(group) for group in _split(ordered, fan_out)]


def _make_relay(group: list[Target]) -> Relay:
    head = next((target for target in group if target.alive), group[0])
    rest = [target for target in group if target is not head]
    segment = None
    if rest:
        segment = _configuration_messages.Segment(
            first=rest[0].place, last=rest[-1].place
        )
    return Relay(
        node=ids.NodeId(head.place[2]),
        address=head.address,
        segment=segment,
        members=frozenset(ids.NodeId(target.place[2]) for target in group),
    )


def _split(ordered: list[Target], fan_out: int) -> list[list[Target]]:
    for depth in range(3):
        groups = [
            list(group)
            for _, group in itertools.groupby(
                ordered, functools.partial(_cut_place, depth)
            )
        ]
        if 1 < len(groups) <= fan_out:
            return groups
        if len(groups) > fan_out:
            return _join(groups, fan_out)
    return groups if ordered else []


def _cut_place(depth: int, target: Target) -> tuple[str, ...]:
    return target.place[: depth + 1]


def _join(groups: list[list[Target]], fan_out: int) -> list[list[Target]]:
    size, larger = divmod(len(groups), fan_out)
    joined = []
    start = 0
    for index in range(fan_out):
        end = start + size + (index < larger)
        joined.append(list(itertools.chain.from_iterable(groups[start:end])))
        start = end
    return joined
