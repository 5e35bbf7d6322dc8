"""Nodes, engines and callers with parts of prompts that crash engines, simulated."""

import collections
import random
import unittest.mock

import trio
import trio.testing

from jujubepass import ids
from jujubepass.forwarding import (
    admission,
    backend_list,
    board,
    clocks,
    exchange,
    feeds,
    following,
    probing,
    replies,
    request_limits,
    server_signals,
    silences,
    slowdowns,
    stream_exchange,
    suspicion,
)
from jujubepass.limits import _retry_budget
from jujubepass.platform import wire
from jujubepass.quarantine import controller, guard, sharing, suspects
from tests import (
    quarantine_callers,
    quarantine_engines,
    quarantine_records,
    quarantine_store,
    relay_store,
    small_fleet,
)

DOMAINS = 3
ENGINES = 30
RESTART_SECONDS = 4.0
# A part crashes its engine this long after the run began.
CRASH_SECONDS = (0.05, 0.15)
# Time in which a part must be known at all nodes once it has ended five engines.
CONTACT_SECONDS = 3.0
ALLOWED_ENDS = 5
ALLOWED_REQUESTS_AFTER = 3


def run_simulation(function):
    """Run an async function on a simulated clock."""
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    with unittest.mock.patch.object(clocks, "read_boot_clock", trio.current_time):
        return trio.run(function, clock=clock)


class Node:
    """Serve streams, and learn of parts that crash engines."""

    def __init__(self, *, fleet, number):
        self.fleet = fleet
        self.name = ids.NodeId(f"n{number}")
        self.random_source = random.Random(fleet.seed * 1_000 + number)
        self.is_cut_off = False
        self.scope = None
        self.serving = set()

    @property
    def is_running(self):
        return self.scope is not None and not self.scope.cancel_called

    def kill(self):
        """End the node with the requests that it serves."""
        for scope in (self.scope, *self.serving):
            scope.cancel()

    async def serve(self, request, admitted, reply):
        """Serve a request while the node runs."""
        with trio.CancelScope() as scope:
            self.serving.add(scope)
            try:
                await self.find_exchange(admitted).serve(request, admitted, reply)
            finally:
                self.serving.discard(scope)

    def find_exchange(self, admitted):
        """Return what handles a request."""
        return self.streams

    async def wait_while_frozen(self):
        pass

    async def run(self):
        """Run until killed, each time without knowledge."""
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as self.nursery:
                self._make_parts()
                self.nursery.start_soon(self._make_follower().run)
                self.nursery.start_soon(self.sharing.run)
                await trio.sleep_forever()

    def _make_parts(self):
        self.blackboard = board.Blackboard(
            node=self.name, failure_domain=ids.FailureDomainId("centro")
        )
        self.blackboard.configuration.declarations = small_fleet.make_declarations()
        self.blackboard.members.nodes = self.fleet.node_names
        self.list = backend_list.BackendController(area=self.blackboard.backends)
        self.suspects = suspicion.Suspects()
        self.quarantine = controller.Quarantine(blackboard=self.blackboard)
        silent = silences.Silences(area=self.blackboard.backends)
        self.prober = probing.Prober(
            blackboard=self.blackboard,
            suspects=self.suspects,
            control=quarantine_engines.Control(fleet=self.fleet, node=self),
            slowdowns=slowdowns.SlowdownTracker(),
            signals=server_signals.ServerSignals(
                area=self.blackboard.backends,
                backend_list=self.list,
                silences=silent,
                limits=request_limits.RequestLimits(area=self.blackboard.backends),
            ),
            on_run_ended=self.quarantine.record_end,
        )
        stalls = quarantine_engines.Stalls(node=self)
        self.sharing = sharing.Sharing(
            blackboard=self.blackboard,
            quarantine=self.quarantine,
            table=quarantine_store.Table(store=self.fleet.store, node=self),
            secret_table=quarantine_store.Table(
                store=self.fleet.store, node=self, name=quarantine_store.SECRET_TABLE
            ),
            schedule_probe=stalls.schedule_probe,
            random_source=self.random_source,
        )
        self.list_engines(self.fleet.engines.values())
        self.streams = self._make_streams(stalls)

    def _make_streams(self, stalls):
        unlimited = _retry_budget.RetryBudgetBounds(capacity=1e9)
        choice = quarantine_engines.Choice(node=self, random_source=self.random_source)
        own_guard = guard.Guard(
            area=self.blackboard.backends,
            quarantine=self.quarantine,
            trials=self.sharing,
            schedule_probe=stalls.schedule_probe,
        )
        return stream_exchange.StreamExchange(
            sender=quarantine_engines.Sender(fleet=self.fleet, node=self),
            admission_control=admission.Admission(blackboard=self.blackboard),
            choice=choice,
            claims=small_fleet.make_claims(self.blackboard, choice, own_guard),
            suspects=self.suspects,
            stalls=stalls,
            guard=own_guard,
            budgets=collections.defaultdict(
                lambda: _retry_budget.RetryBudget(bounds=unlimited)
            ),
            count_retry=lambda reason: None,
            observe_first_event=lambda seconds: None,
        )

    def _make_follower(self):
        rows = relay_store.StoreFeed(
            store=self.fleet.store, node=self, table=quarantine_store.TABLE
        )
        return following.Follower(
            name=quarantine_store.TABLE,
            feed=feeds.DecodedFeed(rows=rows, decode=quarantine_store.decode_part),
            find_wait=lambda: 20.0,
            apply=self.quarantine.apply,
        )

    def list_engines(self, found):
        """Apply entries of engines, as the list's follower does."""
        now = clocks.read_boot_clock()
        items = {each.name: each.describe() for each in found}
        self.list.apply(feeds.Changes(items=items, version=1, confirmed_at=now), now)
        while self.blackboard.backends.restarted:
            self.suspects.clear(self.blackboard.backends.restarted.pop())

    def list_quarantined(self):
        """Return the parts in quarantine."""
        return {each.part for each in self._list_keys(suspects.PartKey)}

    def list_quarantined_requests(self):
        """Return the digests of the requests in quarantine."""
        return {each.digest for each in self._list_keys(suspects.RequestKey)}

    def _list_keys(self, kind):
        found = self.blackboard.quarantine.quarantined
        return [each for each in found if isinstance(each, kind)]


class Fleet:
    """Run nodes, engines and callers."""

    def __init__(self, *, count, seed=1, bad_parts=("bad",)):
        self.seed = seed
        self.random_source = random.Random(seed)
        self.store = quarantine_store.Store()
        self.bad_parts = set(bad_parts)
        self.resets = 0
        self.is_full = False
        self.arrivals = []
        self.ends = []
        self.outcomes = []
        self.numbers = iter(range(1, 10**9))
        self.engines = {each.name: each for each in self.make_engines()}
        self.node_names = frozenset(ids.NodeId(f"n{n}") for n in range(count))
        self.nodes = [self.make_node(number) for number in range(count)]
        self.nursery = None

    def make_engines(self):
        return [quarantine_engines.Engine(number=number) for number in range(ENGINES)]

    def make_node(self, number):
        return Node(fleet=self, number=number)

    async def start(self, nursery):
        self.nursery = nursery
        for node in self.nodes:
            nursery.start_soon(node.run)
        await trio.sleep(0.1)

    def restart_nodes(self):
        for node in self.nodes:
            node.kill()
            self.nursery.start_soon(node.run)

    def record_arrival(self, request, engine, node):
        now = clocks.read_boot_clock()
        parts = tuple(request.prompt_parts)
        arrival = quarantine_records.Arrival(
            at=now,
            parts=parts,
            node=node.name,
            engine=engine.name,
            started_at=engine.started_at,
            cause=self.find_cause(request),
        )
        self.arrivals.append(arrival)
        if arrival.cause is not None and not self.is_full:
            self.nursery.start_soon(self._crash_after, engine, arrival.cause)

    def find_cause(self, request):
        """Return what crashes the engines that run a request, or None."""
        bad = self.bad_parts.intersection(request.prompt_parts)
        return min(bad, default=None)

    async def _crash_after(self, engine, part):
        started_at = engine.started_at
        await trio.sleep(self.random_source.uniform(*CRASH_SECONDS))
        if engine.is_up and engine.started_at == started_at:
            end = quarantine_records.End(
                at=clocks.read_boot_clock(),
                part=part,
                engine=engine.name,
                started_at=started_at,
            )
            self.ends.append(end)
            self.crash(engine)

    def crash(self, engine):
        engine.is_up = False
        self.nursery.start_soon(self._restart, engine)

    async def _restart(self, engine):
        await trio.sleep(RESTART_SECONDS)
        engine.started_at += 1
        engine.is_up = True
        await trio.sleep(0.1)
        for node in self.nodes:
            if node.name in self.store.refused or not self.store.is_available:
                self.nursery.start_soon(self._list_later, node, engine)
            elif not node.is_cut_off:
                node.list_engines([engine])

    async def _list_later(self, node, engine):
        """Apply an engine's entry on the return of the store."""
        while node.name in self.store.refused or not self.store.is_available:
            await trio.sleep(0.1)
        node.list_engines([engine])

    async def send(self, rate, seconds, make_parts, nodes=None):
        """Let callers send requests at a rate to random nodes."""
        end = trio.current_time() + seconds
        while True:
            await trio.sleep(self.random_source.expovariate(rate))
            if trio.current_time() >= end:
                return
            parts = make_parts(self.random_source)
            self.nursery.start_soon(self._call, parts, nodes or self.nodes)

    async def _call(self, parts, nodes):
        """Send a request, and repeat it elsewhere as callers may."""
        body = f"prompt {next(self.numbers)}"
        for number in range(3):
            node = self.random_source.choice(nodes)
            if not node.is_running:
                continue
            request = self._make_request(parts, body)
            responder = quarantine_callers.Responder()
            reply = replies.Reply(
                request=request, wire=wire.HttpWire(), responder=responder
            )
            await self._serve(node, request, reply)
            if number == 0:
                outcome = quarantine_records.Outcome(
                    at=request.arrived_at,
                    parts=parts,
                    node=node.name,
                    has_begun=reply.started,
                    reason=reply.reason,
                )
                self.outcomes.append(outcome)
            if reply.outcome == "answered":
                return
            await trio.sleep(min(7.0, responder.retry_after_seconds or 0.0))

    def _make_request(self, parts, body=""):
        now = clocks.read_boot_clock()
        number = next(self.numbers)
        return exchange.CallerRequest(
            request_id=ids.RequestId(f"r{number}"),
            host=small_fleet.ROUTE.host,
            method="POST",
            target="/drafts/new",
            key="ana-key",
            arrived_at=now,
            timeout_seconds=20.0,
            resume_after=None,
            max_answer_tokens=10,
            fields=(),
            body=(body or f"prompt {number}").encode(),
            prompt_parts=tuple(map(ids.PromptPartId, parts)),
        )

    async def _serve(self, node, request, reply):
        now = request.arrived_at
        node.blackboard.configuration.confirmed_at = now + 30.0
        admitted = node.streams.admission_control.admit(request, now)
        assert isinstance(admitted, exchange.Admitted), admitted
        await node.serve(request, admitted, reply)

    def find_deadline(self, part, ends=ALLOWED_ENDS):
        """Return the time from which no more requests with a part may reach engines."""
        times = [each.at for each in self.ends if each.part == part]
        assert len(times) >= 2, f"{part} ended {len(times)} engines"
        return times[min(ends, len(times)) - 1] + CONTACT_SECONDS

    def list_late(self, part, nodes=None):
        """Return the arrivals of requests with a part that came too late."""
        deadline = self.find_deadline(part)
        return [
            each
            for each in self.arrivals
            if part in each.parts
            and each.at > deadline
            and (nodes is None or each.node in nodes)
        ]

    def share_begun(self, start, end):
        """Return the share of sound requests sent in a time that began at once."""
        found = [
            each.has_begun
            for each in self.outcomes
            if start <= each.at < end and not self.bad_parts.intersection(each.parts)
        ]
        assert len(found) >= 20, f"{len(found)} requests"
        return sum(found) / len(found)

    def list_sound_quarantined(self):
        """Return the sound parts that any node keeps in quarantine."""
        found = set().union(*(each.list_quarantined() for each in self.nodes))
        return found - self.bad_parts
