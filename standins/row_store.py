"""Stand-in for the users' store of rows: transactions, ranges, feeds and entries."""

import base64
import json
import time
import typing
import urllib.parse

import attrs
import cappa
import trio

from jujubepass.transport import _http_server
from standins import knobs

_MOST_ROWS = 500
_LIMITS = _http_server.ServerLimits(connections=5_000)
_READ_ONLY_TABLES = frozenset(("op", "servers"))

Row = dict[str, typing.Any]
Responder = _http_server.Responder


@attrs.define(kw_only=True)
class StoreKnobs:
    """Set the store's faults; a status of 0 answers as usual."""

    status: int = 0
    silent: bool = False
    reset: bool = False
    delay_seconds: float = 0.0
    lose_writes: float = 0
    lapse_seconds: float = 1.0


class RowStore:
    """Keep rows with versions from one counter, and the changes of each table."""

    def __init__(self, *, settings: StoreKnobs) -> None:
        self.settings = settings
        self._rows: dict[tuple[str, str], Row] = {}
        self._changes: list[Row] = []
        self._version = 0
        self._forgotten = 0
        self._changed = trio.Event()
        self._beats: dict[str, float] = {}
        self._objects: dict[str, bytes] = {}
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
            self._forgotten, self._changes = self._version, []
            self._wake()
            await responder.send_json(200, {})
        elif area == "rows":
            # The operator's and the servers' own way, which has no faults.
            self._put_directly(path, request, responder)
            await responder.send_json(200, {"ver": self._version})
        else:
            await self._serve(path, query, request.body, responder)

    def _put_directly(
        self, path: str, request: _http_server.Request, responder: Responder
    ) -> None:
        _, _, table, key = path.split("/")
        if table == "servers":
            self._beats[key] = time.monotonic()
        value = base64.b64encode(request.body).decode() if request.body else None
        before = self._rows.get((table, key))
        if value != (before["value"] if before else None):
            self._version += 1
            self._write(table, key, value)
            self._wake()

    def _write(self, table: str, key: str, value: str | None) -> None:
        row = {"table": table, "part": "", "key": key, "ver": self._version}
        if value is None:
            self._rows.pop((table, key), None)
            self._changes.append({**row, "deleted": True})
        else:
            self._rows[table, key] = {**row, "value": value}
            self._changes.append(self._rows[table, key])

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def drop_lapsed(self) -> None:
        """Remove the entries of servers that have been silent for too long."""
        while True:
            await trio.sleep(0.05)
            bound = time.monotonic() - self.settings.lapse_seconds
            for key, beat in list(self._beats.items()):
                if beat < bound:
                    del self._beats[key]
                    self._version += 1
                    self._write("servers", key, None)
                    self._wake()

    async def _serve(
        self, path: str, query: dict[str, str], body: bytes, responder: Responder
    ) -> None:
        if self.settings.silent:
            await trio.sleep_forever()
        if self.settings.reset:
            raise trio.BrokenResourceError
        await trio.sleep(self.settings.delay_seconds)
        if self.settings.status:
            await responder.send_json(self.settings.status, {})
        elif path == "/v1/rows-tx":
            await self._transact(json.loads(body), responder)
        elif path == "/v1/rows-get":
            await self._read(query, responder)
        elif path == "/v1/rows-feed":
            await self._follow(query, responder)
        elif path.startswith("/v1/blob-"):
            await self._serve_object(path, body, responder)
        else:
            await responder.send_json(404, {})

    async def _serve_object(self, path: str, body: bytes, responder: Responder) -> None:
        call, _, name = path.removeprefix("/v1/blob-").partition("/")
        if call == "put":
            self._objects[name] = body
            await responder.send(200, b"")
        elif name not in self._objects:
            await responder.send_json(404, {})
        elif call == "drop":
            del self._objects[name]
            await responder.send(200, b"")
        else:
            await responder.send(200, self._objects[name])

    async def _transact(self, call: Row, responder: Responder) -> None:
        self._counts["writes"] += 1
        writes = [*call.get("puts", ()), *call.get("remove", ())]
        if any(each["table"] in _READ_ONLY_TABLES for each in writes):
            await responder.send_json(403, {})
            return
        wanted = call.get("precondition", ())
        found = [self._rows.get((each["table"], each["key"])) for each in wanted]
        if any(
            (row["ver"] if row else 0) != each["ver"]
            for row, each in zip(found, wanted, strict=True)
        ):
            rows = [row for row in found if row]
            await self._answer(responder, 412, {"rows": rows})
            return
        self._version += 1
        for each in writes:
            self._write(each["table"], each["key"], each.get("value"))
        self._wake()
        lost, self.settings.lose_writes = knobs.should_happen(
            self.settings.lose_writes, 1.0
        )
        if lost:
            raise trio.BrokenResourceError
        await self._answer(responder, 200, {})

    async def _read(self, query: dict[str, str], responder: Responder) -> None:
        self._counts["reads"] += 1
        first, end = query.get("from", ""), query.get("to")
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query["table"] and key >= first and (end is None or key < end)
        ]
        limit = min(_MOST_ROWS, int(query.get("limit", _MOST_ROWS)))
        value = {"rows": rows[:limit], "hasMore": len(rows) > limit}
        await self._answer(responder, 200, value)

    async def _follow(self, query: dict[str, str], responder: Responder) -> None:
        self._counts["feeds"] += 1
        after, table = int(query["after"]), query["table"]
        with trio.move_on_after(int(query["waitMs"]) / 1_000.0):
            while after >= self._forgotten and not self._list_changes(table, after):
                await self._changed.wait()
        if after < self._forgotten:
            await responder.send_json(410, {})
            return
        rows = self._list_changes(table, after)
        await self._answer(responder, 200, {"rows": rows})

    def _list_changes(self, table: str, after: int) -> list[Row]:
        return [
            row for row in self._changes if row["table"] == table and row["ver"] > after
        ]

    async def _answer(self, responder: Responder, status: int, value: Row) -> None:
        now = int(time.monotonic() * 1_000)
        stamped = {**value, "ver": self._version, "nowMs": now}
        await responder.send_json(status, stamped)


@cappa.command(name="row-store")
@attrs.define(kw_only=True)
class Arguments:
    """Run a stand-in of the store of rows."""

    port: typing.Annotated[int, cappa.Arg(long=True)]
    host: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"


async def run(arguments: Arguments) -> None:
    """Serve until the process is ended."""
    store = RowStore(settings=StoreKnobs())
    server = _http_server.Server(handler=store.handle, limits=_LIMITS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.drop_lapsed)
        await server.serve(arguments.host, arguments.port)


def main() -> None:
    """Serve until the process is ended."""
    trio.run(run, cappa.parse(Arguments, completion=False))


if __name__ == "__main__":
    main()
