"""A blackboard with a few engines and its controllers, without a network."""

import collections
import random

from jujubepass import ids
from jujubepass.forwarding import (
    backend_list,
    backends,
    board,
    chains,
    declarations,
    engine_choice,
    feeds,
    home_leases,
    homes,
    permit_home,
    permits,
    pipeline_claims,
    planner,
    plans,
    request_limits,
    server_signals,
    silences,
    slowdowns,
    suspicion,
    watched_streams,
)
from jujubepass.quarantine import controller, guard
from jujubepass.transport import _http_client

SERVICE = ids.ServiceId("drafts")
# A row is a failure domain, with the number of engines of each kind.
KINDS = {
    "h100": declarations.Accelerator(
        memory_megabytes=72_000.0, step_slowdown=1.4, prefill_slowdown=1.0
    ),
    "a100s": declarations.Accelerator(
        memory_megabytes=36_000.0, step_slowdown=3.1, prefill_slowdown=3.2
    ),
    "l4": declarations.Accelerator(
        memory_megabytes=21_600.0, step_slowdown=16.0, prefill_slowdown=8.2
    ),
    "t4": declarations.Accelerator(
        memory_megabytes=14_400.0, step_slowdown=15.0, prefill_slowdown=15.0
    ),
}
FLEET = {
    "centro": {"h100": 1, "a100s": 1, "l4": 5, "t4": 7},
    "este": {"a100s": 1, "l4": 8, "t4": 3},
    "oeste": {"a100s": 2, "l4": 4, "t4": 7},
}
MODEL = declarations.Model(
    layers=80,
    layer_megabytes=1_750.0,
    token_kilobytes=1_180.0,
    slots=96,
    step_seconds=0.00085,
    step_seconds_per_sequence=0.00000764,
    prefill_tokens_per_second=196_000.0,
    load_seconds=14.0,
    answer_tokens=174.0,
    prompt_tokens=772.0,
    accelerators=KINDS,
)
ROUTE = declarations.Route(
    name="drafts",
    host="desk.example",
    prefix="/drafts/",
    repeat_policy=declarations.RepeatPolicy.STREAM,
    timeout_seconds=20.0,
    goal_seconds=0.5,
    priority=1,
    destinations=(declarations.Destination(service=SERVICE, weight=1.0),),
    max_attempts=2,
    resumable=True,
    gap_seconds=0.2,
)


def make_declarations(version=1, keys=("ana-key",)):
    account = declarations.Account(name=ids.AccountId("ana"))
    return declarations.Declarations(
        version=version,
        routes=(ROUTE,),
        services={SERVICE: declarations.Service(name=SERVICE, model=MODEL)},
        limits=declarations.CallerLimits(),
        accounts=dict.fromkeys(keys, account),
        checks_keys=True,
    )


def make_engines(fleet=None):
    """Return the fleet's engines without layers, with numbered names."""
    found = []
    for domain, kinds in (fleet or FLEET).items():
        for kind, count in kinds.items():
            for number in range(count):
                port = 8_000 + len(found)
                found.append(
                    backends.Backend(
                        name=ids.BackendServerId(f"{domain}-{kind}-{number}"),
                        service=SERVICE,
                        address=_http_client.Address(host="10.0.0.1", port=port),
                        failure_domain=ids.FailureDomainId(domain),
                        state=backends.BackendState.READY,
                        started_at=1,
                        accelerator=kind,
                    )
                )
    return found


def make_candidates(engines, placements=None):
    return [
        chains.Candidate(
            name=each.name,
            failure_domain=each.failure_domain,
            accelerator=KINDS[each.accelerator],
            placement=(placements or {}).get(each.name),
        )
        for each in engines
    ]


class Fleet:
    """Assemble one node's blackboard and controllers with a simulated clock."""

    def __init__(self, *, node="n1", seed=1):
        self.now = 100.0
        self.blackboard = board.Blackboard(
            node=ids.NodeId(node), failure_domain=ids.FailureDomainId("centro")
        )
        self.suspects = suspicion.Suspects()
        self.list = backend_list.BackendController(area=self.blackboard.backends)
        self.planner = planner.PlanController(
            blackboard=self.blackboard,
            suspects=self.suspects,
            random_source=random.Random(seed),
        )
        self.slowdowns = slowdowns.SlowdownTracker()
        self.silences = silences.Silences(area=self.blackboard.backends)
        self.limits = request_limits.RequestLimits(area=self.blackboard.backends)
        self.signals = server_signals.ServerSignals(
            area=self.blackboard.backends,
            backend_list=self.list,
            silences=self.silences,
            limits=self.limits,
        )
        self.choice = engine_choice.EngineChoice(
            blackboard=self.blackboard,
            suspects=self.suspects,
            slowdowns=self.slowdowns,
            silences=self.silences,
        )
        self.blackboard.configuration.declarations = make_declarations()
        self.blackboard.configuration.confirmed_at = self.now
        self.blackboard.plans.is_initialized = True
        self.versions = 0

    @property
    def plan(self):
        return self.blackboard.plans.plans[SERVICE]

    @property
    def service(self):
        return self.blackboard.configuration.declarations.services[SERVICE]

    def list_engines(self, engines, gone=()):
        items = {each.name: each for each in engines} | dict.fromkeys(gone)
        changes = feeds.Changes(items=items, version=1, confirmed_at=self.now)
        self.list.apply(changes, self.now)

    def wait(self, seconds, confirmed=True):
        """Advance the clock; return the plans that were written."""
        written = []
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            if confirmed:
                self.blackboard.backends.confirmed_at = self.now
                self.blackboard.configuration.confirmed_at = self.now
            for command in self.planner.check(self.now):
                written.append(command.plan)
                self.versions += 1
                self.planner.install_plan(
                    plans.Plan(
                        service=command.plan.service,
                        version=self.versions,
                        revision=command.plan.revision,
                        author=command.plan.author,
                        placements=command.plan.placements,
                        excluded=command.plan.excluded,
                    )
                )
        return written

    def load_planned(self):
        """Set the layers of every engine to the planned ones."""
        listed = self.blackboard.backends.listed
        for name, placement in self.plan.placements.items():
            listed[name] = hold(listed[name], placement.span)
        self.blackboard.backends.revision += 1

    def miss_probes(self, name):
        """Leave two probes of an engine unanswered, 0.4 s apart."""
        for _ in range(2):
            self.suspects.suspect(
                name, suspicion.SuspicionReason.UNRESPONSIVE, self.now
            )
            self.wait(0.4)


def hold(engine, span):
    return backends.Backend(
        name=engine.name,
        service=engine.service,
        address=engine.address,
        failure_domain=engine.failure_domain,
        state=engine.state,
        started_at=engine.started_at,
        accelerator=engine.accelerator,
        held=span,
    )


def copy_fleet(fleet, *, node, nodes):
    """Return another node of a domain with this number of nodes, and the same plan."""
    copied = Fleet(node=node)
    copied.list_engines(fleet.blackboard.backends.listed.values())
    copied.blackboard.plans = fleet.blackboard.plans
    copied.now = fleet.now
    domain = copied.blackboard.failure_domain
    copied.blackboard.members.sizes = collections.Counter({domain: nodes})
    return copied


def make_watched_stream(pipeline, request, timeouts):
    return watched_streams.WatchedStream(
        pipeline=pipeline, request=request, timeouts=timeouts
    )


class NoTrials:
    """Claim no trial."""

    async def claim_trial(self, keys):
        return False


def make_guard(blackboard):
    # The rows of suspects were read, as those of the list were.
    blackboard.quarantine.is_initialized = True
    return guard.Guard(
        area=blackboard.backends,
        quarantine=controller.Quarantine(blackboard=blackboard),
        trials=NoTrials(),
        schedule_probe=lambda engine: None,
    )


def make_permits(blackboard, limits=None, transport=None):
    limits = limits or request_limits.RequestLimits(area=blackboard.backends)
    return permits.Permits(
        blackboard=blackboard,
        limits=limits,
        home=permit_home.PermitHome(
            leases=home_leases.HomeLeases(
                order=homes.HomeOrder(blackboard=blackboard), transport=transport
            ),
            limits=limits,
        ),
        transport=transport,
    )


def make_claims(blackboard, choice, own_guard, limits=None, **fields):
    return pipeline_claims.PipelineClaims(
        choice=choice,
        permits=make_permits(blackboard, limits),
        guard=own_guard,
        **fields,
    )


def make_planned_fleet():
    fleet = Fleet()
    fleet.list_engines(make_engines())
    assert fleet.wait(4.0)
    fleet.load_planned()
    return fleet


def assert_pipeline(pipeline):
    layer = 0
    for stage in pipeline.stages:
        assert stage.span.first == layer, pipeline
        layer = stage.span.end
    assert layer == MODEL.layers, pipeline
    assert len(pipeline.engines) == len(pipeline.stages), pipeline


def choose(fleet, avoided=frozenset(), entries=None):
    """Choose a pipeline and check that it runs every layer once and in order."""
    pipeline = fleet.choice.choose(fleet.service, fleet.now, avoided, entries)
    assert pipeline is not None
    assert_pipeline(pipeline)
    return pipeline
