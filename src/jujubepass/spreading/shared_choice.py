"""Choice of pipelines by the view of what all nodes run."""

import collections.abc
import random
import typing

import attrs

from jujubepass import ids
from jujubepass.capacity import view
from jujubepass.forwarding import backends, declarations, pipelines
from jujubepass.spreading import rooms, shared_rooms, spill

# Aliases, because fields have the same names as the modules.
_Demand = view.Demand
_Service = declarations.Service
_SharedRooms = shared_rooms.SharedRooms
_Spill = spill.Spill

# Nodes know of each other's requests within this time.
_VIEW_DELAY_SECONDS = 0.5
# Time in which requests arrive that may be sent elsewhere by one line.
_LINE_SECONDS = 1.0

_Rooms = collections.abc.Sequence[rooms.Room]
_Options = list[pipelines.StageOption]


class ListOptions(typing.Protocol):
    """List the stages that engines may run."""

    def __call__(
        self, engines: collections.abc.Iterable[backends.Backend]
    ) -> collections.abc.Iterator[pipelines.StageOption]:
        """Yield the stages."""


@attrs.frozen(kw_only=True)
class Query:
    """Describe a request's choice of a pipeline."""

    service: _Service
    demand: _Demand
    now: float
    listed: collections.abc.Sequence[backends.Backend]
    """Engines that may be used."""
    entries: collections.abc.Set[ids.BackendServerId] | None
    """Engines at which the pipeline may begin; None allows all."""
    may_spill: bool
    """Whether the request may begin in another failure domain for lack of places."""
    reserve: float
    """Free places that are kept for more urgent requests."""
    list_options: ListOptions


@attrs.define(kw_only=True)
class SharedChoice:
    """Choose a pipeline with a place, here or in the domain with most room."""

    domain: ids.FailureDomainId
    rooms: _SharedRooms
    spill: _Spill
    random_source: random.Random

    def choose(self, query: Query) -> pipelines.Pipeline | None:
        """Return a pipeline; one with an engine that is full only if there is no other.

        Of several pipelines one is drawn by predicted time, as other nodes choose by
        the same view.
        """
        here = self.rooms.list_rooms(query.service, self.domain, query.now)
        free = sum(each.free for each in here) - query.reserve
        # Other nodes' requests that the view does not have yet take places as well.
        arrivals = _VIEW_DELAY_SECONDS * sum(query.demand.arrivals_per_second)
        if free < arrivals:
            free -= self.random_source.uniform(0.0, arrivals)
        self.update_spill(query.service, query.demand, query.now, free)
        names = {each.name for each in query.listed}
        usable = _filter_rooms(here, query, names)
        with_place = [each for each in usable if each.free >= 1.0]
        if query.may_spill and (free <= 0.0 or not with_place):
            found = self._spill(query, names)
            if found is not None:
                return found
        if with_place:
            found = self._draw(query, with_place, here)
            if found is not None:
                return found
        without_full = [each for each in usable if not each.is_full]
        if without_full:
            found = self._draw(query, without_full, here, keeps_places=False)
            if found is not None:
                return found
        return self._search_all(query, usable)

    def update_spill(
        self,
        service: declarations.Service,
        demand: view.Demand,
        now: float,
        free: float,
    ) -> None:
        """Update the spill by the free places here and the lines of other domains."""
        arrivals = _LINE_SECONDS * sum(demand.arrivals_per_second)
        self.spill.update(
            self.rooms.list_domain_rooms(service, now),
            now,
            is_short=free <= 0.0,
            requests=max(1.0, arrivals, sum(demand.waiting)),
            nodes=demand.nodes,
        )

    def _draw(
        self,
        query: Query,
        found: _Rooms,
        present: _Rooms,
        *,
        keeps_places: bool = True,
    ) -> pipelines.Pipeline | None:
        """Return the cheapest pipeline from a first engine that is drawn.

        Engines of other chains are left to the requests that begin there, as places are
        counted by chain; they stand in only for an engine that is slow.
        """
        demand = query.demand
        arrivals = _VIEW_DELAY_SECONDS * sum(demand.arrivals_per_second)
        room = rooms.draw_room(
            found,
            max(1.0, demand.nodes, arrivals),
            self.random_source,
            keeps_places=keeps_places,
        )
        others: set[ids.BackendServerId] = set()
        if not room.is_slow:
            others.update(*(each.chain.engines for each in present))
            others -= room.chain.engines
        engines = [
            each
            for each in query.listed
            if each.failure_domain == room.chain.failure_domain
            and each.name not in others
            and not self.rooms.is_full((each.name,), query.now)
        ]
        options = list(query.list_options(engines))
        model = query.service.model
        assert model is not None
        return pipelines.find_pipeline(model, options, self.domain, {room.entry})

    def _spill(
        self,
        query: Query,
        names: collections.abc.Set[ids.BackendServerId],
    ) -> pipelines.Pipeline | None:
        """Return a pipeline within the domain that gets this request, if any."""
        target = self.spill.find_target()
        if not self.rooms.begins_here(query.service) and self.spill.target:
            # No place becomes free here.
            target = self.spill.target.domain
        if target is None:
            return None
        present = self.rooms.list_rooms(query.service, target, query.now)
        found = _filter_rooms(present, query, names)
        if not found:
            return None
        pipeline = self._draw(query, found, present)
        return pipeline and attrs.evolve(pipeline, spilled_to=target)

    def _search_all(self, query: Query, usable: _Rooms) -> pipelines.Pipeline | None:
        """Search all engines, as layers are lost or all first engines are full."""
        open_engines = [
            each
            for each in query.listed
            if not self.rooms.is_full((each.name,), query.now)
        ]
        found = self._search(query, open_engines, usable)
        if found is None and len(open_engines) < len(query.listed):
            found = self._search(query, query.listed, usable)
        return found

    def _search(
        self,
        query: Query,
        engines: collections.abc.Iterable[backends.Backend],
        usable: _Rooms,
    ) -> pipelines.Pipeline | None:
        model = query.service.model
        assert model is not None
        taken = {each.entry for each in usable if each.free < 1.0}
        local = [each for each in engines if each.failure_domain == self.domain]
        remote = [each for each in engines if each.failure_domain != self.domain]
        options = self._list_dear(query, local, taken)
        found = pipelines.find_pipeline(model, options, self.domain, query.entries)
        if found and found.cost_seconds <= pipelines.REMOTE_ENTRY_SECONDS:
            return found
        options += query.list_options(remote)
        return pipelines.find_pipeline(model, options, self.domain, query.entries)

    def _list_dear(
        self,
        query: Query,
        engines: collections.abc.Iterable[backends.Backend],
        taken: collections.abc.Container[ids.BackendServerId],
    ) -> _Options:
        """Return stages; those of first engines without a place cost a crossing."""
        return [
            attrs.evolve(
                each, stage_seconds=each.stage_seconds + pipelines.CROSSING_SECONDS
            )
            if each.span.first == 0 and each.backend.name in taken
            else each
            for each in query.list_options(engines)
        ]


def _filter_rooms(
    found: _Rooms, query: Query, names: collections.abc.Set[ids.BackendServerId]
) -> list[rooms.Room]:
    """Return the rooms of pipelines that a request may use, within one domain."""
    return [
        each
        for each in found
        if not each.chain.is_crossing
        and each.chain.engines <= names
        and (query.entries is None or each.entry in query.entries)
    ]
