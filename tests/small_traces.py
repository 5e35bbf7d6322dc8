"""Traces of prompts and faults for the simulated engines, and their outcomes."""

import json

from jujubepass import ids
from tests import small_engines, small_parts


def read_trace(path):
    """Read a trace with its engines, nodes and timed prompts and faults."""
    return json.loads(path.read_text())


def run_trace(trace, make_policies):
    """Run a trace to its end and return the trial."""
    engines = [small_parts.Engine(**fields) for fields in trace["engines"]]
    trial = small_engines.Trial(
        engines=engines,
        make_policies=make_policies,
        nodes=trace.get("nodes", 1),
        seed=trace.get("seed", 1),
    )
    start = trial.now
    for number, step in enumerate(trace["steps"]):
        trial.at(
            start + step["at"],
            lambda step=step, number=number: _apply_step(trial, step, number),
        )
    trial.run_until(start + trace["seconds"])
    return trial


def _apply_step(trial, step, number):
    if "fault" in step:
        trial.inject_fault(step["fault"], step["engine"])
        return
    prompt = tuple(f"w{number}-{word}" for word in range(step["prompt_words"]))
    node = trial.nodes[step.get("node", number) % len(trial.nodes)]
    trial.send_prompt(node, ids.RequestId(f"r{number}"), prompt, step["max_tokens"])


def summarize(trial):
    """Return the outcomes that scenarios check against bounds."""
    answers = list(trial.delivered.values())
    whole = [a for a in answers if a.tokens == a.expected and a.ended_at]
    gaps = [
        later - earlier
        for a in answers
        for earlier, later in zip(a.times, a.times[1:], strict=False)
    ]
    first_token_seconds = [a.times[0] - a.sent_at for a in answers if a.times]
    return {
        "asked": len(answers),
        "whole": len(whole),
        "longest_gap_ms": round(max(gaps, default=0.0) * 1_000),
        "longest_first_token_ms": round(max(first_token_seconds, default=0.0) * 1_000),
        "generated_share": round(
            sum(a.generated for a in answers)
            / max(1, sum(len(a.tokens) for a in answers)),
            2,
        ),
    }
