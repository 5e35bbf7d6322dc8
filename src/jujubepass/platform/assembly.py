"""Construction of a forwarding node that runs on the platform."""

import sys
import typing

import trio

from jujubepass.forwarding import (
    adapters,
    feeds,
    member_rows,
    members,
    node,
    plan_rows,
    plans,
    settings,
)
from jujubepass.platform import backends, configuration, engines, store, wire
from jujubepass.quarantine import rows, suspects
from jujubepass.telemetry import _log_output, _logs
from jujubepass.transport import _http_client

_CONNECT_TIMEOUT_SECONDS = 0.5


def run(node_settings: settings.Settings, source: settings.Source) -> int:
    """Run a node until SIGTERM; return the exit code."""
    handler = _log_output.BoundedHandler(descriptor=sys.stdout.fileno())
    _logs.set_up(node_settings.log, handler=handler)
    trio.run(make_node(node_settings, source).run)
    return 0


def make_node(node_settings: settings.Settings, source: settings.Source) -> node.Node:
    """Build a node without starting it."""
    client = _http_client.Client(connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS)
    return node.Node(
        settings=node_settings,
        source=source,
        adapter=make_adapter(client, node_settings.store.address),
        client=client,
    )


def make_adapter(
    client: _http_client.Client, address: _http_client.Address
) -> adapters.Adapter:
    """Build the adapter to the store at an address and to the engines."""
    store_client = store.StoreClient(client=client, address=address)
    return adapters.Adapter(
        wire=wire.HttpWire(),
        control=engines.HttpEngineControl(client=client),
        table=store.StoreTable(store=store_client),
        configuration=feeds.DecodedFeed(
            rows=store.TableFeed(
                store=store_client, table="op", keys=frozenset(("config",))
            ),
            decode=configuration.read_configuration,
        ),
        backends=feeds.DecodedFeed(
            rows=store.TableFeed(store=store_client, table="servers"),
            decode=backends.read_backend,
        ),
        plans=feeds.DecodedFeed(
            rows=store.TableFeed(store=store_client, table=store.PLAN_TABLE),
            decode=_decode_plan,
        ),
        member_table=store.StoreTable(store=store_client, name=store.MEMBER_TABLE),
        members=feeds.DecodedFeed(
            rows=store.TableFeed(store=store_client, table=store.MEMBER_TABLE),
            decode=_decode_member,
        ),
        suspect_table=store.StoreTable(store=store_client, name=store.SUSPECT_TABLE),
        secret_table=store.StoreTable(store=store_client, name=store.SECRET_TABLE),
        suspects=feeds.DecodedFeed(
            rows=store.TableFeed(store=store_client, table=store.SUSPECT_TABLE),
            decode=_decode_suspect,
        ),
        count_eras=store_client.eras.count,
    )


def _decode_plan(key: str, version: int, value: typing.Any) -> plans.Plan:
    try:
        return plan_rows.read_plan(key, version, value)
    except plan_rows.PlanRowError as error:
        raise feeds.UnreadableRowError(str(error)) from error


def _decode_member(key: str, version: int, value: typing.Any) -> members.Member:
    try:
        return member_rows.read_member(key, version, value)
    except member_rows.MemberRowError as error:
        raise feeds.UnreadableRowError(str(error)) from error


def _decode_suspect(key: str, version: int, value: typing.Any) -> suspects.Suspect:
    try:
        return rows.read_suspect(key, version, value)
    except rows.SuspectRowError as error:
        raise feeds.UnreadableRowError(str(error)) from error
