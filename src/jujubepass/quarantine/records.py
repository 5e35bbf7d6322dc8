"""Records of suspects, as rows and this node's own requests tell of them."""

import random

import attrs

from jujubepass.forwarding import board
from jujubepass.quarantine import suspects

# As many as a row holds; of suspects with more, none counts as the worse one.
MAX_ENDED_RUNS = 64
FORGET_SECONDS = 600.0
"""Time after which a suspect that is not in quarantine is forgotten."""
_MAX_RECORDS = 5_000
MAX_SHARED_RECORDS = 2_000
"""Number from which on suspects with a single end are no longer written."""
# From this number on, suspects with a single end make room for new ones early.
_CROWDED_RECORDS = 1_500
_CROWDED_FORGET_SECONDS = 20.0
_DROPPED_RECORDS = 500


@attrs.frozen(kw_only=True)
class Records:
    """Keep the records of the quarantine's area."""

    area: board.QuarantineArea
    random_source: random.Random = attrs.field(factory=random.Random)

    def find(self, key: suspects.Key, now: float) -> suspects.Record:
        """Return the record of a suspect, a new one if there is none."""
        records = self.area.records
        if key not in records:
            if len(records) >= _MAX_RECORDS:
                self._drop_least_suspected()
            records[key] = suspects.Record(
                row=suspects.make_absent_row(key),
                ended={},
                depth=0,
                changed_at=now,
                trials_seen_at=now,
            )
        return records[key]

    def _drop_least_suspected(self) -> None:
        """Drop some records with the fewest ends, those without a row first.

        What ends servers again and again soon has more ends than the suspects that
        come with it. Chance decides among equals, as the suspects of one end may be
        more than there is room for, in the same order each time.
        """
        area = self.area
        found = [key for key in area.records if key not in area.quarantined]
        self.random_source.shuffle(found)
        found.sort(key=self._rank)
        for key in found[:_DROPPED_RECORDS]:
            del area.records[key]

    def _rank(self, key: suspects.Key) -> tuple[int, bool]:
        record = self.area.records[key]
        return len(record.ended), record.row.version > 0

    def find_end_of_record(self, record: suspects.Record) -> float:
        """Return when a suspect is forgotten unless it is in quarantine."""
        is_crowded = len(self.area.records) >= _CROWDED_RECORDS
        if is_crowded and len(record.ended) <= 1:
            return record.changed_at + _CROWDED_FORGET_SECONDS
        return record.changed_at + FORGET_SECONDS

    def forget_unwritten(self, now: float) -> None:
        """Drop records that are old and have no row."""
        area = self.area
        old = [
            key
            for key, record in area.records.items()
            if not record.row.version and now >= self.find_end_of_record(record)
        ]
        for key in old:
            if key not in area.quarantined:
                self.remove(key)

    def install(self, row: suspects.Suspect, now: float) -> None:
        """Take over what a row holds, unless a newer one is known."""
        record = self.find(row.key, now)
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
            if len(record.ended) < MAX_ENDED_RUNS:
                record.ended[run] = record.changed_at = now

    def remove_row(self, key: suspects.Key, now: float) -> None:
        """Drop what a removed row held, and keep what was not written yet."""
        record = self.area.records.get(key)
        if record is None or not record.row.version:
            return
        rest = {
            run: seen_at
            for run, seen_at in record.ended.items()
            if run not in record.row.ended
        }
        self.remove(key)
        if rest:
            self.find(key, now).ended = rest

    def remove(self, key: suspects.Key) -> None:
        """Drop the record of a suspect."""
        self.area.records.pop(key, None)

    def rename(self, before: suspects.Key, key: suspects.Key, now: float) -> None:
        """Move what is known of a suspect whose key has changed."""
        record = self.area.records.pop(before, None)
        self.area.quarantined.pop(before, None)
        if record is None:
            return
        found = self.find(key, now)
        for run, seen_at in record.ended.items():
            if len(found.ended) < MAX_ENDED_RUNS:
                found.ended.setdefault(run, seen_at)
