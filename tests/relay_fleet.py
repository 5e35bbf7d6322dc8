"""Nodes that relay rows to each other, with a simulated store, network and clock."""

import itertools
import queue
import random
import threading
import unittest.mock

import trio
import trio.testing

from jujubepass import ids
from jujubepass.forwarding import (
    announcing,
    board,
    clocks,
    feeds,
    following,
    member_rows,
    members,
    settings,
)
from jujubepass.relay import assembly, links
from jujubepass.transport import _http_client
from tests import relay_store

PLANS_WAIT_SECONDS = 20.0
PROMPTS_WAIT_SECONDS = 20.0
HOP_SECONDS = 0.0005
FEEDS = ("configuration", "backends", "plans", "prompts")
# Times in which changes must apply on the users' platforms, by the number of nodes.
BOUNDS_MILLISECONDS = {9: 2_000, 84: 3_000, 195: 4_000, 700: 4_000}
DEFAULT_BOUND_MILLISECONDS = 2_000


def decode_member(key, version, value):
    try:
        return member_rows.read_member(key, version, value)
    except member_rows.MemberRowError as error:
        raise feeds.UnreadableRowError(str(error)) from error


class RelayNode:
    """Run one node's relay, its followers and its announcer."""

    def __init__(self, *, fleet, number, domain, seed):
        self.fleet = fleet
        self.name = ids.NodeId(f"n{number}")
        self.domain = ids.FailureDomainId(domain)
        self.address = _http_client.Address(host="10.0.0.1", port=number + 1)
        self.random_source = random.Random(seed)
        self.scope = None
        self.is_frozen = False
        self.is_cut_off = False
        self.configuration = None
        self.era = 0
        self.confirmed_at = float("-inf")
        self.faults = []
        self.prompts = {}
        self.prompt_versions = []
        """Times at which rows of prompts were applied, with the store's version."""
        self._thawed = trio.Event()

    async def run(self, start_delay):
        with trio.CancelScope() as self.scope:
            await trio.sleep(start_delay)
            await self._run_parts()

    async def _run_parts(self):
        self.relay = assembly.Relay(
            blackboard=self._make_blackboard(),
            stores={
                name: relay_store.StoreFeed(
                    store=self.fleet.store, node=self, table=name
                )
                for name in (*FEEDS, "members")
            },
            transport=self,
            address=self.address,
            random_source=self.random_source,
        )
        self.members_feed = self._decode("members", decode_member)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._make_announcer().run)
            nursery.start_soon(self.relay.link.run)
            for follower in self._make_followers():
                nursery.start_soon(follower.run)

    def _make_blackboard(self):
        bound = BOUNDS_MILLISECONDS.get(
            len(self.fleet.nodes), DEFAULT_BOUND_MILLISECONDS
        )
        return board.Blackboard(
            node=self.name,
            failure_domain=self.domain,
            bounds=settings.Bounds(
                configuration_milliseconds=bound, drain_milliseconds=bound
            ),
        )

    def _make_announcer(self):
        blackboard = self.relay.blackboard
        return announcing.Announcer(
            blackboard=blackboard,
            controller=members.MemberController(blackboard=blackboard),
            table=relay_store.MemberTable(store=self.fleet.store, node=self),
            feed=self.members_feed,
            address=self.address,
            token=self.relay.token,
            reads_store=self.relay.reads_store,
            wait_for_era=self.relay.area.wait_for_era,
            random_source=self.random_source,
        )

    def _make_followers(self):
        waits = {
            "configuration": self.relay.find_configuration_wait,
            "backends": self.relay.find_backends_wait,
            "plans": lambda: PLANS_WAIT_SECONDS,
            "prompts": lambda: PROMPTS_WAIT_SECONDS,
        }
        apply = {"configuration": self._apply, "prompts": self._apply_prompts}
        return [
            following.Follower(
                name=name,
                feed=self._decode(name, lambda key, version, value: value),
                find_wait=find_wait,
                apply=apply.get(name, lambda *_: None),
            )
            for name, find_wait in waits.items()
        ]

    def _decode(self, name, decode):
        return feeds.DecodedFeed(rows=self.relay.feeds[name], decode=decode)

    def _apply(self, changes, now):
        self.confirmed_at = max(self.confirmed_at, changes.confirmed_at)
        found = changes.items.get("config", self.configuration)
        is_same_era, self.era = changes.era == self.era, changes.era
        if is_same_era and found is not None and found < (self.configuration or 0):
            self.faults.append(f"{self.name}: {found} after {self.configuration}")
        self.configuration = found
        # The rows must be those of the claimed time, or later ones.
        oldest = self.fleet.store.find_configuration(changes.confirmed_at)
        if oldest is not None and (found is None or found < oldest):
            self.faults.append(
                f"{self.name}: {found} at {changes.confirmed_at:.3f}, was {oldest}"
            )

    def _apply_prompts(self, changes, now):
        if changes.is_complete:
            self.prompts = {}
        self.prompts |= changes.items
        self.prompt_versions.append((trio.current_time(), changes.version))
        found = {key: row for key, row in self.prompts.items() if row is not None}
        rows = self.fleet.store.find_rows("prompts", changes.version)
        stored = {key: row.value for key, row in rows.items()}
        if changes.era == self.fleet.store.era and found != stored:
            self.faults.append(
                f"{self.name}: parts {found} at {changes.version}, were {stored}"
            )

    def find_prompt_time(self, version):
        """Return when the row of a version was applied."""
        times = (at for at, each in self.prompt_versions if each >= version)
        return next(times, float("inf"))

    async def ask(self, address, data, timeout_seconds):
        """Carry a query to another node, as links.Transport."""
        await trio.sleep(HOP_SECONDS)
        target = self.fleet.nodes[address.port - 1]
        if target.is_killed:
            raise links.LinkError("connection refused")
        if self.is_cut_off or target.is_cut_off:
            await trio.sleep(timeout_seconds)
            raise links.LinkError("timed out")
        await target.wait_while_frozen()
        answer = await target.relay.server.answer(data)
        await target.wait_while_frozen()
        await self.wait_while_frozen()
        await trio.sleep(HOP_SECONDS)
        return answer

    @property
    def is_killed(self):
        return self.scope is None or self.scope.cancel_called

    @property
    def age(self):
        return trio.current_time() - self.confirmed_at

    async def wait_while_frozen(self):
        while self.is_frozen:
            await self._thawed.wait()

    def freeze(self):
        self.is_frozen, self._thawed = True, trio.Event()

    def thaw(self):
        self.is_frozen = False
        self._thawed.set()


class RelayFleet:
    """Run nodes in failure domains until the block is left."""

    def __init__(self, *, count, domains, seed=1):
        self.random_source = random.Random(seed)
        self.store = relay_store.Store()
        numbers = range(count)
        self.nodes = [
            RelayNode(
                fleet=self, number=number, domain=f"d{number % domains}", seed=number
            )
            for number in numbers
        ]
        self.domains = domains
        self.worst_age = 0.0
        self.prompt_writes = []
        """Times at which rows of prompts were written, with their versions."""
        self._versions = itertools.count(1)

    def start(self, nursery, *, within_seconds=0.3):
        self.configure()
        for node in self.nodes:
            delay = self.random_source.uniform(0.0, within_seconds)
            nursery.start_soon(node.run, delay)

    def configure(self):
        self.store.write("configuration", "config", next(self._versions))

    def write_prompt(self, key, value):
        """Write the row of a suspected part; a value of None deletes it."""
        self.store.write("prompts", key, value)
        self.prompt_writes.append((trio.current_time(), self.store.version))

    def find_worst_delay(self, nodes):
        """Return the longest time until any of these nodes had a written row."""
        return max(
            (node.find_prompt_time(version) - written_at, node.name, written_at)
            for written_at, version in self.prompt_writes
            for node in nodes
        )

    async def run(self, seconds, *, watched=None):
        """Run for some seconds and record the greatest age of the configuration."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(0.05)
            for node in self.nodes if watched is None else watched:
                self.worst_age = max(self.worst_age, node.age)

    def list_readers(self, domain):
        return [
            each
            for each in self.nodes
            if each.domain == domain and each.relay.reads_store()
        ]

    def list_outdated(self):
        """Return the running nodes that lack the newest configuration."""
        newest = self.store.find_configuration(trio.current_time())
        return [
            (each.name, each.configuration, newest)
            for each in self.nodes
            if not each.is_killed and each.configuration != newest
        ]

    def count_calls(self, table=None):
        return self.store.count_calls(
            self.measured_from, self.measured_until, table=table
        )

    def list_faults(self):
        return [fault for node in self.nodes for fault in node.faults]


class Simulation:
    """Run a fleet in a thread whose clock stands still between commands."""

    def __init__(self, *, count, domains):
        self.fleet = None
        self._size = count, domains
        self._commands = queue.Queue()
        self._results = queue.Queue()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        with unittest.mock.patch.object(clocks, "read_boot_clock", trio.current_time):
            trio.run(self._serve, clock=clock)

    async def _serve(self):
        count, domains = self._size
        self.fleet = RelayFleet(count=count, domains=domains)
        async with trio.open_nursery() as nursery:
            self.fleet.start(nursery)
            while (command := self._commands.get()) is not None:
                try:
                    self._results.put((await command(self.fleet), None))
                except Exception as error:
                    self._results.put((None, error))
            nursery.cancel_scope.cancel()

    def do(self, command):
        """Run an async function of the fleet and return its result."""
        self._commands.put(command)
        result, error = self._results.get(timeout=600)
        if error is not None:
            raise error
        return result

    def close(self):
        self._commands.put(None)
        self._thread.join()
