"""Stand-ins of the platform, servers and clients for the cases of this review.

They use the standard library alone. `System` hosts the store, the servers and the
clients in the process of the script; the nodes are processes of their own, started
with the run command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import resource
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HOST_NAME = "desk.example"
KEY = "ana-key-1"
TENANT = "ana"
MODEL_SERVICE = "redactor"
PLAIN_SERVICE = "agenda"
LAYERS = 8
HEARTBEAT_SECONDS = 1.2
EXPIRY_HEARTBEATS = 3
ENGINE = {
    "slots": 96,
    "kvTokenBytes": 1_000_000,
    "models": [{"name": "m", "loadS": 0.2}],
    "step_ms": 1.0,
    "per_seq_ms": 0.01,
    "read_per_s": 100_000,
    "usual": {"prompt": 100, "answer": 40},
    "layers": LAYERS,
    "layerMb": 1_750.0,
    "kinds": [
        {"name": "h100", "sizeMb": 72_000.0, "pace": 1.4, "readX": 1.0},
        {"name": "l4", "sizeMb": 21_600.0, "pace": 16.0, "readX": 8.2},
    ],
}
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
REASONS = {200: "OK", 202: "Accepted", 421: "Misdirected Request"}


class NotRunnableError(Exception):
    """Signal that the case could not run."""


class ClosedError(Exception):
    """Signal that a connection ended before a message was complete."""


def free_port():
    """Return a port that can be bound, and that no outgoing connection takes."""
    while True:
        port = 12_000 + secrets.randbelow(20_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


def make_route(name, prefix, kind, service, timeout_ms, **changes):
    """Return a route in the form of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "latencyGoalMs": 500,
        "priority": 1,
        "maxAttempts": 2,
        "anonymous": False,
        **changes,
    }


def make_configuration(version, routes, *, with_model):
    """Return a whole configuration."""
    services = [{"name": PLAIN_SERVICE, "healthPath": "/health", "maxConns": 110}]
    if with_model:
        services.append(
            {
                "name": MODEL_SERVICE,
                "healthPath": "/health",
                "maxConns": 1_138,
                "engine": ENGINE,
            }
        )
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


async def read_head(reader):
    """Return the first line and the fields of a message; raise ClosedError."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise ClosedError("no head") from error
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields, *, is_answer):
    """Return a whole body; raise ClosedError if it is not complete."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = bytearray()
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readuntil(b"\r\n")
                if not size:
                    return bytes(body)
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"]))
        return await reader.read() if is_answer else b""
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise ClosedError("body broken off") from error


def format_answer(status, fields, body=b"", *, length=True):
    """Return an answer's bytes."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """Rows with versions and change feeds, as the pages tell them."""

    def __init__(self):
        self.port = 0
        self.rows = {}
        self.changes = []
        self.version = 0
        self._changed = asyncio.Event()
        self._beats = {}

    async def start(self):
        """Accept connections, and remove the entries of silent servers."""
        self._expiry = asyncio.create_task(self._expire())
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            oldest = time.monotonic() - EXPIRY_HEARTBEATS * HEARTBEAT_SECONDS
            for name, beat in list(self._beats.items()):
                if beat < oldest:
                    self.put("servers", name, None)

    def put(self, table, key, value):
        """Write a row as the operator or a server does; None removes it."""
        if table == "servers" and value is None:
            self._beats.pop(key, None)
        elif table == "servers":
            self._beats[key] = time.monotonic()
        data = None if value is None else base64.b64encode(json.dumps(value).encode())
        self._write(table, key, None if data is None else data.decode())

    def _write(self, table, key, value, version=None):
        self.version = version or self.version + 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if value is None:
            if self.rows.pop((table, key), None) is None:
                return
            self.changes.append({**row, "deleted": True})
        else:
            row["value"] = value
            self.rows[table, key] = row
            self.changes.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ClosedError, ConnectionError):
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields, is_answer=False)
                method, target, _ = first.split(" ")
                status, value = await self._answer(method, target, body)
                value |= {"ver": self.version, "nowMs": time.monotonic() * 1_000}
                head = [("Content-Type", "application/json"), ("Store-Era", "1")]
                data = json.dumps(value).encode()
                writer.write(format_answer(status, head, data))
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        path, _, text = target.partition("?")
        query = {key: each[-1] for key, each in urllib.parse.parse_qs(text).items()}
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if path == "/v1/rows-get":
            first, end = query.get("from", ""), query.get("to")
            limit = min(500, int(query.get("limit", 500)))
            rows = [
                row
                for (table, key), row in sorted(self.rows.items())
                if table == query["table"]
                and key >= first
                and (end is None or key < end)
            ]
            return 200, {"rows": rows[:limit], "hasMore": len(rows) > limit}
        if path == "/v1/rows-feed":
            return 200, {"rows": await self._follow(query)}
        return 404, {}

    async def _follow(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1_000
        while True:
            newest = {}
            for row in self.changes:
                if row["table"] == table and row["ver"] > after:
                    newest.pop(row["key"], None)
                    newest[row["key"]] = row
            left = until - time.monotonic()
            if newest or left <= 0:
                return list(newest.values())
            changed = self._changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transact(self, transaction):
        wanted = transaction.get("precondition") or ()
        found = [self.rows.get((each["table"], each["key"])) for each in wanted]
        if any(
            (row["ver"] if row else 0) != each["ver"]
            for row, each in zip(found, wanted, strict=True)
        ):
            return 412, {"rows": [row for row in found if row]}
        version = self.version + 1
        for each in transaction.get("puts") or ():
            self._write(each["table"], each["key"], each["value"], version)
        for each in transaction.get("remove") or ():
            self._write(each["table"], each["key"], None, version)
        self.version = version
        return 200, {}


class Server:
    """An engine with all layers it is ordered to hold, or a plain server.

    `serve(request, connection)` answers a request that this server runs.
    """

    def __init__(self, system, name, service, serve, *, zone="a", slots=6, kind="h100"):
        self.system = system
        self.name = name
        self.service = service
        self.serve = serve
        self.zone = zone
        self.slots = slots
        self.port = 0
        self.state = "ready"
        self.held = None
        self.orders = 0
        self.is_cut = False
        self.born = int(time.time() * 1_000)
        self.kind = kind
        self.connections = set()
        self._beat = None
        self._server = None

    @property
    def address(self):
        """Return the server's address."""
        return f"{HOST}:{self.port}"

    async def start(self):
        """Accept connections and keep the server's entry."""
        self._server = await asyncio.start_server(self._accept, HOST, 0, backlog=1_024)
        self.port = self._server.sockets[0].getsockname()[1]
        self._write_entry()
        self._beat = asyncio.create_task(self._keep_entry())

    async def _keep_entry(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if not self.is_cut:
                self._write_entry()

    def _write_entry(self):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seqNo": self.orders,
            "born": self.born,
        }
        if self.service == MODEL_SERVICE:
            entry |= {"kind": self.kind, "layers": self.held}
        self.system.store.put("servers", self.name, entry)

    def cut(self):
        """Lose the way to the store, but not to the nodes."""
        self.is_cut = True

    def heal(self):
        """Reach the store again, and list this server at once."""
        self.is_cut = False
        self._write_entry()

    def drain(self):
        """Report that this server leaves; it serves on."""
        self.state = "draining"
        self._write_entry()

    def leave(self, *, resets=False):
        """End: remove the entry and close the listener and all connections."""
        self._beat.cancel()
        self.system.store.put("servers", self.name, None)
        self._server.close()
        for writer in list(self.connections):
            if resets:
                connection = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            else:
                writer.close()

    async def _accept(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ClosedError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        first, fields = await read_head(reader)
        body = await read_body(reader, fields, is_answer=False)
        method, target, _ = first.split(" ")
        request = {"method": method, "target": target, "fields": fields, "body": body}
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(format_answer(421, [("X-Instance-Id", self.name)]))
        elif target == "/v1/report":
            writer.write(format_answer(200, [], json.dumps(self._report()).encode()))
        elif target == "/v1/order":
            writer.write(format_answer(self._order(json.loads(body)), [], b"{}"))
        elif target == "/health":
            writer.write(format_answer(200, [("X-Instance-Id", self.name)]))
        else:
            return await self.serve(self, request, reader, writer) is not False
        await writer.drain()
        return True

    def _report(self):
        return {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seqNo": self.orders,
            "born": self.born,
            "kind": self.kind,
            "layers": self.held,
            "queued": 0,
            "running": 0,
            "pace": 1.0,
            "stalled": [],
        }

    def _order(self, order):
        if order["operation"] != "place":
            return 404
        if order.get("precondition", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.held = {"from": order["from"], "to": order["to"], "version": 1}
        self._write_entry()
        return 202


def echo(server, request):
    """Return the fields that prove an answer."""
    return [
        ("X-Request-Id", request["fields"].get("x-request-id", "")),
        ("X-Server-Seal", f"seal-{server.name}"),
    ]


class System:
    """The store, the servers, the nodes and the record of one run."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.store = Store()
        self.nodes = {}
        self.ports = {}
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.began = time.monotonic()
        self._record = (self.folder / "record.txt").open("w")

    def log(self, text):
        """Write a line to the record."""
        self._record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self._record.flush()

    def start_node(self, name, *, zone="a", descriptors=4_100, memory=300, first=True):
        """Start a node with the run command of the deploy file."""
        ports = self.ports.setdefault(
            name, {each: free_port() for each in ("front", "ready", "meter", "relay")}
        )
        settings = pathlib.Path(self.temporary) / f"{name}.ini"
        settings.write_text(
            f"[node]\nname = {name}\nregion = r\nfailure_domain = {zone}\n"
            f"first_start = {str(first).lower()}\n\n"
            f"[listen]\ncallers = {HOST}:{ports['front']}\n"
            f"readiness = {HOST}:{ports['ready']}\n"
            f"metrics = {HOST}:{ports['meter']}\nrelay = {HOST}:{ports['relay']}\n\n"
            f"[store]\naddress = {HOST}:{self.store.port}\n\n"
            "[bounds]\nrevocation_milliseconds = 5000\n"
            "configuration_milliseconds = 2000\ndrain_milliseconds = 2000\n"
            "shutdown_seconds = 8\nretry_share = 0.2\nretry_slack = 202\n"
            "retry_window_seconds = 10\n\n"
            f"[limits]\nmemory_megabytes = {memory}\ndescriptors = {descriptors}\n"
        )
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "JUJUBEPASS_SETTINGS": str(settings),
        }

        def limit():
            # The descriptors that the platform allows a process.
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with open(f"{self.temporary}/{name}.log", "ab") as output:
            self.nodes[name] = subprocess.Popen(
                [sys.executable, "-m", "jujubepass.platform"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                preexec_fn=limit,
            )
        self.log(f"node {name} started")

    async def is_ready(self, name):
        """Ask a node once whether it is ready, on a new connection."""
        try:
            answer = await request(
                self.ports[name]["ready"], "GET", "/v1/readiness", [], timeout=1.0
            )
        except (TimeoutError, ClosedError, OSError):
            return False
        return answer.status == 200

    async def wait_until(self, condition, what, seconds=25.0):
        """Wait for a condition; raise NotRunnableError if it is not met in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise NotRunnableError(f"not in time: {what}")

    async def wait_ready(self):
        """Wait until all nodes are ready."""
        for name in self.nodes:
            await self.wait_until(lambda name=name: self.is_ready(name), name)
        self.log("nodes ready")

    def read_log(self, name):
        """Return a node's output."""
        return pathlib.Path(f"{self.temporary}/{name}.log").read_text(errors="replace")

    def close(self):
        """End all nodes and remove the temporary folder."""
        for process in self.nodes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._record.close()
        if os.environ.get("KEEP"):
            print("kept", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


class Answer:
    """A complete answer."""

    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


def make_head(method, path, extra=(), *, deadline_ms=20_000, request_id=None):
    """Return the head of a client's request without its length."""
    request_id = request_id or secrets.token_hex(8)
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Key: {KEY}",
        *extra,
    ]
    return "\r\n".join(lines) + "\r\n"


async def connect(port):
    """Open a connection; clients allow it one second."""
    return await asyncio.wait_for(asyncio.open_connection(HOST, port), 1.0)


async def exchange(reader, writer, head, body=b""):
    """Send one request on a connection and return its answer."""
    writer.write(head.encode("latin-1") + b"Content-Length: %d\r\n\r\n" % len(body))
    writer.write(body)
    await writer.drain()
    while True:
        first, fields = await read_head(reader)
        status = int(first.split(" ")[1])
        if status >= 200:
            break
    return Answer(status, fields, await read_body(reader, fields, is_answer=True))


async def request(port, method, path, extra, body=b"", *, timeout=20.0, **kw):
    """Send one request on a new connection."""
    reader, writer = await connect(port)
    try:
        head = make_head(method, path, extra, deadline_ms=int(timeout * 1_000), **kw)
        return await asyncio.wait_for(exchange(reader, writer, head, body), timeout)
    finally:
        writer.close()


def run_case(case, folder):
    """Run a case with the trouble or without it; exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 65_536), hard))

    async def play():
        system = System(folder)
        try:
            await system.store.start()
            async with asyncio.timeout(115):
                broken = await case(system, trouble)
            system.log(f"RESULT {'broken: ' + broken if broken else 'held'}")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            system.log(f"RESULT could not run: {error!r}")
            return 2
        finally:
            system.close()

    async def play_to_end():
        cancel = asyncio.current_task().cancel
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, cancel)
        code = await play()
        print(pathlib.Path(folder, "record.txt").read_text().splitlines()[-1])
        sys.stdout.flush()
        # Connections that are still open end with the process.
        os._exit(code)

    asyncio.run(play_to_end())
