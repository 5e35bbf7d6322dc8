"""Faults that befall the stages of an answer, and their end."""

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
_CUT_SECONDS = 0.06
_SETTLE_SECONDS = 2.5
_HEALTHY = {
    "slow_factor": 1.0,
    "link_seconds": {},
    "cut_after_tokens": None,
    "leaving": False,
}


class Fault(enum.Enum):
    """Name what befalls a stage."""

    KILL = "kill"
    FREEZE = "freeze"
    SLOW = "slow"
    LINK = "link"
    CUT = "cut"
    LEAVE = "leave"
    KILL_TWO = "kill-two"
    FREEZE_TWO = "freeze-two"

    @property
    def hits_both(self) -> bool:
        """Tell whether both stages of a route are hit."""
        return self in (Fault.KILL_TWO, Fault.FREEZE_TWO)


@attrs.frozen(kw_only=True)
class Strike:
    """Hold the engines that a fault hit, and when."""

    fault: Fault
    engines: tuple[str, ...]
    at: float


@attrs.frozen(kw_only=True)
class Faults:
    """Bring faults about in a running system, and undo them."""

    system: system.System

    def strike(self, fault: Fault, route: tuple[str, ...], stage: int) -> Strike:
        """Hit one stage of a route, or both."""
        engines = route if fault.hits_both else (route[stage],)
        if fault is Fault.CUT:
            engines = route[:1]
        at = time.monotonic()
        for engine in engines:
            self._hit(fault, engine)
        if fault is Fault.CUT:
            time.sleep(_CUT_SECONDS)
            self._change(engines[0], cut_after_tokens=None)
        return Strike(fault=fault, engines=engines, at=at)

    def _hit(self, fault: Fault, engine: str) -> None:
        if fault in (Fault.KILL, Fault.KILL_TWO):
            self.system.processes.kill(engine)
        elif fault in (Fault.FREEZE, Fault.FREEZE_TWO):
            self.system.processes.suspend(engine)
        elif fault is Fault.SLOW:
            self._change(engine, slow_factor=_SLOW_FACTOR)
        elif fault is Fault.LINK:
            links = dict.fromkeys(self.system.engines, _LINK_SECONDS)
            self._change(engine, link_seconds=links)
        elif fault is Fault.CUT:
            self._change(engine, cut_after_tokens=1)
        else:
            self._change(engine, leaving=True)

    def undo(self, strike: Strike) -> None:
        """Bring the engines back and wait until the nodes may use them again."""
        for engine in strike.engines:
            if strike.fault in (Fault.KILL, Fault.KILL_TWO):
                self._start_again(engine)
            elif strike.fault in (Fault.FREEZE, Fault.FREEZE_TWO):
                self.system.processes.resume(engine)
            else:
                self._change(engine, **_HEALTHY)
        processes.wait_for(self._are_all_well, "engines answer polls")
        time.sleep(_SETTLE_SECONDS)

    def _start_again(self, engine: str) -> None:
        spec = next(each for each in ENGINES if each.name == engine)
        self.system.start_engine(spec, "a", *list_peers())

    def _are_all_well(self) -> bool:
        return all(
            backend["failed_polls"] == 0 and not backend["leaving"]
            for node in self.system.nodes
            for backend in self.system.read_status(node)["backends"]
        )

    def _change(self, engine: str, **knobs: object) -> None:
        processes.change_knobs(self.system.engines[engine], **knobs)


def list_peers() -> collections.abc.Iterator[str]:
    """List the arguments that name all engines, for the links."""
    for spec in ENGINES:
        yield f"--peer={spec.name}:{spec.accelerator}"


def start_system(
    first_port: int,
    *,
    nodes: int = 1,
    node_module: str = "jujubepass",
    settings: system.Overrides | None = None,
) -> system.System:
    """Start a system with these engines and wait until its nodes know them."""
    trial = system.System(
        first_port=first_port, settings=settings, node_module=node_module
    )
    try:
        trial.start_platform()
        trial.start_engines(ENGINES)
        trial.start_nodes(nodes)
        trial.wait_for_number(trial.apply(system.declare_basics()))
        for node in trial.nodes:
            processes.wait_for(
                lambda node=node: _knows_engines(trial, node), "engines are known"
            )
    except BaseException:
        trial.processes.close()
        raise
    return trial


def _knows_engines(trial: system.System, node: str) -> bool:
    answer = trial.ask(node, "are the engines known", max_tokens=1)
    return len(trial.read_status(node)["backends"]) >= len(ENGINES) and (
        answer.status == 200
    )
