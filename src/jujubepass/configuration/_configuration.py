"""Controller that polls the store for accepted changes and installs them."""

import collections.abc
import json

import attrs

from jujubepass.configuration import (
    _configuration_installer,
    _configuration_messages,
    _configuration_rows,
)
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.storage import _object_messages, _store_messages

POLL_PREFIX = "configuration/poll/"
PROPOSAL_PREFIX = "configuration/proposal/"

_OBJECT_PREFIX = "configuration/object/"
_CHANGES_PER_POLL = 4
_CHANGES_PER_CATCH_UP_READ = 97

_Commands = collections.abc.Iterator[_dispatch.Command]


@attrs.define(kw_only=True)
class ConfigurationController:
    """Install changes and snapshots from the store, in order of their numbers.

    A number below the one in force is never installed.
    """

    blackboard: _blackboard.Blackboard
    installer: _configuration_installer.Installer
    poll_seconds: float
    _polled_at: float = attrs.field(default=float("-inf"), init=False)
    _operations: int = attrs.field(default=0, init=False)
    _object_rows: dict[_store_messages.OperationId, _store_messages.VersionedRow] = (
        attrs.field(factory=dict, init=False)
    )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.poll,
            _store_messages.RowsRead: self.install_rows,
            _store_messages.ReadFailed: self.record_store_outage,
            _object_messages.ObjectRead: self.install_object,
            _object_messages.ObjectFailed: self.discard_object_read,
        }

    def poll(self, event: _node_messages.Tick, now: float) -> _Commands:
        """Read the head and the next changes when a poll is due."""
        if now - self._polled_at >= self.poll_seconds:
            self._polled_at = now
            yield self._read(_CHANGES_PER_POLL)

    def _read(self, changes: int) -> _store_messages.ReadRows:
        number = self.blackboard.configuration.number
        keys = _configuration_rows.list_change_keys(number, changes)
        return _store_messages.ReadRows(
            operation=self._make_operation_id(POLL_PREFIX),
            keys=(
                _configuration_rows.HEAD_KEY,
                _configuration_rows.SNAPSHOT_KEY,
                *keys,
            ),
        )

    def _make_operation_id(self, prefix: str) -> _store_messages.OperationId:
        self._operations += 1
        return _store_messages.OperationId(f"{prefix}{self._operations}")

    def install_rows(self, event: _store_messages.RowsRead, now: float) -> _Commands:
        """Install the changes that were read and request those still missing."""
        if not event.operation.startswith((POLL_PREFIX, PROPOSAL_PREFIX)):
            return
        area = self.blackboard.configuration
        self.installer.record_store_state(answers=True)
        previous_number = area.number
        rows = [
            row
            for key, row in event.rows.items()
            if key.startswith(_configuration_rows.CHANGE_PREFIX)
        ]
        rows.sort(key=_configuration_rows.read_number)
        for row in rows:
            if "sections" in row.value:
                entry = _configuration_rows.read_entry(row, row.value["sections"])
                self.installer.install([entry])
        yield from self._continue_catch_up(event.rows, previous_number, now)

    def _continue_catch_up(
        self,
        rows: collections.abc.Mapping[str, _store_messages.VersionedRow],
        previous_number: int,
        now: float,
    ) -> _Commands:
        area = self.blackboard.configuration
        head = _configuration_rows.read_number(rows.get(_configuration_rows.HEAD_KEY))
        if max(head, area.highest_advertised) <= area.number:
            yield from self._report_installation(previous_number, now, caught_up=True)
            return
        yield from self._report_installation(
            previous_number, now, caught_up=area.caught_up
        )
        next_key = _configuration_rows.make_change_key(area.number + 1)
        next_row = rows.get(next_key)
        snapshot = rows.get(_configuration_rows.SNAPSHOT_KEY)
        if next_row is not None and "object" in next_row.value:
            yield from self._fetch_object(next_row)
        elif area.number > previous_number:
            yield self._read(_CHANGES_PER_CATCH_UP_READ)
        elif _configuration_rows.read_number(snapshot) > area.number:
            assert snapshot is not None
            yield from self._fetch_object(snapshot)

    def _fetch_object(self, row: _store_messages.VersionedRow) -> _Commands:
        if any(row.value == each.value for each in self._object_rows.values()):
            return
        operation = self._make_operation_id(_OBJECT_PREFIX)
        self._object_rows[operation] = row
        yield _object_messages.GetObject(operation=operation, name=row.value["object"])

    def install_object(
        self, event: _object_messages.ObjectRead, now: float
    ) -> _Commands:
        """Install a large change or a snapshot that was stored as an object."""
        row = self._object_rows.pop(event.operation, None)
        if row is None:
            return
        previous_number = self.blackboard.configuration.number
        sections = json.loads(event.data)
        if row.key == _configuration_rows.SNAPSHOT_KEY:
            number = _configuration_rows.read_number(row)
            self.installer.install_snapshot(number, row.value["digest"], sections)
        else:
            self.installer.install([_configuration_rows.read_entry(row, sections)])
        caught_up = self.blackboard.configuration.caught_up
        yield from self._report_installation(previous_number, now, caught_up=caught_up)
        if self.blackboard.configuration.number > previous_number:
            yield self._read(_CHANGES_PER_CATCH_UP_READ)

    def _report_installation(
        self, previous_number: int, now: float, *, caught_up: bool
    ) -> _Commands:
        area = self.blackboard.configuration
        if area.number > previous_number or caught_up != area.caught_up:
            self.installer.record_installation(now, caught_up=caught_up)
            yield _configuration_messages.ConfigurationInstalled(number=area.number)

    def discard_object_read(
        self, event: _object_messages.ObjectFailed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Discard a failed object read; the next poll requests the object again."""
        self._object_rows.pop(event.operation, None)
        return ()

    def record_store_outage(
        self, event: _store_messages.ReadFailed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Record that the store did not answer a poll."""
        if event.operation.startswith(POLL_PREFIX):
            self.installer.record_store_state(answers=False)
        return ()
