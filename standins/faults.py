"""Injection of faults into the stages of an answer, and recovery from them."""

import collections.abc
import enum
import time

import attrs

from standins import processes, system

ENGINES = tuple(
    system.EngineSpec(
        name=f"engine-{index}",
        first_layer=16 * (index % 2),
        end_layer=16 * (index % 2) + 16,
        accelerator="a100",
    )
    for index in range(6)
)
"""Three engines for each half of the layers."""

_SLOW_FACTOR = 30.0
_LINK_SECONDS = 0.5
_CUT_DURATION_SECONDS = 0.06
_SETTLE_INTERVAL_SECONDS = 2.5
_HEALTHY_KNOBS = {
    "slow_factor": 1.0,
    "link_seconds": {},
    "cut_after_tokens": None,
    "leaving": False,
}


class Fault(enum.Enum):
    """Name a fault of a stage."""

    KILL = "kill"
    FREEZE = "freeze"
    SLOW = "slow"
    LINK = "link"
    CUT = "cut"
    LEAVE = "leave"
    KILL_TWO = "kill-two"
    FREEZE_TWO = "freeze-two"

    @property
    def affects_both_stages(self) -> bool:
        """Return whether the fault affects both stages of a route."""
        return self in (Fault.KILL_TWO, Fault.FREEZE_TWO)


@attrs.frozen(kw_only=True)
class InjectedFault:
    """Record an injected fault, its engines and its time."""

    fault: Fault
    engines: tuple[str, ...]
    at: float


@attrs.frozen(kw_only=True)
class FaultInjector:
    """Inject faults into a running system and recover from them."""

    system: system.System

    def inject(self, fault: Fault, route: tuple[str, ...], stage: int) -> InjectedFault:
        """Inject a fault into one stage of a route, or into both."""
        engines = route if fault.affects_both_stages else (route[stage],)
        if fault is Fault.CUT:
            engines = route[:1]
        at = time.monotonic()
        for engine in engines:
            self._inject_into_engine(fault, engine)
        if fault is Fault.CUT:
            time.sleep(_CUT_DURATION_SECONDS)
            self._change_knobs(engines[0], cut_after_tokens=None)
        return InjectedFault(fault=fault, engines=engines, at=at)

    def _inject_into_engine(self, fault: Fault, engine: str) -> None:
        if fault in (Fault.KILL, Fault.KILL_TWO):
            self.system.processes.kill(engine)
        elif fault in (Fault.FREEZE, Fault.FREEZE_TWO):
            self.system.processes.suspend(engine)
        elif fault is Fault.SLOW:
            self._change_knobs(engine, slow_factor=_SLOW_FACTOR)
        elif fault is Fault.LINK:
            links = dict.fromkeys(self.system.engines, _LINK_SECONDS)
            self._change_knobs(engine, link_seconds=links)
        elif fault is Fault.CUT:
            self._change_knobs(engine, cut_after_tokens=1)
        else:
            self._change_knobs(engine, leaving=True)

    def recover(self, injected: InjectedFault) -> None:
        """Remove a fault from its engines and wait until nodes can use them again."""
        for engine in injected.engines:
            if injected.fault in (Fault.KILL, Fault.KILL_TWO):
                self._restart(engine)
            elif injected.fault in (Fault.FREEZE, Fault.FREEZE_TWO):
                self.system.processes.resume(engine)
            else:
                self._change_knobs(engine, **_HEALTHY_KNOBS)
        processes.wait_for(self._are_all_available, "engines answer polls")
        time.sleep(_SETTLE_INTERVAL_SECONDS)

    def _restart(self, engine: str) -> None:
        spec = next(each for each in ENGINES if each.name == engine)
        self.system.start_engine(spec, "a", *list_peers())

    def _are_all_available(self) -> bool:
        return all(
            backend["failed_polls"] == 0 and not backend["leaving"]
            for node in self.system.nodes
            for backend in self.system.read_status(node)["backends"]
        )

    def _change_knobs(self, engine: str, **knobs: object) -> None:
        processes.change_knobs(self.system.engines[engine], **knobs)


def list_peers() -> collections.abc.Iterator[str]:
    """Return the arguments that declare all engines as peers, for link delays."""
    for spec in ENGINES:
        yield f"--peer={spec.name}:{spec.accelerator}"


def start_system(
    first_port: int,
    *,
    nodes: int = 1,
    node_module: str = "jujubepass",
    settings: system.Overrides | None = None,
) -> system.System:
    """Start a system with these engines and wait until its nodes list them."""
    test_system = system.System(
        first_port=first_port, settings=settings, node_module=node_module
    )
    try:
        test_system.start_platform()
        test_system.start_engines(ENGINES)
        test_system.start_nodes(nodes)
        test_system.wait_for_number(test_system.apply(system.declare_basics()))
        for node in test_system.nodes:
            processes.wait_for(
                lambda node=node: _lists_engines(test_system, node),
                "all engines are listed",
            )
    except BaseException:
        test_system.processes.close()
        raise
    return test_system


def _lists_engines(test_system: system.System, node: str) -> bool:
    answer = test_system.send_model_request(node, "are the engines known", max_tokens=1)
    return len(test_system.read_status(node)["backends"]) >= len(ENGINES) and (
        answer.status == 200
    )
