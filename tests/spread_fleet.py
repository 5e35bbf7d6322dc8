"""Nodes of several failure domains with a true view of all requests, simulated."""

import collections
import random

import attrs

from jujubepass import ids
from jujubepass.capacity import view
from jujubepass.forwarding import (
    board,
    chains,
    declarations,
    engine_choice,
    placement,
    plans,
    silences,
    slowdowns,
    suspicion,
)
from jujubepass.spreading import rooms
from tests import small_fleet

KINDS = {
    "a100": declarations.Accelerator(
        memory_megabytes=72_000.0, step_slowdown=2.4, prefill_slowdown=3.2
    ),
    "l40s": declarations.Accelerator(
        memory_megabytes=43_200.0, step_slowdown=5.6, prefill_slowdown=2.7
    ),
    "l4": declarations.Accelerator(
        memory_megabytes=21_600.0, step_slowdown=16.0, prefill_slowdown=8.2
    ),
}
FLEET = {
    "a": {"a100": 2, "l40s": 9, "l4": 22},
    "b": {"a100": 2, "l40s": 15, "l4": 12},
    "c": {"a100": 4, "l40s": 6, "l4": 14},
}
MODEL = attrs.evolve(
    small_fleet.MODEL,
    step_seconds=0.00102,
    step_seconds_per_sequence=0.00000918,
    context_seconds_per_1k_tokens=0.0000123,
    stride=5,
    prompt_tokens=775.0,
    answer_tokens=221.0,
    prefill_tokens_per_second=164_000.0,
    accelerators=KINDS,
)
ROUTE = attrs.evolve(small_fleet.ROUTE, gap_seconds=0.25)
SERVICE = declarations.Service(name=small_fleet.SERVICE, model=MODEL)
LINE_SECONDS = 1.0
VIEW_SECONDS = 0.25


@attrs.define(kw_only=True)
class Domain:
    """Hold what the nodes of a domain know: the rows, and the last view."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects = attrs.field(factory=suspicion.Suspects)
    slow: slowdowns.SlowdownTracker = attrs.field(factory=slowdowns.SlowdownTracker)
    nodes: list = attrs.field(factory=list)
    is_known: bool = True
    running: collections.Counter = attrs.field(factory=collections.Counter)
    full: set = attrs.field(factory=set)
    waiting: float = 0.0
    arrivals: float = 0.0
    lines: list = attrs.field(factory=list)


@attrs.define(kw_only=True)
class NodeView:
    """Tell one node the domain's last view with its own requests as of now."""

    domain: Domain
    reported: collections.Counter = attrs.field(factory=collections.Counter)
    own: collections.Counter = attrs.field(factory=collections.Counter)

    def find_use(self, engine, now):
        if not self.domain.is_known:
            return None
        seen = self.domain.running[engine] - self.reported[engine] + self.own[engine]
        return view.EngineUse(running=float(seen), prefilling=0.0)

    def is_full(self, engine, now):
        return engine in self.domain.full

    def find_demand(self, now):
        if not self.domain.is_known:
            return None
        rest = (0.0,) * (view.PRIORITIES - 1)
        return view.Demand(
            waiting=(self.domain.waiting, *rest),
            arrivals_per_second=(self.domain.arrivals, *rest),
            ends_per_second=0.0,
            nodes=len(self.domain.nodes),
        )

    def list_domains(self, now):
        return self.domain.lines if self.domain.is_known else []


@attrs.define(kw_only=True)
class Node:
    choice: engine_choice.EngineChoice
    view: NodeView

    def start(self, now):
        pipeline = self.choice.choose(SERVICE, now)
        assert pipeline is not None
        self.choice.record_start(pipeline)
        self.choice.record_prefilled(pipeline)
        self.choice.record_spill(pipeline, now)
        self.view.own.update(pipeline.engines)
        return pipeline

    def end(self, pipeline):
        self.choice.record_end(pipeline, was_prefilled=True)
        self.view.own.subtract(pipeline.engines)


def make_node(domain, *, seed, uses_view=True):
    node_view = NodeView(domain=domain)
    choice = engine_choice.EngineChoice(
        blackboard=domain.blackboard,
        suspects=domain.suspects,
        slowdowns=domain.slow,
        silences=silences.Silences(area=domain.blackboard.backends),
        view=node_view,
        uses_view=lambda service: uses_view,
        random_source=random.Random(seed),
    )
    return Node(choice=choice, view=node_view)


class SpreadFleet:
    """Simulate the requests of all nodes, with views and lines of the usual age."""

    def __init__(self, *, nodes=28, fleet=None, seed=5):
        self.now = 100.0
        self.random_source = random.Random(seed)
        engines = small_fleet.make_engines(fleet or FLEET)
        candidates = [
            chains.Candidate(
                name=each.name,
                failure_domain=each.failure_domain,
                accelerator=KINDS[each.accelerator],
            )
            for each in engines
        ]
        self.plan = plans.Plan(
            service=SERVICE.name,
            version=1,
            revision=1,
            author=ids.NodeId("n1"),
            placements=placement.make_placements(MODEL, candidates),
            excluded={},
        )
        planned = self.plan.placements
        held = [
            small_fleet.hold(each, planned[each.name].span)
            for each in engines
            if each.name in planned
        ]
        self.listed = {each.name: each for each in held}
        self.domains = {name: self._make_domain(name, nodes) for name in fleet or FLEET}
        self.running = []
        self.spilled = collections.Counter()
        self._viewed_at = self._lined_at = float("-inf")
        self.share()

    def _make_domain(self, name, nodes):
        blackboard = board.Blackboard(
            node=ids.NodeId("n1"), failure_domain=ids.FailureDomainId(name)
        )
        blackboard.backends.listed = dict(self.listed)
        blackboard.plans.plans[SERVICE.name] = self.plan
        blackboard.members.sizes = collections.Counter({name: nodes})
        blackboard.configuration.declarations = declarations.Declarations(
            version=1,
            routes=(ROUTE,),
            services={SERVICE.name: SERVICE},
            limits=declarations.CallerLimits(),
            accounts={},
            checks_keys=False,
        )
        domain = Domain(blackboard=blackboard)
        domain.nodes = [make_node(domain, seed=number) for number in range(nodes)]
        return domain

    def list_rooms(self, name):
        """Return the rooms of a domain by the true use."""
        shared = self.domains[name].nodes[0].choice.shared
        used = self.count_running()
        return [
            attrs.evolve(each, load=float(used[each.entry]))
            for each in shared.rooms.list_rooms(SERVICE, name, self.now)
        ]

    def count_running(self):
        return collections.Counter(
            name for _, pipeline, _ in self.running for name in pipeline.engines
        )

    def share(self):
        """Let all nodes know the present use, and once a second the lines."""
        used = self.count_running()
        for domain in self.domains.values():
            domain.running = used
            for node in domain.nodes:
                node.view.reported = node.view.own.copy()
        self._viewed_at = self.now
        if self.now - self._lined_at < LINE_SECONDS:
            return
        self._lined_at = self.now
        lines = [
            view.DomainLine(
                domain=name,
                free_places=sum(each.free for each in self.list_rooms(name)),
                waiting=(domain.waiting,),
                age_seconds=0.0,
            )
            for name, domain in self.domains.items()
        ]
        for name, domain in self.domains.items():
            domain.lines = [each for each in lines if each.domain != name]

    def start(self, name, node=None):
        node = node or self.random_source.choice(self.domains[name].nodes)
        pipeline = node.start(self.now)
        if pipeline.spilled_to is not None:
            self.spilled[name, pipeline.spilled_to] += 1
        self.running.append([node, pipeline, MODEL.answer_tokens])
        return pipeline

    def run(self, rates, seconds, step_seconds=0.05):
        """Run arrivals by domain; return the highest predicted gap of each step."""
        gaps = []
        for _ in range(round(seconds / step_seconds)):
            self.now += step_seconds
            for name, rate in rates.items():
                self.domains[name].arrivals = rate
                for _ in range(self._draw_arrivals(rate * step_seconds)):
                    self.start(name)
            gaps.append(self._advance(step_seconds))
            if self.now - self._viewed_at >= VIEW_SECONDS:
                self.share()
        return gaps

    def _draw_arrivals(self, mean):
        count, left = 0, self.random_source.expovariate(1.0)
        while left < mean:
            count, left = count + 1, left + self.random_source.expovariate(1.0)
        return count

    def _advance(self, seconds):
        found: dict[str, rooms.Room] = {}
        for name in self.domains:
            found |= {each.entry: each for each in self.list_rooms(name)}
        paces = {key: each.pace.predict(each.load) for key, each in found.items()}
        for stream in list(self.running):
            node, pipeline, _ = stream
            stream[2] -= seconds / paces[pipeline.stages[0].engine]
            if stream[2] <= 0.0:
                node.end(pipeline)
                self.running.remove(stream)
        used = [paces[key] for key, each in found.items() if each.load]
        return MODEL.stride * max(used, default=0.0)
