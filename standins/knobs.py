"""Settings of faults that tests change over HTTP."""

import json
import typing

import attrs

from jujubepass.transport import _http_server, _rejections


async def serve_knobs(
    knobs: typing.Any,
    request: _http_server.Request,
    responder: _http_server.Responder,
) -> None:
    """Change the given fields of an attrs instance and respond with all fields."""
    if request.method == "POST":
        change_knobs(knobs, json.loads(request.body))
    await responder.send_json(200, attrs.asdict(knobs))


def change_knobs(knobs: typing.Any, changes: dict[str, typing.Any]) -> None:
    """Set fields by name; reject unknown names before changing any."""
    unknown = sorted(set(changes) - {field.name for field in attrs.fields(type(knobs))})
    if unknown:
        raise _rejections.RejectedInputError(
            status=400, code="unknown_knob", detail=f"No such knob: {unknown}."
        )
    for name, value in changes.items():
        setattr(knobs, name, value)


def draw_fault(value: float, random_number: float) -> tuple[bool, float]:
    """Return whether a fault happens, and the knob's new value.

    A value from 1 counts the faults still to come; below 1 it is their probability.
    """
    if value >= 1:
        return True, value - 1
    return random_number < value, value
