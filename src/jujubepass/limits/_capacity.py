"""Estimates of how many model requests this node may run on the engines."""

import collections
import math

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_messages
from jujubepass.nodes import _blackboard

# A token from another stage arrives while a step is running and has to wait for it.
# One batch is collected while another one runs, so that an engine never idles.
_STEPS_PER_VISIT = 2.0
_TARGET_TOKEN_INTERVAL_SECONDS = 0.030
_MIN_STEP_SECONDS = 1e-6
_SAMPLE_WEIGHT = 0.1
_UPPER_BOUND_DEVIATIONS = 3.0


@attrs.frozen(kw_only=True)
class Slots:
    """Describe the request slots of a model's bottleneck layer."""

    total: int
    in_use: int


@attrs.frozen(kw_only=True)
class Capacity:
    """Describe the combined capacity of a model's engines."""

    slots: Slots
    token_seconds: float


def estimate_capacities(
    blackboard: _blackboard.Blackboard,
) -> dict[ids.ModelId, Capacity]:
    """Return each model's slots and the time of one token through all layers."""
    reports: dict[ids.ModelId, list[_backend_messages.LoadReport]] = {}
    for engine in blackboard.backends.engines.values():
        report = engine.report
        if report is None or engine.leaving or engine.failed_polls:
            continue
        reports.setdefault(ids.ModelId(report.model), []).append(report)
    capacities = {}
    for name, model in blackboard.configuration.declared.models.items():
        model_reports = reports.get(name, [])
        bottleneck = _find_bottleneck(model_reports, model.layers)
        if bottleneck is None:
            continue
        token_seconds = _estimate_token_seconds(model_reports, model.layers)
        slots = _count_slots(
            bottleneck,
            _choose_token_interval(model_reports, model.layers, token_seconds),
        )
        capacities[name] = Capacity(slots=slots, token_seconds=token_seconds)
    return capacities


@attrs.frozen(kw_only=True)
class _Layer:
    """Describe the combined throughput and slots of one layer's engines."""

    tokens_per_second: float
    slots: int
    in_use: int


def _choose_token_interval(
    reports: list[_backend_messages.LoadReport], layers: int, token_seconds: float
) -> float:
    """Return the allowed time between tokens of one request.

    A request of several stages occupies a slot at one stage at a time, so a longer
    interval leaves room for more requests.
    """
    if all(_holds_all(report, layers) for report in reports):
        return token_seconds
    return max(token_seconds, _TARGET_TOKEN_INTERVAL_SECONDS)


def _holds_all(report: _backend_messages.LoadReport, layers: int) -> bool:
    return report.end_layer - report.first_layer >= layers


def _count_slots(bottleneck: _Layer, interval_seconds: float) -> Slots:
    """Count the requests that saturate the bottleneck layer, by Little's law."""
    saturating = round(bottleneck.tokens_per_second * interval_seconds)
    return Slots(total=max(bottleneck.slots, saturating), in_use=bottleneck.in_use)


def _estimate_token_seconds(
    reports: list[_backend_messages.LoadReport], layers: int
) -> float:
    """Estimate the time of one token from mean steps, links and layer ranges."""
    held_layers = sum(report.end_layer - report.first_layer for report in reports)
    visits = sum(_estimate_visit_seconds(report, layers) for report in reports)
    return visits * layers / held_layers


def _estimate_visit_seconds(report: _backend_messages.LoadReport, layers: int) -> float:
    """Estimate the time of one token at a stage and on the link to the next."""
    if _holds_all(report, layers):
        return report.step_seconds
    # Route search prefers short links.
    link = min(report.link_seconds.values(), default=0.0)
    return report.step_seconds * _STEPS_PER_VISIT + link


def _find_bottleneck(
    reports: list[_backend_messages.LoadReport], layers: int
) -> _Layer | None:
    changes: dict[int, list[tuple[float, int, int]]] = collections.defaultdict(list)
    for report in reports:
        rate = report.max_batch / max(report.step_seconds, _MIN_STEP_SECONDS)
        in_use = report.running + report.waiting
        changes[report.first_layer].append((rate, report.max_batch, in_use))
        changes[report.end_layer].append((-rate, -report.max_batch, -in_use))
    rate, slots, in_use, bottleneck = 0.0, 0, 0, None
    for layer in sorted({0, *changes}):
        for change in changes[layer]:
            rate, slots, in_use = (
                rate + change[0],
                slots + change[1],
                in_use + change[2],
            )
        if layer >= layers:
            break
        if slots == 0:
            return None
        if bottleneck is None or rate < bottleneck.tokens_per_second:
            bottleneck = _Layer(tokens_per_second=rate, slots=slots, in_use=in_use)
    return bottleneck


def compute_node_slots(slots: Slots, own_running: int, nodes: int) -> int:
    """Return how many requests this node may run on the engines.

    A node always gets its even share of all slots. Of the free slots it uses only its
    share, because all nodes see the same stale reports.
    """
    others = max(0, slots.in_use - own_running)
    free = max(0, slots.total - own_running - others)
    return max(1, math.ceil(max(slots.total / nodes, own_running + free / nodes)))


@attrs.define(kw_only=True)
class ServiceTime:
    """Estimate the mean and the deviation of the service time per unit of cost."""

    samples: int = attrs.field(default=0, init=False)
    _mean: float = attrs.field(default=0.0, init=False)
    _deviation: float = attrs.field(default=0.0, init=False)

    def record_sample(self, seconds: float, cost: float) -> None:
        """Update the estimate with a completed request."""
        self.samples += 1
        sample = seconds / cost
        if self.samples == 1:
            self._mean = sample
        error = sample - self._mean
        self._mean += _SAMPLE_WEIGHT * error
        self._deviation += _SAMPLE_WEIGHT * (abs(error) - self._deviation)

    def set_prior(self, seconds_per_cost: float) -> None:
        """Set the mean that is used until the first sample."""
        if not self.samples:
            self._mean = seconds_per_cost

    def predict_seconds(self, cost: float) -> float:
        """Predict the mean service time for a cost."""
        return self._mean * cost

    def predict_upper_bound(self, cost: float) -> float:
        """Predict a service time that few requests of this cost exceed."""
        return (self._mean + _UPPER_BOUND_DEVIATIONS * self._deviation) * cost
