"""Measures recovery time by fault: python -m bench.recovery --fault kill --runs 10."""

import collections.abc
import json
import random
import time
import typing

import attrs
import cappa
import numpy

from standins import caller, model, processes, system

ENGINES = tuple(
    system.EngineSpec(
        name=f"engine-{index}",
        first_layer=16 * (index % 2),
        end_layer=16 * (index % 2) + 16,
        accelerator="a100",
    )
    for index in range(6)
)
PROMPT_WORDS = 160
MAX_TOKENS = 64
STREAMS = 8
_PREFILL_TOKENS_PER_SECOND = 8_000.0
_STEP_SECONDS = 0.010
_STAGES = 2
_TARGET_TOKEN_SECONDS = 0.030
_TIMEOUT_SECONDS = 30.0
_SETTLE_SECONDS = 2.5
_SILENT_FAULTS = frozenset({"freeze", "slow", "link", "freeze-two"})

Fault = typing.Literal[
    "kill", "freeze", "slow", "link", "cut", "leave", "kill-two", "freeze-two"
]


@attrs.frozen(kw_only=True)
class Faults:
    """Bring faults about in a running system, and undo them."""

    system: system.System

    def apply(self, fault: Fault, engines: tuple[str, ...], chosen: int) -> None:
        """Hit the chosen engine of a route, or both."""
        engine = engines[chosen]
        if fault == "kill":
            self.system.processes.kill(engine)
        elif fault == "freeze":
            self.system.processes.suspend(engine)
        elif fault == "kill-two":
            for each in engines:
                self.system.processes.kill(each)
        elif fault == "freeze-two":
            for each in engines:
                self.system.processes.suspend(each)
        elif fault == "slow":
            self._change(engine, slow_factor=30.0)
        elif fault == "link":
            links = dict.fromkeys(self.system.engines, 0.5)
            self._change(engine, link_seconds=links)
        elif fault == "cut":
            self._change(engines[0], cut_after_tokens=1)
        else:
            self._change(engine, leaving=True)

    def undo(self, fault: Fault, engines: tuple[str, ...], chosen: int) -> None:
        """Bring the engines back and wait until the nodes use them again."""
        for engine in engines:
            if fault == "kill" and engine != engines[chosen]:
                continue
            if fault.startswith("kill"):
                self._start_again(engine)
            elif fault.startswith("freeze"):
                self.system.processes.resume(engine)
            else:
                self._change(
                    engine,
                    slow_factor=1.0,
                    link_seconds={},
                    cut_after_tokens=None,
                    leaving=False,
                )
        processes.wait_for(self._are_all_well, "engines answer polls")
        time.sleep(_SETTLE_SECONDS)

    def _start_again(self, engine: str) -> None:
        spec = next(each for each in ENGINES if each.name == engine)
        peers = [f"--peer={each.name}:{each.accelerator}" for each in ENGINES]
        self.system.start_engine(spec, "a", *peers)

    def _are_all_well(self) -> bool:
        return all(
            backend["failed_polls"] == 0 and not backend["leaving"]
            for node in self.system.nodes
            for backend in self.system.read_status(node)["backends"]
        )

    def _change(self, engine: str, **knobs: object) -> None:
        processes.change_knobs(self.system.engines[engine], **knobs)


def measure_run(
    trial: system.System, fault: Fault, source: random.Random
) -> tuple[list[float], int]:
    """Hit one run's answers; return the recovery times and how many were wrong."""
    prompts = [_draw_prompt(source) for _ in range(STREAMS)]
    chosen = source.randrange(_STAGES)
    at_token = source.randint(8, MAX_TOKENS // 2)
    port = next(iter(trial.nodes.values())).callers
    hit: list[tuple[float, tuple[str, ...]]] = []
    faults = Faults(system=trial)

    def strike(count: int, backends: tuple[str, ...]) -> None:
        """Hit the route of the first answer once it is long enough."""
        if count >= at_token and not hit:
            hit.append((time.monotonic(), backends))
            faults.apply(fault, backends, chosen)
            if fault == "cut":
                time.sleep(2 * _TARGET_TOKEN_SECONDS)
                processes.change_knobs(
                    trial.engines[backends[0]], cut_after_tokens=None
                )

    streams = caller.stream_answers(
        port,
        prompts,
        max_tokens=MAX_TOKENS,
        timeout_seconds=_TIMEOUT_SECONDS,
        on_token=strike,
    )
    if not hit:
        return [], sum(not _is_right(stream) for stream in streams)
    since, engines = hit[0]
    struck = set(engines) if fault.endswith("two") else {engines[chosen]}
    if fault == "cut":
        struck = {engines[0]}
    gaps = [s.find_longest_gap(since) for s in streams if struck & set(s.backends)]
    faults.undo(fault, engines, chosen)
    return gaps, sum(not _is_right(stream) for stream in streams)


def _draw_prompt(source: random.Random) -> str:
    return " ".join(f"word{source.randrange(10_000)}" for _ in range(PROMPT_WORDS))


def _is_right(stream: caller.Stream) -> bool:
    words = stream.prompt.split()
    expected = model.expected_tokens(system.MODEL, words, MAX_TOKENS, system.LAYERS)
    return stream.tokens == expected and stream.finish_reason is not None


def find_floor_seconds(fault: Fault) -> float:
    """Return detection, prefill of half an answer, and one token."""
    words = PROMPT_WORDS + MAX_TOKENS / 2
    detection = _TARGET_TOKEN_SECONDS if fault in _SILENT_FAULTS else 0.0
    lost_stages = _STAGES if fault.endswith("two") else 1
    prefill = lost_stages * words / _PREFILL_TOKENS_PER_SECOND
    return detection + prefill + _STAGES * _STEP_SECONDS


def measure(
    fault: Fault, runs: int, policy: str, seed: int, first_port: int
) -> dict[str, object]:
    """Start a system, run one fault many times and summarize."""
    source = random.Random(seed)
    gaps: list[float] = []
    wrong = 0
    module = "jujubepass" if policy == "router" else "bench.naive_node"
    with system.System(first_port=first_port, node_module=module) as trial:
        trial.start_platform()
        trial.start_engines(ENGINES)
        trial.start_nodes(1)
        trial.wait_for_number(trial.apply(system.declare_basics()))
        time.sleep(1.0)
        for _ in range(runs):
            found, missed = measure_run(trial, fault, source)
            gaps += found
            wrong += missed
        return summarize(fault, policy, gaps, wrong, runs)


def summarize(
    fault: Fault,
    policy: str,
    gaps: collections.abc.Sequence[float],
    wrong: int,
    runs: int,
) -> dict[str, object]:
    """Give the quantiles beside the floor, in milliseconds."""
    middle, high = numpy.percentile(gaps, [50, 99]) if gaps else (0.0, 0.0)
    return {
        "fault": fault,
        "policy": policy,
        "runs": runs,
        "answers_hit": len(gaps),
        "answers_wrong": wrong,
        "p50_ms": round(middle * 1_000),
        "p99_ms": round(high * 1_000),
        "floor_ms": round(find_floor_seconds(fault) * 1_000),
    }


@cappa.command(name="recovery")
@attrs.define(kw_only=True)
class Arguments:
    """Measure recovery time."""

    fault: typing.Annotated[list[str], cappa.Arg(long=True)]
    runs: typing.Annotated[int, cappa.Arg(long=True)] = 10
    policy: typing.Annotated[
        typing.Literal["router", "naive"], cappa.Arg(long=True)
    ] = "router"
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    first_port: typing.Annotated[int, cappa.Arg(long=True)] = 10_000


def main() -> None:
    """Measure each fault in turn and print a line of JSON for each."""
    arguments = cappa.parse(Arguments, completion=False)
    for fault in arguments.fault:
        found = measure(
            typing.cast(Fault, fault),
            arguments.runs,
            arguments.policy,
            arguments.seed,
            arguments.first_port,
        )
        print(json.dumps(found), flush=True)


if __name__ == "__main__":
    main()
