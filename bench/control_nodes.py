"""Cost of control against the number of nodes."""

from bench import control, experiments, results, trials, usage

_MAX_MESH_NODES = 16


def run(options: experiments.Options) -> results.Result:
    """Measure idle nodes, each in its own process, with a few engines."""
    seconds = options.choose(8.0, 0.5)
    runs = options.choose(3, 1)
    counts = options.choose((3, 9, 15, 20, 26, 32), (2, 3))
    result = results.Result(
        name="control-nodes",
        seed=options.seed,
        parameters={"seconds": seconds, "runs": runs, "engines": 4},
        plot=results.Plot(x="nodes", y="core_share"),
    )
    for count in counts:
        shape = trials.Shape(nodes=usage.limit_processes(count), engines=4)
        with trials.start_system(shape, options.first_port) as started:
            trials.wait_for_engines(started)
            for index in range(runs):
                cost = control.summarize(trials.measure_nodes(started, seconds))
                row = control.describe(cost)
                result.add(nodes=shape.nodes, run=index, **row)
    control.add_slopes(result, "nodes", max_x=_MAX_MESH_NODES)
    control.add_slopes(result, "nodes", min_x=_MAX_MESH_NODES + 1, prefix="large_")
    return result
