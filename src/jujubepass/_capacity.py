"""Estimate of how many model requests this node may have at the engines."""

import collections
import math

import attrs

from jujubepass import _backend_messages, _blackboard, ids

_SAMPLE_WEIGHT = 0.1


@attrs.frozen(kw_only=True)
class Slots:
    """Hold the batch places of a model's scarcest layer and how many are taken."""

    total: int
    taken: int


def count_slots(blackboard: _blackboard.Blackboard) -> dict[ids.ModelId, Slots]:
    """Count places at the layer of each model that has the fewest."""
    reports: dict[ids.ModelId, list[_backend_messages.LoadReport]] = {}
    for engine in blackboard.backends.engines.values():
        report = engine.report
        if report is None or engine.leaving or engine.failed_polls:
            continue
        reports.setdefault(ids.ModelId(report.model), []).append(report)
    counted = {}
    for name, model in blackboard.configuration.declared.models.items():
        slots = _find_scarcest(reports.get(name, []), model.layers)
        if slots is not None:
            counted[name] = slots
    return counted


def _find_scarcest(
    reports: list[_backend_messages.LoadReport], layers: int
) -> Slots | None:
    total: collections.Counter[int] = collections.Counter()
    taken: collections.Counter[int] = collections.Counter()
    for report in reports:
        total[report.first_layer] += report.max_batch
        total[report.end_layer] -= report.max_batch
        taken[report.first_layer] += report.running + report.waiting
        taken[report.end_layer] -= report.running + report.waiting
    places, busy, scarcest = 0, 0, None
    for layer in sorted({0, *total}):
        places += total[layer]
        busy += taken[layer]
        if layer >= layers:
            break
        if places == 0:
            return None
        if scarcest is None or places < scarcest.total:
            scarcest = Slots(total=places, taken=busy)
    return scarcest


def divide_slots(slots: Slots, own: int, nodes: int) -> int:
    """Return how many requests a node with `own` at the engines may have there.

    A node always has its even part; of what is free it takes its part only, since all
    nodes see the same stale reports.
    """
    others = max(0, slots.taken - own)
    free = max(0, slots.total - own - others)
    return max(1, math.ceil(max(slots.total / nodes, own + free / nodes)))


@attrs.define(kw_only=True)
class ServiceTime:
    """Learn how long engines take for a unit of cost."""

    seconds_per_cost: float | None = None

    def add(self, seconds: float, cost: float) -> None:
        """Learn from a request that the engines finished."""
        sample = seconds / cost
        if self.seconds_per_cost is None:
            self.seconds_per_cost = sample
        else:
            self.seconds_per_cost += _SAMPLE_WEIGHT * (sample - self.seconds_per_cost)

    def predict_seconds(self, cost: float) -> float:
        """Predict the time for a cost; nothing is known before the first sample."""
        return (self.seconds_per_cost or 0.0) * cost
