"""Rows of leases in the platform's table."""

import attrs

from jujubepass import ids
from jujubepass.nodes import _blackboard
from jujubepass.storage import _store_messages

_PREFIX = "lease/"
_NO_HOLDER = ""


@attrs.frozen(kw_only=True)
class LeaseRow:
    """Describe the row of one lease; an empty holder means that it is released.

    Each write of a process has its own attempt number, which distinguishes a write
    that took effect late from writes sent after it.
    """

    version: int = 0
    holder: str = _NO_HOLDER
    incarnation: str = ""
    fencing: int = 0
    renewals: int = 0
    attempt: int = 0

    @property
    def is_free(self) -> bool:
        """Return whether the lease has no holder."""
        return self.holder == _NO_HOLDER

    def is_held_by(self, identity: _blackboard.Identity) -> bool:
        """Return whether a node holds the lease under its current incarnation."""
        own = (identity.node, identity.incarnation)
        return (self.holder, self.incarnation) == own

    def acquire(self, identity: _blackboard.Identity) -> "LeaseRow":
        """Return the row that makes a process the holder, with a new fencing number."""
        return LeaseRow(
            version=self.version,
            holder=identity.node,
            incarnation=identity.incarnation,
            fencing=self.fencing + 1,
        )

    def renew(self) -> "LeaseRow":
        """Return the row that renews the lease for its holder."""
        return attrs.evolve(self, renewals=self.renewals + 1)

    def release(self) -> "LeaseRow":
        """Return the row without a holder; the fencing number is kept."""
        return attrs.evolve(self, holder=_NO_HOLDER, incarnation="")


def make_key(lease: ids.LeaseId) -> str:
    """Return the key of a lease's row."""
    return _PREFIX + lease


def read_row(row: _store_messages.VersionedRow | None) -> LeaseRow:
    """Read a lease from its row; a missing row means it was never acquired."""
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
    """Make a write of a lease's row, conditional on the version that was read."""
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
