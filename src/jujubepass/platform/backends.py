"""Decoding of entries in the list of backend servers."""

import typing

from jujubepass import _decoding, ids
from jujubepass.forwarding import backends, feeds
from jujubepass.transport import _http_client

_MAX_SLOTS = 1_000_000
_MAX_LAYERS = 100_000
_BACKEND_STATES = {
    "ready": backends.BackendState.READY,
    "draining": backends.BackendState.DRAINING,
}


def read_backend(key: str, row_version: int, value: typing.Any) -> backends.Backend:
    """Decode one entry; raises feeds.UnreadableRowError."""
    try:
        return backends.Backend(
            name=ids.BackendServerId(key),
            service=ids.ServiceId(_decoding.read_text(value["service"])),
            address=_read_address(value["address"]),
            failure_domain=ids.FailureDomainId(_decoding.read_text(value["zone"])),
            state=_BACKEND_STATES[value["state"]],
            slots=_decoding.read_integer(
                value.get("slots") or 1, minimum=1, maximum=_MAX_SLOTS
            ),
            started_at=_decoding.read_integer(value.get("born") or 0),
            accelerator=_decoding.read_text(value.get("kind") or ""),
            held=read_span(value.get("layers")),
        )
    except _decoding.MALFORMED_ERRORS as error:
        raise feeds.UnreadableRowError(
            f"invalid backend server entry: {error!r:.100}"
        ) from error


def _read_address(value: typing.Any) -> _http_client.Address:
    address = _http_client.parse_address(_decoding.read_text(value))
    if not address.port:
        raise ValueError("no server listens at port 0")
    return address


def read_span(value: typing.Any) -> backends.Span | None:
    """Decode the span that an engine holds; None if it holds no layers."""
    if value is None:
        return None
    first = _decoding.read_integer(value["from"], maximum=_MAX_LAYERS)
    # "to" is exclusive.
    end = _decoding.read_integer(value["to"], minimum=first, maximum=_MAX_LAYERS)
    return backends.Span(first=first, end=end)
