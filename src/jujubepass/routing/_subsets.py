"""Selection of the engines that one node polls and uses, by rendezvous hashing."""

import collections
import collections.abc
import hashlib
import heapq

from jujubepass import declarations, ids
from jujubepass.backends import _backend_area

_MAX_ENGINES_PER_RANGE = 12
_INITIAL_ENGINES = 48

_Engines = collections.abc.Mapping[ids.BackendServerId, _backend_area.BackendServer]
_Models = collections.abc.Mapping[ids.ModelId, declarations.Model]


def rank_engine(node: ids.NodeId, engine: ids.BackendServerId) -> int:
    """Return an engine's rank for a node; each node ranks engines differently."""
    digest = hashlib.blake2b(f"{node}\x1f{engine}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def choose_engines(
    engines: _Engines, models: _Models
) -> tuple[ids.BackendServerId, ...]:
    """Choose the best-ranked engines.

    The number considered doubles until the choice covers every layer of each model or
    contains engines that have not reported yet.
    """
    count = _INITIAL_ENGINES
    while True:
        ranked = heapq.nsmallest(count, engines, key=lambda name: engines[name].rank)
        chosen = _limit_engines_per_range(ranked, engines)
        if count >= len(engines) or _covers_models(chosen, engines, models):
            return tuple(chosen)
        if any(_is_unreported(engines[name]) for name in chosen):
            return tuple(chosen)
        count *= 2


def _limit_engines_per_range(
    ranked: collections.abc.Iterable[ids.BackendServerId], engines: _Engines
) -> list[ids.BackendServerId]:
    counts: collections.Counter[tuple[str, int, int]] = collections.Counter()
    chosen = []
    for name in ranked:
        report = engines[name].report
        if report is not None and _is_healthy(engines[name]):
            key = (report.model, report.first_layer, report.end_layer)
            counts[key] += 1
            if counts[key] > _MAX_ENGINES_PER_RANGE:
                continue
        chosen.append(name)
    return chosen


def _is_unreported(engine: _backend_area.BackendServer) -> bool:
    return engine.report is None and not engine.failed_polls


def _is_healthy(engine: _backend_area.BackendServer) -> bool:
    return not engine.leaving and not engine.failed_polls


def _covers_models(
    chosen: collections.abc.Iterable[ids.BackendServerId],
    engines: _Engines,
    models: _Models,
) -> bool:
    ranges: dict[ids.ModelId, list[tuple[int, int]]] = collections.defaultdict(list)
    for name in chosen:
        report = engines[name].report
        if report is not None and _is_healthy(engines[name]):
            ranges[report.model].append((report.first_layer, report.end_layer))
    return all(
        _covers_layers(ranges[name], model.layers) for name, model in models.items()
    )


def _covers_layers(
    ranges: collections.abc.Iterable[tuple[int, int]], layers: int
) -> bool:
    covered_layers = 0
    for first_layer, end_layer in sorted(ranges):
        if first_layer <= covered_layers:
            covered_layers = max(covered_layers, end_layer)
    return covered_layers >= layers
