"""Parts of prompts, and the ends of engines that are held against them."""

import collections.abc

import attrs

from jujubepass import ids

MIN_ENDED_RUNS = 3
"""Ended runs of engines from which on a part is in quarantine."""

# Of more suspected parts, each of the first ones begins an explanation.
_MAX_EXPLANATIONS = 16
# An explanation with one more part has to explain this many more ended runs. Some end
# for other reasons, and two sound parts may be in all prompts that they broke.
_MIN_RUNS_PER_PART = 5


@attrs.frozen(kw_only=True)
class PartKey:
    """Identify a part among the prompts of a service."""

    service: ids.ServiceId
    part: ids.PromptPartId

    def __str__(self) -> str:
        return f"{self.service}/{self.part}"


@attrs.frozen(kw_only=True, order=True)
class EngineRun:
    """Identify one run of an engine."""

    engine: ids.BackendServerId
    started_at: int


@attrs.frozen(kw_only=True)
class SuspectedPart:
    """Describe the row of a part under which runs of engines have ended."""

    key: PartKey
    version: int
    ended: frozenset[EngineRun]
    depth: int
    """Greatest index of the part in a prompt."""
    trials: int = 0
    """Requests that were let through since the part is in quarantine."""


@attrs.define(kw_only=True)
class PartRecord:
    """Track what this node knows of a suspected part; times are on the boot clock."""

    row: SuspectedPart
    """The row as it was last read or written; version 0 without one."""
    ended: dict[EngineRun, float]
    """Ended runs, those not yet written too, with the time this node learned of it."""
    depth: int
    changed_at: float
    trials_seen_at: float
    returned_at: float | None = None
    """Time at which a request returned a trial of this node that it did not use."""
    disproved_at: float | None = None
    """Time since which this node has seen a sound run of the part."""
    turn: int | None = None
    """Turn at which this node removes the row; None before it is known."""

    @property
    def is_written(self) -> bool:
        """Return whether the row holds all that this node knows."""
        return self.ended.keys() <= self.row.ended


@attrs.frozen(kw_only=True)
class PartWrite:
    """Replace or, without a new row, remove the row of a part under its version."""

    key: PartKey
    version: int
    row: SuspectedPart | None


def find_culprits(
    records: collections.abc.Iterable[PartRecord],
) -> set[PartKey]:
    """Return few parts that explain most ended runs, each enough of them.

    Of two parts with as many ended runs, the deeper one is in fewer prompts.
    """
    suspects = [
        _Suspect(runs=frozenset(each.ended), depth=each.depth, key=each.row.key)
        for each in records
        if len(each.ended) >= MIN_ENDED_RUNS
    ]
    suspects.sort(key=_Suspect.rank, reverse=True)
    explanations = [_explain(first, suspects) for first in suspects[:_MAX_EXPLANATIONS]]
    best = max(explanations, key=_rate_explanation, default=[])
    return {each.key for each in best}


@attrs.frozen(kw_only=True)
class _Suspect:
    """Describe the ended runs of a part that no other part explains."""

    runs: frozenset[EngineRun]
    depth: int
    key: PartKey

    def rank(self) -> tuple[int, int, str]:
        """Return a sort key that grows with the suspicion."""
        return len(self.runs), self.depth, str(self.key)


def _explain(first: _Suspect, suspects: list[_Suspect]) -> list[_Suspect]:
    """Return this part and the most suspected ones for the runs that are left."""
    found = [first]
    left = suspects
    while True:
        explained, chosen = found[-1].runs, found[-1].key
        left = [
            attrs.evolve(each, runs=rest)
            for each in left
            if each.key != chosen
            and len(rest := each.runs - explained) >= MIN_ENDED_RUNS
        ]
        if not left:
            return found
        found.append(max(left, key=_Suspect.rank))


def _rate_explanation(found: list[_Suspect]) -> int:
    explained = sum(len(each.runs) for each in found)
    return explained - _MIN_RUNS_PER_PART * len(found)


def merge(record: PartRecord) -> SuspectedPart:
    """Return the row with all that this node knows of a part."""
    return attrs.evolve(
        record.row, ended=record.row.ended.union(record.ended), depth=record.depth
    )


def make_absent_row(key: PartKey, trials: int = 0) -> SuspectedPart:
    """Return what stands for a row that does not exist."""
    return SuspectedPart(key=key, version=0, ended=frozenset(), depth=0, trials=trials)


def describe(record: PartRecord) -> dict[str, str | int]:
    """Return the fields of a part's log lines."""
    key = record.row.key
    return {
        "service": key.service,
        "part": key.part,
        "ended": len(record.ended),
        "backends": ",".join(sorted({run.engine for run in record.ended})),
        "trials": record.row.trials,
    }
