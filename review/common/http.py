"""Smallest HTTP/1.1 messages for stand-ins: requests and answers with a length."""

import asyncio
import contextlib
import socket
import struct

_MAX_HEAD_BYTES = 65_536


class Message:
    """Contain the first line, the header fields and the body of a message."""

    def __init__(self, line, fields, body=b""):
        self.line = line
        self.fields = fields
        self.body = body

    @property
    def method(self):
        """Return the method of a request."""
        return self.line.split(" ")[0]

    @property
    def target(self):
        """Return the target of a request."""
        return self.line.split(" ")[1]

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.line.split(" ")[1])

    def get(self, name, default=None):
        """Return the value of a header field; names are in lower case."""
        return dict(self.fields).get(name, default)


async def read_head(reader):
    """Read a first line and header fields; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields.append((name.strip().lower(), value.strip()))
    return Message(lines[0], fields)


async def read_body(reader, head):
    """Read the body that a head announces; raises at an early end."""
    if head.get("transfer-encoding", "").lower() == "chunked":
        head.body = await _read_chunks(reader)
    elif head.get("content-length") is not None:
        head.body = await reader.readexactly(int(head.get("content-length")))
    return head


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


def write_request(method, target, fields, body=b""):
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def write_answer(status, fields=(), body=b""):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields)]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def reset(writer):
    """Close a connection by a reset."""
    found = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def close(writer):
    """Close a connection in order."""
    with contextlib.suppress(OSError):
        writer.close()
        await writer.wait_closed()


async def serve(handler, host, port=0):
    """Listen and pass each connection to a handler; return the server."""

    async def handle(reader, writer):
        """Serve one connection."""
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            await close(writer)

    return await asyncio.start_server(
        handle, host, port, limit=_MAX_HEAD_BYTES, backlog=1024
    )


def get_port(server):
    """Return the port that a server listens on."""
    return server.sockets[0].getsockname()[1]
