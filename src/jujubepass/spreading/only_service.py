"""Places of the only model service of a deployment."""

import collections.abc
import typing

import attrs

from jujubepass.forwarding import board, declarations, pipelines
from jujubepass.spreading import places


class Choice(typing.Protocol):
    """Tell the places of a service's pipelines."""

    def find_places(self, service: declarations.Service) -> places.Places:
        """Return the places of a service's pipelines in this failure domain."""


@attrs.frozen(kw_only=True)
class OnlyServicePlaces:
    """Count the places of the only model service; unknown if there are several."""

    blackboard: board.Blackboard
    choice: Choice

    def count_free(self, now: float) -> float | None:
        """Return the free places of this failure domain; None if unknown."""
        return self._read(lambda found: found.count_free(now))

    def count_places(self, now: float) -> float | None:
        """Return all places of this failure domain; None if unknown."""
        return self._read(lambda found: found.count_places(now))

    def has_place(self, pipeline: pipelines.Pipeline, now: float) -> bool:
        """Return whether a pipeline's first engine takes one more; true if unknown."""
        service = self.find_service()
        return service is None or self.choice.find_places(service).has_place(
            pipeline, now
        )

    def find_service(self) -> declarations.Service | None:
        """Return the only model service; None if there are none or several."""
        declared = self.blackboard.configuration.declarations
        services = declared.find_model_services() if declared is not None else []
        return services[0] if len(services) == 1 else None

    def _read(
        self, read: collections.abc.Callable[[places.Places], float | None]
    ) -> float | None:
        service = self.find_service()
        return None if service is None else read(self.choice.find_places(service))
