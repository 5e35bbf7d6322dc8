"""Codec of the messages between nodes, based on generated thrift structs."""

import typing

import thrift.protocol.TCompactProtocol
import thrift.transport.TTransport

from jujubepass import _decoding
from jujubepass.configuration import _configuration_codec, _configuration_messages
from jujubepass.generated.peer import ttypes
from jujubepass.limits import _share_codec, _share_messages
from jujubepass.membership import _membership_codec, _membership_messages


class PeerCodecError(Exception):
    """Signal bytes that are not a valid message."""


def encode_struct(struct: typing.Any) -> bytes:
    """Encode a generated struct in the compact protocol."""
    buffer = thrift.transport.TTransport.TMemoryBuffer()
    struct.write(thrift.protocol.TCompactProtocol.TCompactProtocol(buffer))
    return typing.cast(bytes, buffer.getvalue())


def decode_struct(struct: typing.Any, data: bytes) -> typing.Any:
    """Decode bytes into a generated struct; raise PeerCodecError on bad input."""
    buffer = thrift.transport.TTransport.TMemoryBuffer(data)
    protocol = thrift.protocol.TCompactProtocol.TCompactProtocol(
        buffer, string_length_limit=len(data), container_length_limit=len(data)
    )
    try:
        struct.read(protocol)
    except Exception as error:
        # On malformed bytes the library raises its own and built-in exceptions.
        raise PeerCodecError(f"malformed peer message: {error!r}") from error
    return struct


def encode_command(command: _membership_messages.SendHeartbeat) -> bytes:
    """Encode the message that a command sends."""
    heartbeat = _membership_codec.write_heartbeat(command.heartbeat)
    return encode_struct(ttypes.Message(heartbeat=heartbeat))


PeerEvent = (
    _membership_messages.HeartbeatReceived
    | _share_messages.DemandsReceived
    | _share_messages.GrantsReceived
    | _configuration_messages.PeerEvent
)


def _decode_share(
    message: typing.Any,
) -> _share_messages.DemandsReceived | _share_messages.GrantsReceived | None:
    try:
        if message.share_demands is not None:
            return _share_codec.read_demands(message.share_demands)
        if message.share_grants is not None:
            return _share_codec.read_grants(message.share_grants)
    except _share_codec.ShareCodecError as error:
        raise PeerCodecError(str(error)) from error
    return None


def _decode_configuration(
    message: typing.Any,
) -> _configuration_messages.PeerEvent | None:
    try:
        return _configuration_codec.read_message(message)
    except _decoding.MALFORMED_ERRORS as error:
        raise PeerCodecError(
            f"configuration message with an invalid field: {error}"
        ) from error


def decode_event(data: bytes) -> PeerEvent:
    """Decode a message into its event; raise PeerCodecError on bad input."""
    message = decode_struct(ttypes.Message(), data)
    event = _decode_share(message) or _decode_configuration(message)
    if event is not None:
        return event
    if message.heartbeat is None:
        raise PeerCodecError("peer message sets no field that this node knows")
    try:
        heartbeat = _membership_codec.read_heartbeat(message.heartbeat)
    except _decoding.MALFORMED_ERRORS as error:
        raise PeerCodecError(f"heartbeat with an invalid field: {error}") from error
    return _membership_messages.HeartbeatReceived(heartbeat=heartbeat)
