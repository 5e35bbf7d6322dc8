"""Show that a client's connection that is reset before its accept ends the node."""

import asyncio
import collections
import contextlib
import os
import pathlib
import random
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.common import fleet, http, service, store

_IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
_ZONES = ("uy-sur-centro", "uy-sur-este", "uy-sur-oeste")
_KEPT_CLIENTS_PER_NODE = 12
# Spans of clients that give up: a fifth of them, for 5.5 s, as in the site file.
_GIVE_UP_AT = (4.0, 14.0, 24.0, 34.0)
_GIVE_UP_SECONDS = 5.5
_GIVE_UP_SHARE = 0.2
_NEW_CLIENTS_INTERVAL_SECONDS = 0.05
_LENGTH_SECONDS = 44.0
# LOST: a machine closes kept connections without an answer "more than three times".
_MAX_LOST = 3


class Day:
    """Play clients against three nodes, and judge what they see."""

    def __init__(self, record):
        self.record = record
        self.lost = collections.Counter()
        """Requests of kept connections without an answer, by node."""
        self.answered = 0
        self.left = 0
        self.ends_at = 0.0
        self._ids = 0

    def make_id(self):
        """Return a new request id."""
        self._ids += 1
        return f"{self._ids:08x}{random.getrandbits(32):08x}"

    async def send(self, reader, writer):
        """Send a booking; return its id and status, None if the connection ended."""
        identity = self.make_id()
        fields = [
            ("Host", service.HOST_NAME),
            ("X-Request-Id", identity),
            ("X-Deadline-Ms", "2500"),
            ("X-Key", service.KEY),
        ]
        target = f"{service.BOOKING_PREFIX}2f"
        self.record.write("sent", request=identity)
        writer.write(http.write_request("POST", target, fields, b"book " * 120))
        try:
            await writer.drain()
            head = await http.read_head(reader)
            if head is not None:
                await http.read_body(reader, head)
        except (ConnectionError, asyncio.IncompleteReadError):
            head = None
        status = head.status if head is not None else None
        self.record.write("answered", request=identity, status=status)
        return identity, status

    async def keep_sending(self, node, servers):
        """Send bookings over a kept connection until the day ends."""
        while time.monotonic() < self.ends_at:
            try:
                reader, writer = await asyncio.open_connection(*node.front)
            except OSError:
                await asyncio.sleep(0.3)
                continue
            is_kept = False
            while time.monotonic() < self.ends_at:
                identity, status = await self.send(reader, writer)
                if status is None:
                    is_passed_on = any(identity in each.arrivals for each in servers)
                    if is_passed_on and is_kept:
                        self.lost[node.name] += 1
                        self.record.write("LOST", request=identity, node=node.name)
                    break
                self.answered += 1
                is_kept = True
                await asyncio.sleep(random.uniform(0.02, 0.2))
            await http.close(writer)

    async def come_and_go(self, nodes):
        """Open new connections; in the spans of trouble a fifth of them give up."""
        began_at = time.monotonic()
        while time.monotonic() < self.ends_at:
            await asyncio.sleep(_NEW_CLIENTS_INTERVAL_SECONDS)
            now = time.monotonic() - began_at
            node = random.choice(nodes)
            is_leaving = random.random() < _GIVE_UP_SHARE and any(
                at <= now < at + _GIVE_UP_SECONDS for at in _GIVE_UP_AT
            )
            with contextlib.suppress(OSError):
                if _IS_TROUBLED and is_leaving:
                    self.leave(node)
                else:
                    reader, writer = await asyncio.open_connection(*node.front)
                    await self.send(reader, writer)
                    await http.close(writer)

    def leave(self, node):
        """Connect and give up at once, as the client's connection is aborted."""
        with socket.socket() as found:
            found.settimeout(1.0)
            found.connect(node.front)
            linger = struct.pack("ii", 1, 0)
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.left += 1
        self.record.write("client left", node=node.name)


async def play(folder, record):
    """Play the day; return the exit code."""
    rows = store.Store()
    listener = await http.serve(rows.handle, "127.0.0.1")
    address = f"127.0.0.1:{http.get_port(listener)}"
    rows.put("op", "config", service.make_configuration())
    servers = [
        service.PlainServer(f"i-{number}", zone, rows, record)
        for number, zone in enumerate(_ZONES)
    ]
    for each in servers:
        await each.start()
    nodes = [fleet.Node(f"edge-{zone}-1", zone, address, folder) for zone in _ZONES]
    day = Day(record)
    try:
        for each in nodes:
            await each.start()
        for each in nodes:
            await each.wait_until_ready()
        day.ends_at = time.monotonic() + _LENGTH_SECONDS
        async with asyncio.TaskGroup() as tasks:
            for node in nodes:
                for _ in range(_KEPT_CLIENTS_PER_NODE):
                    tasks.create_task(day.keep_sending(node, servers))
            tasks.create_task(day.come_and_go(nodes))
        return judge(day, nodes, record)
    finally:
        for each in nodes:
            await each.stop()


def judge(day, nodes, record):
    """Compare what was seen with the rule; return the exit code."""
    lines = [f"answered {day.answered}, gave up {day.left}"]
    for node in nodes:
        lines.append(
            f"{node.name}: ended by itself {len(node.ends)} times"
            f" (exit codes {[code for _, code in node.ends]}),"
            f" passed on and closed without an answer: {day.lost[node.name]}"
        )
    is_broken = any(count > _MAX_LOST for count in day.lost.values())
    lines.append("LOST broken" if is_broken else "LOST held")
    for line in lines:
        record.write(line)
        print(line)
    if not day.answered:
        return 2
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(fleet.run_case(play, __file__))
