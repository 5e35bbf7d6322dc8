"""Rows of leases in the platform's table."""

import attrs

from jujubepass import ids
from jujubepass.nodes import _blackboard
from jujubepass.storage import _store_messages

_PREFIX = "lease/"
_NOBODY = ""


@attrs.frozen(kw_only=True)
class LeaseRow:
    """Hold one lease's row; an empty holder has released it.

    Each write of a process has an attempt number of its own, so that a write which
    took effect late is told from one that was sent after it.
    """

    version: int = 0
    holder: str = _NOBODY
    incarnation: str = ""
    fencing: int = 0
    renewals: int = 0
    attempt: int = 0

    @property
    def is_free(self) -> bool:
        """Tell whether nobody holds the lease."""
        return self.holder == _NOBODY

    def is_held_by(self, identity: _blackboard.Identity) -> bool:
        """Tell whether this very process wrote itself as the holder."""
        mine = (identity.node, identity.incarnation)
        return (self.holder, self.incarnation) == mine

    def take(self, identity: _blackboard.Identity) -> "LeaseRow":
        """Return the row that makes a process the holder, with a new number."""
        return LeaseRow(
            version=self.version,
            holder=identity.node,
            incarnation=identity.incarnation,
            fencing=self.fencing + 1,
        )

    def renew(self) -> "LeaseRow":
        """Return the row of the same holder, renewed."""
        return attrs.evolve(self, renewals=self.renewals + 1)

    def release(self) -> "LeaseRow":
        """Return the row that nobody holds; the fencing number stays."""
        return attrs.evolve(self, holder=_NOBODY, incarnation="")


def make_key(lease: ids.LeaseId) -> str:
    """Return the key of a lease's row."""
    return _PREFIX + lease


def read_row(row: _store_messages.VersionedRow | None) -> LeaseRow:
    """Read a lease from its row; no row is a lease that was never taken."""
    if row is None:
        return LeaseRow()
    return LeaseRow(
        version=row.version,
        holder=str(row.value["holder"]),
        incarnation=str(row.value["incarnation"]),
        fencing=int(row.value["fencing"]),
        renewals=int(row.value["renewals"]),
        attempt=int(row.value["attempt"]),
    )


def write_row(
    operation: _store_messages.OperationId, lease: ids.LeaseId, row: LeaseRow
) -> _store_messages.Transact:
    """Write a lease's row if it is still at the version it was read at."""
    key = make_key(lease)
    value = {
        "holder": row.holder,
        "incarnation": row.incarnation,
        "fencing": row.fencing,
        "renewals": row.renewals,
        "attempt": row.attempt,
    }
    return _store_messages.Transact(
        operation=operation,
        conditions=(_store_messages.Condition(key=key, version=row.version),),
        writes=(_store_messages.Write(key=key, value=value),),
    )
