"""Places for requests at the pipelines of this failure domain."""

import collections.abc
import typing

import attrs

from jujubepass.capacity import view
from jujubepass.forwarding import declarations, pipelines
from jujubepass.spreading import shared_rooms

# Alias, because a field has the same name as the class.
_Service = declarations.Service


class Places(typing.Protocol):
    """Tell how many more requests the first engines of a service take."""

    def count_free(self, now: float) -> float | None:
        """Return the free places of this failure domain; None if unknown."""

    def count_places(self, now: float) -> float | None:
        """Return all places of this failure domain; None if unknown."""

    def has_place(self, pipeline: pipelines.Pipeline, now: float) -> bool:
        """Return whether a pipeline's first engine takes one more; true if unknown."""


@attrs.frozen(kw_only=True)
class ServicePlaces:
    """Count the places of one service by the shared view, while it is known."""

    service: _Service
    rooms: shared_rooms.SharedRooms | None
    is_known: collections.abc.Callable[[float], bool]
    recorder: view.Recorder | None = None

    def count_free(self, now: float) -> float | None:
        """Return the free places of this failure domain; None if unknown."""
        if self.rooms is None or not self.is_known(now):
            return None
        free = self.rooms.count_free(self.service, now)
        self.rooms.free[self.service.name] = free or 0.0
        if self.recorder is not None:
            self.recorder.set_free_places(sum(self.rooms.free.values()))
        return free

    def count_places(self, now: float) -> float | None:
        """Return all places of this failure domain; None if unknown."""
        if self.rooms is None or not self.is_known(now):
            return None
        return self.rooms.count_places(self.service, now)

    def has_place(self, pipeline: pipelines.Pipeline, now: float) -> bool:
        """Return whether a pipeline's first engine takes one more; true if unknown."""
        if self.rooms is None or not self.is_known(now):
            return True
        return self.rooms.has_place(self.service, pipeline, now)
