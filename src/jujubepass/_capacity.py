"""Estimate of how many model requests this node may have at the engines."""

import collections
import math

import attrs

from jujubepass import _backend_messages, _blackboard, ids

_SAMPLE_WEIGHT = 0.1
_DEVIATIONS = 3.0


@attrs.frozen(kw_only=True)
class Slots:
    """Hold the batch places of a model's scarcest layer and how many are taken."""

    total: int
    taken: int


@attrs.frozen(kw_only=True)
class Capacity:
    """Hold what the engines of a model report together."""

    slots: Slots
    token_seconds: float


def read_capacities(
    blackboard: _blackboard.Blackboard,
) -> dict[ids.ModelId, Capacity]:
    """Read each model's places and the time for one token through all layers."""
    reports: dict[ids.ModelId, list[_backend_messages.LoadReport]] = {}
    for engine in blackboard.backends.engines.values():
        report = engine.report
        if report is None or engine.leaving or engine.failed_polls:
            continue
        reports.setdefault(ids.ModelId(report.model), []).append(report)
    capacities = {}
    for name, model in blackboard.configuration.declared.models.items():
        slots = _find_scarcest(reports.get(name, []), model.layers)
        if slots is not None:
            token_seconds = _estimate_token_seconds(reports[name], model.layers)
            capacities[name] = Capacity(slots=slots, token_seconds=token_seconds)
    return capacities


def _estimate_token_seconds(
    reports: list[_backend_messages.LoadReport], layers: int
) -> float:
    """Estimate the time for one token from mean steps and mean layer ranges."""
    spans = sum(report.end_layer - report.first_layer for report in reports)
    steps = sum(report.step_seconds for report in reports)
    return steps * layers / spans


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
    """Learn how long engines take for a unit of cost, and how far that varies."""

    samples: int = attrs.field(default=0, init=False)
    _mean: float = attrs.field(default=0.0, init=False)
    _deviation: float = attrs.field(default=0.0, init=False)

    def add(self, seconds: float, cost: float) -> None:
        """Learn from a request that the engines finished."""
        self.samples += 1
        sample = seconds / cost
        if self.samples == 1:
            self._mean = sample
        error = sample - self._mean
        self._mean += _SAMPLE_WEIGHT * error
        self._deviation += _SAMPLE_WEIGHT * (abs(error) - self._deviation)

    def expect(self, seconds_per_cost: float) -> None:
        """Start from an estimate until there are samples."""
        if not self.samples:
            self._mean = seconds_per_cost

    def predict_seconds(self, cost: float) -> float:
        """Predict the mean time for a cost."""
        return self._mean * cost

    def predict_longest(self, cost: float) -> float:
        """Predict a time that few requests of a cost exceed."""
        return (self._mean + _DEVIATIONS * self._deviation) * cost
