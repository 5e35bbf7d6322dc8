"""Cost of control against the number of client accounts."""

from bench import control, experiments, results, trials


def run(options: experiments.Options) -> results.Result:
    """Measure idle nodes with growing numbers of client accounts in force."""
    seconds = options.choose(8.0, 0.5)
    runs = options.choose(3, 1)
    counts = options.choose((100, 1_000, 4_000, 7_900), (5, 10))
    result = results.Result(
        name="control-accounts",
        seed=options.seed,
        parameters={"seconds": seconds, "runs": runs, "nodes": 3, "engines": 4},
        plot=results.Plot(x="accounts", y="resident_mebibytes"),
    )
    for count in counts:
        shape = trials.Shape(nodes=options.choose(3, 1), engines=4)
        with trials.start_system(shape, options.first_port) as started:
            trials.wait_for_engines(started)
            trials.declare_accounts(started, count, number=1)
            for index in range(runs):
                cost = control.summarize(trials.measure_nodes(started, seconds))
                row = control.describe(cost)
                result.add(accounts=count, run=index, **row)
    control.add_slopes(result, "accounts")
    return result
