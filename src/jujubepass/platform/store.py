"""Client of the platform's store: rows, transactions, change feeds and objects."""

import base64
import collections.abc
import contextlib
import json
import logging
import typing
import urllib.parse

import attrs
import trio

from jujubepass import _decoding
from jujubepass.forwarding import clocks, feeds
from jujubepass.platform import eras, headers
from jujubepass.storage import _object_client, _store_messages, _transaction_failures
from jujubepass.transport import _http_client

_LOGGER = logging.getLogger(__name__)

_OK = 200
_PRECONDITION_FAILED = 412
_GONE = 410
# The store did not apply the transaction: rate limit, unavailable or invalid request.
_NO_EFFECT_STATUSES = frozenset((400, 403, 404, 413, 429, 503, 507))
PLAN_TABLE = "jujubepass"
"""Table of the plans; only the product writes it."""
MEMBER_TABLE = "jujubepass-nodes"
"""Table of the nodes; only the product writes it."""
SUSPECT_TABLE = "jujubepass-prompts"
"""Table of suspected parts of prompts, and of suspected requests since they share it;
only the product and operators write it."""
SECRET_TABLE = "jujubepass-secrets"
"""Table of the secret for digests of requests; only the product writes it."""
# A page of rows has up to 1 MB of values, which base64 and JSON enlarge.
_MAX_ANSWER_BYTES = 4 * 1_048_576
# The store normally answers within 4 ms. On its slowest day it took 67 times as long;
# the time-out is more than twice that.
_ANSWER_TIMEOUT_SECONDS = 0.6
# If no answer arrives this long after the end of a wait for changes, the connection
# is dead.
_FEED_TIMEOUT_MARGIN_SECONDS = 0.5


# Alias, because a field has the same name as the module.
_EraTracker = eras.EraTracker


@attrs.frozen(kw_only=True)
class _Reply:
    status: int
    era: int
    value: dict[str, typing.Any]
    sent_at: float
    received_at: float


@attrs.define(kw_only=True)
class StoreClient:
    """Call the store over HTTP; table reads raise feeds.FeedError when they fail."""

    client: _http_client.Client
    address: _http_client.Address
    clock: clocks.RemoteClock = attrs.field(factory=clocks.RemoteClock)
    eras: _EraTracker = attrs.field(factory=_EraTracker)
    calls_sent: int = attrs.field(default=0, init=False)
    _waits: dict[trio.CancelScope, float] = attrs.field(factory=dict, init=False)
    """Waits for changes, with the times at which they were sent."""

    async def call(
        self,
        method: str,
        path: str,
        *,
        query: collections.abc.Mapping[str, object] | None = None,
        body: bytes = b"",
        timeout_seconds: float = _ANSWER_TIMEOUT_SECONDS,
    ) -> _Reply:
        """Call the store without retries; raises _http_client.ClientError."""
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        self.calls_sent += 1
        sent_at = clocks.read_boot_clock()
        answer = await self._request(method, target, body, timeout_seconds)
        received_at = clocks.read_boot_clock()
        try:
            era = self.eras.observe(answer.headers.get(headers.STORE_ERA))
        except eras.OutdatedEraError as error:
            raise _http_client.InterruptedAnswerError(str(error)) from error
        value = answer.read_json() if answer.body else {}
        if not isinstance(value, dict):
            raise _http_client.InterruptedAnswerError("answer is not a JSON object")
        return _Reply(
            status=answer.status,
            era=era,
            value=value,
            sent_at=sent_at,
            received_at=received_at,
        )

    async def _request(
        self, method: str, target: str, body: bytes, timeout_seconds: float
    ) -> _http_client.Answer:
        sent_at = clocks.read_boot_clock()
        try:
            return await self.client.request(
                method,
                self.address,
                target,
                body=body,
                headers=(("content-type", "application/json"),) if body else (),
                timeout_seconds=timeout_seconds,
                once=True,
                max_bytes=_MAX_ANSWER_BYTES,
            )
        except _http_client.AnswerTimeoutError:
            self._replace_connections(sent_at)
            raise

    async def read_table(self, table: str) -> tuple[list[typing.Any], _Reply]:
        """Read all rows of a table; also return the reply with the first page.

        Each row is at least as new as the first page.
        """
        rows: list[typing.Any] = []
        query: dict[str, object] = {"table": table, "part": ""}
        first: _Reply | None = None
        while True:
            reply = await self._read("/v1/rows-get", query, _ANSWER_TIMEOUT_SECONDS)
            first = first or reply
            if reply.era != first.era:
                raise feeds.FeedError("the store's era changed between two pages")
            rows += reply.value["rows"]
            if not reply.value.get("hasMore"):
                return rows, first
            # The next page starts directly after the last key of this one.
            query["from"] = rows[-1]["key"] + "\0"

    async def follow_table(self, table: str, after: int, wait_seconds: float) -> _Reply:
        """Wait for changes to a table after a version."""
        query = {
            "table": table,
            "after": after,
            "waitMs": round(wait_seconds * 1_000),
        }
        timeout_seconds = wait_seconds + _FEED_TIMEOUT_MARGIN_SECONDS
        with trio.CancelScope() as scope:
            self._waits[scope] = clocks.read_boot_clock()
            try:
                return await self._read("/v1/rows-feed", query, timeout_seconds)
            finally:
                del self._waits[scope]
        # The rows are confirmed at once then. A store that is silent itself must be
        # noticed, so that this is not done again.
        return await self._read(
            "/v1/rows-feed", {**query, "waitMs": 0}, _ANSWER_TIMEOUT_SECONDS
        )

    def _replace_connections(self, sent_at: float) -> None:
        """Wait on new connections, as one has fallen silent since a time.

        Open connections may fall silent together, while new ones work.
        """
        self.client.close_idle(self.address)
        for scope, since in self._waits.items():
            if since <= sent_at:
                scope.cancel()

    async def _read(
        self,
        path: str,
        query: collections.abc.Mapping[str, object],
        timeout_seconds: float,
    ) -> _Reply:
        try:
            reply = await self.call(
                "GET", path, query=query, timeout_seconds=timeout_seconds
            )
        except _http_client.ClientError as error:
            raise feeds.FeedError(str(error)) from error
        if reply.status == _GONE:
            raise feeds.HistoryLostError(
                "the store no longer has the changes after this version"
            )
        if reply.status != _OK or "rows" not in reply.value:
            raise feeds.FeedError(f"the store answered {reply.status}")
        return reply

    def compute_confirmed_at(self, reply: _Reply) -> float:
        """Return the latest local time at which a reply was confirmed up to date."""
        timestamp = reply.value.get("nowMs")  # monotonic clock of the store
        if not isinstance(timestamp, (int, float)):
            return reply.sent_at
        return min(
            reply.received_at,
            self.clock.bound_local_time(timestamp / 1_000.0, reply.sent_at),
        )


@attrs.frozen(kw_only=True)
class TableFeed:
    """Read one table and its changes."""

    store: StoreClient
    table: str
    keys: frozenset[str] | None = None
    """Keys of the rows to include; None for all."""

    async def read(self) -> feeds.RowChanges:
        """Read all rows."""
        rows, reply = await self.store.read_table(self.table)
        return self._make_changes(rows, reply, is_complete=True)

    async def follow(
        self, after: int, wait_seconds: float, *, era: int = 0
    ) -> feeds.RowChanges:
        """Wait until rows change after a version of an era, or the time has passed."""
        if era < self.store.eras.era:
            raise feeds.HistoryLostError("the version is one of an earlier era")
        reply = await self.store.follow_table(self.table, after, wait_seconds)
        if reply.era < era:
            raise feeds.FeedError("the store answered from an earlier era")
        if reply.era > era:
            raise feeds.HistoryLostError("the store returned from an older copy")
        return self._make_changes(reply.value["rows"], reply, is_complete=False)

    def _make_changes(
        self, rows: list[typing.Any], reply: _Reply, *, is_complete: bool
    ) -> feeds.RowChanges:
        by_key = {row["key"]: row for row in rows if self._includes(row)}
        return feeds.RowChanges(
            rows=tuple(self._read_row(row) for row in by_key.values()),
            version=int(reply.value["ver"]),
            confirmed_at=self.store.compute_confirmed_at(reply),
            era=reply.era,
            is_complete=is_complete,
        )

    def _includes(self, row: typing.Any) -> bool:
        return not row.get("part") and (self.keys is None or row["key"] in self.keys)

    def _read_row(self, row: typing.Any) -> feeds.Row:
        key, version = row["key"], int(row["ver"])
        value = None
        if not row.get("deleted"):
            try:
                value = _decoding.load_json(base64.b64decode(row["value"]))
            except _decoding.MALFORMED_ERRORS as error:
                _LOGGER.warning(
                    "row is not JSON",
                    extra={
                        "table": self.table,
                        "key": key,
                        "version": version,
                        "detail": repr(error)[:200],
                    },
                )
        return feeds.Row(key=key, version=version, value=value)


@attrs.frozen(kw_only=True)
class StoreTable:
    """Run the product's table commands on one of its own tables."""

    store: StoreClient
    name: str = PLAN_TABLE

    async def transact(
        self, command: _store_messages.Transact
    ) -> (
        _store_messages.Transacted
        | _store_messages.TransactionConflicted
        | _store_messages.TransactionUnsent
        | _store_messages.TransactionUnclear
    ):
        """Run a conditional transaction."""
        operation = command.operation
        body = json.dumps(_format_transaction(command, self.name)).encode()
        try:
            reply = await self.store.call("POST", "/v1/rows-tx", body=body)
            if reply.status == _OK:
                version = int(reply.value["ver"])
                versions = {
                    each.key: version if each.value is not None else 0
                    for each in command.writes
                }
                return _store_messages.Transacted(
                    operation=operation, versions=versions
                )
            if reply.status == _PRECONDITION_FAILED:
                rows = tuple(map(_decode_versioned_row, reply.value.get("rows", ())))
                return _store_messages.TransactionConflicted(
                    operation=operation, rows=rows
                )
        except (_http_client.ClientError, KeyError, TypeError, ValueError) as error:
            return _transaction_failures.classify_error(operation, error)
        return _transaction_failures.classify_status(
            operation,
            f"the store answered {reply.status}",
            had_no_effect=reply.status in _NO_EFFECT_STATUSES,
        )

    async def read(
        self, command: _store_messages.ReadRows
    ) -> _store_messages.RowsRead | _store_messages.ReadFailed:
        """Read rows by key."""
        found: dict[str, _store_messages.VersionedRow] = {}
        for key in command.keys:
            query = {"table": self.name, "part": "", "from": key, "limit": 1}
            read = await self._read_rows(command.operation, query)
            if isinstance(read, _store_messages.ReadFailed):
                return read
            found.update({k: row for k, row in read.rows.items() if k == key})
        return _store_messages.RowsRead(operation=command.operation, rows=found)

    async def scan(
        self, command: _store_messages.ScanRows
    ) -> _store_messages.RowsRead | _store_messages.ReadFailed:
        """Read rows by key prefix."""
        start = command.after + "\0" if command.after else command.prefix
        query = {
            "table": self.name,
            "part": "",
            "from": start,
            "to": command.prefix + "\U0010ffff",
            "limit": command.limit,
        }
        return await self._read_rows(command.operation, query)

    async def _read_rows(
        self,
        operation: _store_messages.OperationId,
        query: collections.abc.Mapping[str, object],
    ) -> _store_messages.RowsRead | _store_messages.ReadFailed:
        try:
            reply = await self.store.call("GET", "/v1/rows-get", query=query)
            if reply.status == _OK:
                rows = map(_decode_versioned_row, reply.value["rows"])
                return _store_messages.RowsRead(
                    operation=operation,
                    rows={row.key: row for row in rows},
                    more=bool(reply.value.get("hasMore")),
                )
            detail = f"the store answered {reply.status}"
        except (_http_client.ClientError, KeyError, TypeError, ValueError) as error:
            detail = str(error)
        return _store_messages.ReadFailed(operation=operation, detail=detail)


def make_objects(
    client: _http_client.Client, address: _http_client.Address
) -> _object_client.Objects:
    """Build the client for the store's objects."""
    return _object_client.HttpObjects(
        client=client,
        address=address,
        paths=_object_client.ObjectPaths(
            put="/v1/blob-put/", get="/v1/blob-get/", delete="/v1/blob-drop/"
        ),
    )


def _format_transaction(
    command: _store_messages.Transact, table_name: str
) -> dict[str, typing.Any]:
    table = {"table": table_name, "part": ""}
    return {
        "precondition": [
            {**table, "key": each.key, "ver": each.version}
            for each in command.conditions
        ],
        "puts": [
            {**table, "key": each.key, "value": _encode_value(each.value)}
            for each in command.writes
            if each.value is not None
        ],
        "remove": [
            {**table, "key": each.key} for each in command.writes if each.value is None
        ],
    }


def _encode_value(value: _store_messages.Row) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def _decode_versioned_row(row: typing.Any) -> _store_messages.VersionedRow:
    value = {}
    if row.get("value"):
        # An odd row has a version, under which it can be replaced.
        with contextlib.suppress(*_decoding.MALFORMED_ERRORS):
            value = _decoding.load_json(base64.b64decode(row["value"]))
    return _store_messages.VersionedRow(key=row["key"], version=row["ver"], value=value)
