"""Deterministic model of the table and of services, with faults drawn from a seed."""

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
class Kind:
    """Say what a backend server can do."""

    checks_fencing: bool
    answers_outcomes: bool


class World:
    """Run scheduled steps in order of time."""

    def __init__(self, *, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.faulty = True
        self._steps = []
        self._numbers = itertools.count()

    def after(self, seconds, step, *arguments):
        entry = (self.now + seconds, next(self._numbers), step, arguments)
        heapq.heappush(self._steps, entry)

    def run_until(self, end):
        while self._steps and self._steps[0][0] <= end:
            self.now, _, step, arguments = heapq.heappop(self._steps)
            step(*arguments)
        self.now = end

    def draw_delay(self):
        """Mostly short, at times past every timeout while faults last."""
        if self.faulty and self.random.random() < 0.06:
            return self.random.uniform(0.1, 4.0)
        return self.random.uniform(0.0005, 0.01)

    def happens(self, probability):
        return self.faulty and self.random.random() < probability


class Table:
    """Keep rows; lose, delay or refuse transactions as the world draws."""

    def __init__(self, *, world):
        self.world = world
        self.rows = {}
        self.version = 0
        self.down_until = 0.0
        self.transactions = 0

    def transact(self, command, tell):
        world = self.world
        operation = command.operation
        detail = {"operation": operation, "detail": "model"}
        if world.now < self.down_until:
            unsent = _store_messages.TransactionUnsent(**detail)
            world.after(0.002, tell, unsent)
            return
        answers = []

        def tell_once(event):
            if not answers:
                answers.append(event)
                tell(event)

        unclear = _store_messages.TransactionUnclear(**detail)
        if world.happens(0.04):
            world.after(0.01, tell_once, unclear)
        elif world.happens(0.06):
            world.after(world.draw_delay(), self._apply, command)
            world.after(0.012, tell_once, unclear)
        else:
            world.after(world.draw_delay(), self._apply, command, tell_once)
            world.after(TABLE_TIMEOUT_SECONDS, tell_once, unclear)

    def _apply(self, command, tell=None):
        self.transactions += 1
        conflicts = [
            self._show(each.key)
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
        if tell is None:
            return
        if conflicts:
            event = _store_messages.TransactionConflicted(
                operation=command.operation, rows=tuple(conflicts)
            )
        else:
            event = _store_messages.Transacted(
                operation=command.operation, versions=versions
            )
        self.world.after(0.001, tell, event)

    def _show(self, key):
        version, value = self.rows.get(key, (0, {}))
        return _store_messages.VersionedRow(key=key, version=version, value=value)

    def read(self, command, tell):
        failed = _store_messages.ReadFailed(operation=command.operation, detail="model")
        if self.world.now < self.down_until or self.world.happens(0.05):
            self.world.after(0.01, tell, failed)
            return
        if isinstance(command, _store_messages.ReadRows):
            keys = command.keys
        else:
            keys = sorted(k for k in self.rows if k.startswith(command.prefix))
        rows = {key: self._show(key) for key in keys if key in self.rows}
        event = _store_messages.RowsRead(operation=command.operation, rows=rows)
        self.world.after(0.003, tell, event)


class Service:
    """Run calls and keep when each attempt ran."""

    def __init__(self, *, world, kind):
        self.world = world
        self.kind = kind
        self.runs = collections.defaultdict(list)
        self.fences = collections.Counter()
        self.down_until = 0.0

    def send(self, command, tell):
        world = self.world
        names = {"request": command.request, "attempt": command.attempt}
        if world.now < self.down_until:
            unsent = _call_messages.CallUnsent(detail="model", **names)
            world.after(0.001, tell, unsent)
            return
        answers = []

        def tell_once(event):
            if not answers:
                answers.append(event)
                tell(event)

        unclear = _call_messages.CallUnclear(detail="model", **names)
        if world.happens(0.05):
            world.after(0.02, tell_once, unclear)
        elif world.happens(0.1):
            world.after(world.draw_delay(), self._run, command, names)
            world.after(0.02, tell_once, unclear)
        elif world.happens(0.05):
            refusal = _call_messages.CallAnswered(
                status=503, body="{}", retry_after_seconds=1.0, **names
            )
            world.after(0.002, tell_once, refusal)
        else:
            world.after(world.draw_delay(), self._run, command, names, tell_once)
            world.after(command.timeout_seconds, tell_once, unclear)

    def _run(self, command, names, tell=lambda event: None):
        key, fencing = command.key, command.fencing
        if self.kind.checks_fencing and fencing < self.fences[key]:
            body = json.dumps({"error": "old_fencing"})
            tell(_call_messages.CallAnswered(status=409, body=body, **names))
            return
        self.fences[key] = max(fencing, self.fences[key])
        self.runs[key].append((command.attempt, self.world.now))
        body = json.dumps({"key": key})
        event = _call_messages.CallAnswered(status=200, body=body, **names)
        self.world.after(0.001, tell, event)

    def ask(self, command, tell):
        names = {"request": command.request, "attempt": command.attempt}
        untold = _call_messages.OutcomeUntold(detail="model", **names)
        silent = not self.kind.answers_outcomes or self.world.now < self.down_until
        if silent or self.world.happens(0.05):
            self.world.after(0.01, tell, untold)
            return
        if self.kind.checks_fencing and command.fencing:
            self.fences[command.key] = max(command.fencing, self.fences[command.key])
        if self.world.happens(0.05):
            self.world.after(0.01, tell, untold)
            return
        run = bool(self.runs[command.key])
        states = _call_messages.OutcomeState
        told = _call_messages.OutcomeTold(
            state=states.RUN if run else states.ABSENT,
            body=json.dumps({"result": {"key": command.key}}),
            **names,
        )
        self.world.after(self.world.draw_delay(), tell, told)
