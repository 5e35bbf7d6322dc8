"""In-memory transactional table."""

import bisect
import collections.abc
import typing

from jujubepass.transport import _rejections

MAX_TRANSACTION_ROWS = 100
"""Maximum conditions, writes or keys in one call."""

Row = dict[str, typing.Any]


class Table:
    """Store rows whose versions come from one sequence."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._version = 0

    def transact(
        self,
        conditions: collections.abc.Iterable[Row],
        writes: collections.abc.Iterable[Row],
    ) -> tuple[list[Row], dict[str, int]]:
        """Apply all writes if all conditions hold; return conflicts and versions."""
        conflicts = []
        for condition in conditions:
            key = condition["key"]
            row = self._rows.get(key, {"version": 0, "value": None})
            if row["version"] != condition["version"]:
                conflicts.append({"key": key, **row})
        if conflicts:
            return conflicts, {}
        return [], {write["key"]: self._write(**write) for write in writes}

    def _write(self, key: str, value: typing.Any) -> int:
        self._version += 1
        if value is None:
            if self._rows.pop(key, None) is not None:
                self._keys.pop(bisect.bisect_left(self._keys, key))
            return 0
        if key not in self._rows:
            bisect.insort(self._keys, key)
        self._rows[key] = {"version": self._version, "value": value}
        return self._version

    def read(self, keys: collections.abc.Iterable[str]) -> dict[str, Row]:
        """Return the rows that exist."""
        return {key: self._rows[key] for key in keys if key in self._rows}

    def scan(self, prefix: str, after: str, limit: int) -> tuple[list[Row], bool]:
        """Return rows under a prefix in key order, and whether more follow."""
        index = bisect.bisect_left(self._keys, prefix)
        index = max(index, bisect.bisect_right(self._keys, after))
        rows: list[Row] = []
        while index < len(self._keys) and self._keys[index].startswith(prefix):
            if len(rows) == limit:
                return rows, True
            key = self._keys[index]
            rows.append({"key": key, **self._rows[key]})
            index += 1
        return rows, False


def check_sizes(*lists: collections.abc.Sized) -> None:
    """Reject a call with more rows than the maximum."""
    if any(len(items) > MAX_TRANSACTION_ROWS for items in lists):
        detail = f"At most {MAX_TRANSACTION_ROWS} rows in one call."
        raise _rejections.RejectedInputError(
            status=400, code="too_many_rows", detail=detail
        )
