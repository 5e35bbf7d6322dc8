"""Values remembered by run of a server, whether it is listed or not."""

import typing

import attrs

from jujubepass import ids

_MAX_RUNS = 1_000

_Value = typing.TypeVar("_Value")


@attrs.define(kw_only=True)
class RunMemory(typing.Generic[_Value]):
    """Remember a value of the last run of each server."""

    max_runs: int = _MAX_RUNS
    _values: dict[ids.BackendServerId, tuple[int, _Value]] = attrs.field(
        factory=dict, init=False
    )

    def find(self, name: ids.BackendServerId, started_at: int) -> _Value | None:
        """Return the value of a server's run, or None."""
        run, value = self._values.get(name, (None, None))
        return value if run == started_at else None

    def record(
        self, name: ids.BackendServerId, started_at: int, value: _Value
    ) -> list[ids.BackendServerId]:
        """Store the value of a run; return the servers that are forgotten for it."""
        self._values.pop(name, None)
        forgotten = []
        while len(self._values) >= self.max_runs:
            # The oldest values belong to servers that are long gone.
            forgotten.append(next(iter(self._values)))
            del self._values[forgotten[-1]]
        self._values[name] = started_at, value
        return forgotten

    def forget(self, name: ids.BackendServerId) -> None:
        """Remove the value of a server."""
        self._values.pop(name, None)
