import random

import behave

from jujubepass import declarations, ids
from jujubepass.backends import _backend_area, _backend_messages, _backends
from jujubepass.calls import _breakers
from jujubepass.nodes import _blackboard
from jujubepass.routing import _prefixes, _subsets
from jujubepass.transport import _http_client
from tests import small_engines

PROMPT = tuple(f"word{number}" for number in range(20))


@behave.when("an engine's circuit breaker opens")
def step_breaker(context):
    context.breaker = _breakers.Breaker(bounds=_breakers.ENGINE_BOUNDS)
    for _ in range(2):
        context.breaker.count_fault(0.0, is_certain=False)
    assert not context.breaker.is_open(0.0)
    context.breaker.count_fault(0.0, is_certain=False)


@behave.then("no attempt goes to it until the breaker is half-open, and then only one")
def step_half_open(context):
    breaker = context.breaker
    assert breaker.is_open(0.5) and not breaker.is_open(1.5)
    breaker.record_dispatch(1.5)
    assert breaker.is_open(1.6), "a second attempt goes through"
    breaker.record_success()
    assert not breaker.is_open(1.6)
    breaker.count_fault(2.0, is_certain=True)
    assert breaker.is_open(2.1, heard_at=1.9)
    assert not breaker.is_open(2.2, heard_at=2.15), "a newer report closes it"


def make_listing(count):
    return _backend_messages.VmsListed(
        vms=tuple(
            _backend_messages.Vm(
                name=f"e{index}",
                role=_backend_messages.VmRole.ENGINE,
                address=_http_client.Address(host="e", port=index + 1),
                region=ids.RegionId("r"),
                failure_domain=ids.FailureDomainId("a"),
                state=_backend_messages.VmState.LIVE,
            )
            for index in range(count)
        ),
        age_seconds=0.0,
    )


def report(name):
    first = 8 * (int(name[1:]) % 4)
    return _backend_messages.LoadReport(
        engine=name,
        incarnation="1",
        model=small_engines.MODEL,
        version="1",
        first_layer=first,
        end_layer=first + 8,
        accelerator="a100",
        running=0,
        waiting=0,
        max_batch=16,
        step_seconds=0.01,
        prefill_tokens_per_second=8_000.0,
        kv_free_tokens=100_000,
        leaving=False,
        age_seconds=0.0,
        link_seconds={},
    )


def count_ranges(polled):
    counts = [0] * 4
    for name in polled:
        counts[int(name[1:]) % 4] += 1
    return counts


@behave.when("{count:d} engines of four layer ranges are listed to 9 nodes")
def step_many_engines(context, count):
    context.controllers = []
    listing = make_listing(count)
    for node in range(9):
        identity = _blackboard.Identity(
            node=ids.NodeId(f"node-{node}"),
            incarnation="1",
            region=ids.RegionId("r"),
            failure_domain=ids.FailureDomainId("a"),
        )
        board = _blackboard.Blackboard(identity=identity)
        name = small_engines.MODEL
        board.configuration.declared = declarations.Declarations(
            models={name: declarations.Model(name=name, layers=32)}
        )
        timing = _backends.BackendTiming(load_poll_seconds=0.5, vm_poll_seconds=2.0)
        controller = _backends.BackendController(blackboard=board, timing=timing)
        for now in range(4):
            controller.merge_vm_list(listing, float(now))
            for polled in board.backends.polled:
                event = _backend_messages.LoadReported(report=report(polled))
                controller.record_report(event, float(now))
        controller.merge_vm_list(listing, 5.0)
        context.controllers.append(controller)


@behave.then(
    "each node polls up to 12 engines per range, covers each layer, and subsets differ"
)
def step_subsets(context):
    subsets = [c.blackboard.backends.polled for c in context.controllers]
    for polled in subsets:
        counts = count_ranges(polled)
        assert all(1 <= count <= 12 for count in counts), counts
    assert len(set(subsets)) == len(subsets)


@behave.then(
    "when one range's engines in a subset stop responding, others replace them"
)
def step_fallback(context):
    controller = context.controllers[0]
    backends = controller.blackboard.backends
    silent = {name for name in backends.polled if int(name[1:]) % 4 == 2}
    for now in range(6, 14):
        for name in silent & set(backends.polled):
            event = _backend_messages.LoadUnanswered(engine=name, detail="silent")
            controller.count_failed_poll(event, float(now))
        controller.merge_vm_list(make_listing(600), float(now))
        for name in set(backends.polled) - silent:
            event = _backend_messages.LoadReported(report=report(name))
            controller.record_report(event, float(now))
    fresh = [
        name
        for name in backends.polled
        if int(name[1:]) % 4 == 2 and name not in silent
    ]
    assert fresh, count_ranges(backends.polled)
    ranked = _subsets.rank_engine(ids.NodeId("node-1"), ids.BackendServerId("e1"))
    assert ranked == _subsets.rank_engine(ids.NodeId("node-1"), "e1")


def make_backend():
    return _backend_area.BackendServer(vm=make_listing(1).vms[0])


@behave.then("the estimate of cached words decreases with age and gaps of cache events")
def step_affinity(context):
    blocks = _prefixes.hash_blocks(small_engines.MODEL, PROMPT * 4)
    engine = make_backend()
    engine.cached_prefixes.update(dict.fromkeys(blocks, 0.0))
    fresh = _prefixes.estimate_cached_words(engine, blocks, 1.0)
    old = _prefixes.estimate_cached_words(engine, blocks, 600.0)
    assert 0.0 < old < fresh <= len(PROMPT * 4), (old, fresh)
    engine.cache_gap_share = 0.5
    assert _prefixes.estimate_cached_words(engine, blocks, 1.0) < fresh
    assert _prefixes.estimate_cached_words(make_backend(), blocks, 1.0) == 0.0


@behave.then("the memory used to track one engine's cache is bounded")
def step_bounded(context):
    source = random.Random(1)
    controller = _make_single()
    sequence = 0
    for _ in range(10):
        events = []
        for _ in range(1_000):
            sequence += 1
            prefix = f"{source.randrange(10**12)}"
            events.append(
                _backend_messages.CacheEvent(
                    sequence=sequence, stored=True, prefix=prefix
                )
            )
        controller.record_cache_events(
            _backend_messages.CacheEventsReported(
                engine=ids.BackendServerId("e0"),
                events=tuple(events),
                next_sequence=sequence,
            ),
            1.0,
        )
    engine = controller.blackboard.backends.engines["e0"]
    assert len(engine.cached_prefixes) <= 1_024
    assert engine.cache_gap_share < 0.01, engine.cache_gap_share


def _make_single():
    identity = _blackboard.Identity(
        node=ids.NodeId("node-1"),
        incarnation="1",
        region=ids.RegionId("r"),
        failure_domain=ids.FailureDomainId("a"),
    )
    timing = _backends.BackendTiming(load_poll_seconds=0.5, vm_poll_seconds=2.0)
    controller = _backends.BackendController(
        blackboard=_blackboard.Blackboard(identity=identity), timing=timing
    )
    controller.merge_vm_list(make_listing(1), 0.0)
    return controller
