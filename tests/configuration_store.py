"""A store with injected faults, and naive policies for comparison."""

import json

from jujubepass.configuration import (
    _configuration_installer,
    _configuration_proposals,
    _configuration_rows,
    _declaration_changes,
)
from jujubepass.storage import _store_messages
from standins import table


class NaiveInstaller(_configuration_installer.Installer):
    """Install every entry without checking its number."""

    def install(self, entries):
        installed = []
        for entry in entries:
            sections = _declaration_changes.merge_delta(self.area.sections, entry.delta)
            self.area.sections = dict(sections)
            self.area.number, self.area.digest = entry.number, entry.digest
            installed.append(entry)
        return installed


class NaiveProposals(_configuration_proposals.ProposalController):
    """Treat a write without an answer as one that failed."""

    def record_unclear_outcome(self, event, now):
        return self.handle_failure(event, now)


class Store:
    """Store rows and objects; lose, delay and refuse operations on demand."""

    def __init__(self):
        self.table = table.Table()
        self.objects = {}
        self.down = False
        self.objects_down = False
        self.checks_conditions = True
        self.stale_reads = 0
        self.lost_answers = 0
        self.lost_writes = 0
        self.delayed_writes = 0
        self.log = {}
        self._previous_rows = {}

    def transact(self, command):
        """Apply a transaction and log the change that it commits."""
        conditions = [
            {"key": each.key, "version": each.version}
            for each in (command.conditions if self.checks_conditions else ())
        ]
        writes = [{"key": w.key, "value": w.value} for w in command.writes]
        previous_rows = {key: dict(row) for key, row in self.table._rows.items()}
        conflicts, versions = self.table.transact(conditions, writes)
        for write in writes if not conflicts else ():
            if write["key"] == _configuration_rows.HEAD_KEY:
                self._previous_rows = previous_rows
                value = write["value"]
                assert value["number"] not in self.log, "two winners on one base"
                self.log[value["number"]] = value["change"]
        return conflicts, versions

    def read(self, keys):
        """Read rows, or stale rows from before the newest change on demand."""
        rows = self._previous_rows
        if self.stale_reads:
            self.stale_reads -= 1
            return {key: rows[key] for key in keys if key in rows}
        return self.table.read(keys)


def make_outcome(operation, conflicts, versions):
    """Return the event that reports a transaction."""
    if not conflicts:
        return _store_messages.Transacted(operation=operation, versions=versions)
    rows = tuple(
        _store_messages.VersionedRow(
            key=row["key"], version=row["version"], value=row["value"] or {}
        )
        for row in conflicts
    )
    return _store_messages.TransactionConflicted(operation=operation, rows=rows)


def make_rows(operation, rows, more=False):
    """Return the event that reports rows; values pass through JSON as on the wire."""
    read = {
        key: _store_messages.VersionedRow(
            key=key, version=row["version"], value=json.loads(json.dumps(row["value"]))
        )
        for key, row in rows.items()
    }
    return _store_messages.RowsRead(operation=operation, rows=read, more=more)
