"""Rows of one table with the changes that lead to them.

history.apply(changes); history.find_since(version)
"""

import attrs

from jujubepass.forwarding import feeds

_MAX_DELETED_ROWS = 1_000


@attrs.define(kw_only=True)
class RowHistory:
    """Keep a table's rows and list what changed after a version."""

    version: int | None = attrs.field(default=None, init=False)
    """Version of the store up to which the rows are known; None before any."""
    era: int = attrs.field(default=0, init=False)
    confirmed_at: float = attrs.field(default=float("-inf"), init=False)
    """Latest boot-clock time at which the rows were confirmed up to date."""
    origin: str = attrs.field(default="", init=False)
    """Node whose read of the store gave the latest confirmation; empty for this one."""
    hops: int = attrs.field(default=0, init=False)
    """Number of nodes that passed that confirmation on."""
    _rows: dict[str, feeds.Row] = attrs.field(factory=dict, init=False)
    _complete_since: int = attrs.field(default=0, init=False)
    """Version after which no deletion is missing."""

    def apply(self, changes: feeds.RowChanges, *, restarts: bool = False) -> bool:
        """Apply rows unless they are outdated; return whether they were applied.

        `restarts` accepts complete rows of a lower version, as after a store without
        eras has lost its history.
        """
        if changes.era < self.era:
            return False
        is_known = self.version is not None and changes.era == self.era
        if not changes.is_complete and not is_known:
            return False
        restarts = restarts and changes.is_complete and changes.era == 0
        if is_known and not restarts and changes.version < (self.version or 0):
            return False
        if changes.is_complete:
            self._rows = {row.key: row for row in changes.rows}
            self._complete_since = changes.version
        else:
            self._update(changes.rows)
        self.version, self.era = changes.version, changes.era
        if changes.confirmed_at > self.confirmed_at:
            self.confirmed_at = changes.confirmed_at
            self.origin, self.hops = changes.origin, changes.hops
        return True

    def _update(self, rows: tuple[feeds.Row, ...]) -> None:
        for row in rows:
            known = self._rows.get(row.key)
            if known is None or known.version <= row.version:
                self._rows[row.key] = row
        deleted = [row for row in self._rows.values() if row.value is None]
        if len(deleted) > _MAX_DELETED_ROWS:
            for row in deleted:
                del self._rows[row.key]
                self._complete_since = max(self._complete_since, row.version)

    def find_since(self, after: int | None, era: int) -> feeds.RowChanges:
        """Return the rows that changed after a version, or all if unsure."""
        assert self.version is not None
        is_complete = after is None or era != self.era or after < self._complete_since
        rows = tuple(
            row
            for row in self._rows.values()
            if is_complete or after is None or row.version > after
        )
        return feeds.RowChanges(
            rows=rows,
            version=self.version,
            confirmed_at=self.confirmed_at,
            era=self.era,
            is_complete=is_complete,
            origin=self.origin,
            hops=self.hops,
        )
