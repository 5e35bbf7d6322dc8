"""Recovery time by fault: `python -m bench.recovery --fault kill --runs 10`."""

import collections.abc
import json
import random
import typing

import attrs
import cappa
import numpy

from standins import caller, faults, model, system

PROMPT_WORDS = 160
MAX_TOKENS = 64
STREAMS = 8
_PREFILL_TOKENS_PER_SECOND = 8_000.0
_STEP_SECONDS = 0.010
_STAGES = 2
_TARGET_TOKEN_SECONDS = 0.030
_TIMEOUT_SECONDS = 30.0
_STALL_FAULTS = frozenset(
    {
        faults.Fault.FREEZE,
        faults.Fault.FREEZE_TWO,
        faults.Fault.SLOW,
        faults.Fault.LINK,
    }
)
_NODE_MODULES = {"router": "jujubepass", "naive": "bench.naive_node"}


def measure_run(
    trial: system.System, fault: faults.Fault, source: random.Random
) -> tuple[list[float], int]:
    """Inject one fault; return the recovery times and the number of wrong answers."""
    prompts = [draw_prompt(source) for _ in range(STREAMS)]
    stage = source.randrange(_STAGES)
    at_token = source.randint(8, MAX_TOKENS // 2)
    strikes: list[faults.InjectedFault] = []
    system_faults = faults.FaultInjector(system=trial)

    def inject_fault(count: int, route: tuple[str, ...]) -> None:
        """Inject the fault once the first answer has `at_token` tokens."""
        if count >= at_token and not strikes:
            strikes.append(system_faults.inject(fault, route, stage))

    streams = caller.stream_answers(
        next(iter(trial.nodes.values())).callers,
        prompts,
        max_tokens=MAX_TOKENS,
        timeout_seconds=_TIMEOUT_SECONDS,
        on_token=inject_fault,
    )
    gaps: list[float] = []
    for strike in strikes:
        affected = [s for s in streams if set(strike.engines) & set(s.backends)]
        gaps += [stream.find_longest_gap(strike.at) for stream in affected]
        system_faults.recover(strike)
    return gaps, sum(not is_correct(stream) for stream in streams)


def draw_prompt(source: random.Random) -> str:
    """Return a random prompt that no cache holds."""
    return " ".join(f"word{source.randrange(10_000)}" for _ in range(PROMPT_WORDS))


def is_correct(stream: caller.Stream) -> bool:
    """Return whether an answer is complete and has the expected tokens."""
    words = stream.prompt.split()
    expected = model.expected_tokens(system.MODEL, words, MAX_TOKENS, system.LAYERS)
    return stream.tokens == expected and stream.finish_reason is not None


def find_floor_seconds(fault: faults.Fault) -> float:
    """Return the time of detection, prefill of half an answer, and one token."""
    if fault is faults.Fault.LEAVE:
        return _TARGET_TOKEN_SECONDS
    words = PROMPT_WORDS + MAX_TOKENS / 2
    detection = _TARGET_TOKEN_SECONDS if fault in _STALL_FAULTS else 0.0
    lost_stages = (
        _STAGES if fault.affects_both_stages else fault is not faults.Fault.CUT
    )
    prefill = lost_stages * words / _PREFILL_TOKENS_PER_SECOND
    return detection + prefill + _STAGES * _STEP_SECONDS


def measure(
    fault: faults.Fault, runs: int, policy: str, seed: int, first_port: int
) -> dict[str, object]:
    """Start a system, inject one fault in each run and summarize."""
    source = random.Random(seed)
    gaps: list[float] = []
    wrong = 0
    module = _NODE_MODULES[policy]
    with faults.start_system(first_port, node_module=module) as trial:
        for _ in range(runs):
            found, wrong_answers = measure_run(trial, fault, source)
            gaps += found
            wrong += wrong_answers
    return {
        "fault": fault.value,
        "policy": policy,
        "runs": runs,
        "answers_wrong": wrong,
        **summarize(gaps),
        "floor_ms": round(find_floor_seconds(fault) * 1_000),
    }


def summarize(gaps: collections.abc.Sequence[float]) -> dict[str, int]:
    """Return the quantiles of recovery times in milliseconds."""
    quantiles = numpy.percentile(gaps, [50, 99, 100]) if gaps else (0.0, 0.0, 0.0)
    names = ("p50_ms", "p99_ms", "longest_ms")
    found = {
        name: round(seconds * 1_000)
        for name, seconds in zip(names, quantiles, strict=True)
    }
    return {"answers_hit": len(gaps), **found}


@cappa.command(name="recovery")
@attrs.define(kw_only=True)
class Arguments:
    """Measure recovery time."""

    fault: typing.Annotated[
        list[faults.Fault], cappa.Arg(long=True, help="May be given again.")
    ] = attrs.field(factory=lambda: list(faults.Fault))
    runs: typing.Annotated[int, cappa.Arg(long=True)] = 10
    policy: typing.Annotated[
        typing.Literal["router", "naive"], cappa.Arg(long=True)
    ] = "router"
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    first_port: typing.Annotated[int, cappa.Arg(long=True)] = 10_000


def main() -> None:
    """Measure each fault and print one line of JSON for it."""
    arguments = cappa.parse(Arguments, completion=False)
    for fault in arguments.fault:
        found = measure(
            fault,
            arguments.runs,
            arguments.policy,
            arguments.seed,
            arguments.first_port,
        )
        print(json.dumps(found), flush=True)


if __name__ == "__main__":
    main()
