"""Estimate of how many model requests this node may have at the engines."""

import collections
import math

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_messages
from jujubepass.nodes import _blackboard

# A token that comes from another stage meets a step that runs: one batch gathers while
# another runs, so that an engine never waits for work.
_STEPS_PER_VISIT = 2.0
_TARGET_PACE_SECONDS = 0.030
_LEAST_STEP_SECONDS = 1e-6
_SAMPLE_WEIGHT = 0.1
_DEVIATIONS = 3.0


@attrs.frozen(kw_only=True)
class Slots:
    """Hold how many requests keep a model's scarcest layer busy, and how many run."""

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
        found = reports.get(name, [])
        scarcest = _find_scarcest(found, model.layers)
        if scarcest is None:
            continue
        token_seconds = _estimate_token_seconds(found, model.layers)
        slots = _count_slots(scarcest, _choose_pace(found, model.layers, token_seconds))
        capacities[name] = Capacity(slots=slots, token_seconds=token_seconds)
    return capacities


@attrs.frozen(kw_only=True)
class _Layer:
    """Hold what the engines that hold one layer do together."""

    tokens_per_second: float
    places: int
    taken: int


def _choose_pace(
    reports: list[_backend_messages.LoadReport], layers: int, token_seconds: float
) -> float:
    """Return the time between tokens that requests at the engines may have.

    A request of several stages takes a place at one of them at a time.
    """
    if all(_holds_all(report, layers) for report in reports):
        return token_seconds
    return max(token_seconds, _TARGET_PACE_SECONDS)


def _holds_all(report: _backend_messages.LoadReport, layers: int) -> bool:
    return report.end_layer - report.first_layer >= layers


def _count_slots(scarcest: _Layer, pace_seconds: float) -> Slots:
    """Count the requests that keep the scarcest layer busy, by Little's law."""
    busy = round(scarcest.tokens_per_second * pace_seconds)
    return Slots(total=max(scarcest.places, busy), taken=scarcest.taken)


def _estimate_token_seconds(
    reports: list[_backend_messages.LoadReport], layers: int
) -> float:
    """Estimate the time for one token from mean steps, links and layer ranges."""
    spans = sum(report.end_layer - report.first_layer for report in reports)
    visits = sum(_estimate_visit_seconds(report, layers) for report in reports)
    return visits * layers / spans


def _estimate_visit_seconds(report: _backend_messages.LoadReport, layers: int) -> float:
    """Estimate a token's time at one stage and on the link to the next."""
    if _holds_all(report, layers):
        return report.step_seconds
    # Routes favour short links.
    link = min(report.link_seconds.values(), default=0.0)
    return report.step_seconds * _STEPS_PER_VISIT + link


def _find_scarcest(
    reports: list[_backend_messages.LoadReport], layers: int
) -> _Layer | None:
    changes: dict[int, list[tuple[float, int, int]]] = collections.defaultdict(list)
    for report in reports:
        rate = report.max_batch / max(report.step_seconds, _LEAST_STEP_SECONDS)
        taken = report.running + report.waiting
        changes[report.first_layer].append((rate, report.max_batch, taken))
        changes[report.end_layer].append((-rate, -report.max_batch, -taken))
    rate, places, taken, scarcest = 0.0, 0, 0, None
    for layer in sorted({0, *changes}):
        for change in changes[layer]:
            rate, places, taken = (
                rate + change[0],
                places + change[1],
                taken + change[2],
            )
        if layer >= layers:
            break
        if places == 0:
            return None
        if scarcest is None or rate < scarcest.tokens_per_second:
            scarcest = _Layer(tokens_per_second=rate, places=places, taken=taken)
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
