"""Suspects: requests and parts of prompts under which backend servers have ended."""

import collections.abc
import hashlib

import attrs

from jujubepass import ids

MIN_ENDED_RUNS = 3
"""Ended runs of servers from which on a suspect is in quarantine."""

_MAX_KEY_BYTES = 200
_MAX_BYTES_PER_CHARACTER = 4

# Of more suspects, the first ones are considered, and fewer begin an explanation. The
# time to find one grows with the square of their number.
_MAX_CANDIDATES = 64
_MAX_EXPLANATIONS = 16
# An explanation with one more suspect has to explain this many more ended runs. Some
# end for other reasons, and two sound parts may be in all prompts that they broke.
_MIN_RUNS_PER_SUSPECT = 5


@attrs.frozen(kw_only=True)
class PartKey:
    """Identify a part among the prompts of a service."""

    service: ids.ServiceId
    part: ids.PromptPartId

    def __str__(self) -> str:
        return f"{self.service}/{self.part}"

    def describe(self) -> dict[str, str]:
        """Return the fields of log lines that name the part."""
        return {"service": self.service, "part": self.part}


@attrs.frozen(kw_only=True)
class RequestKey:
    """Identify a request by a digest, whatever service it goes to."""

    digest: ids.RequestDigest

    def __str__(self) -> str:
        # No service has an empty name.
        return f"/{self.digest}"

    def describe(self) -> dict[str, str]:
        """Return the fields of log lines that name the request."""
        return {"request_digest": self.digest}


Key = PartKey | RequestKey


def list_part_keys(
    service: ids.ServiceId, parts: collections.abc.Iterable[ids.PromptPartId]
) -> tuple[PartKey, ...]:
    """Return the keys of the parts of a prompt, in order."""
    return tuple(_make_part_key(service, part) for part in parts)


def is_storable(key: Key) -> bool:
    """Return whether the store takes rows with a suspect's key."""
    text = str(key)
    if len(text) * _MAX_BYTES_PER_CHARACTER <= _MAX_KEY_BYTES:
        return True
    return len(text.encode(errors="replace")) <= _MAX_KEY_BYTES


def _make_part_key(service: ids.ServiceId, part: ids.PromptPartId) -> PartKey:
    """Return the key of a part; a digest stands for a name too long for the store."""
    key = PartKey(service=service, part=part)
    if is_storable(key):
        return key
    digest = hashlib.sha256(part.encode(errors="surrogatepass")).hexdigest()
    return PartKey(service=service, part=ids.PromptPartId(f"sha256:{digest}"))


@attrs.frozen(kw_only=True, order=True)
class ServerRun:
    """Identify one run of a backend server."""

    server: ids.BackendServerId
    started_at: int


@attrs.frozen(kw_only=True)
class Suspect:
    """Describe the row of a suspect under which runs of servers have ended."""

    key: Key
    version: int
    ended: frozenset[ServerRun]
    depth: int
    """Greatest index of a part in a prompt; 0 of a request."""
    trials: int = 0
    """Requests that were let through since the suspect is in quarantine."""


@attrs.define(kw_only=True)
class Record:
    """Track what this node knows of a suspect; times are on the boot clock."""

    row: Suspect
    """The row as it was last read or written; version 0 without one."""
    ended: dict[ServerRun, float]
    """Ended runs, those not yet written too, with the time this node learned of it."""
    depth: int
    changed_at: float
    trials_seen_at: float
    returned_at: float | None = None
    """Time at which a request returned a trial of this node that it did not use."""
    disproved_at: float | None = None
    """Time since which this node has seen a sound run."""
    turn: int | None = None
    """Turn at which this node removes the row; None before it is known."""

    @property
    def key(self) -> Key:
        """Return the suspect's key."""
        return self.row.key

    @property
    def is_written(self) -> bool:
        """Return whether the row holds all that this node knows."""
        return self.ended.keys() <= self.row.ended


@attrs.frozen(kw_only=True)
class SuspectWrite:
    """Replace or, without a new row, remove a suspect's row under its version."""

    key: Key
    version: int
    row: Suspect | None


def find_culprits(
    records: collections.abc.Iterable[Record],
) -> set[Key]:
    """Return few suspects that explain most ended runs, each enough of them.

    Of parts with as many, the deeper one is blamed, which is in fewer prompts.
    """
    candidates = [
        _Candidate(runs=frozenset(each.ended), depth=each.depth, key=each.key)
        for each in records
        if len(each.ended) >= MIN_ENDED_RUNS
    ]
    requests = [each for each in candidates if each.is_request]
    parts = [each for each in candidates if not each.is_request]
    # Two requests that crash servers often run on the same ones, so that one of them
    # explains most ends of both. A sound one that comes often is proven meanwhile.
    return {each.key for each in (*requests, *_find_best(parts, requests))}


@attrs.frozen(kw_only=True)
class _Candidate:
    """Describe the ended runs of a suspect that no other one explains."""

    runs: frozenset[ServerRun]
    depth: int
    key: Key

    @property
    def is_request(self) -> bool:
        """Return whether the suspect is a request, not a part."""
        return isinstance(self.key, RequestKey)

    @property
    def weight(self) -> int:
        """Return how many ended runs of a part weigh as much.

        A part of a request's prompt may have one end more for another reason.
        """
        return len(self.runs) + self.is_request

    def without(self, runs: frozenset[ServerRun]) -> "_Candidate":
        """Return the suspect without some of its ended runs."""
        if self.runs.isdisjoint(runs):
            return self
        return _Candidate(runs=self.runs - runs, depth=self.depth, key=self.key)

    def rank(self) -> tuple[int, bool, int, str]:
        """Return a sort key that grows with the suspicion."""
        return self.weight, self.is_request, self.depth, str(self.key)


def _find_best(parts: list[_Candidate], requests: list[_Candidate]) -> list[_Candidate]:
    """Return the explanation of the parts' ended runs that explains most by few."""
    runs = frozenset[ServerRun]().union(*(each.runs for each in parts))
    candidates = [*parts, *(each for each in requests if each.runs & runs)]
    candidates.sort(key=_Candidate.rank, reverse=True)
    del candidates[_MAX_CANDIDATES:]
    explanations = [
        _explain(first, candidates) for first in candidates[:_MAX_EXPLANATIONS]
    ]
    return max(explanations, key=_rate_explanation, default=[])


def _explain(first: _Candidate, candidates: list[_Candidate]) -> list[_Candidate]:
    """Return this suspect and the most suspected ones for the runs that are left."""
    found = [first]
    left = candidates
    while True:
        explained, chosen = found[-1].runs, found[-1].key
        left = [
            rest
            for each in left
            if each.key != chosen
            and len((rest := each.without(explained)).runs) >= MIN_ENDED_RUNS
        ]
        if not left:
            return found
        found.append(max(left, key=_Candidate.rank))


def _rate_explanation(found: list[_Candidate]) -> int:
    explained = sum(each.weight for each in found)
    return explained - _MIN_RUNS_PER_SUSPECT * len(found)


def merge(record: Record) -> Suspect:
    """Return the row with all that this node knows of a suspect."""
    return attrs.evolve(
        record.row, ended=record.row.ended.union(record.ended), depth=record.depth
    )


def make_absent_row(key: Key, trials: int = 0) -> Suspect:
    """Return what stands for a row that does not exist."""
    return Suspect(key=key, version=0, ended=frozenset(), depth=0, trials=trials)


def describe(record: Record) -> dict[str, str | int]:
    """Return the fields of a suspect's log lines."""
    return {
        **record.key.describe(),
        "ended": len(record.ended),
        "backends": ",".join(sorted({run.server for run in record.ended})),
        "trials": record.row.trials,
    }
