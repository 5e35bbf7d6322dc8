"""Framed, authenticated, one-way connections between nodes."""

import collections.abc
import functools
import hashlib
import hmac
import logging
import secrets
import socket
import struct

import trio

from jujubepass import ids
from jujubepass.generated.peer import ttypes
from jujubepass.transport import _http_client, _peer_codec

_LOGGER = logging.getLogger(__name__)

_LENGTH = struct.Struct(">I")
_MAX_FRAME_BYTES = 4_194_304
_NONCE_BYTES = 32
_HANDSHAKE_TIMEOUT_SECONDS = 2.0
_SEND_TIMEOUT_SECONDS = 2.0
_MAX_QUEUED_MESSAGES = 64
_MAX_CONNECTIONS = 2_000
_MAX_HANDSHAKES = 256
_MAX_HANDSHAKE_FRAME_BYTES = 1_024
_KEEPALIVE_IDLE_SECONDS = 30
_KEEPALIVE_INTERVAL_SECONDS = 10
_MAX_KEEPALIVE_PROBES = 3

MessageHandler = collections.abc.Callable[[bytes], None]


class PeerError(Exception):
    """Signal a fault that ends a connection between nodes."""


class PeerListener:
    """Receive messages from nodes that hold the peer key."""

    def __init__(self, *, key: bytes, handler: MessageHandler) -> None:
        self._key = key
        self._handler = handler
        self._connections = 0
        self._handshakes = 0
        self.received_bytes = 0
        self.rejected_messages = 0

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return self._connections

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled."""
        serve = functools.partial(trio.serve_tcp, self._receive, port, host=host)
        async with trio.open_nursery() as nursery:
            await nursery.start(serve)
            task_status.started()

    async def _receive(self, stream: trio.SocketStream) -> None:
        if self._connections >= _MAX_CONNECTIONS or self._handshakes >= _MAX_HANDSHAKES:
            await trio.aclose_forcefully(stream)
            return
        self._connections += 1
        try:
            _enable_keepalive(stream)
            with trio.fail_after(_HANDSHAKE_TIMEOUT_SECONDS):
                await self._run_handshake(stream)
            while True:
                data = await _receive_frame(stream, _MAX_FRAME_BYTES)
                self.received_bytes += len(data) + _LENGTH.size
                self._handle(data)
        except trio.EndOfChannel:
            _LOGGER.debug("peer closed its connection")
        except (PeerError, _peer_codec.PeerCodecError) as error:
            _LOGGER.warning("peer connection refused: %s", error)
        except (trio.BrokenResourceError, trio.TooSlowError):
            _LOGGER.debug("peer connection broke")
        except Exception:
            # Errors of one connection must not end the listener.
            _LOGGER.exception("peer connection failed")
        finally:
            self._connections -= 1
            stream.socket.close()

    def _handle(self, data: bytes) -> None:
        """Handle a message; a failure ends neither the connection nor the node."""
        try:
            self._handler(data)
        except _peer_codec.PeerCodecError as error:
            self.rejected_messages += 1
            _LOGGER.warning("peer message ignored: %s", error)
        except Exception:
            self.rejected_messages += 1
            _LOGGER.exception("handling of a peer message failed")

    async def _run_handshake(self, stream: trio.SocketStream) -> None:
        self._handshakes += 1
        try:
            await self._authenticate(stream)
        finally:
            self._handshakes -= 1

    async def _authenticate(self, stream: trio.SocketStream) -> None:
        nonce = secrets.token_bytes(_NONCE_BYTES)
        challenge = ttypes.Challenge(nonce=nonce)
        await _send_frame(stream, _peer_codec.encode_struct(challenge))
        data = await _receive_frame(stream, _MAX_HANDSHAKE_FRAME_BYTES)
        proof = _peer_codec.decode_struct(ttypes.Proof(), data)
        if proof.node is None or proof.mac is None:
            raise PeerError("proof without a node or MAC")
        expected = _sign(self._key, nonce, proof.node)
        if not hmac.compare_digest(expected, proof.mac):
            raise PeerError(f"{proof.node!r} does not hold the peer key")


class PeerSender:
    """Send messages to nodes, over one connection for each node."""

    def __init__(self, *, node: ids.NodeId, key: bytes, nursery: trio.Nursery) -> None:
        self._node = node
        self._key = key
        self._nursery = nursery
        self._queues: dict[_http_client.Address, trio.MemorySendChannel[bytes]] = {}
        self.sent_bytes = 0
        self.dropped_messages = 0

    def send(self, address: _http_client.Address, data: bytes) -> None:
        """Queue a message; drop it if the queue for the peer is full."""
        queue = self._queues.get(address)
        if queue is None:
            queue, receiver = trio.open_memory_channel[bytes](_MAX_QUEUED_MESSAGES)
            self._queues[address] = queue
            self._nursery.start_soon(self._send_queued, address, receiver)
        try:
            queue.send_nowait(data)
        except trio.WouldBlock:
            self.dropped_messages += 1

    def disconnect(self, address: _http_client.Address) -> None:
        """Close the connection to a node that is gone."""
        queue = self._queues.pop(address, None)
        if queue is not None:
            queue.close()

    async def _send_queued(
        self, address: _http_client.Address, messages: trio.MemoryReceiveChannel[bytes]
    ) -> None:
        stream: trio.SocketStream | None = None
        try:
            async for data in messages:
                try:
                    with trio.fail_after(_SEND_TIMEOUT_SECONDS):
                        stream = stream or await self._connect(address)
                        await _send_frame(stream, data)
                    self.sent_bytes += len(data) + _LENGTH.size
                except (
                    OSError,
                    PeerError,
                    _peer_codec.PeerCodecError,
                    trio.BrokenResourceError,
                    trio.EndOfChannel,
                    trio.TooSlowError,
                ) as error:
                    _LOGGER.debug("message to %s dropped: %r", address, error)
                    self.dropped_messages += 1
                    if stream is not None:
                        stream.socket.close()
                    stream = None
        finally:
            if stream is not None:
                stream.socket.close()

    async def _connect(self, address: _http_client.Address) -> trio.SocketStream:
        stream = await trio.open_tcp_stream(address.host, address.port)
        try:
            data = await _receive_frame(stream, _MAX_HANDSHAKE_FRAME_BYTES)
            challenge = _peer_codec.decode_struct(ttypes.Challenge(), data)
            if challenge.nonce is None:
                raise PeerError("challenge without a nonce")
            mac = _sign(self._key, challenge.nonce, self._node)
            proof = ttypes.Proof(node=self._node, mac=mac)
            await _send_frame(stream, _peer_codec.encode_struct(proof))
        except BaseException:
            stream.socket.close()
            raise
        return stream


def _sign(key: bytes, nonce: bytes, node: str) -> bytes:
    return hmac.digest(key, nonce + node.encode(), hashlib.sha256)


async def _send_frame(stream: trio.abc.Stream, data: bytes) -> None:
    await stream.send_all(_LENGTH.pack(len(data)) + data)


def _enable_keepalive(stream: trio.SocketStream) -> None:
    """Make the kernel close a connection whose peer VM vanished without closing it."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, _MAX_KEEPALIVE_PROBES),
    ):
        stream.setsockopt(socket.IPPROTO_TCP, option, value)


async def _receive_frame(stream: trio.abc.Stream, max_bytes: int) -> bytes:
    (length,) = _LENGTH.unpack(await _receive_exactly(stream, _LENGTH.size))
    if length > max_bytes:
        raise PeerError(f"frame of {length} bytes exceeds the limit of {max_bytes}")
    return await _receive_exactly(stream, length)


async def _receive_exactly(stream: trio.abc.Stream, count: int) -> bytes:
    data = bytearray()
    while len(data) < count:
        part = await stream.receive_some(count - len(data))
        if not part:
            raise trio.EndOfChannel
        data += part
    return bytes(data)
