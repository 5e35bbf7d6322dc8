"""Controller that attributes ends of backend servers to suspects."""

import collections.abc
import logging

import attrs

from jujubepass import ids
from jujubepass.forwarding import board, feeds, members
from jujubepass.quarantine import (
    abandonments,
    ends,
    fingerprints,
    proofs,
    records,
    suspects,
    trials,
)

_LOGGER = logging.getLogger(__name__)

_REMOVAL_TURN_SECONDS = 0.1
# Longest time that requests wait for the first read of the rows.
_MAX_FIRST_READ_SECONDS = 1.0
_FORGET_TURN_SECONDS = 30.0
_MAX_ROWS_PER_WRITE = 20
# Further suspects of an end are logged by their number.
_MAX_LOGGED_SUSPECTS = 64
# Proofs lose their force with time, which no event shows.
_DECISION_INTERVAL_SECONDS = 1.0

# Aliases, because fields have the same names as the modules, or are in every signature.
_Key = suspects.Key
_ServerRun = suspects.ServerRun
_Fingerprints = fingerprints.Fingerprints
_ServerEnds = ends.ServerEnds


@attrs.define(kw_only=True)
class Quarantine:
    """Attribute ends of servers to suspects; writes the quarantine's area."""

    blackboard: board.Blackboard
    fingerprints: _Fingerprints = attrs.field(factory=_Fingerprints)
    suspicions: int = attrs.field(default=0, init=False)
    trials: int = attrs.field(default=0, init=False)
    removals: int = attrs.field(default=0, init=False)
    ends: _ServerEnds = attrs.field(init=False)
    _records: records.Records = attrs.field(init=False)
    _proofs: proofs.Proofs = attrs.field(factory=proofs.Proofs, init=False)
    _abandonments: abandonments.Abandonments = attrs.field(
        factory=abandonments.Abandonments, init=False
    )
    _era: int = attrs.field(default=0, init=False)
    _first_asked_at: float | None = attrs.field(default=None, init=False)
    _decided_at: float = attrs.field(default=float("-inf"), init=False)
    _ended_at: float = attrs.field(default=float("-inf"), init=False)
    """Time at which the last end of a server was confirmed."""

    def __attrs_post_init__(self) -> None:
        area = self.blackboard.quarantine
        self.ends = ends.ServerEnds(area=self.blackboard.backends, known=area.records)
        self._records = records.Records(area=self.blackboard.quarantine)

    def record_break(
        self,
        keys: collections.abc.Sequence[_Key],
        runs: collections.abc.Iterable[_ServerRun],
        now: float,
        *,
        is_probed: bool = True,
    ) -> None:
        """Record a request that broke before it was proven on these runs of servers.

        The keys of its prompt's parts come first, in order.
        """
        depths = {
            key: depth if isinstance(key, suspects.PartKey) else 0
            for depth, key in enumerate(keys)
            if not self._is_proven(key, now)
        }
        for run in runs:
            found = self.ends.record_break(run, depths, now, is_probed=is_probed)
            self._blame(run, found, now)

    def record_abandoned(self, left: abandonments.Abandonment) -> None:
        """Record a request that its caller left, under which servers may still end.

        Callers leave often: without a recent end, it is only identified once there is
        one, and its servers are checked only if it was left before.
        """
        if self.has_recent_ends(left.left_at):
            self._report_abandoned(left, left.left_at, is_probed=True)
            return
        is_known = self._abandonments.add(left)
        for run in left.runs:
            self.ends.record_break(run, {}, left.left_at, is_probed=is_known)

    def _report_abandoned(
        self, left: abandonments.Abandonment, now: float, *, is_probed: bool
    ) -> None:
        key = self.fingerprints.remember(left.identity)
        self.record_break((*left.parts, key), left.runs, now, is_probed=is_probed)

    def _record_ended(self, run: _ServerRun, now: float) -> None:
        """Record an end, for which requests may be to blame that callers left."""
        self._ended_at = now
        for left in self._abandonments.take(now):
            self._report_abandoned(left, now, is_probed=False)
        self._blame(run, self.ends.confirm(run, now), now)

    def record_end(
        self, server: ids.BackendServerId, started_at: int, now: float
    ) -> None:
        """Record that a run of a server has certainly ended."""
        self._record_ended(_ServerRun(server=server, started_at=started_at), now)

    def has_recent_ends(self, now: float) -> bool:
        """Return whether this node knows of a server's end that is not long ago."""
        if self.blackboard.quarantine.records:
            return True
        return now - self._ended_at < records.FORGET_SECONDS

    def _blame(self, run: _ServerRun, depths: dict[_Key, int], now: float) -> None:
        """Hold the end of a run against suspects, unless they are proven."""
        area = self.blackboard.quarantine
        # New records may take the place of those with as few ends.
        keys = sorted(depths, key=lambda key: key not in area.records)
        logged = 0
        for key in keys:
            if self._is_proven(key, now):
                continue
            record = self._records.find(key, now)
            record.depth = max(record.depth, depths[key])
            if run in record.ended or len(record.ended) >= records.MAX_ENDED_RUNS:
                continue
            record.ended[run] = record.changed_at = now
            self.suspicions += 1
            logged += 1
            if logged > _MAX_LOGGED_SUSPECTS:
                continue
            extra = {"backend": run.server, "ended": len(record.ended)}
            _LOGGER.info(
                "end of a server held against a suspect",
                extra={**key.describe(), **extra},
            )
        if logged > _MAX_LOGGED_SUSPECTS:
            _LOGGER.info(
                "end of a server held against further suspects",
                extra={
                    "backend": run.server,
                    "suspects": logged - _MAX_LOGGED_SUSPECTS,
                },
            )
        if depths:
            self._decide(now)

    def record_proof(self, keys: collections.abc.Iterable[_Key], now: float) -> None:
        """Record a run that outlasted the time in which a suspect ends its server."""
        is_suspected = False
        for key in keys:
            self._proofs.record(key, now)
            is_suspected |= key in self.blackboard.quarantine.records
        if is_suspected:
            self._decide(now)

    def _is_proven(self, key: _Key, now: float) -> bool:
        record = self.blackboard.quarantine.records.get(key)
        return self._proofs.holds(key, record, now)

    def is_proven(self, keys: collections.abc.Iterable[_Key], now: float) -> bool:
        """Return whether all of these had sound runs of late."""
        return all(self._is_proven(key, now) for key in keys)

    def check(self, now: float) -> None:
        """Confirm ends by newly listed runs, and drop what is too old."""
        for run in self.ends.list_restarted():
            self._record_ended(run, now)
        self.ends.remove_old(now)
        if now - self._decided_at >= _DECISION_INTERVAL_SECONDS:
            self._records.forget_unwritten(now)
            self._decide(now)

    def _decide(self, now: float) -> None:
        """Update which suspects are in quarantine."""
        self._decided_at = now
        area = self.blackboard.quarantine
        candidates = []
        for key, record in area.records.items():
            is_proven = self._is_proven(key, now)
            if not is_proven:
                record.disproved_at = None
                candidates.append(record)
            elif record.disproved_at is None:
                record.disproved_at = now
        found = suspects.find_culprits(candidates)
        for key in found - area.quarantined.keys():
            area.quarantined[key] = now
            extra = suspects.describe(area.records[key])
            _LOGGER.warning("suspect quarantined", extra=extra)
        for key in area.quarantined.keys() - found:
            del area.quarantined[key]
            _LOGGER.info("suspect released", extra=key.describe())

    def is_ready(self, now: float) -> bool:
        """Return whether rows were read, or could not be since the first request."""
        if self._first_asked_at is None:
            self._first_asked_at = now
        is_late = now - self._first_asked_at >= _MAX_FIRST_READ_SECONDS
        return is_late or self.blackboard.quarantine.is_initialized

    def find_wait(
        self, keys: collections.abc.Collection[_Key], now: float
    ) -> float | None:
        """Return the time until a request may be tried; None if it may run now.

        A time of 0.0 or less means that it may run once its trial was claimed.
        """
        area = self.blackboard.quarantine
        found = self.list_quarantined(keys)
        if not found:
            return None
        wait = max(self._find_trial_time(key) for key in found) - now
        if len(found) > 1:
            # A trial would not tell which of them is sound.
            return max(wait, trials.TRIAL_SECONDS[-1])
        (key,) = found
        if isinstance(key, suspects.RequestKey):
            return wait
        others = [
            record
            for other in keys
            if (record := area.records.get(other))
            and other != key
            and not self._is_proven(other, now)
        ]
        return trials.find_suitable_wait(wait, area.records[key], others)

    def list_quarantined(self, keys: collections.abc.Iterable[_Key]) -> set[_Key]:
        """Return which of these are in quarantine."""
        return self.blackboard.quarantine.quarantined.keys() & set(keys)

    def _find_trial_time(self, key: _Key) -> float:
        area = self.blackboard.quarantine
        return trials.find_trial_time(area.records[key], area.quarantined[key])

    def make_claim(
        self, keys: collections.abc.Iterable[_Key], now: float
    ) -> suspects.SuspectWrite | None:
        """Return the write that claims a trial, or None if none is due."""
        found = self.list_quarantined(keys)
        if len(found) != 1:
            return None
        key = found.pop()
        record = self.blackboard.quarantine.records[key]
        if now < self._find_trial_time(key):
            return None
        row = attrs.evolve(suspects.merge(record), trials=record.row.trials + 1)
        return suspects.SuspectWrite(key=key, version=record.row.version, row=row)

    def return_trial(self, keys: collections.abc.Iterable[_Key], now: float) -> None:
        """Record that the request of a trial has not run, so that another one may."""
        for key in self.list_quarantined(keys):
            self.blackboard.quarantine.records[key].returned_at = now

    def take_returned_trial(self, keys: collections.abc.Iterable[_Key]) -> bool:
        """Return whether a trial was returned to this node, which ends with that."""
        found = self.list_quarantined(keys)
        if len(found) != 1:
            return False
        record = self.blackboard.quarantine.records[found.pop()]
        is_returned, record.returned_at = record.returned_at is not None, None
        return is_returned

    def record_claim(self, key: _Key) -> None:
        """Record that this node has claimed a trial of a suspect."""
        self.trials += 1
        record = self.blackboard.quarantine.records.get(key)
        if record is not None:
            extra = suspects.describe(record)
            _LOGGER.warning("trial of a suspect", extra=extra)

    def has_requests(self) -> bool:
        """Return whether a request is among the suspects."""
        records = self.blackboard.quarantine.records
        return any(isinstance(key, suspects.RequestKey) for key in records)

    def adopt_secret(self, secret: bytes, now: float) -> None:
        """Use the secret of all nodes; suspects of this node get new keys."""
        changed = self.fingerprints.adopt(secret)
        self.ends.rename(changed)
        for before, key in changed.items():
            self._proofs.rename(before, key)
            self._records.rename(before, key, now)
        self._decide(now)

    def list_writes(self, now: float) -> list[suspects.SuspectWrite]:
        """Return the writes that are due, the gravest first."""
        area = self.blackboard.quarantine
        found: list[tuple[int, int, suspects.SuspectWrite]] = []
        for key, record in area.records.items():
            row: suspects.Suspect | None = None
            if not self._is_removal_due(key, record, now):
                if record.is_written or not self._is_shareable(record):
                    continue
                row = suspects.merge(record)
            write = suspects.SuspectWrite(key=key, version=record.row.version, row=row)
            found.append((len(record.ended), record.depth, write))
        found.sort(key=lambda each: each[:2], reverse=True)
        return [write for _, _, write in found[:_MAX_ROWS_PER_WRITE]]

    def _is_shareable(self, record: suspects.Record) -> bool:
        """Return whether other nodes are to know of a suspect."""
        if record.disproved_at is not None:
            return False
        is_request = isinstance(record.key, suspects.RequestKey)
        if is_request and not self.fingerprints.is_shared:
            return False
        known = len(self.blackboard.quarantine.records)
        return len(record.ended) > 1 or known < records.MAX_SHARED_RECORDS

    def _is_removal_due(self, key: _Key, record: suspects.Record, now: float) -> bool:
        """Return whether it is this node's turn to remove a row."""
        since, turn_seconds = record.disproved_at, _REMOVAL_TURN_SECONDS
        if since is None:
            if key in self.blackboard.quarantine.quarantined:
                return False
            since, turn_seconds = (
                self._records.find_end_of_record(record),
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
        self, write: suspects.SuspectWrite, version: int, now: float
    ) -> None:
        """Record that a write has taken effect under a version."""
        if write.row is None:
            self.removals += 1
            self._records.remove(write.key)
        else:
            self._records.install(attrs.evolve(write.row, version=version), now)
        self._decide(now)

    def install_conflict(
        self, key: _Key, row: suspects.Suspect | None, now: float
    ) -> None:
        """Install a row that a write did not expect; None if there is none."""
        if row is None:
            self._records.remove_row(key, now)
        else:
            self._records.install(row, now)
        self._decide(now)

    def apply(self, changes: feeds.Changes[suspects.Suspect], now: float) -> None:
        """Apply rows that were read; a row that was removed clears its suspect."""
        area = self.blackboard.quarantine
        area.is_initialized = True
        if changes.era != self._era:
            # The store's copy may lack rows, which are written again.
            self._era = changes.era
            self.fingerprints.is_shared = False
            for record in area.records.values():
                record.row = suspects.make_absent_row(record.row.key, record.row.trials)
        elif changes.is_complete:
            for key, record in list(area.records.items()):
                if record.row.version and str(key) not in changes.items:
                    self._records.remove_row(key, now)
        known = {str(key): key for key in area.records}
        for name, row in changes.items.items():
            if row is not None:
                self._records.install(row, now)
            elif name in known:
                self._records.remove_row(known[name], now)
        self._decide(now)
