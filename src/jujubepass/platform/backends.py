"""Decoding of entries in the list of backend servers."""

import typing

from jujubepass import ids
from jujubepass.forwarding import backends, feeds
from jujubepass.transport import _http_client

_BACKEND_STATES = {
    "ready": backends.BackendState.READY,
    "draining": backends.BackendState.DRAINING,
}


def read_backend(key: str, row_version: int, value: typing.Any) -> backends.Backend:
    """Decode one entry; raises feeds.UnreadableRowError."""
    try:
        return backends.Backend(
            name=ids.BackendServerId(key),
            service=ids.ServiceId(_check_string(value["service"])),
            address=_http_client.parse_address(_check_string(value["address"])),
            failure_domain=ids.FailureDomainId(_check_string(value["zone"])),
            state=_BACKEND_STATES[value["state"]],
            slots=int(value.get("slots") or 1),
            started_at=int(value.get("born") or 0),
            accelerator=_check_string(value.get("kind") or ""),
            held=read_span(value.get("layers")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise feeds.UnreadableRowError(
            f"invalid backend server entry: {error!r}"
        ) from error


def read_span(value: typing.Any) -> backends.Span | None:
    """Decode the span that an engine holds; None if it holds no layers."""
    if value is None:
        return None
    # "to" is exclusive.
    return backends.Span(first=int(value["from"]), end=int(value["to"]))


def _check_string(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value
