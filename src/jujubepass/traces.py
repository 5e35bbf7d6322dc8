"""Recording and replay of the events and commands of answer controllers."""

import collections
import collections.abc
import json
import random
import typing

import attrs
import cattrs

from jujubepass import declarations, ids, reasons
from jujubepass.answers import _answer_messages, _answers, _attempts, _recovery
from jujubepass.backends import _backend_messages, _backends
from jujubepass.limits import _limit_messages
from jujubepass.membership import _membership_area
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.routing import _naive, _routes
from jujubepass.transport import _http_client

_FORMAT = 1
_EVENTS: tuple[type, ...] = (
    _answer_messages.PromptArrived,
    _answer_messages.TokensArrived,
    _answer_messages.AttemptEnded,
    _answer_messages.AttemptFailed,
    _answer_messages.CallerLeft,
    _answer_messages.EngineProbed,
    _backend_messages.VmsListed,
    _backend_messages.LoadReported,
    _backend_messages.LoadUnanswered,
    _backend_messages.CacheEventsReported,
    _limit_messages.RequestEnded,
    _node_messages.Tick,
)
_COMMANDS: tuple[type, ...] = (
    _answer_messages.StartAttempt,
    _answer_messages.CancelAttempt,
    _answer_messages.ReleaseCache,
    _answer_messages.ProbeEngine,
    _answer_messages.DeliverTokens,
    _answer_messages.FinishAnswer,
    _answer_messages.Refuse,
)
_TYPES_BY_NAME = {each.__name__: each for each in (*_EVENTS, *_COMMANDS)}
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


class TraceError(Exception):
    """Signal a trace that cannot be read."""


@attrs.frozen(kw_only=True)
class Start:
    """Describe the parameters that controllers are created with."""

    node: str
    seed: int
    stall_seconds: float
    load_poll_seconds: float
    vm_poll_seconds: float
    format: int = _FORMAT


@attrs.frozen(kw_only=True)
class Entry:
    """Describe one event, the state the controllers read and their commands."""

    at: float
    event: typing.Any
    commands: tuple[typing.Any, ...] = ()
    admitted: bool = False
    layers: int = 0
    nodes: int = 1
    drained: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Trace:
    """Describe a recording; `dropped` counts entries removed before the first."""

    start: Start
    entries: tuple[Entry, ...]
    dropped: int = 0


@attrs.define(kw_only=True)
class MemoryRecorder:
    """Record the latest entries in memory, up to the capacity."""

    start: Start
    blackboard: _blackboard.Blackboard
    capacity: int
    _entries: collections.deque[Entry] = attrs.field(init=False)
    _dropped: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._entries = collections.deque(maxlen=self.capacity)

    def record(
        self,
        event: _dispatch.Event,
        now: float,
        commands: collections.abc.Sequence[_dispatch.Command],
    ) -> None:
        """Record an event that the answer controllers handle."""
        if type(event) not in _EVENTS:
            return
        recorded = tuple(each for each in commands if type(each) in _COMMANDS)
        blackboard = self.blackboard
        is_tick = type(event) is _node_messages.Tick
        if is_tick and not commands and not blackboard.answers.answers:
            return
        layers = 0
        admitted = False
        if isinstance(event, _answer_messages.PromptArrived):
            model = blackboard.configuration.declared.models.get(event.model)
            layers = model.layers if model is not None else 0
            admitted = event.request in blackboard.limits.admitted
        self._dropped += len(self._entries) == self.capacity
        self._entries.append(
            Entry(
                at=now,
                event=event,
                commands=recorded,
                admitted=admitted,
                layers=layers,
                nodes=blackboard.membership.count_live_nodes(),
                drained=blackboard.configuration.declared.drained,
            )
        )

    def copy_trace(self) -> Trace:
        """Return a trace of the entries in memory."""
        return Trace(
            start=self.start, entries=tuple(self._entries), dropped=self._dropped
        )


def _unstructure_typed(value: typing.Any) -> dict[str, typing.Any]:
    fields = _CONVERTER.unstructure(value)
    return {"type": type(value).__name__, **fields}


def _structure_typed(fields: dict[str, typing.Any]) -> typing.Any:
    rest = dict(fields)
    return _CONVERTER.structure(rest, _TYPES_BY_NAME[rest.pop("type")])


def write_trace(trace: Trace) -> str:
    """Return a trace as lines of JSON, starting with its parameters."""
    start = {**_CONVERTER.unstructure(trace.start), "dropped": trace.dropped}
    lines = [json.dumps(start)]
    for entry in trace.entries:
        row = {
            "at": entry.at,
            "event": _unstructure_typed(entry.event),
            "commands": [_unstructure_typed(each) for each in entry.commands],
            "admitted": entry.admitted,
            "layers": entry.layers,
            "nodes": entry.nodes,
            "drained": sorted(entry.drained),
        }
        lines.append(json.dumps(row))
    return "\n".join(lines) + "\n"


def read_trace(text: str) -> Trace:
    """Parse a trace; raise TraceError if the text is not a trace."""
    first, *rows = text.splitlines() or [""]
    try:
        start = json.loads(first)
        dropped = start.pop("dropped")
        if start.get("format") != _FORMAT:
            raise TraceError(f"trace format {start.get('format')!r} is not {_FORMAT}")
        return Trace(
            start=_CONVERTER.structure(start, Start),
            entries=tuple(_read_entry(json.loads(row)) for row in rows),
            dropped=dropped,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise TraceError(f"not a trace: {error!r}") from error
    except cattrs.BaseValidationError as error:
        raise TraceError(f"not a trace: {error}") from error


def _read_entry(row: dict[str, typing.Any]) -> Entry:
    return Entry(
        at=float(row["at"]),
        event=_structure_typed(row["event"]),
        commands=tuple(map(_structure_typed, row["commands"])),
        admitted=bool(row["admitted"]),
        layers=int(row["layers"]),
        nodes=int(row["nodes"]),
        drained=frozenset(row["drained"]),
    )


@attrs.frozen(kw_only=True)
class Difference:
    """Describe an entry whose replayed commands differ from the recorded ones."""

    number: int
    recorded: tuple[typing.Any, ...]
    replayed: tuple[typing.Any, ...]


@attrs.frozen(kw_only=True)
class Replay:
    """Describe the result of a replay."""

    events: int
    commands: collections.abc.Mapping[str, int]
    differences: tuple[Difference, ...]


class _NoCounters:
    """Ignore everything that is counted."""

    def count_refusal(self, reason: reasons.RefusalReason) -> None:
        """Ignore a refusal."""

    def count_retry(self, reason: reasons.RetryReason) -> None:
        """Ignore a retry."""

    def count_dropped_token(self, reason: reasons.DropReason) -> None:
        """Ignore a dropped token."""

    def count_unknown_outcome(self, cause: reasons.UnknownCause) -> None:
        """Ignore an unknown outcome."""

    def count_tokens(self, count: int) -> None:
        """Ignore tokens."""

    def observe_first_token(self, seconds: float) -> None:
        """Ignore a time."""

    def observe_between_tokens(self, seconds: float) -> None:
        """Ignore a time."""

    def observe_recovery(self, seconds: float) -> None:
        """Ignore a time."""


def replay_trace(trace: Trace, *, naive: bool = False) -> Replay:
    """Dispatch a trace's events to new controllers and compare their commands."""
    blackboard = _make_blackboard(trace.start)
    dispatcher = _make_dispatcher(trace.start, blackboard, naive=naive)
    differences = []
    counts: collections.Counter[str] = collections.Counter()
    for number, entry in enumerate(trace.entries):
        _restore_state(blackboard, entry)
        commands = tuple(
            each
            for each in dispatcher.dispatch(entry.event, entry.at)
            if type(each) in _COMMANDS
        )
        counts.update(type(each).__name__ for each in commands)
        if commands != entry.commands:
            difference = Difference(
                number=number, recorded=entry.commands, replayed=commands
            )
            differences.append(difference)
    return Replay(
        events=len(trace.entries), commands=counts, differences=tuple(differences)
    )


def _make_blackboard(start: Start) -> _blackboard.Blackboard:
    identity = _blackboard.Identity(
        node=ids.NodeId(start.node),
        incarnation="replay",
        region=ids.RegionId(""),
        failure_domain=ids.FailureDomainId(""),
    )
    return _blackboard.Blackboard(identity=identity)


def _make_dispatcher(
    start: Start, blackboard: _blackboard.Blackboard, *, naive: bool
) -> _dispatch.Dispatcher:
    routes: _routes.RoutePolicy
    recovery: _recovery.RecoveryPolicy
    if naive:
        routes = _naive.NaiveRoutePolicy()
        recovery = _naive.RestartPolicy(stall_seconds=start.stall_seconds)
    else:
        source = random.Random(start.seed)
        routes = _routes.PredictedTimePolicy(random_source=source)
        recovery = _recovery.ResumePolicy(min_stall_seconds=start.stall_seconds)
    attempts = _attempts.Attempts(
        blackboard=blackboard, routes=routes, recovery=recovery, counters=_NoCounters()
    )
    timing = _backends.BackendTiming(
        load_poll_seconds=start.load_poll_seconds,
        vm_poll_seconds=start.vm_poll_seconds,
    )
    return _dispatch.Dispatcher(
        controllers=[
            _backends.BackendController(blackboard=blackboard, timing=timing),
            _answers.AnswerController(attempts=attempts),
        ]
    )


def _restore_state(blackboard: _blackboard.Blackboard, entry: Entry) -> None:
    """Restore the state that other controllers had written before the event."""
    declared = blackboard.configuration.declared
    if declared.drained != entry.drained:
        declared = attrs.evolve(declared, drained=entry.drained)
    event = entry.event
    if isinstance(event, _answer_messages.PromptArrived):
        if entry.layers and event.model not in declared.models:
            model = declarations.Model(name=event.model, layers=entry.layers)
            models = {**declared.models, event.model: model}
            declared = attrs.evolve(declared, models=models)
        if entry.admitted:
            blackboard.limits.admitted[event.request] = event.account
    blackboard.configuration.declared = declared
    peers = blackboard.membership.peers
    if len(peers) != entry.nodes - 1:
        peers.clear()
        for number in range(entry.nodes - 1):
            name = ids.NodeId(f"peer-{number}")
            address = _http_client.Address(host="peer", port=0)
            peers[name] = _membership_area.Peer(node=name, address=address)
    if isinstance(event, _limit_messages.RequestEnded):
        blackboard.limits.admitted.pop(event.request, None)
