"""Stand-in for the row store: transactions, ranges, change feeds and entries."""

import base64
import json
import time
import typing
import urllib.parse

import attrs
import cappa
import trio

from jujubepass.transport import _http_server
from standins import knobs, raw_answers

_MAX_ROWS = 500
_LIMITS = _http_server.ServerLimits(connections=5_000)
_READ_ONLY_TABLES = frozenset(("op", "servers"))

Row = dict[str, typing.Any]
Responder = _http_server.Responder


@attrs.define(kw_only=True)
class StoreKnobs:
    """Configure the store's faults; a status of 0 means no fault."""

    status: int = 0
    silent: bool = False
    reset: bool = False
    delay_seconds: float = 0.0
    lose_writes: float = 0
    lapse_seconds: float = 1.0
    sends_era: bool = True
    cut_head: int = 0
    """Bytes of a head after which each answer stops; 0 for whole answers."""
    cut_head_reset: bool = False
    endless: str = ""
    """Form of bytes without end in place of answers; see `raw_answers`."""


class RowStore:
    """Store rows with versions from one counter, and a change feed of each table."""

    def __init__(self, *, settings: StoreKnobs) -> None:
        self.settings = settings
        self._rows: dict[tuple[str, str], Row] = {}
        self._changes: list[Row] = []
        self._version = 0
        self._discarded_version = 0
        self._changed = trio.Event()
        self._heartbeats: dict[str, float] = {}
        self._objects: dict[str, bytes] = {}
        self._copy: tuple[dict[tuple[str, str], Row], list[Row], int] = {}, [], 0
        self._era = 1
        self._counts = {"reads": 0, "writes": 0, "feeds": 0}

    async def handle(self, request: _http_server.Request, responder: Responder) -> None:
        """Serve one request."""
        path, _, text = request.path.partition("?")
        query = {key: each[-1] for key, each in urllib.parse.parse_qs(text).items()}
        area = path.split("/")[1]
        if area == "knobs":
            await knobs.serve_knobs(self.settings, request, responder)
        elif area == "counts":
            await responder.send_json(200, self._counts)
        elif area == "forget":
            self._discarded_version, self._changes = self._version, []
            self._notify_subscribers()
            await responder.send_json(200, {})
        elif area == "copy":
            self._copy = dict(self._rows), list(self._changes), self._version
            await responder.send_json(200, {})
        elif area == "restore":
            self._restore()
            await responder.send_json(200, {})
        elif area == "rows":
            # Used by the operator and the backend servers; no faults apply here.
            self._write_directly(path, request, responder)
            await responder.send_json(200, {"ver": self._version})
        else:
            await self._serve(path, query, request.body, responder)

    def _restore(self) -> None:
        """Return from the copy; versions after it are given out again."""
        rows, changes, self._version = self._copy
        self._rows, self._changes = dict(rows), list(changes)
        self._era += 1
        now = time.monotonic()
        self._heartbeats = {key: now for table, key in rows if table == "servers"}
        self._notify_subscribers()

    def _write_directly(
        self, path: str, request: _http_server.Request, responder: Responder
    ) -> None:
        _, _, table, key = path.split("/")
        if table == "servers" and request.body:
            self._heartbeats[key] = time.monotonic()
        elif table == "servers":
            self._heartbeats.pop(key, None)
        value = base64.b64encode(request.body).decode() if request.body else None
        previous = self._rows.get((table, key))
        if value != (previous["value"] if previous else None):
            self._version += 1
            self._write(table, key, value)
            self._notify_subscribers()

    def _write(self, table: str, key: str, value: str | None) -> None:
        row = {"table": table, "part": "", "key": key, "ver": self._version}
        if value is None:
            self._rows.pop((table, key), None)
            self._changes.append({**row, "deleted": True})
        else:
            self._rows[table, key] = {**row, "value": value}
            self._changes.append(self._rows[table, key])

    def _notify_subscribers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def remove_expired_entries(self) -> None:
        """Remove the entries of servers whose heartbeats have stopped."""
        while True:
            await trio.sleep(0.05)
            oldest_heartbeat_at = time.monotonic() - self.settings.lapse_seconds
            for key, heartbeat_at in list(self._heartbeats.items()):
                if heartbeat_at < oldest_heartbeat_at:
                    del self._heartbeats[key]
                    self._version += 1
                    self._write("servers", key, None)
                    self._notify_subscribers()

    async def _serve(
        self, path: str, query: dict[str, str], body: bytes, responder: Responder
    ) -> None:
        if self.settings.silent:
            await trio.sleep_forever()
        if self.settings.reset:
            raise trio.BrokenResourceError
        await trio.sleep(self.settings.delay_seconds)
        if self.settings.cut_head:
            await raw_answers.cut_head(
                responder._stream,
                [("content-type", "application/json"), ("content-length", "2")],
                self.settings.cut_head,
                is_reset=self.settings.cut_head_reset,
            )
        if self.settings.endless:
            await raw_answers.write_endless(responder, self.settings.endless)
        if self.settings.status:
            await responder.send_json(self.settings.status, {})
        elif path == "/v1/rows-tx":
            await self._transact(json.loads(body), responder)
        elif path == "/v1/rows-get":
            await self._read(query, responder)
        elif path == "/v1/rows-feed":
            await self._serve_feed(query, responder)
        elif path.startswith("/v1/blob-"):
            await self._serve_object(path, body, responder)
        else:
            await responder.send_json(404, {})

    async def _serve_object(self, path: str, body: bytes, responder: Responder) -> None:
        operation, _, name = path.removeprefix("/v1/blob-").partition("/")
        if operation == "put":
            self._objects[name] = body
            await responder.send(200, b"")
        elif name not in self._objects:
            await responder.send_json(404, {})
        elif operation == "drop":
            del self._objects[name]
            await responder.send(200, b"")
        else:
            await responder.send(200, self._objects[name])

    async def _transact(self, transaction: Row, responder: Responder) -> None:
        self._counts["writes"] += 1
        writes = [*transaction.get("puts", ()), *transaction.get("remove", ())]
        if any(each["table"] in _READ_ONLY_TABLES for each in writes):
            await responder.send_json(403, {})
            return
        wanted = transaction.get("precondition", ())
        found = [self._rows.get((each["table"], each["key"])) for each in wanted]
        if any(
            (row["ver"] if row else 0) != each["ver"]
            for row, each in zip(found, wanted, strict=True)
        ):
            rows = [row for row in found if row]
            await self._send_versioned(responder, 412, {"rows": rows})
            return
        self._version += 1
        for each in writes:
            self._write(each["table"], each["key"], each.get("value"))
        self._notify_subscribers()
        lost, self.settings.lose_writes = knobs.draw_fault(
            self.settings.lose_writes, 1.0
        )
        if lost:
            raise trio.BrokenResourceError
        await self._send_versioned(responder, 200, {})

    async def _read(self, query: dict[str, str], responder: Responder) -> None:
        self._counts["reads"] += 1
        first, end = query.get("from", ""), query.get("to")
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query["table"] and key >= first and (end is None or key < end)
        ]
        limit = min(_MAX_ROWS, int(query.get("limit", _MAX_ROWS)))
        value = {"rows": rows[:limit], "hasMore": len(rows) > limit}
        await self._send_versioned(responder, 200, value)

    async def _serve_feed(self, query: dict[str, str], responder: Responder) -> None:
        self._counts["feeds"] += 1
        after, table = int(query["after"]), query["table"]
        with trio.move_on_after(int(query["waitMs"]) / 1_000.0):
            while self._has_version(after) and not self._list_changes(table, after):
                await self._changed.wait()
        if not self._has_version(after):
            await self._send_versioned(responder, 410, {})
            return
        rows = self._list_changes(table, after)
        await self._send_versioned(responder, 200, {"rows": rows})

    def _has_version(self, version: int) -> bool:
        return self._discarded_version <= version <= self._version

    def _list_changes(self, table: str, after: int) -> list[Row]:
        return [
            row for row in self._changes if row["table"] == table and row["ver"] > after
        ]

    async def _send_versioned(
        self, responder: Responder, status: int, value: Row
    ) -> None:
        now = int(time.monotonic() * 1_000)
        versioned = {**value, "ver": self._version, "nowMs": now}
        fields = [("content-type", "application/json")]
        if self.settings.sends_era:
            fields.append(("store-era", str(self._era)))
        await responder.send_fields(status, fields, json.dumps(versioned).encode())


@cappa.command(name="row-store")
@attrs.define(kw_only=True)
class Arguments:
    """Run a stand-in for the row store."""

    port: typing.Annotated[int, cappa.Arg(long=True)]
    host: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"


async def run(arguments: Arguments) -> None:
    """Serve until the process is terminated."""
    store = RowStore(settings=StoreKnobs())
    server = _http_server.Server(handler=store.handle, limits=_LIMITS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.remove_expired_entries)
        await server.serve(arguments.host, arguments.port)


def main() -> None:
    """Serve until the process is terminated."""
    trio.run(run, cappa.parse(Arguments, completion=False))


if __name__ == "__main__":
    main()
