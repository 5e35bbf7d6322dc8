"""Slow starts of listed servers: what begins them, and what they answer."""

import collections.abc
import contextlib
import math

import attrs

from jujubepass import ids
from jujubepass.capacity import view as capacity_view
from jujubepass.forwarding import backends, board, clocks, declarations, pipelines
from jujubepass.pace import controller, division

# A run that is older when it is first seen has had its slow start at other nodes.
_WARM_AGE_SECONDS = 10.0
# A plain server that has failed for this time begins a slow start when it answers.
_MIN_AWAY_SECONDS = 1.0
# Weight of an answer in the usual time of a service's answers.
_ANSWER_WEIGHT = 0.1
_MAX_LISTED_PLACES = 20
_REMOVAL_INTERVAL_SECONDS = 1.0
# Slow starts take seconds; one that has ended costs little while it is still compared.
_FIRST_ENGINES_SECONDS = 1.0


def _use_no_view(_: ids.ServiceId) -> bool:
    return False


@attrs.define(kw_only=True)
class Pacing:
    """Apply the pace to the servers of services that use the shared view."""

    blackboard: board.Blackboard
    uses_view: collections.abc.Callable[[ids.ServiceId], bool] = _use_no_view
    """Return whether a service uses the shared view; without it, it has no pace."""
    recorder: capacity_view.Recorder | None = None
    """Takes what runs on plain servers; engines are recorded with their pipelines."""
    pace: controller.Pace = attrs.field(init=False)
    _revision: int = attrs.field(default=-1, init=False)
    _removed_at: float = attrs.field(default=-math.inf, init=False)
    _runs: dict[ids.BackendServerId, int] = attrs.field(factory=dict, init=False)
    _without_layers: dict[ids.BackendServerId, int] = attrs.field(
        factory=dict, init=False
    )
    """Runs of engines that were listed before they could run requests."""
    _failing_since: dict[ids.BackendServerId, float] = attrs.field(
        factory=dict, init=False
    )
    _answer_seconds: dict[ids.ServiceId, float] = attrs.field(factory=dict, init=False)
    _first_engines: dict[ids.ServiceId, list[backends.Backend]] = attrs.field(
        factory=dict, init=False
    )
    _first_state: tuple[int, int] = attrs.field(default=(-1, -1), init=False)
    """Revision of the list and count of slow starts of the first engines."""
    _first_until: float = attrs.field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        domain = division.MemberDomain(blackboard=self.blackboard)
        self.pace = controller.Pace(domain=domain)

    def update(self, now: float) -> None:
        """Begin the slow starts of new runs, and remove what has left."""
        if self.uses_view is _use_no_view:
            return
        area = self.blackboard.backends
        # Without a configuration, engines cannot be told from plain servers.
        if self.blackboard.configuration.declarations is None:
            return
        if area.revision != self._revision:
            self._revision = area.revision
            for server in area.listed.values():
                if self._runs.get(server.name) != server.started_at:
                    self._add(server, now)
            for known in (self._runs, self._without_layers, self._failing_since):
                for name in known.keys() - area.listed.keys():
                    del known[name]
        if now - self._removed_at >= _REMOVAL_INTERVAL_SECONDS:
            self._removed_at = now
            self.pace.remove_left(area.listed.keys(), now)

    def _add(self, server: backends.Backend, now: float) -> None:
        is_known = self.blackboard.is_cold_start or not self.uses_view(server.service)
        is_engine = self._find_model(server.service) is not None
        if server.held is None and is_engine and not is_known:
            self._without_layers[server.name] = server.started_at
            return
        self._runs[server.name] = server.started_at
        was_seen = self._without_layers.pop(server.name, None) == server.started_at
        age = clocks.read_wall_clock() - 0.001 * server.started_at
        self.pace.record_listed(
            server.name,
            server.started_at,
            is_known or (age > _WARM_AGE_SECONDS and not was_seen),
            now,
            self._answer_seconds.get(server.service),
        )

    def _find_model(self, service: ids.ServiceId) -> declarations.Model | None:
        declared = self.blackboard.configuration.declarations
        found = declared.services.get(service) if declared else None
        return found.model if found else None

    def is_open(self, server: backends.Backend, own_running: int, now: float) -> bool:
        """Return whether this node may send a server one more request."""
        self.update(now)
        if not self.pace.is_starting(server.name):
            return True
        if server.failure_domain != self.blackboard.failure_domain:
            # The nodes of its own failure domain start it.
            return not self.pace.is_settling(server.name, now)
        model = self._find_model(server.service)
        slots = model.slots if model is not None else server.slots
        return self.pace.may_send(server.name, own_running, slots, now)

    def list_closed(
        self,
        service: ids.ServiceId,
        running: collections.abc.Mapping[ids.BackendServerId, int],
        now: float,
    ) -> set[ids.BackendServerId]:
        """Return the first engines of a service without a place for this node.

        If there are any, leaving ones are among them: a pace is no reason to use these.
        """
        self.update(now)
        closed = {
            each.name
            for each in self._list_first_engines(now).get(service, ())
            if not self.is_open(each, running.get(each.name, 0), now)
        }
        if closed:
            closed |= self.blackboard.backends.draining_since.keys()
        return closed

    def _list_first_engines(
        self, now: float
    ) -> dict[ids.ServiceId, list[backends.Backend]]:
        """Return the first engines that are starting, and some that have just ended.

        They are not listed for each request, as a whole system may be starting.
        """
        state = (self._revision, self.pace.begun)
        if state == self._first_state and now < self._first_until:
            return self._first_engines
        self._first_state = state
        self._first_until = now + _FIRST_ENGINES_SECONDS
        self._first_engines = {}
        listed = self.blackboard.backends.listed
        for name in self.pace.list_starting():
            engine = listed.get(name)
            if engine is not None and engine.held and engine.held.first == 0:
                self._first_engines.setdefault(engine.service, []).append(engine)
        return self._first_engines

    @contextlib.contextmanager
    def share_use(self, server: ids.BackendServerId) -> collections.abc.Iterator[None]:
        """Show the other nodes a request at a plain server in its slow start."""
        if self.recorder is None or not self.pace.is_starting(server):
            yield
            return
        self.recorder.record_start({server})
        # A plain server has no prompt to read.
        self.recorder.record_prefilled({server})
        try:
            yield
        finally:
            self.recorder.record_end({server}, was_prefilled=True)

    def record_first_event(self, pipeline: pipelines.Pipeline, seconds: float) -> None:
        """Record the time of a stream's first event for its first engine."""
        first = pipeline.stages[0].engine
        listed = self.blackboard.backends.listed.get(first)
        model = self._find_model(listed.service) if listed else None
        if model is not None and self.pace.is_starting(first):
            expected_seconds = self._predict_first_event(model, pipeline)
            now = clocks.read_boot_clock()
            self.pace.record_answer(first, seconds, expected_seconds, now)

    def _predict_first_event(
        self, model: declarations.Model, pipeline: pipelines.Pipeline
    ) -> float:
        """Return the time that the accelerators of a pipeline should need."""
        seconds = pipeline.step_seconds
        for stage in pipeline.stages:
            engine = self.blackboard.backends.listed.get(stage.engine)
            kind = model.accelerators.get(engine.accelerator) if engine else None
            slowdown = kind.prefill_slowdown if kind else 1.0
            part = len(stage.span) / model.layers
            seconds += (
                part * slowdown * model.prompt_tokens / model.prefill_tokens_per_second
            )
        return seconds

    def record_answer(self, name: ids.BackendServerId, seconds: float) -> None:
        """Record the time of a plain server's answer."""
        server = self.blackboard.backends.listed.get(name)
        if server is None or not self.uses_view(server.service):
            return
        now = clocks.read_boot_clock()
        since = self._failing_since.pop(name, now)
        if now - since >= _MIN_AWAY_SECONDS:
            self.pace.record_recovered(name, now)
        usual = self._answer_seconds.setdefault(server.service, seconds)
        if self.pace.is_starting(name):
            self.pace.record_answer(name, seconds, usual, now)
        else:
            usual += _ANSWER_WEIGHT * (seconds - usual)
            self._answer_seconds[server.service] = usual

    def record_recovered(self, name: ids.BackendServerId) -> None:
        """Record that a server that did not respond to probes responds again."""
        server = self.blackboard.backends.listed.get(name)
        if server is not None and self.uses_view(server.service):
            self.pace.record_recovered(name, clocks.read_boot_clock())

    def record_rejected(
        self, name: ids.BackendServerId, *, is_plain: bool = False
    ) -> None:
        """Record that a server rejected a request for lack of room."""
        if not self.pace.is_starting(name):
            return
        now = clocks.read_boot_clock()
        self.pace.record_rejected(name, now)
        if is_plain and self.recorder is not None:
            self.recorder.record_full(name, now)

    def record_failed(self, name: ids.BackendServerId) -> None:
        """Record that a server failed to answer a request."""
        server = self.blackboard.backends.listed.get(name)
        if server is None or not self.uses_view(server.service):
            return
        now = clocks.read_boot_clock()
        self._failing_since.setdefault(name, now)
        self.pace.record_failed(name, now)

    def list_places(self) -> dict[str, float]:
        """Return the places of the first servers by name that are starting."""
        now = clocks.read_boot_clock()
        names = sorted(self.pace.list_starting())[:_MAX_LISTED_PLACES]
        found = ((name, self.pace.read_places(name, now)) for name in names)
        return {name: places for name, places in found if places is not None}
