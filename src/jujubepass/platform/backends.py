"""Decodes entries of the list of backend servers."""

import typing

from jujubepass import ids
from jujubepass.forwarding import backends
from jujubepass.platform import store
from jujubepass.transport import _http_client

_STATES = {
    "ready": backends.BackendState.READY,
    "draining": backends.BackendState.DRAINING,
}


def read_backend(key: str, row_version: int, value: typing.Any) -> backends.Backend:
    """Decode one entry; raises store.UnreadableRowError."""
    try:
        return backends.Backend(
            name=ids.BackendServerId(key),
            service=ids.ServiceId(_read_text(value["service"])),
            address=_http_client.parse_address(_read_text(value["address"])),
            failure_domain=ids.FailureDomainId(_read_text(value["zone"])),
            state=_STATES[value["state"]],
            slots=int(value.get("slots") or 1),
            started_at=int(value.get("born") or 0),
            accelerator=_read_text(value.get("kind") or ""),
            held=read_span(value.get("layers")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise store.UnreadableRowError(f"no backend server: {error!r}") from error


def read_span(value: typing.Any) -> backends.Span | None:
    """Decode the layers that an engine holds; None when it holds none."""
    if value is None:
        return None
    # "to" is one past the last layer.
    return backends.Span(first=int(value["from"]), end=int(value["to"]))


def _read_text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value
