"""The table of suspected parts in a simulated store."""

from jujubepass.forwarding import feeds, part_rows
from jujubepass.storage import _store_messages
from tests import relay_store

TABLE = "prompts"


class Table:
    """Run conditional transactions on the simulated store."""

    def __init__(self, *, store, node):
        self.store, self.node = store, node

    async def transact(self, command):
        try:
            await self.store.serve(self.node, TABLE)
        except feeds.FeedError as error:
            return _store_messages.TransactionUnsent(
                operation=command.operation, detail=str(error)
            )
        current = self.store.find_rows(TABLE)
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
            self.store.write(TABLE, write.key, write.value)
            versions[write.key] = self.store.version if write.value is not None else 0
        return _store_messages.Transacted(
            operation=command.operation, versions=versions
        )


class Store(relay_store.Store):
    """Keep the rows, and count conflicts."""

    conflicts = 0


def decode_part(key, version, value):
    try:
        return part_rows.read_part(key, version, value)
    except part_rows.PartRowError as error:
        raise feeds.UnreadableRowError(str(error)) from error
