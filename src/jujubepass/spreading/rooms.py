"""Room for requests at pipelines, and the draw of one of them."""

import collections.abc
import random

import attrs

from jujubepass import ids
from jujubepass.spreading import chain_list


@attrs.frozen(kw_only=True)
class Room:
    """Describe the requests of a first engine, and its places for them."""

    chain: chain_list.Chain
    pace: chain_list.Pace
    places: float
    load: float
    is_full: bool = False
    """Whether an engine has just rejected a request for lack of room."""

    is_slow: bool = False
    """Whether an engine reports a slowdown."""

    @property
    def free(self) -> float:
        """Return the places that are left."""
        return 0.0 if self.is_full else max(0.0, self.places - self.load)

    @property
    def entry(self) -> ids.BackendServerId:
        """Return the first engine."""
        return self.chain.entry


def draw_room(
    rooms: collections.abc.Sequence[Room],
    arrivals: float,
    random_source: random.Random,
    *,
    keeps_places: bool = True,
) -> Room:
    """Draw the pipeline of one of the requests that nodes start before they hear of it.

    Nodes that all took the fastest pipeline of one view would fill it at once. Each is
    drawn in proportion to the requests that would bring all to the same predicted time
    of a step, up to its places unless `keeps_places` is false.
    """
    if len(rooms) == 1:
        return rooms[0]
    level = _find_level(rooms, arrivals, keeps_places=keeps_places)
    weights = [_count_below(each, level, keeps_places=keeps_places) for each in rooms]
    if sum(weights) <= 0.0:
        return min(rooms, key=lambda each: each.pace.predict(each.load))
    return random_source.choices(rooms, weights=weights)[0]


def _find_level(
    rooms: collections.abc.Iterable[Room], arrivals: float, *, keeps_places: bool
) -> float:
    """Return the time of a step to which the arrivals bring the pipelines."""
    turns = []
    for each in rooms:
        slope = _find_slope(each)
        start = each.pace.predict(each.load)
        turns.append((start, 1.0 / slope))
        if keeps_places:
            turns.append((start + each.free * slope, -1.0 / slope))
    level, requests_per_second, filled = 0.0, 0.0, 0.0
    for at, change in sorted(turns):
        gained = requests_per_second * (at - level)
        if requests_per_second > 0.0 and filled + gained >= arrivals:
            break
        filled, level = filled + gained, at
        requests_per_second += change
    if requests_per_second <= 1e-9:
        return level
    return level + (arrivals - filled) / requests_per_second


def _count_below(room: Room, level: float, *, keeps_places: bool) -> float:
    """Return the requests that bring a pipeline to a level, within its places."""
    requests = (level - room.pace.predict(room.load)) / _find_slope(room)
    return max(0.0, min(requests, room.free) if keeps_places else requests)


def _find_slope(room: Room) -> float:
    # A model without a time per sequence is filled in proportion to the idle time.
    return max(room.pace.seconds_per_request, 1e-3 * room.pace.idle_seconds, 1e-9)
