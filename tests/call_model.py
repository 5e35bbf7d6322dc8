"""Deterministic simulation of the table and services, with seeded faults."""

import collections
import heapq
import itertools
import json
import random

import attrs

from jujubepass.calls import _call_messages
from jujubepass.storage import _store_messages
from jujubepass.transport import _http_client

ACCOUNT = "desk"
SERVICE = "bookings"
TABLE_TIMEOUT_SECONDS = 0.5
REQUEST_SECONDS = 3.0
TICK_SECONDS = 0.05
FAULT_SECONDS = 8.0
SETTLING_SECONDS = 14.0
DEAD_SECONDS = 1.5
WALL_START = 1_800_000_000.0
ADDRESS = _http_client.Address(host="127.0.0.1", port=1)


@attrs.frozen(kw_only=True)
class Capabilities:
    """Capabilities of a backend server."""

    checks_fencing: bool
    answers_outcomes: bool


class World:
    """Simulated clock, event queue and source of randomness."""

    def __init__(self, *, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.faulty = True
        self._steps = []
        self._numbers = itertools.count()

    def call_later(self, seconds, step, *arguments):
        entry = (self.now + seconds, next(self._numbers), step, arguments)
        heapq.heappush(self._steps, entry)

    def run_until(self, end):
        while self._steps and self._steps[0][0] <= end:
            self.now, _, step, arguments = heapq.heappop(self._steps)
            step(*arguments)
        self.now = end

    def draw_delay(self):
        """Draw a short delay, or at times one beyond every time-out if faulty."""
        if self.faulty and self.random.random() < 0.06:
            return self.random.uniform(0.1, 4.0)
        return self.random.uniform(0.0005, 0.01)

    def happens(self, probability):
        return self.faulty and self.random.random() < probability


class Table:
    """Simulated table that loses, delays or refuses transactions at random."""

    def __init__(self, *, world):
        self.world = world
        self.rows = {}
        self.version = 0
        self.down_until = 0.0
        self.transactions = 0

    def transact(self, command, reply):
        world = self.world
        operation = command.operation
        detail = {"operation": operation, "detail": "model"}
        if world.now < self.down_until:
            unsent = _store_messages.TransactionUnsent(**detail)
            world.call_later(0.002, reply, unsent)
            return
        answers = []

        def reply_once(event):
            if not answers:
                answers.append(event)
                reply(event)

        unclear = _store_messages.TransactionUnclear(**detail)
        if world.happens(0.04):
            world.call_later(0.01, reply_once, unclear)
        elif world.happens(0.06):
            world.call_later(world.draw_delay(), self._apply, command)
            world.call_later(0.012, reply_once, unclear)
        else:
            world.call_later(world.draw_delay(), self._apply, command, reply_once)
            world.call_later(TABLE_TIMEOUT_SECONDS, reply_once, unclear)

    def _apply(self, command, reply=None):
        self.transactions += 1
        conflicts = [
            self._make_row(each.key)
            for each in command.conditions
            if self.rows.get(each.key, (0, None))[0] != each.version
        ]
        versions = {}
        if not conflicts:
            for write in command.writes:
                self.version += 1
                versions[write.key] = self.version
                self.rows[write.key] = (self.version, write.value)
                if write.value is None:
                    del self.rows[write.key]
        if reply is None:
            return
        if conflicts:
            event = _store_messages.TransactionConflicted(
                operation=command.operation, rows=tuple(conflicts)
            )
        else:
            event = _store_messages.Transacted(
                operation=command.operation, versions=versions
            )
        self.world.call_later(0.001, reply, event)

    def _make_row(self, key):
        version, value = self.rows.get(key, (0, {}))
        return _store_messages.VersionedRow(key=key, version=version, value=value)

    def read(self, command, reply):
        failed = _store_messages.ReadFailed(operation=command.operation, detail="model")
        if self.world.now < self.down_until or self.world.happens(0.05):
            self.world.call_later(0.01, reply, failed)
            return
        if isinstance(command, _store_messages.ReadRows):
            keys = command.keys
        else:
            keys = sorted(k for k in self.rows if k.startswith(command.prefix))
        rows = {key: self._make_row(key) for key in keys if key in self.rows}
        event = _store_messages.RowsRead(operation=command.operation, rows=rows)
        self.world.call_later(0.003, reply, event)


class Service:
    """Simulated backend server that records when each attempt ran."""

    def __init__(self, *, world, capabilities):
        self.world = world
        self.capabilities = capabilities
        self.runs = collections.defaultdict(list)
        self.fences = collections.Counter()
        self.down_until = 0.0

    def send(self, command, reply):
        world = self.world
        names = {"request": command.request, "attempt": command.attempt}
        if world.now < self.down_until:
            unsent = _call_messages.CallUnsent(detail="model", **names)
            world.call_later(0.001, reply, unsent)
            return
        answers = []

        def reply_once(event):
            if not answers:
                answers.append(event)
                reply(event)

        unclear = _call_messages.CallUnclear(detail="model", **names)
        if world.happens(0.05):
            world.call_later(0.02, reply_once, unclear)
        elif world.happens(0.1):
            world.call_later(world.draw_delay(), self._run, command, names)
            world.call_later(0.02, reply_once, unclear)
        elif world.happens(0.05):
            refusal = _call_messages.CallAnswered(
                status=503, body="{}", retry_after_seconds=1.0, **names
            )
            world.call_later(0.002, reply_once, refusal)
        else:
            world.call_later(world.draw_delay(), self._run, command, names, reply_once)
            world.call_later(command.timeout_seconds, reply_once, unclear)

    def _run(self, command, names, reply=lambda event: None):
        key, fencing = command.key, command.fencing
        if self.capabilities.checks_fencing and fencing < self.fences[key]:
            body = json.dumps({"error": "old_fencing"})
            reply(_call_messages.CallAnswered(status=409, body=body, **names))
            return
        self.fences[key] = max(fencing, self.fences[key])
        self.runs[key].append((command.attempt, self.world.now))
        body = json.dumps({"key": key})
        event = _call_messages.CallAnswered(status=200, body=body, **names)
        self.world.call_later(0.001, reply, event)

    def query_outcome(self, command, reply):
        names = {"request": command.request, "attempt": command.attempt}
        failed = _call_messages.OutcomeUntold(detail="model", **names)
        is_unresponsive = (
            not self.capabilities.answers_outcomes or self.world.now < self.down_until
        )
        if is_unresponsive or self.world.happens(0.05):
            self.world.call_later(0.01, reply, failed)
            return
        if self.capabilities.checks_fencing and command.fencing:
            self.fences[command.key] = max(command.fencing, self.fences[command.key])
        if self.world.happens(0.05):
            self.world.call_later(0.01, reply, failed)
            return
        run = bool(self.runs[command.key])
        states = _call_messages.OutcomeState
        reported = _call_messages.OutcomeTold(
            state=states.RUN if run else states.ABSENT,
            body=json.dumps({"result": {"key": command.key}}),
            **names,
        )
        self.world.call_later(self.world.draw_delay(), reply, reported)
