"""Stand-in for the platform's store: rows, transactions and feeds, as PROTOCOL says."""

import asyncio
import base64
import json
import time
import urllib.parse

from review.common import http

_MAX_ROWS = 500


class Store:
    """Keep rows with versions from one counter."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row as the operator or an engine does; None removes it."""
        self.version += 1
        encoded = None
        if value is not None:
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self._write(table, key, encoded)
        self._wake()

    def _write(self, table, key, encoded):
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if encoded is None:
            self.rows.pop((table, key), None)
            self.changes.append({**row, "deleted": True})
        else:
            self.rows[table, key] = {**row, "value": encoded}
            self.changes.append(self.rows[table, key])

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, reader, writer):
        """Serve the calls of one connection."""
        while (head := await http.read_head(reader)) is not None:
            request = await http.read_body(reader, head)
            path, _, text = request.target.partition("?")
            query = {key: each[-1] for key, each in urllib.parse.parse_qs(text).items()}
            status, value = await self._answer(path, query, request.body)
            value |= {"ver": self.version, "nowMs": int(time.monotonic() * 1_000)}
            fields = [("Content-Type", "application/json"), ("Store-Era", "1")]
            writer.write(http.write_answer(status, fields, json.dumps(value).encode()))
            await writer.drain()

    async def _answer(self, path, query, body):
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if path == "/v1/rows-get":
            return 200, self._read(query)
        if path == "/v1/rows-feed":
            return 200, {"rows": await self._follow(query)}
        return 404, {}

    def _transact(self, call):
        wanted = call.get("precondition", ())
        found = [self.rows.get((each["table"], each["key"])) for each in wanted]
        versions = [row["ver"] if row else 0 for row in found]
        if versions != [each["ver"] for each in wanted]:
            return 412, {"rows": [row for row in found if row]}
        puts, removed = call.get("puts", ()), call.get("remove", ())
        if any(each["table"] in ("op", "servers") for each in (*puts, *removed)):
            return 403, {}
        self.version += 1
        for each in (*puts, *removed):
            self._write(each["table"], each["key"], each.get("value"))
        self._wake()
        return 200, {}

    def _read(self, query):
        first, end = query.get("from", ""), query.get("to")
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"]
            and row["part"] == query.get("part", "")
            and key >= first
            and (end is None or key < end)
        ]
        limit = min(_MAX_ROWS, int(query.get("limit", _MAX_ROWS)))
        return {"rows": rows[:limit], "hasMore": len(rows) > limit}

    async def _follow(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1_000.0
        while True:
            found = [
                row
                for row in self.changes
                if row["table"] == table and row["ver"] > after
            ]
            left = end - time.monotonic()
            if found or left <= 0.0:
                return found
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
