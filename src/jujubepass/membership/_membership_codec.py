"""Codec of heartbeats as generated Thrift structs."""

import typing

from jujubepass import ids
from jujubepass.generated.peer import ttypes
from jujubepass.membership import _membership_messages
from jujubepass.nodes import _node_messages
from jujubepass.transport import _http_client


def write_heartbeat(heartbeat: _membership_messages.Heartbeat) -> typing.Any:
    """Return the generated struct of a heartbeat."""
    rows = None
    if heartbeat.nodes or heartbeat.departures:
        rows = ttypes.Rows(
            nodes=list(map(_write_node, heartbeat.nodes)),
            departures=list(map(_write_departure, heartbeat.departures)),
        )
    return ttypes.Heartbeat(
        node=heartbeat.node,
        incarnation=heartbeat.incarnation,
        state=heartbeat.state.value,
        configuration_number=heartbeat.configuration_number,
        configuration_digest=heartbeat.configuration_digest,
        sequence=heartbeat.sequence,
        members_digest=heartbeat.members_digest,
        place=_write_place(heartbeat.place),
        rows=rows,
    )


def _write_place(place: _membership_messages.Place | None) -> typing.Any:
    if place is None:
        return None
    return ttypes.Place(
        address=str(place.address),
        region=place.region,
        failure_domain=place.failure_domain,
    )


def _write_node(row: _membership_messages.NodeRow) -> typing.Any:
    return ttypes.NodeRow(
        node=row.node,
        incarnation=row.incarnation,
        sequence=row.sequence,
        leaving=row.leaving,
        accusers=sorted(row.accusers),
        place=_write_place(row.place),
    )


def _write_departure(row: _membership_messages.DepartureRow) -> typing.Any:
    return ttypes.DepartureRow(
        backend=row.backend, incarnation=row.incarnation, age_seconds=row.age_seconds
    )


def read_heartbeat(heartbeat: typing.Any) -> _membership_messages.Heartbeat:
    """Return the heartbeat of a generated struct.

    Raises TypeError or ValueError on an invalid field.
    """
    rows = heartbeat.rows or ttypes.Rows(nodes=[], departures=[])
    return _membership_messages.Heartbeat(
        node=ids.NodeId(_read_text(heartbeat.node)),
        incarnation=_read_text(heartbeat.incarnation),
        state=_node_messages.NodeState(heartbeat.state),
        configuration_number=ids.ChangeNumber(int(heartbeat.configuration_number)),
        configuration_digest=_read_text(heartbeat.configuration_digest),
        sequence=heartbeat.sequence or 0,
        members_digest=heartbeat.members_digest or 0,
        place=_read_place(heartbeat.place),
        nodes=tuple(map(_read_node, rows.nodes or ())),
        departures=tuple(map(_read_departure, rows.departures or ())),
    )


def _read_text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise TypeError("text field missing or of another type")
    return value


def _read_place(place: typing.Any) -> _membership_messages.Place | None:
    if place is None:
        return None
    return _membership_messages.Place(
        address=_http_client.parse_address(_read_text(place.address)),
        region=ids.RegionId(_read_text(place.region)),
        failure_domain=ids.FailureDomainId(_read_text(place.failure_domain)),
    )


def _read_node(row: typing.Any) -> _membership_messages.NodeRow:
    return _membership_messages.NodeRow(
        node=ids.NodeId(_read_text(row.node)),
        incarnation=_read_text(row.incarnation),
        sequence=int(row.sequence),
        leaving=bool(row.leaving),
        accusers=frozenset(
            ids.NodeId(_read_text(accuser)) for accuser in row.accusers or ()
        ),
        place=_read_place(row.place),
    )


def _read_departure(row: typing.Any) -> _membership_messages.DepartureRow:
    return _membership_messages.DepartureRow(
        backend=ids.BackendServerId(_read_text(row.backend)),
        incarnation=_read_text(row.incarnation),
        age_seconds=max(0.0, float(row.age_seconds)),
    )
