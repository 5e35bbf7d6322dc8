"""Codec of the messages that move shares of account limits."""

import math
import typing

from jujubepass import ids
from jujubepass.generated.peer import ttypes
from jujubepass.limits import _share_messages

_PER_UNIT = 1_000
_MAX_ROWS = 10_000
_MAX_VALUE = 2**31 - 1


class ShareCodecError(Exception):
    """Report a message with a missing or impossible field."""


def build_demands(command: _share_messages.SendDemands) -> typing.Any:
    """Build the message of a node's demands."""
    rows = [
        ttypes.ShareDemand(
            account=demand.account,
            wanted_rate=_to_wire(demand.wanted_rate * _PER_UNIT),
            held_rate=_to_wire(demand.held_rate * _PER_UNIT),
            wanted_running=_to_wire(demand.wanted_running),
            held_running=_to_wire(demand.held_running),
        )
        for demand in command.demands
    ]
    demands = ttypes.ShareDemands(node=command.node, demands=rows)
    return ttypes.Message(share_demands=demands)


def build_grants(command: _share_messages.SendGrants) -> typing.Any:
    """Build the message of a home node's grants."""
    rows = [
        ttypes.ShareGrant(
            account=grant.account,
            rate=_to_wire(grant.rate * _PER_UNIT),
            running=_to_wire(grant.running),
        )
        for grant in command.grants
    ]
    return ttypes.Message(
        share_grants=ttypes.ShareGrants(node=command.node, grants=rows)
    )


def read_demands(message: typing.Any) -> _share_messages.DemandsReceived:
    """Read demands; raise ShareCodecError."""
    return _share_messages.DemandsReceived(
        node=ids.NodeId(_read_text(message.node)),
        demands=tuple(
            _share_messages.Demand(
                account=ids.AccountId(_read_text(row.account)),
                wanted_rate=_read_number(row.wanted_rate) / _PER_UNIT,
                held_rate=_read_number(row.held_rate) / _PER_UNIT,
                wanted_running=_read_number(row.wanted_running),
                held_running=_read_number(row.held_running),
            )
            for row in _read_rows(message.demands)
        ),
    )


def read_grants(message: typing.Any) -> _share_messages.GrantsReceived:
    """Read grants; raise ShareCodecError."""
    return _share_messages.GrantsReceived(
        node=ids.NodeId(_read_text(message.node)),
        grants=tuple(
            _share_messages.Grant(
                account=ids.AccountId(_read_text(row.account)),
                rate=_read_number(row.rate, least=1) / _PER_UNIT,
                running=_read_number(row.running, least=1),
            )
            for row in _read_rows(message.grants)
        ),
    )


def _to_wire(value: float) -> int:
    return min(_MAX_VALUE, math.ceil(value))


def _read_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ShareCodecError("share message without a name")
    return value


def _read_number(value: object, *, least: int = 0) -> int:
    if not isinstance(value, int) or not least <= value <= _MAX_VALUE:
        raise ShareCodecError(f"share message with the number {value!r}")
    return value


def _read_rows(value: object) -> list[typing.Any]:
    if not isinstance(value, list) or len(value) > _MAX_ROWS:
        raise ShareCodecError("share message without a list of rows")
    return value
