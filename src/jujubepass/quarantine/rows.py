"""Rows of suspects in the platform's table."""

import collections.abc
import re
import typing

from jujubepass import _decoding, ids
from jujubepass.quarantine import suspects
from jujubepass.storage import _store_messages

_MAX_ENDED_RUNS = 64
_REQUEST_DIGEST = re.compile(r"[0-9a-f]{32}", re.ASCII)


class SuspectRowError(Exception):
    """Signal that a row contains no valid suspect."""


def read_suspect(key: str, version: int, value: typing.Any) -> suspects.Suspect:
    """Parse a suspect from its row; raises SuspectRowError."""
    found_key = _read_key(key)
    try:
        return suspects.Suspect(
            key=found_key,
            version=version,
            ended=frozenset(map(_read_run, value["ended"][:_MAX_ENDED_RUNS])),
            depth=_decoding.read_integer(value["depth"]),
            trials=_decoding.read_integer(value["trials"]),
        )
    except _decoding.MALFORMED_ERRORS as error:
        raise SuspectRowError(
            f"{key!r} contains no valid suspect: {error!r:.100}"
        ) from error


def _read_key(key: str) -> suspects.Key:
    service, separator, name = key.partition("/")
    if not separator or not name:
        raise SuspectRowError(f"{key!r} is not a suspect's key")
    if service:
        return suspects.PartKey(
            service=ids.ServiceId(service), part=ids.PromptPartId(name)
        )
    if _REQUEST_DIGEST.fullmatch(name) is None:
        raise SuspectRowError(f"{key!r} is not a request's key")
    return suspects.RequestKey(digest=ids.RequestDigest(name))


def _read_run(value: typing.Any) -> suspects.ServerRun:
    server, started_at = value
    return suspects.ServerRun(
        server=ids.BackendServerId(_decoding.read_text(server)),
        started_at=_decoding.read_integer(started_at),
    )


def write_suspects(
    operation: _store_messages.OperationId,
    writes: collections.abc.Iterable[suspects.SuspectWrite],
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
    row: suspects.Suspect | None,
) -> dict[str, typing.Any] | None:
    if row is None:
        return None
    return {
        "ended": [[run.server, run.started_at] for run in sorted(row.ended)],
        "depth": row.depth,
        "trials": row.trials,
    }
