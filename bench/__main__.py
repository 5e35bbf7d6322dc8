"""Command line of the experiments: `python -m bench NAME --seed N`."""

import os
import pathlib
import sys
import typing

import attrs
import cappa

from bench import experiments

_DEFAULT_FIRST_PORT = 22_000


@cappa.command(name="bench")
@attrs.define(kw_only=True)
class Arguments:
    """Run one experiment, or all of them, and write a result file and a plot.

    Example: python -m bench data-path --seed 1
    """

    name: typing.Annotated[str, cappa.Arg(help="an experiment, list or all")]
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    size: typing.Annotated[experiments.Size, cappa.Arg(long=True)] = (
        experiments.Size.FULL
    )
    output: typing.Annotated[pathlib.Path, cappa.Arg(long=True)] = pathlib.Path(
        "bench/results"
    )
    first_port: typing.Annotated[int | None, cappa.Arg(long=True)] = None


def main() -> int:
    """Run the chosen experiments and return the exit code."""
    arguments = cappa.parse(Arguments, completion=False)
    if arguments.name == "list":
        print("\n".join(experiments.NAMES))
        return 0
    names = experiments.NAMES if arguments.name == "all" else (arguments.name,)
    port = os.environ.get("JUJUBEPASS_FIRST_PORT", _DEFAULT_FIRST_PORT)
    options = experiments.Options(
        seed=arguments.seed,
        size=arguments.size,
        output=arguments.output,
        first_port=arguments.first_port or int(port),
    )
    for name in names:
        try:
            result = experiments.find_experiment(name).run(options)
        except experiments.UnknownExperimentError as error:
            print(error, file=sys.stderr)
            return 2
        print(result.write(options.output))
        print("\n".join(result.list_lines()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
