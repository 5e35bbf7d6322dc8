"""Random systems with parts of prompts that crash engines, beside disturbances."""

import collections.abc
import random
import typing

import attrs
import trio

from tests import quarantine_callers, quarantine_fleet

SECONDS = 36.0
# Disturbances end early enough for all nodes to be in touch again.
DISTURBED_SECONDS = (1.0, 26.0)
MIN_SOUND_REQUESTS = 20
# The rule allows half; undisturbed sound requests all begin.
MIN_BEGUN_SHARE = 0.5


@attrs.frozen(kw_only=True)
class System:
    """Describe a system, its load and the disturbances of its time."""

    seed: int
    nodes: int = 9
    bad_parts: tuple[str, ...]
    rate: float
    sound_rate: float
    warm_seconds: float
    disturbances: "tuple[Disturbance, ...]" = ()


@attrs.frozen(kw_only=True)
class Disturbance:
    """Describe a disturbance of some nodes, of all by the store, or of engines."""

    kind: typing.Literal["restart", "refused", "away", "crash"]
    at: float
    seconds: float = 0.0
    numbers: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class Disturbed:
    """Describe when a node, or the store if there is no node, was disturbed."""

    node: str | None
    start: float
    end: float
    loses_knowledge: bool = False


def draw_system(seed: int, *, nodes: int) -> System:
    """Draw a system with one or two bad parts and up to six disturbances."""
    source = random.Random(seed)
    times = sorted(source.uniform(*DISTURBED_SECONDS) for _ in range(6))
    found = [
        _draw_disturbance(source, at, nodes) for at in times[: source.randint(1, 6)]
    ]
    return System(
        seed=seed,
        nodes=nodes,
        bad_parts=tuple(f"bad-{number}" for number in range(source.randint(1, 2))),
        rate=source.choice((0.5, 2.0, 8.0, 20.0)),
        sound_rate=source.choice((4.0, 20.0)),
        warm_seconds=source.choice((0.0, 3.0)),
        disturbances=tuple(found),
    )


def _draw_disturbance(source: random.Random, at: float, nodes: int) -> Disturbance:
    kind = source.choice(("restart", "refused", "away", "crash"))
    seconds = source.uniform(0.1, 6.0 if kind in ("refused", "away") else 2.0)
    # Up to a third of the nodes, and a fifth of the engines.
    most, count = (6, 30) if kind == "crash" else (nodes // 3, nodes)
    numbers = source.sample(range(count), source.randint(1, most))
    return Disturbance(kind=kind, at=at, seconds=seconds, numbers=tuple(numbers))


class Trial:
    """Run one system, and check what it promises of nodes in touch."""

    allowed_ends = quarantine_fleet.ALLOWED_ENDS

    def __init__(self, *, system: System):
        self.system = system
        self.fleet = self.make_fleet()
        self.disturbed: list[Disturbed] = []
        self.ended_at = 0.0
        self._refusals: list[set[str]] = []
        self._outages = 0

    def run(self):
        quarantine_fleet.run_simulation(self._run)

    def make_fleet(self) -> quarantine_fleet.Fleet:
        """Return the fleet of the system."""
        return quarantine_fleet.Fleet(
            count=self.system.nodes,
            seed=self.system.seed,
            bad_parts=self.system.bad_parts,
        )

    def list_causes(self) -> list[str]:
        """Return what crashes engines in the system."""
        return list(self.system.bad_parts)

    async def start_load(self, nursery: trio.Nursery):
        """Start to send sound requests, and later those that crash engines."""
        system, fleet = self.system, self.fleet
        draw = quarantine_callers.draw_sound
        nursery.start_soon(fleet.send, system.sound_rate, SECONDS + 4.0, draw)
        await trio.sleep(system.warm_seconds)
        for part in system.bad_parts:
            draw = quarantine_callers.make_bad(part)
            nursery.start_soon(fleet.send, system.rate, SECONDS, draw)

    async def _run(self):
        system, fleet = self.system, self.fleet
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            for each in system.disturbances:
                nursery.start_soon(self._disturb, each)
            await self.start_load(nursery)
            await trio.sleep(SECONDS)
            self.ended_at = trio.current_time()
            nursery.cancel_scope.cancel()

    async def _disturb(self, disturbance: Disturbance):
        await trio.sleep(disturbance.at)
        start = trio.current_time()
        names = [f"n{number}" for number in disturbance.numbers]
        if disturbance.kind == "crash":
            self._crash(disturbance.numbers)
            return
        if disturbance.kind == "away":
            names = [None]
            await self._end_store(disturbance.seconds)
        elif disturbance.kind == "refused":
            await self._refuse(frozenset(names), disturbance.seconds)
        else:
            names = await self._restart(disturbance.numbers, disturbance.seconds)
        self.disturbed += [
            Disturbed(
                node=name,
                start=start,
                end=trio.current_time(),
                loses_knowledge=disturbance.kind == "restart",
            )
            for name in names
        ]

    def _crash(self, numbers: collections.abc.Iterable[int]):
        engines = list(self.fleet.engines.values())
        for number in numbers:
            if engines[number].is_up:
                self.fleet.crash(engines[number])

    async def _end_store(self, seconds: float):
        self._outages += 1
        self.fleet.store.is_available = False
        await trio.sleep(seconds)
        self._outages -= 1
        self.fleet.store.is_available = not self._outages

    async def _refuse(self, names: frozenset[str], seconds: float):
        self._refusals.append(names)
        self.fleet.store.refused = set().union(*self._refusals)
        await trio.sleep(seconds)
        self._refusals.remove(names)
        self.fleet.store.refused = set().union(*self._refusals)

    async def _restart(
        self, numbers: collections.abc.Iterable[int], seconds: float
    ) -> list[str]:
        nodes = [
            each for number in numbers if (each := self.fleet.nodes[number]).is_running
        ]
        for node in nodes:
            node.kill()
        await trio.sleep(seconds)
        for node in nodes:
            self.fleet.nursery.start_soon(node.run)
        await trio.sleep(0)
        return [each.name for each in nodes]

    def is_in_touch(self, node: str, at: float) -> bool:
        """Return whether a node and the store were undisturbed for the contact time."""
        since = at - quarantine_fleet.CONTACT_SECONDS
        return not any(
            each.node in (node, None) and each.start <= at and each.end > since
            for each in self.disturbed
        )

    def _find_shared_at(self, node: str, at: float) -> float:
        """Return when a node that learned something has had time to share it.

        Infinite if it was killed before.
        """
        killed_at = min(
            (
                each.start
                for each in self.disturbed
                if each.node == node and each.loses_knowledge and each.start >= at
            ),
            default=float("inf"),
        )
        shared_at = at + quarantine_fleet.CONTACT_SECONDS
        for each in sorted(self.disturbed, key=lambda each: each.start):
            if each.node in (node, None) and at <= each.end and each.start <= shared_at:
                shared_at = max(shared_at, each.end + quarantine_fleet.CONTACT_SECONDS)
        return shared_at if shared_at <= killed_at else float("inf")

    def find_deadline(self, part: str) -> float:
        """Return the contact time after the fifth end that some node could share.

        Infinite if there is none.
        """
        times = sorted(
            min(
                self._find_shared_at(arrival.node, end.at)
                for arrival in self.fleet.arrivals
                if arrival.cause == part
                and (arrival.engine, arrival.started_at) == (end.engine, end.started_at)
                and arrival.at <= end.at
            )
            for end in self.fleet.ends
            if end.part == part
        )
        allowed = self.allowed_ends
        return times[allowed - 1] if len(times) >= allowed else float("inf")

    def list_late(self, part: str, deadline: float):
        """Return the arrivals by nodes in touch after a time."""
        return [
            each
            for each in self.fleet.arrivals
            if each.cause == part
            and each.at > deadline
            and self.is_in_touch(each.node, each.at)
        ]

    def list_violations(self) -> list[str]:
        """Return which promises were broken."""
        found = [
            f"{part}: {len(late)} arrivals after {deadline:.2f} s: "
            + ", ".join(f"{each.node} at {each.at:.2f}" for each in late[:8])
            for part in self.list_causes()
            if len(late := self.list_late(part, deadline := self.find_deadline(part)))
            > quarantine_fleet.ALLOWED_REQUESTS_AFTER
        ]
        sound = self.fleet.list_sound_quarantined()
        if sound:
            found.append(f"sound parts in quarantine: {sorted(sound)}")
        return [*found, *self._list_refusals()]

    def _list_refusals(self) -> list[str]:
        """Return whether too few sound requests began after the time of recovery."""
        deadlines = [self.find_deadline(part) for part in self.list_causes()]
        start = max(deadlines) + quarantine_fleet.CONTACT_SECONDS
        begun = [
            each.has_begun
            for each in self.fleet.outcomes
            if start <= each.at
            and not set(self.list_causes()).intersection(each.parts)
            and self.is_in_touch(each.node, each.at)
        ]
        if len(begun) < MIN_SOUND_REQUESTS:
            return []
        share = sum(begun) / len(begun)
        return [] if share >= MIN_BEGUN_SHARE else [f"{share:.2f} of sound requests"]
