"""Codec of the messages that carry configuration between nodes."""

import json
import typing

from jujubepass import ids
from jujubepass.configuration import _configuration_messages
from jujubepass.generated.peer import ttypes
from jujubepass.transport import _http_client

_LOCATION_PARTS = 3


def make_message(
    command: _configuration_messages.PeerCommand,
    node: str,
    address: _http_client.Address,
) -> typing.Any:
    """Return the generated struct of a command, with the address for replies."""
    if isinstance(command, _configuration_messages.PushChanges):
        return ttypes.Message(configuration_changes=_write_changes(command, node))
    if isinstance(command, _configuration_messages.SendPage):
        return ttypes.Message(configuration_page=_write_page(command.page, node))
    if isinstance(command, _configuration_messages.ConfirmChanges):
        confirmation = ttypes.ConfigurationConfirmation(
            node=node,
            number=command.number,
            names_sum=command.names_sum,
            missing=list(command.missing),
        )
        return ttypes.Message(configuration_confirmation=confirmation)
    request = ttypes.ConfigurationQuestion(node=node, address=str(address))
    if isinstance(command, _configuration_messages.AskChanges):
        request.after_number = command.after
    else:
        request.after_title = command.after
    return ttypes.Message(configuration_question=request)


def read_message(message: typing.Any) -> _configuration_messages.PeerEvent | None:
    """Return the event of a generated struct; None if it has no configuration.

    Raises ValueError, TypeError or AttributeError on a bad field.
    """
    if message.configuration_changes is not None:
        return _read_changes(message.configuration_changes)
    if message.configuration_confirmation is not None:
        return _read_confirmation(message.configuration_confirmation)
    if message.configuration_question is not None:
        return _read_request(message.configuration_question)
    if message.configuration_page is not None:
        return _read_page(message.configuration_page)
    return None


def _write_changes(
    command: _configuration_messages.PushChanges, node: str
) -> typing.Any:
    changes = ttypes.ConfigurationChanges(
        node=node, entries=[_write_entry(entry) for entry in command.entries]
    )
    changes.confirm = command.confirm
    if command.segment is not None:
        changes.first = list(command.segment.first)
        changes.last = list(command.segment.last)
    return changes


def _write_entry(entry: _configuration_messages.Entry) -> typing.Any:
    return ttypes.ConfigurationEntry(
        number=entry.number,
        digest=bytes.fromhex(entry.digest),
        change=entry.change,
        author=entry.author,
        delta=json.dumps(entry.delta, separators=(",", ":")).encode(),
    )


def _write_page(page: _configuration_messages.Page, node: str) -> typing.Any:
    return ttypes.ConfigurationPage(
        node=node,
        number=page.number,
        digest=bytes.fromhex(page.digest),
        after_title=page.after,
        sections=json.dumps(page.sections, separators=(",", ":")).encode(),
        last=page.last,
    )


def _read_changes(changes: typing.Any) -> _configuration_messages.ChangesPushed:
    segment = None
    if changes.first is not None and changes.last is not None:
        segment = _configuration_messages.Segment(
            first=_read_location(changes.first), last=_read_location(changes.last)
        )
    return _configuration_messages.ChangesPushed(
        node=ids.NodeId(_read_text(changes.node)),
        entries=tuple(_read_entry(entry) for entry in changes.entries),
        segment=segment,
        confirm=bool(changes.confirm),
    )


def _read_confirmation(
    confirmation: typing.Any,
) -> _configuration_messages.ChangesConfirmed:
    return _configuration_messages.ChangesConfirmed(
        node=ids.NodeId(_read_text(confirmation.node)),
        number=ids.ChangeNumber(_read_number(confirmation.number)),
        names_sum=_read_number(confirmation.names_sum),
        missing=tuple(ids.NodeId(_read_text(name)) for name in confirmation.missing),
    )


def _read_location(parts: list[str]) -> tuple[str, str, str]:
    if len(parts) != _LOCATION_PARTS:
        raise ValueError("location must have a region, a failure domain and a name")
    return (parts[0], parts[1], parts[2])


def _read_entry(entry: typing.Any) -> _configuration_messages.Entry:
    return _configuration_messages.Entry(
        number=ids.ChangeNumber(_read_number(entry.number)),
        digest=entry.digest.hex(),
        change=ids.ChangeId(_read_text(entry.change)),
        author=_read_text(entry.author),
        delta=read_delta(json.loads(entry.delta)),
    )


def _read_request(
    request: typing.Any,
) -> _configuration_messages.ChangesAsked | _configuration_messages.PageAsked:
    node = ids.NodeId(_read_text(request.node))
    address = _http_client.parse_address(_read_text(request.address))
    if request.after_title is not None:
        return _configuration_messages.PageAsked(
            node=node, address=address, after=request.after_title
        )
    return _configuration_messages.ChangesAsked(
        node=node,
        address=address,
        after=ids.ChangeNumber(_read_number(request.after_number)),
    )


def _read_page(page: typing.Any) -> _configuration_messages.PageReceived:
    sections = read_delta(json.loads(page.sections))
    return _configuration_messages.PageReceived(
        node=ids.NodeId(_read_text(page.node)),
        page=_configuration_messages.Page(
            number=ids.ChangeNumber(_read_number(page.number)),
            digest=page.digest.hex(),
            after=_read_text(page.after_title),
            sections={k: v for k, v in sections.items() if v is not None},
            last=bool(page.last),
        ),
    )


def read_delta(value: typing.Any) -> _configuration_messages.Delta:
    """Check that a value maps titles to sections of text or to None."""
    if not isinstance(value, dict):
        raise TypeError("sections must be an object, by title")
    for title, section in value.items():
        if section is not None and not isinstance(section, dict):
            raise TypeError(f"section {title!r} must be an object or null")
        for key, text in (section or {}).items():
            if not isinstance(text, str):
                raise TypeError(f"[{title}] {key} must be text")
    return value


def _read_text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise TypeError("text field missing or of another type")
    return value


def _read_number(value: typing.Any) -> int:
    if not isinstance(value, int):
        raise TypeError("number field missing or of another type")
    return value
