"""Conversion of a node's commands to the events that its peers receive."""

from jujubepass.configuration import _configuration_messages


def make_event(node, command):
    """Return the event that a peer receives for a command."""
    if isinstance(command, _configuration_messages.PushChanges):
        return _configuration_messages.ChangesPushed(
            node=node.name,
            entries=command.entries,
            segment=command.segment,
            confirm=command.confirm,
        )
    if isinstance(command, _configuration_messages.ConfirmChanges):
        return _configuration_messages.ChangesConfirmed(
            node=node.name,
            number=command.number,
            names_sum=command.names_sum,
            missing=command.missing,
        )
    if isinstance(command, _configuration_messages.SendPage):
        return _configuration_messages.PageReceived(node=node.name, page=command.page)
    event_type = (
        _configuration_messages.ChangesAsked
        if isinstance(command, _configuration_messages.AskChanges)
        else _configuration_messages.PageAsked
    )
    return event_type(node=node.name, address=node.address, after=command.after)
