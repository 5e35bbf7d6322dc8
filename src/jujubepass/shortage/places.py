"""Places of first engines, as another part predicts them."""

import typing

from jujubepass.forwarding import pipelines


class Places(typing.Protocol):
    """Tell how many requests first engines can take."""

    def count_free(self, now: float) -> float | None:
        """Return the free places of this failure domain; None if unknown.

        The number is below zero while more requests run than there are places, as after
        engines are lost.
        """

    def count_places(self, now: float) -> float | None:
        """Return all places of this failure domain; None if unknown."""

    def has_place(self, pipeline: pipelines.Pipeline, now: float) -> bool:
        """Return whether the first engine of a pipeline has a free place."""
