"""Show that an early answer without a length that is reset passes for complete."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.common import fleet, http, service, store

_IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
_ZONES = ("uy-sur-centro", "uy-sur-este")
# Within maxBodyBytes of the configuration, 4,194,304.
_LONG_BODY_BYTES = 4_000_000
# Spans in which one of the two servers (a share of 0.5) breaks off one in twenty of its
# answers, as in the site file (garble, unframed: x = 0.05, for_s = 5).
_SPANS = 3
_SPAN_SECONDS = 5.0
_CALM_SECONDS = 1.0
_BROKEN_EVERY = 20
_WAIT_SECONDS = 0.1


class EarlyServer(service.PlainServer):
    """Answer before the body was read, without a length; some answers are reset."""

    is_faulty = False
    answered = 0
    """Answers while the server was faulty."""

    async def answer(self, head, reader, writer):
        """Run one request; the connection ends with its answer."""
        identity = head.get("x-request-id", "")
        fields = [("X-Request-Id", identity)]
        if head.get("x-expect-instance", self.name) != self.name:
            writer.write(http.write_answer(421, fields))
            return False
        self.record_run(identity)
        body = self.make_body(identity)
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in self.seal(fields)]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        self.answered += self.is_faulty
        if self.is_faulty and self.answered % _BROKEN_EVERY == 0:
            writer.write(body[: len(body) // 2])
            await writer.drain()
            await asyncio.sleep(_WAIT_SECONDS)
            self.record.write("reset", request=identity, server=self.name)
            http.reset(writer)
            return False
        writer.write(body)
        await writer.drain()
        await asyncio.sleep(_WAIT_SECONDS)
        # It reads on later.
        await http.read_body(reader, head)
        return False


async def send(node, identity, record):
    """Send a booking with a long body; return the answer, None if it is incomplete."""
    fields = [
        ("Host", service.HOST_NAME),
        ("X-Request-Id", identity),
        ("X-Deadline-Ms", "2500"),
        ("X-Key", service.KEY),
    ]
    target = f"{service.BOOKING_PREFIX}2f"
    reader, writer = await asyncio.open_connection(*node.front)
    record.write("sent", request=identity, bytes=_LONG_BODY_BYTES)
    writer.write(http.write_request("POST", target, fields, b"b" * _LONG_BODY_BYTES))
    try:
        async with asyncio.timeout(5.0):
            await writer.drain()
            head = await http.read_head(reader)
            return await http.read_body(reader, head) if head is not None else None
    except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
        return None
    finally:
        await http.close(writer)


async def judge(node, number, servers, record):
    """Send a request; return whether its answer is whole, mixed or failed."""
    identity = f"{number:016x}"
    answer = await send(node, identity, record)
    bodies = [each.answers.get(identity) for each in servers]
    if answer is None or answer.status >= 300:
        outcome, shown = "failed", answer.status if answer is not None else "no answer"
    elif answer.body in bodies and answer.get("x-server-seal"):
        outcome, shown = "whole", "200 whole"
    else:
        expected = next(len(each) for each in bodies if each is not None)
        outcome, shown = "mixed", f"200 MIXED: {len(answer.body)} of {expected} bytes"
    record.write("answered", request=identity, outcome=shown)
    return outcome


async def play(folder, record):
    """Send the requests one after the other; return the exit code."""
    rows = store.Store()
    listener = await http.serve(rows.handle, "127.0.0.1")
    address = f"127.0.0.1:{http.get_port(listener)}"
    rows.put("op", "config", service.make_configuration())
    servers = [
        EarlyServer(f"i-{number}", zone, rows, record)
        for number, zone in enumerate(_ZONES)
    ]
    for each in servers:
        await each.start()
    nodes = [fleet.Node(f"edge-{zone}-1", zone, address, folder) for zone in _ZONES]
    outcomes = []
    try:
        for each in nodes:
            await each.start()
        for each in nodes:
            await each.wait_until_ready()
        # By then the limits of the configuration are in force.
        await asyncio.sleep(1.0)
        number = 0
        for _ in range(_SPANS):
            servers[0].is_faulty = _IS_TROUBLED
            end = time.monotonic() + _SPAN_SECONDS
            while time.monotonic() < end:
                number += 1
                node = nodes[number % len(nodes)]
                outcomes.append(await judge(node, number, servers, record))
            servers[0].is_faulty = False
            await asyncio.sleep(_CALM_SECONDS)
    finally:
        for each in nodes:
            await each.stop()
    whole, mixed, failed = map(outcomes.count, ("whole", "mixed", "failed"))
    line = f"whole {whole}, success with another body {mixed}, failed {failed}"
    record.write(line)
    print(line)
    print("MIXED broken" if mixed else "MIXED held")
    if not whole:
        return 2
    return 1 if mixed else 0


if __name__ == "__main__":
    sys.exit(fleet.run_case(play, __file__))
