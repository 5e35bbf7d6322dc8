"""Simulated nodes that run a node's controllers under an injected clock."""

import collections
import collections.abc
import functools
import typing

import attrs

from bench import load, policies, queue_engines, simulation
from jujubepass import declarations, ids, settings
from jujubepass.answers import _answer_messages
from jujubepass.backends import _backend_messages
from jujubepass.limits import _limit_messages, _share_codec, _share_messages
from jujubepass.membership import _membership_messages
from jujubepass.nodes import _dispatch, _node_controllers, _node_messages
from jujubepass.routing import _prefixes
from jujubepass.storage import _store_messages
from jujubepass.telemetry import _metrics
from jujubepass.transport import _http_client, _peer_codec

NETWORK_SECONDS = 0.0005

_MODEL = ids.ModelId("m")
_DEADLINE_SECONDS = 30.0
_SETTINGS = """
[node]
name = node-{index}
region = r
failure_domain = {domain}
[listen]
callers = 127.0.0.1:1
operators = 127.0.0.1:2
peers = 127.0.0.1:3
[platform]
table = 127.0.0.1:4
objects = 127.0.0.1:4
vms = 127.0.0.1:4
[security]
peer_key = a-peer-key-of-a-simulated-node
operator_key_hash = {hash}
[seeds]
random = {seed}
"""

Command = typing.Any
Wrap = collections.abc.Callable[
    [list[_dispatch.Controller]], list[_dispatch.Controller]
]


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """Describe one running attempt."""

    node: "SimulatedNode"
    command: _answer_messages.StartAttempt
    position: int
    receipts: tuple[tuple[str, int, int], ...]
    blocks: tuple[str, ...]
    cancelled: bool = False


@attrs.define(kw_only=True)
class Answer:
    """Track the tokens that a caller has received for one request."""

    arrived_at: float
    last_at: float
    tokens: int = 0
    state: str = "running"


@attrs.define(kw_only=True)
class Log:
    """Record what callers see; tokens and times only from `since` on."""

    since: float
    first_token: load.Durations = attrs.field(factory=load.Durations)
    between_tokens: load.Durations = attrs.field(factory=load.Durations)
    tokens: int = 0
    answered: int = 0
    refused: int = 0


class Peer(typing.Protocol):
    """Define the interface that receives messages of other nodes."""

    def receive(self, seconds: float, event: typing.Any, size: int) -> None:
        """Receive a message of `size` bytes after a delay."""


class SimulatedNode:
    """Run one node's controllers and execute their commands on queue engines."""

    def __init__(
        self,
        *,
        index: int,
        seed: int,
        clock: simulation.Simulation,
        engines: dict[str, queue_engines.QueueEngine],
        declared: declarations.Declarations,
        policy: str,
        log: Log,
        wrap: Wrap = list,
    ) -> None:
        self.name = ids.NodeId(f"node-{index}")
        self.address = queue_engines.make_address(10_000 + index)
        self._clock = clock
        self._engines = engines
        self._log = log
        self.metrics = _metrics.Metrics(version="0")
        text = _SETTINGS.format(
            index=index, domain="abc"[index % 3], hash="0" * 64, seed=seed + index + 1
        )
        node_settings = settings.parse_settings("node.ini", text).unwrap()
        self.blackboard = _node_controllers.make_blackboard(node_settings)
        self.blackboard.node.state = _node_messages.NodeState.READY
        self.blackboard.configuration.declared = declared
        controllers = _node_controllers.make_controllers(
            node_settings, self.blackboard, self.metrics
        )
        policies.choose_policy(controllers, policy, seed + index)
        self._dispatcher = _dispatch.Dispatcher(controllers=wrap(controllers))
        self.answers: dict[ids.RequestId, Answer] = {}
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self.peers: dict[_http_client.Address, Peer] = {}
        self.executed: collections.Counter[str] = collections.Counter()
        self.vms: tuple[_backend_messages.Vm, ...] = ()
        self.tick_seconds = node_settings.timing.tick_seconds
        self._executors: dict[type, collections.abc.Callable[[typing.Any], None]] = (
            self._list_executors()
        )

    def _list_executors(
        self,
    ) -> dict[type, collections.abc.Callable[[typing.Any], None]]:
        return {
            _answer_messages.StartAttempt: self._start_attempt,
            _answer_messages.CancelAttempt: self._cancel_attempt,
            _answer_messages.DeliverTokens: self._deliver,
            _answer_messages.FinishAnswer: self._finish,
            _answer_messages.Refuse: self._refuse,
            _answer_messages.ProbeEngine: self._probe,
            _backend_messages.PollLoad: self._poll_load,
            _backend_messages.PollCache: self._poll_cache,
            _backend_messages.PollVms: self._poll_vms,
            _store_messages.ReadRows: self._read_empty,
            _store_messages.ScanRows: self._read_empty,
            _limit_messages.StartQueued: lambda command: self.post(command.event),
            _membership_messages.SendHeartbeat: self._send_heartbeat,
            _share_messages.SendDemands: self._send_share_requests,
            _share_messages.SendGrants: self._send_grants,
        }

    def post(self, event: typing.Any) -> None:
        """Dispatch an event and execute the resulting commands."""
        for command in self._dispatcher.dispatch(event, self._clock.now):
            self.executed[type(command).__name__] += 1
            execute = self._executors.get(type(command))
            if execute is not None:
                execute(command)

    def _post_later(self, seconds: float, event: typing.Any) -> None:
        self._clock.schedule(seconds, functools.partial(self.post, event))

    def tick(self) -> None:
        """Dispatch a tick and schedule the next one."""
        self.post(_node_messages.Tick())
        self._clock.schedule(self.tick_seconds, self.tick)

    def receive_request(self, request: ids.RequestId, arrival: load.Arrival) -> None:
        """Receive a caller's request."""
        now = self._clock.now
        self.answers[request] = Answer(arrived_at=now, last_at=now)
        self.post(
            _answer_messages.PromptArrived(
                request=request,
                account=ids.AccountId(arrival.account_key),
                model=_MODEL,
                prompt=tuple(arrival.prompt.split()),
                max_tokens=arrival.max_tokens,
                priority=1,
                deadline=now + _DEADLINE_SECONDS,
            )
        )

    def _start_attempt(self, command: _answer_messages.StartAttempt) -> None:
        receipts = tuple(
            (stage.engine, stage.first_layer, stage.end_layer)
            for stage in command.stages
        )
        attempt = Attempt(
            node=self,
            command=command,
            position=len(command.sent),
            receipts=receipts,
            blocks=_prefixes.hash_blocks(command.model, command.prompt),
        )
        self._attempts[command.request, command.epoch] = attempt
        for stage in command.stages:
            self._engines[stage.engine].join(attempt)
        words = len(command.prompt) + len(command.sent)
        self._visit_later(NETWORK_SECONDS, attempt, 0, words)

    def _visit_later(
        self, seconds: float, attempt: Attempt, stage: int, words: int
    ) -> None:
        step = functools.partial(self._visit, attempt, stage, words)
        self._clock.schedule(seconds, step)

    def _visit(self, attempt: Attempt, stage: int, words: int) -> None:
        engine = self._engines[attempt.command.stages[stage].engine]
        done = functools.partial(self._end_visit, attempt, stage, words)
        engine.visit(attempt, words, attempt.blocks if words else (), done)

    def _end_visit(self, attempt: Attempt, stage: int, words: int) -> None:
        if attempt.cancelled:
            return
        stages = attempt.command.stages
        following = (stage + 1) % len(stages)
        link = self._find_link(stages[stage].engine, stages[following].engine)
        if following:
            self._visit_later(link, attempt, following, words)
            return
        token = _answer_messages.Token(
            request=attempt.command.request,
            epoch=attempt.command.epoch,
            position=attempt.position,
            text="w",
            receipts=attempt.receipts,
        )
        arrived = _answer_messages.TokensArrived(
            request=attempt.command.request,
            attempt_epoch=attempt.command.epoch,
            tokens=(token,),
        )
        self._post_later(NETWORK_SECONDS, arrived)
        attempt.position += 1
        if attempt.position < attempt.command.max_tokens:
            self._visit_later(link, attempt, 0, 0)
            return
        self._end_attempt(attempt)
        ended = _answer_messages.AttemptEnded(
            request=attempt.command.request,
            epoch=attempt.command.epoch,
            end=_answer_messages.AnswerEnd.LENGTH,
        )
        self._post_later(NETWORK_SECONDS, ended)

    def _find_link(self, first: str, second: str) -> float:
        if first == second:
            return 0.0
        return self._engines[first].find_link(second)

    def _end_attempt(self, attempt: Attempt) -> None:
        attempt.cancelled = True
        for stage in attempt.command.stages:
            self._engines[stage.engine].leave(attempt)
        del self._attempts[attempt.command.request, attempt.command.epoch]

    def _cancel_attempt(self, command: _answer_messages.CancelAttempt) -> None:
        for epoch in range(command.epoch + 1):
            attempt = self._attempts.get((command.request, epoch))
            if attempt is not None:
                self._end_attempt(attempt)

    def _deliver(self, command: _answer_messages.DeliverTokens) -> None:
        answer = self.answers[command.request]
        now = self._clock.now
        for _ in command.tokens:
            if answer.arrived_at >= self._log.since:
                durations = self._log.between_tokens
                if not answer.tokens:
                    durations = self._log.first_token
                durations.record(now - answer.last_at)
            answer.tokens += 1
            answer.last_at = now
        if now >= self._log.since:
            self._log.tokens += len(command.tokens)

    def _finish(self, command: _answer_messages.FinishAnswer) -> None:
        self._log.answered += 1
        self._end_request(command.request, "answered")

    def _refuse(self, command: _answer_messages.Refuse) -> None:
        self._log.refused += 1
        self._end_request(command.request, "refused")

    def _end_request(self, request: ids.RequestId, state: str) -> None:
        self.answers[request].state = state
        self._post_later(0.0, _limit_messages.RequestEnded(request=request))

    def _probe(self, command: _answer_messages.ProbeEngine) -> None:
        probed = _answer_messages.EngineProbed(engine=command.engine, answered=True)
        self._post_later(2 * NETWORK_SECONDS, probed)

    def _poll_load(self, command: _backend_messages.PollLoad) -> None:
        report = self._engines[command.engine].report_load()
        reported = _backend_messages.LoadReported(report=report)
        self._post_later(2 * NETWORK_SECONDS, reported)

    def _poll_cache(self, command: _backend_messages.PollCache) -> None:
        engine = self._engines[command.engine]
        events, following = engine.list_cache_events(command.after)
        if events:
            reported = _backend_messages.CacheEventsReported(
                engine=command.engine, events=events, next_sequence=following
            )
            self._post_later(2 * NETWORK_SECONDS, reported)

    def _poll_vms(self, command: _backend_messages.PollVms) -> None:
        listed = _backend_messages.VmsListed(vms=self.vms, age_seconds=0.0)
        self._post_later(2 * NETWORK_SECONDS, listed)

    def _read_empty(
        self, command: _store_messages.ReadRows | _store_messages.ScanRows
    ) -> None:
        read = _store_messages.RowsRead(operation=command.operation, rows={})
        self._post_later(2 * NETWORK_SECONDS, read)

    def _send_heartbeat(self, command: _membership_messages.SendHeartbeat) -> None:
        self._send(command.address, _peer_codec.encode_command(command))

    def _send_share_requests(self, command: _share_messages.SendDemands) -> None:
        message = _share_codec.build_demands(command)
        self._send(command.address, _peer_codec.encode_struct(message))

    def _send_grants(self, command: _share_messages.SendGrants) -> None:
        message = _share_codec.build_grants(command)
        self._send(command.address, _peer_codec.encode_struct(message))

    def _send(self, address: _http_client.Address, data: bytes) -> None:
        peer = self.peers.get(address)
        if peer is not None:
            peer.receive(NETWORK_SECONDS, _peer_codec.decode_event(data), len(data))

    def receive(self, seconds: float, event: typing.Any, size: int) -> None:
        """Receive a message from a peer after a delay."""
        self._post_later(seconds, event)
