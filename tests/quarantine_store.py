"""The tables of suspects and of their secret in a simulated store."""

from jujubepass.forwarding import feeds
from jujubepass.quarantine import rows
from jujubepass.storage import _store_messages
from tests import relay_store

TABLE = "prompts"
SECRET_TABLE = "secrets"


class Table:
    """Run conditional transactions on the simulated store."""

    def __init__(self, *, store, node, name=TABLE):
        self.store, self.node, self.name = store, node, name

    async def read(self, command):
        try:
            await self.store.serve(self.node, self.name)
        except feeds.FeedError as error:
            return _store_messages.ReadFailed(
                operation=command.operation, detail=str(error)
            )
        found = self.store.find_rows(self.name)
        read = {
            key: _store_messages.VersionedRow(
                key=key, version=found[key].version, value=found[key].value
            )
            for key in command.keys
            if key in found
        }
        return _store_messages.RowsRead(operation=command.operation, rows=read)

    async def transact(self, command):
        try:
            await self.store.serve(self.node, self.name)
        except feeds.FeedError as error:
            return _store_messages.TransactionUnsent(
                operation=command.operation, detail=str(error)
            )
        current = self.store.find_rows(self.name)
        conflicts = [
            _store_messages.VersionedRow(
                key=each.key, version=found.version, value=found.value
            )
            for each in command.conditions
            if (found := current.get(each.key, feeds.Row(key="", version=0, value={})))
            and found.version != each.version
        ]
        if conflicts:
            self.store.conflicts += 1
            return _store_messages.TransactionConflicted(
                operation=command.operation, rows=tuple(conflicts)
            )
        versions = {}
        for write in command.writes:
            self.store.write(self.name, write.key, write.value)
            versions[write.key] = self.store.version if write.value is not None else 0
        return _store_messages.Transacted(
            operation=command.operation, versions=versions
        )


class Store(relay_store.Store):
    """Keep the rows, and count conflicts."""

    conflicts = 0


def decode_part(key, version, value):
    try:
        return rows.read_suspect(key, version, value)
    except rows.SuspectRowError as error:
        raise feeds.UnreadableRowError(str(error)) from error
