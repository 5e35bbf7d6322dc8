"""Quarantine of parts of prompts under which one engine after the other ends."""

import collections.abc
import logging

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    board,
    engine_ends,
    feeds,
    members,
    part_trials,
    prompt_parts,
)

_LOGGER = logging.getLogger(__name__)

# As many as a row holds; of parts with more, none counts as the worse one.
_MAX_ENDED_RUNS = 64
_PROOF_SECONDS = 60.0
_MAX_PROOFS = 10_000
_MAX_RECORDS = 5_000
_REMOVAL_TURN_SECONDS = 0.1
# Longest time that requests wait for the first read of the rows.
_MAX_FIRST_READ_SECONDS = 1.0
_FORGET_SECONDS = 600.0
_FORGET_TURN_SECONDS = 30.0
_MAX_ROWS_PER_WRITE = 20

# Aliases, because they are long and in every signature.
_PartKey = prompt_parts.PartKey
_EngineRun = prompt_parts.EngineRun


@attrs.define(kw_only=True)
class Quarantine:
    """Attribute ends of engines to parts of prompts; writes the prompt area."""

    blackboard: board.Blackboard
    suspicions: int = attrs.field(default=0, init=False)
    trials: int = attrs.field(default=0, init=False)
    removals: int = attrs.field(default=0, init=False)
    ends: engine_ends.EngineEnds = attrs.field(init=False)
    _proofs: dict[_PartKey, float] = attrs.field(factory=dict, init=False)
    """Last sound run of each part, the latest last."""
    _era: int = attrs.field(default=0, init=False)

    _first_asked_at: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.ends = engine_ends.EngineEnds(area=self.blackboard.backends)

    def record_break(
        self,
        service: ids.ServiceId,
        parts: collections.abc.Sequence[ids.PromptPartId],
        runs: collections.abc.Iterable[_EngineRun],
        now: float,
    ) -> None:
        """Record a request that broke before it was proven on these runs of engines."""
        depths = {
            _PartKey(service=service, part=part): depth
            for depth, part in enumerate(parts)
        }
        for run in runs:
            self._blame(run, self.ends.record_break(run, depths, now), now)
        self._decide(now)

    def record_end(
        self, engine: ids.BackendServerId, started_at: int, now: float
    ) -> None:
        """Record that a run of an engine has certainly ended."""
        run = _EngineRun(engine=engine, started_at=started_at)
        self._blame(run, self.ends.confirm(run, now), now)
        self._decide(now)

    def _blame(self, run: _EngineRun, depths: dict[_PartKey, int], now: float) -> None:
        for key, depth in depths.items():
            if self._is_proven(key, now):
                continue
            record = self._find_record(key, now)
            record.depth = max(record.depth, depth)
            if run in record.ended or len(record.ended) >= _MAX_ENDED_RUNS:
                continue
            record.ended[run] = record.changed_at = now
            self.suspicions += 1
            _LOGGER.info(
                "part of prompts suspected",
                extra={
                    "service": key.service,
                    "part": key.part,
                    "backend": run.engine,
                    "ended": len(record.ended),
                },
            )

    def _find_record(self, key: _PartKey, now: float) -> prompt_parts.PartRecord:
        records = self.blackboard.prompts.records
        if key not in records:
            self._drop_oldest()
            records[key] = prompt_parts.PartRecord(
                row=prompt_parts.make_absent_row(key),
                ended={},
                depth=0,
                changed_at=now,
                trials_seen_at=now,
            )
        return records[key]

    def _drop_oldest(self) -> None:
        area = self.blackboard.prompts
        if len(area.records) < _MAX_RECORDS:
            return
        oldest = next(
            (key for key in area.records if key not in area.quarantined), None
        )
        if oldest is not None:
            del area.records[oldest]

    def record_proof(
        self,
        service: ids.ServiceId,
        parts: collections.abc.Iterable[ids.PromptPartId],
        now: float,
    ) -> None:
        """Record a run that outlasted the time in which a part crashes its engine."""
        is_suspected = False
        for part in parts:
            key = _PartKey(service=service, part=part)
            self._proofs.pop(key, None)
            self._proofs[key] = now
            is_suspected |= key in self.blackboard.prompts.records
        while len(self._proofs) > _MAX_PROOFS:
            del self._proofs[next(iter(self._proofs))]
        if is_suspected:
            self._decide(now)

    def _is_proven(self, key: _PartKey, now: float) -> bool:
        """Return whether a part had a sound run that later ends do not outweigh."""
        proved_at = self._proofs.get(key)
        if proved_at is None or now - proved_at >= _PROOF_SECONDS:
            return False
        record = self.blackboard.prompts.records.get(key)
        if record is None:
            return True
        later = sum(seen_at > proved_at for seen_at in record.ended.values())
        return later < prompt_parts.MIN_ENDED_RUNS

    def is_proven(
        self,
        service: ids.ServiceId,
        parts: collections.abc.Iterable[ids.PromptPartId],
        now: float,
    ) -> bool:
        """Return whether all of these parts had sound runs of late."""
        return all(
            self._is_proven(_PartKey(service=service, part=part), now) for part in parts
        )

    def check(self, now: float) -> None:
        """Confirm ends by newly listed runs, and drop what is too old."""
        for run in self.ends.list_restarted():
            self._blame(run, self.ends.confirm(run, now), now)
        self.ends.remove_old(now)
        self._decide(now)

    def _decide(self, now: float) -> None:
        """Update which parts are in quarantine."""
        area = self.blackboard.prompts
        candidates = []
        for key, record in area.records.items():
            is_proven = self._is_proven(key, now)
            if not is_proven:
                record.disproved_at = None
                candidates.append(record)
            elif record.disproved_at is None:
                record.disproved_at = now
        found = prompt_parts.find_culprits(candidates)
        for key in found - area.quarantined.keys():
            area.quarantined[key] = now
            record = area.records[key]
            extra = prompt_parts.describe(record)
            _LOGGER.warning("part of prompts quarantined", extra=extra)
        for key in area.quarantined.keys() - found:
            del area.quarantined[key]
            _LOGGER.info(
                "part of prompts released",
                extra={"service": key.service, "part": key.part},
            )

    def is_ready(self, now: float) -> bool:
        """Return whether rows were read, or could not be since the first request."""
        if self._first_asked_at is None:
            self._first_asked_at = now
        is_late = now - self._first_asked_at >= _MAX_FIRST_READ_SECONDS
        return is_late or self.blackboard.prompts.is_initialized

    def find_wait(
        self,
        service: ids.ServiceId,
        parts: collections.abc.Iterable[ids.PromptPartId],
        now: float,
    ) -> float | None:
        """Return the time until a request may be tried; None if it may run now.

        A time of 0.0 or less means that it may run once its trial was claimed.
        """
        area = self.blackboard.prompts
        keys = self._list_quarantined(service, parts)
        if not keys:
            return None
        wait = max(self._find_trial_time(key) for key in keys) - now
        if len(keys) > 1:
            # A trial would not tell which of them is sound.
            return max(wait, part_trials.TRIAL_SECONDS[-1])
        others = [
            record
            for part in parts
            if (record := area.records.get(key := _PartKey(service=service, part=part)))
            and key not in keys
            and not self._is_proven(key, now)
        ]
        (key,) = keys
        return part_trials.find_suitable_wait(wait, area.records[key], others)

    def _list_quarantined(
        self,
        service: ids.ServiceId,
        parts: collections.abc.Iterable[ids.PromptPartId],
    ) -> set[_PartKey]:
        keys = {_PartKey(service=service, part=part) for part in parts}
        return keys & self.blackboard.prompts.quarantined.keys()

    def _find_trial_time(self, key: _PartKey) -> float:
        area = self.blackboard.prompts
        return part_trials.find_trial_time(area.records[key], area.quarantined[key])

    def make_claim(
        self,
        service: ids.ServiceId,
        parts: collections.abc.Iterable[ids.PromptPartId],
        now: float,
    ) -> prompt_parts.PartWrite | None:
        """Return the write that claims a trial, or None if none is due."""
        keys = self._list_quarantined(service, parts)
        if len(keys) != 1:
            return None
        key = keys.pop()
        record = self.blackboard.prompts.records[key]
        if now < self._find_trial_time(key):
            return None
        row = attrs.evolve(prompt_parts.merge(record), trials=record.row.trials + 1)
        return prompt_parts.PartWrite(key=key, version=record.row.version, row=row)

    def return_trial(
        self,
        service: ids.ServiceId,
        parts: collections.abc.Iterable[ids.PromptPartId],
        now: float,
    ) -> None:
        """Record that the request of a trial has not run, so that another one may."""
        for key in self._list_quarantined(service, parts):
            self.blackboard.prompts.records[key].returned_at = now

    def take_returned_trial(
        self,
        service: ids.ServiceId,
        parts: collections.abc.Iterable[ids.PromptPartId],
    ) -> bool:
        """Return whether a trial was returned to this node, which ends with that."""
        keys = self._list_quarantined(service, parts)
        if len(keys) != 1:
            return False
        record = self.blackboard.prompts.records[keys.pop()]
        is_returned, record.returned_at = record.returned_at is not None, None
        return is_returned

    def record_claim(self, key: _PartKey) -> None:
        """Record that this node has claimed a trial of a part."""
        self.trials += 1
        record = self.blackboard.prompts.records.get(key)
        if record is not None:
            extra = prompt_parts.describe(record)
            _LOGGER.warning("trial of a part of prompts", extra=extra)

    def list_writes(self, now: float) -> list[prompt_parts.PartWrite]:
        """Return the writes that are due, the gravest first."""
        area = self.blackboard.prompts
        found: list[tuple[int, int, prompt_parts.PartWrite]] = []
        for key, record in area.records.items():
            row: prompt_parts.SuspectedPart | None = None
            if not self._is_removal_due(key, record, now):
                if record.is_written or record.disproved_at is not None:
                    continue
                row = prompt_parts.merge(record)
            write = prompt_parts.PartWrite(key=key, version=record.row.version, row=row)
            found.append((len(record.ended), record.depth, write))
        found.sort(key=lambda each: each[:2], reverse=True)
        return [write for _, _, write in found[:_MAX_ROWS_PER_WRITE]]

    def _is_removal_due(
        self, key: _PartKey, record: prompt_parts.PartRecord, now: float
    ) -> bool:
        """Return whether it is this node's turn to remove a row."""
        since, turn_seconds = record.disproved_at, _REMOVAL_TURN_SECONDS
        if since is None:
            if key in self.blackboard.prompts.quarantined:
                return False
            since, turn_seconds = (
                record.changed_at + _FORGET_SECONDS,
                _FORGET_TURN_SECONDS,
            )
        if not record.row.version or now < since:
            return False
        if record.turn is None:
            record.turn = members.find_turn(self.blackboard, f"prompts/{key}")
        last_turn = len(self.blackboard.members.nodes).bit_length()
        turn = last_turn if record.turn is None else record.turn
        return now >= since + turn * turn_seconds

    def record_written(
        self, write: prompt_parts.PartWrite, version: int, now: float
    ) -> None:
        """Record that a write has taken effect under a version."""
        if write.row is None:
            self.removals += 1
            self._remove(write.key)
        else:
            self._install(attrs.evolve(write.row, version=version), now)
        self._decide(now)

    def install_conflict(
        self, key: _PartKey, row: prompt_parts.SuspectedPart | None, now: float
    ) -> None:
        """Install a row that a write did not expect; None if there is none."""
        if row is None:
            self._remove_row(key, now)
        else:
            self._install(row, now)
        self._decide(now)

    def apply(
        self, changes: feeds.Changes[prompt_parts.SuspectedPart], now: float
    ) -> None:
        """Apply rows that were read; a row that was removed clears its part."""
        area = self.blackboard.prompts
        area.is_initialized = True
        if changes.era != self._era:
            # The store's copy may lack rows, which are written again.
            self._era = changes.era
            for record in area.records.values():
                record.row = prompt_parts.make_absent_row(
                    record.row.key, record.row.trials
                )
        elif changes.is_complete:
            for key, record in list(area.records.items()):
                if record.row.version and str(key) not in changes.items:
                    self._remove_row(key, now)
        known = {str(key): key for key in area.records}
        for name, row in changes.items.items():
            if row is not None:
                self._install(row, now)
            elif name in known:
                self._remove_row(known[name], now)
        self._decide(now)

    def _install(self, row: prompt_parts.SuspectedPart, now: float) -> None:
        record = self._find_record(row.key, now)
        if row.version < record.row.version:
            return
        trials = max(row.trials, record.row.trials)
        if trials != record.row.trials:
            record.trials_seen_at = now
            record.returned_at = None
        # A copy of the store may lack the newest trials.
        record.row = attrs.evolve(row, trials=trials)
        record.depth = max(record.depth, row.depth)
        for run in sorted(row.ended - record.ended.keys()):
            if len(record.ended) < _MAX_ENDED_RUNS:
                record.ended[run] = record.changed_at = now

    def _remove_row(self, key: _PartKey, now: float) -> None:
        """Drop what a removed row held, and keep what was not written yet."""
        record = self.blackboard.prompts.records.get(key)
        if record is None or not record.row.version:
            return
        rest = {
            run: seen_at
            for run, seen_at in record.ended.items()
            if run not in record.row.ended
        }
        self._remove(key)
        if rest:
            self._find_record(key, now).ended = rest

    def _remove(self, key: _PartKey) -> None:
        self.blackboard.prompts.records.pop(key, None)
