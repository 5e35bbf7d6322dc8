"""Codec of the peer messages for shares of account limits."""

import math
import typing

from jujubepass import ids
from jujubepass.generated.peer import ttypes
from jujubepass.limits import _share_messages

_THOUSANDTHS_PER_UNIT = 1_000
_MAX_ROWS = 10_000
_MAX_VALUE = 2**31 - 1


class ShareCodecError(Exception):
    """Signal that a share message has a missing or invalid field."""


def build_demands(command: _share_messages.SendDemands) -> typing.Any:
    """Build the message with a node's share requests."""
    rows = [
        ttypes.ShareDemand(
            account=demand.account,
            wanted_rate=_encode_number(demand.wanted_rate * _THOUSANDTHS_PER_UNIT),
            held_rate=_encode_number(demand.held_rate * _THOUSANDTHS_PER_UNIT),
            wanted_running=_encode_number(demand.wanted_running),
            held_running=_encode_number(demand.held_running),
        )
        for demand in command.demands
    ]
    demands = ttypes.ShareDemands(node=command.node, demands=rows)
    return ttypes.Message(share_demands=demands)


def build_grants(command: _share_messages.SendGrants) -> typing.Any:
    """Build the message with a home node's grants."""
    rows = [
        ttypes.ShareGrant(
            account=grant.account,
            rate=_encode_number(grant.rate * _THOUSANDTHS_PER_UNIT),
            running=_encode_number(grant.running),
        )
        for grant in command.grants
    ]
    return ttypes.Message(
        share_grants=ttypes.ShareGrants(node=command.node, grants=rows)
    )


def read_demands(message: typing.Any) -> _share_messages.DemandsReceived:
    """Parse share requests; raise ShareCodecError if they are invalid."""
    return _share_messages.DemandsReceived(
        node=ids.NodeId(_read_text(message.node)),
        demands=tuple(
            _share_messages.Demand(
                account=ids.AccountId(_read_text(row.account)),
                wanted_rate=_read_number(row.wanted_rate) / _THOUSANDTHS_PER_UNIT,
                held_rate=_read_number(row.held_rate) / _THOUSANDTHS_PER_UNIT,
                wanted_running=_read_number(row.wanted_running),
                held_running=_read_number(row.held_running),
            )
            for row in _read_rows(message.demands)
        ),
    )


def read_grants(message: typing.Any) -> _share_messages.GrantsReceived:
    """Parse grants; raise ShareCodecError if they are invalid."""
    return _share_messages.GrantsReceived(
        node=ids.NodeId(_read_text(message.node)),
        grants=tuple(
            _share_messages.Grant(
                account=ids.AccountId(_read_text(row.account)),
                rate=_read_number(row.rate, minimum=1) / _THOUSANDTHS_PER_UNIT,
                running=_read_number(row.running, minimum=1),
            )
            for row in _read_rows(message.grants)
        ),
    )


def _encode_number(value: float) -> int:
    return min(_MAX_VALUE, math.ceil(value))


def _read_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ShareCodecError("share message has an empty or missing name")
    return value


def _read_number(value: object, *, minimum: int = 0) -> int:
    if not isinstance(value, int) or not minimum <= value <= _MAX_VALUE:
        raise ShareCodecError(f"share message has an invalid number: {value!r}")
    return value


def _read_rows(value: object) -> list[typing.Any]:
    if not isinstance(value, list) or len(value) > _MAX_ROWS:
        raise ShareCodecError(f"share message has no list of at most {_MAX_ROWS} rows")
    return value
