"""Registration of the functions that execute each type of command."""

import collections.abc
import functools
import typing

import trio

from jujubepass import settings
from jujubepass.answers import _answer_messages, _engine_client
from jujubepass.backends import _backend_messages
from jujubepass.callers import _mailboxes
from jujubepass.calls import _call_messages, _service_client
from jujubepass.configuration import _configuration_codec, _configuration_messages
from jujubepass.limits import _limit_messages, _share_codec, _share_messages
from jujubepass.membership import _membership_messages, _vm_client
from jujubepass.nodes import _shell
from jujubepass.operators import _operators
from jujubepass.orders import _order_client, _order_messages
from jujubepass.storage import (
    _object_client,
    _object_messages,
    _store_messages,
    _table_client,
)
from jujubepass.telemetry import _metrics, _node_metrics
from jujubepass.transport import _http_client, _peer_codec, _peers


async def register_executors(
    shell: _shell.Shell,
    node_settings: settings.Settings,
    mailboxes: _mailboxes.Mailboxes,
    change_outcomes: _operators.ChangeOutcomes,
    metrics: _metrics.Metrics,
) -> None:
    """Register the function that executes each type of command."""
    _register_platform(shell, node_settings)
    _register_backends(shell, mailboxes)
    _register_requests(shell, mailboxes, change_outcomes)
    await _register_peers(shell, node_settings, shell.nursery, metrics)


def _register_platform(shell: _shell.Shell, node_settings: settings.Settings) -> None:
    client = _http_client.Client()
    platform = node_settings.platform
    table = _table_client.HttpTable(
        client=client,
        address=platform.table,
        timeout_seconds=platform.table_timeout_seconds,
    )
    vms = _vm_client.VmClient(client=client, address=platform.vms, post=shell.post)

    objects = _object_client.HttpObjects(client=client, address=platform.objects)

    transact = _post_outcome(shell, table.transact)
    shell.register_spawned(_store_messages.Transact, transact)
    shell.register_spawned(_store_messages.ReadRows, _post_outcome(shell, table.read))
    shell.register_spawned(_store_messages.ScanRows, _post_outcome(shell, table.scan))
    shell.register_spawned(
        _object_messages.PutObject, _post_outcome(shell, objects.put)
    )
    shell.register_spawned(
        _object_messages.GetObject, _post_outcome(shell, objects.get)
    )
    delete = _post_outcome(shell, objects.delete)
    shell.register_spawned(_object_messages.DeleteObject, delete)
    shell.register_spawned(_backend_messages.PollVms, vms.poll)


def _post_outcome(
    shell: _shell.Shell, execute: collections.abc.Callable[..., typing.Any]
) -> _shell.ExecuteAsync:
    async def _execute(command: typing.Any) -> None:
        shell.post(await execute(command))

    return _execute


def _register_backends(shell: _shell.Shell, mailboxes: _mailboxes.Mailboxes) -> None:
    client = _http_client.Client()
    engines = _engine_client.EngineClient(client=client, post=shell.post)
    services = _service_client.ServiceClient(client=client, post=shell.post)

    async def _run_attempt(command: _answer_messages.StartAttempt) -> None:
        names = [stage.engine for stage in command.stages]
        mailboxes.record_backends(command.request, names)
        await engines.run_attempt(command)

    async def _send_lookup(command: _call_messages.SendLookup) -> None:
        mailboxes.record_backends(command.request, [command.backend])
        await services.send_lookup(command)

    shell.register_spawned(_answer_messages.StartAttempt, _run_attempt)
    shell.register_spawned(_answer_messages.CancelAttempt, engines.cancel_attempt)
    shell.register_spawned(_answer_messages.ReleaseCache, engines.release_cache)
    shell.register_spawned(_answer_messages.ProbeEngine, engines.probe_engine)
    shell.register_spawned(_backend_messages.PollLoad, engines.poll_load)
    shell.register_spawned(_backend_messages.PollCache, engines.poll_cache)
    orders = _order_client.OrderClient(client=client, post=shell.post)
    shell.register_spawned(_order_messages.ReadEngineState, orders.read_state)
    shell.register_spawned(_order_messages.SendOrder, orders.send_order)
    shell.register_spawned(_call_messages.SendCall, services.send_call)
    shell.register_spawned(_call_messages.SendLookup, _send_lookup)
    shell.register_spawned(_call_messages.CancelLookup, services.cancel_lookup)
    shell.register_spawned(_call_messages.AskOutcome, services.query_outcome)


def _register_requests(
    shell: _shell.Shell,
    mailboxes: _mailboxes.Mailboxes,
    change_outcomes: _operators.ChangeOutcomes,
) -> None:
    shell.register_immediate(_answer_messages.DeliverTokens, mailboxes.put)
    shell.register_immediate(_answer_messages.FinishAnswer, mailboxes.put)
    shell.register_immediate(_answer_messages.Refuse, mailboxes.put)
    shell.register_immediate(_call_messages.AnswerCall, mailboxes.put)
    shell.register_immediate(
        _limit_messages.StartQueued, lambda command: shell.post(command.event)
    )
    shell.register_immediate(
        _configuration_messages.ChangeAccepted, change_outcomes.put
    )
    shell.register_immediate(_configuration_messages.ChangeRefused, change_outcomes.put)
    shell.register_immediate(_configuration_messages.ChangeCommitted, shell.post)
    shell.register_immediate(_configuration_messages.ConfigurationInstalled, shell.post)


async def _register_peers(
    shell: _shell.Shell,
    node_settings: settings.Settings,
    nursery: trio.Nursery,
    metrics: _metrics.Metrics,
) -> None:
    key = node_settings.security.peer_key.encode()
    sender = _peers.PeerSender(node=node_settings.node.name, key=key, nursery=nursery)

    def _send_heartbeat(command: _membership_messages.SendHeartbeat) -> None:
        sender.send(command.address, _peer_codec.encode_command(command))

    def _send_demands(command: _share_messages.SendDemands) -> None:
        message = _share_codec.build_demands(command)
        sender.send(command.address, _peer_codec.encode_struct(message))

    def _send_grants(command: _share_messages.SendGrants) -> None:
        message = _share_codec.build_grants(command)
        sender.send(command.address, _peer_codec.encode_struct(message))

    def _post_message(data: bytes) -> None:
        shell.post(_peer_codec.decode_event(data))

    def _disconnect(command: _membership_messages.ForgetPeer) -> None:
        sender.disconnect(command.address)

    _register_configuration(shell, node_settings, sender)
    shell.register_immediate(_membership_messages.SendHeartbeat, _send_heartbeat)
    shell.register_immediate(_membership_messages.ForgetPeer, _disconnect)
    shell.register_immediate(_share_messages.SendDemands, _send_demands)
    shell.register_immediate(_share_messages.SendGrants, _send_grants)
    listener = _peers.PeerListener(key=key, handler=_post_message)
    _node_metrics.add_shell_metrics(metrics, shell)
    _node_metrics.add_peer_metrics(metrics, sender, listener)
    listen = node_settings.listen.peers
    await nursery.start(functools.partial(listener.serve, listen.host, listen.port))


def _register_configuration(
    shell: _shell.Shell, node_settings: settings.Settings, sender: _peers.PeerSender
) -> None:
    name, address = node_settings.node.name, node_settings.listen.peers

    def _send(command: _configuration_messages.PeerCommand) -> None:
        message = _configuration_codec.make_message(command, name, address)
        sender.send(command.address, _peer_codec.encode_struct(message))

    for command_type in typing.get_args(_configuration_messages.PeerCommand):
        shell.register_immediate(command_type, _send)
