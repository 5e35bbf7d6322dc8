"""Controller that follows the store and installs what was accepted."""

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
_POLLED_CHANGES = 4
_FETCHED_CHANGES = 97

_Commands = collections.abc.Iterator[_dispatch.Command]


@attrs.define(kw_only=True)
class ConfigurationController:
    """Install from the store; never a number below the one in force."""

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
            _store_messages.ReadFailed: self.note_outage,
            _object_messages.ObjectRead: self.install_object,
            _object_messages.ObjectFailed: self.forget_object,
        }

    def poll(self, event: _node_messages.Tick, now: float) -> _Commands:
        """Read the head and the next changes when it is due."""
        if now - self._polled_at >= self.poll_seconds:
            self._polled_at = now
            yield self._read(_POLLED_CHANGES)

    def _read(self, changes: int) -> _store_messages.ReadRows:
        number = self.blackboard.configuration.number
        keys = _configuration_rows.list_change_keys(number, changes)
        return _store_messages.ReadRows(
            operation=self._name_operation(POLL_PREFIX),
            keys=(
                _configuration_rows.HEAD_KEY,
                _configuration_rows.SNAPSHOT_KEY,
                *keys,
            ),
        )

    def _name_operation(self, prefix: str) -> _store_messages.OperationId:
        self._operations += 1
        return _store_messages.OperationId(f"{prefix}{self._operations}")

    def install_rows(self, event: _store_messages.RowsRead, now: float) -> _Commands:
        """Install the changes read, and fetch what is still missing."""
        if not event.operation.startswith((POLL_PREFIX, PROPOSAL_PREFIX)):
            return
        area = self.blackboard.configuration
        self.installer.note_store(answers=True)
        before = area.number
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
        yield from self._finish(event.rows, before, now)

    def _finish(
        self,
        rows: collections.abc.Mapping[str, _store_messages.VersionedRow],
        before: int,
        now: float,
    ) -> _Commands:
        area = self.blackboard.configuration
        head = _configuration_rows.read_number(rows.get(_configuration_rows.HEAD_KEY))
        if max(head, area.highest_heard) <= area.number:
            yield from self._report(before, now, caught_up=True)
            return
        yield from self._report(before, now, caught_up=area.caught_up)
        next_key = _configuration_rows.make_change_key(area.number + 1)
        following = rows.get(next_key)
        snapshot = rows.get(_configuration_rows.SNAPSHOT_KEY)
        if following is not None and "object" in following.value:
            yield from self._fetch_object(following)
        elif area.number > before:
            yield self._read(_FETCHED_CHANGES)
        elif _configuration_rows.read_number(snapshot) > area.number:
            assert snapshot is not None
            yield from self._fetch_object(snapshot)

    def _fetch_object(self, row: _store_messages.VersionedRow) -> _Commands:
        if any(row.value == each.value for each in self._object_rows.values()):
            return
        operation = self._name_operation(_OBJECT_PREFIX)
        self._object_rows[operation] = row
        yield _object_messages.GetObject(operation=operation, name=row.value["object"])

    def install_object(
        self, event: _object_messages.ObjectRead, now: float
    ) -> _Commands:
        """Install a large change or a snapshot."""
        row = self._object_rows.pop(event.operation, None)
        if row is None:
            return
        before = self.blackboard.configuration.number
        sections = json.loads(event.data)
        if row.key == _configuration_rows.SNAPSHOT_KEY:
            number = _configuration_rows.read_number(row)
            self.installer.install_whole(number, row.value["digest"], sections)
        else:
            self.installer.install([_configuration_rows.read_entry(row, sections)])
        caught_up = self.blackboard.configuration.caught_up
        yield from self._report(before, now, caught_up=caught_up)
        if self.blackboard.configuration.number > before:
            yield self._read(_FETCHED_CHANGES)

    def _report(self, before: int, now: float, *, caught_up: bool) -> _Commands:
        area = self.blackboard.configuration
        if area.number > before or caught_up != area.caught_up:
            self.installer.note_installed(now, caught_up=caught_up)
            yield _configuration_messages.ConfigurationInstalled(number=area.number)

    def forget_object(
        self, event: _object_messages.ObjectFailed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Leave an object that cannot be read to the next poll."""
        self._object_rows.pop(event.operation, None)
        return ()

    def note_outage(
        self, event: _store_messages.ReadFailed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Keep that the store does not answer."""
        if event.operation.startswith(POLL_PREFIX):
            self.installer.note_store(answers=False)
        return ()
