"""Cost of control against the number of engines."""

from bench import control, experiments, results, trials

_MAX_POLLED_ENGINES = 48


def run(options: experiments.Options) -> results.Result:
    """Measure one idle node with engines that share one process."""
    seconds = options.choose(8.0, 0.5)
    runs = options.choose(3, 1)
    counts = options.choose((4, 16, 32, 48, 100, 200, 400), (2, 4))
    result = results.Result(
        name="control-engines",
        seed=options.seed,
        parameters={"seconds": seconds, "runs": runs, "nodes": 1},
        plot=results.Plot(x="engines", y="core_share"),
    )
    for count in counts:
        shape = trials.Shape(nodes=1, engines=count)
        with trials.start_system(shape, options.first_port) as started:
            trials.wait_for_engines(started)
            for index in range(runs):
                cost = control.summarize(trials.measure_nodes(started, seconds))
                row = control.describe(cost)
                result.add(engines=count, run=index, **row)
    control.add_slopes(result, "engines", max_x=_MAX_POLLED_ENGINES)
    control.add_slopes(
        result, "engines", min_x=_MAX_POLLED_ENGINES + 1, prefix="large_"
    )
    return result
