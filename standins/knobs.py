"""Fault settings that tests change over HTTP."""

import json
import typing

import attrs

from jujubepass.transport import _http_server, _rejections


async def serve_knobs(
    knobs: typing.Any,
    request: _http_server.Request,
    responder: _http_server.Responder,
) -> None:
    """Change the named fields of an attrs instance and show all of them."""
    if request.method == "POST":
        change_knobs(knobs, json.loads(request.body))
    await responder.send_json(200, attrs.asdict(knobs))


def change_knobs(knobs: typing.Any, changes: dict[str, typing.Any]) -> None:
    """Set fields by name; reject unknown names without changing any."""
    unknown = sorted(set(changes) - {field.name for field in attrs.fields(type(knobs))})
    if unknown:
        raise _rejections.RejectedInputError(
            status=400, code="unknown_knob", detail=f"No such knob: {unknown}."
        )
    for name, value in changes.items():
        setattr(knobs, name, value)


def should_happen(left: float, random_number: float) -> tuple[bool, float]:
    """Decide whether a counted (1, 2, ...) or random (0.0 to below 1.0) fault happens.

    Returns the verdict and what is left of the knob.
    """
    if left >= 1:
        return True, left - 1
    return random_number < left, left
