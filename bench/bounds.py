"""Throughput bound of engines and links: the maximum flow of the layer graph."""

import collections.abc

import attrs
import networkx

_SOURCE = "source"
_SINK = "sink"


@attrs.frozen(kw_only=True)
class EngineRate:
    """Describe an engine's layer range and its capacity in requests a second."""

    name: str
    first_layer: int
    end_layer: int
    requests_per_second: float


def find_bound(
    engines: collections.abc.Sequence[EngineRate],
    layers: int,
    find_link_seconds: collections.abc.Callable[[str, str], float],
    max_link_seconds: float,
) -> float:
    """Return the maximum request rate over links of at most max_link_seconds."""
    graph = networkx.DiGraph()
    graph.add_nodes_from((_SOURCE, _SINK))
    for engine in engines:
        inlet, outlet = (engine.name, "in"), (engine.name, "out")
        graph.add_edge(inlet, outlet, capacity=engine.requests_per_second)
        if engine.first_layer == 0:
            graph.add_edge(_SOURCE, inlet)
        if engine.end_layer == layers:
            graph.add_edge(outlet, _SINK)
        for successor in engines:
            if successor.first_layer != engine.end_layer:
                continue
            link = find_link_seconds(engine.name, successor.name)
            if link <= max_link_seconds:
                graph.add_edge(outlet, (successor.name, "in"))
    return float(networkx.maximum_flow_value(graph, _SOURCE, _SINK))
