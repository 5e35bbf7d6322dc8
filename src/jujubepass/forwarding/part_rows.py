"""Rows of suspected parts of prompts in the platform's table."""

import collections.abc
import typing

from jujubepass import ids
from jujubepass.forwarding import prompt_parts
from jujubepass.storage import _store_messages

_MAX_KEY_BYTES = 200
_MAX_ENDED_RUNS = 64


class PartRowError(Exception):
    """Signal that a row contains no valid part."""


def is_storable(key: prompt_parts.PartKey) -> bool:
    """Return whether the store takes rows with a part's key."""
    return len(str(key).encode(errors="replace")) <= _MAX_KEY_BYTES


def read_part(key: str, version: int, value: typing.Any) -> prompt_parts.SuspectedPart:
    """Parse a part from its row; raises PartRowError."""
    service, separator, part = key.partition("/")
    if not separator or not part:
        raise PartRowError(f"{key!r} is not a part's key")
    try:
        return prompt_parts.SuspectedPart(
            key=prompt_parts.PartKey(
                service=ids.ServiceId(service), part=ids.PromptPartId(part)
            ),
            version=version,
            ended=frozenset(
                prompt_parts.EngineRun(
                    engine=ids.BackendServerId(str(engine)), started_at=int(started_at)
                )
                for engine, started_at in value["ended"][:_MAX_ENDED_RUNS]
            ),
            depth=int(value["depth"]),
            trials=max(0, int(value["trials"])),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PartRowError(f"{key!r} contains no valid part: {error!r}") from error


def write_parts(
    operation: _store_messages.OperationId,
    writes: collections.abc.Iterable[prompt_parts.PartWrite],
) -> _store_messages.Transact:
    """Return writes of rows on condition that each has the version that is known."""
    writes = tuple(writes)
    return _store_messages.Transact(
        operation=operation,
        conditions=tuple(
            _store_messages.Condition(key=str(each.key), version=each.version)
            for each in writes
        ),
        writes=tuple(
            _store_messages.Write(key=str(each.key), value=_format(each.row))
            for each in writes
        ),
    )


def _format(
    row: prompt_parts.SuspectedPart | None,
) -> dict[str, typing.Any] | None:
    if row is None:
        return None
    return {
        "ended": [[run.engine, run.started_at] for run in sorted(row.ended)],
        "depth": row.depth,
        "trials": row.trials,
    }
